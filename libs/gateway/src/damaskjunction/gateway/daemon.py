"""The daemon of a host on the platform: signal handling and graceful shutdown."""

from __future__ import annotations

import asyncio
import logging
import os
import signal
from asyncio import selector_events
from pathlib import Path
from typing import Any

from damaskjunction.core import LoopTimers
from damaskjunction.core.units import KIB
from damaskjunction.gateway.root import GatewayProcess
from damaskjunction.platform import SETTINGS_VARIABLE, read_settings
from damaskjunction.telemetry import configure_logs

logger = logging.getLogger(__name__)

LOG_LEVEL = "info"
RECEIVE_BYTES = 64 * KIB


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


def limit_receive_buffers() -> None:
    """Let each read of a socket take a buffer that the C library keeps in its heap.

    asyncio takes 256 KiB for each, and returns what was not filled. The C library maps
    buffers over 128 KiB and unmaps them each time: three system calls more a read.
    """
    transport: Any = vars(selector_events)["_SelectorTransport"]
    transport.max_size = RECEIVE_BYTES


def main() -> None:
    """Run a host in this process, with the settings file that the platform names."""
    limit_receive_buffers()
    asyncio.run(_run(Path(os.environ[SETTINGS_VARIABLE])))
