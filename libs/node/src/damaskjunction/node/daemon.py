"""Daemon of a host, with graceful shutdown on signals."""

from __future__ import annotations

import asyncio
import logging
import signal

from damaskjunction.core import LoopTimers
from damaskjunction.node.membership.datagrams import (
    DatagramEndpointFactory,
    open_udp_endpoint,
)
from damaskjunction.node.root import HostProcess
from damaskjunction.settings import HostSettings
from damaskjunction.telemetry import configure_logs

logger = logging.getLogger(__name__)


async def run_host(
    settings: HostSettings, open_endpoint: DatagramEndpointFactory = open_udp_endpoint
) -> None:
    """Run a host until a signal or the host list asks it to leave, then drain it."""
    process = HostProcess(settings, open_endpoint)
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, process.leave_requested.set)
    await process.start()
    logger.info("host started", extra={"caller": str(settings.caller)})
    await process.leave_requested.wait()
    logger.info("host draining")
    await process.drain()
    await process.close()
    logger.info("host stopped")


def main(settings: HostSettings) -> None:
    """Configure logging and run a host in this process until it stops."""
    configure_logs(settings.log_level, process=settings.host_id, now=LoopTimers().now)
    asyncio.run(run_host(settings))
