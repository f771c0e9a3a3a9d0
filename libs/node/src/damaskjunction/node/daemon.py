"""The daemon around a host: signals in, an orderly stop out."""

from __future__ import annotations

import asyncio
import logging
import signal

from damaskjunction.core import LoopTimers
from damaskjunction.node.datagrams import DatagramEndpointFactory, open_udp_endpoint
from damaskjunction.node.root import HostProcess
from damaskjunction.settings import HostSettings
from damaskjunction.telemetry import configure_logs

logger = logging.getLogger(__name__)


async def run_host(
    settings: HostSettings, open_endpoint: DatagramEndpointFactory = open_udp_endpoint
) -> None:
    """Run a host until a signal or the host list tells it to leave; then drain."""
    process = HostProcess(settings, open_endpoint)
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, process.is_to_leave.set)
    await process.start()
    logger.info("host started", extra={"caller": str(settings.caller)})
    await process.is_to_leave.wait()
    logger.info("host drains")
    await process.drain()
    await process.close()
    logger.info("host stopped")


def main(settings: HostSettings) -> None:
    """Run a host in this process."""
    configure_logs(settings.log_level, process=settings.host_id, now=LoopTimers().now)
    asyncio.run(run_host(settings))
