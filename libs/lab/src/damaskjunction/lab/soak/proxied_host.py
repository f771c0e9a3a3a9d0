"""Host process whose links from other hosts pass a proxy.

Other hosts connect to its peer address, where the soak's proxy listens; the process
itself accepts links at a port of its range ``LINK_PORT_OFFSET`` above.
"""

from __future__ import annotations

from typing import Any

from damaskjunction.core import Address
from damaskjunction.gateway import daemon, root
from damaskjunction.wire import PeerServer

LINK_PORT_OFFSET = 5


class ProxiedPeerServer(PeerServer):
    """A server for calls from other hosts, behind a proxy."""

    def __init__(self, address: Address, *args: Any) -> None:
        super().__init__(Address(address.ip, address.port + LINK_PORT_OFFSET), *args)


def main() -> None:
    """Run a host in this process until a signal stops it."""
    vars(root)["PeerServer"] = ProxiedPeerServer
    daemon.main()


if __name__ == "__main__":
    main()
