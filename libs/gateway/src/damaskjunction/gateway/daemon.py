"""The daemon of a host on the platform: signal handling and graceful shutdown."""

from __future__ import annotations

import asyncio
import logging
import os
import signal
from pathlib import Path

from damaskjunction.core import LoopTimers
from damaskjunction.gateway.root import GatewayProcess
from damaskjunction.platform import SETTINGS_VARIABLE, read_settings
from damaskjunction.telemetry import configure_logs

logger = logging.getLogger(__name__)

LOG_LEVEL = "info"


async def _run(path: Path) -> None:
    settings = read_settings(path)
    configure_logs(LOG_LEVEL, process=settings.host_id, now=LoopTimers().now)
    process = GatewayProcess(settings)
    loop = asyncio.get_running_loop()
    stop_requested = asyncio.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop_requested.set)
    loop.add_signal_handler(signal.SIGHUP, lambda: _reload(path))
    await process.start()
    logger.info("host started", extra={"caller": str(settings.caller)})
    await stop_requested.wait()
    logger.info("host draining")
    await process.drain()
    await process.close()
    logger.info("host stopped", extra={"store_calls": process.store_calls})


def _reload(path: Path) -> None:
    """Check the settings file; the process keeps the settings it started with."""
    try:
        read_settings(path)
    except Exception as error:
        logger.error("settings invalid", extra={"error": str(error)})
    else:
        logger.info("settings read again")


def main() -> None:
    """Run a host in this process, with the settings file that the platform names."""
    asyncio.run(_run(Path(os.environ[SETTINGS_VARIABLE])))
