"""Host process whose links from other hosts, and ways to runners, pass proxies.

Other hosts connect to its peer address, where the soak's proxy listens; the process
itself accepts links at a port of its range ``LINK_PORT_OFFSET`` above. Runners are
listed at one address for all hosts; in its place the process connects to the same port
at the address of its own paths.
"""

from __future__ import annotations

import asyncio
import os
from typing import Any

from damaskjunction.core import Address
from damaskjunction.gateway import daemon, root
from damaskjunction.wire import PeerServer

LINK_PORT_OFFSET = 5
# Environment variable: the IP address at which runners are listed, and that of paths.
RUNNER_PATH_VARIABLE = "DAMASKJUNCTION_SOAK_RUNNER_PATH"


class ProxiedPeerServer(PeerServer):
    """A server for calls from other hosts, behind a proxy."""

    def __init__(self, address: Address, *args: Any, **options: Any) -> None:
        own = Address(address.ip, address.port + LINK_PORT_OFFSET)
        super().__init__(own, *args, **options)


def redirect_to_paths(listed_ip: str, path_ip: str) -> None:
    """Let connections to the listed address of runners go to another one instead."""
    open_directly = asyncio.open_connection

    async def open_connection(
        host: str | None = None, port: int | None = None, **options: Any
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        path = path_ip if host == listed_ip else host
        return await open_directly(path, port, **options)

    vars(asyncio)["open_connection"] = open_connection


def main() -> None:
    """Run a host in this process until a signal stops it."""
    vars(root)["PeerServer"] = ProxiedPeerServer
    redirect_to_paths(*os.environ[RUNNER_PATH_VARIABLE].split())
    daemon.main()


if __name__ == "__main__":
    main()
