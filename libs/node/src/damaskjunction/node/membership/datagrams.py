"""UDP endpoints: send datagrams to addresses, receive datagrams from them."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any, Protocol, TypeAlias, cast

from damaskjunction.core import Address

DatagramHandler: TypeAlias = Callable[[bytes, Address], None]


class DatagramEndpoint(Protocol):
    """An open datagram endpoint."""

    def send(self, data: bytes, address: Address) -> None:
        """Send one datagram; it may be lost."""

    def close(self) -> None:
        """Release the socket."""


DatagramEndpointFactory: TypeAlias = Callable[
    [Address, DatagramHandler], Awaitable[DatagramEndpoint]
]


class UdpEndpoint(asyncio.DatagramProtocol):
    """A datagram endpoint on a UDP socket.

    Parameters
    ----------
    handler : callable
        Called with each received datagram and its source address.
    """

    def __init__(self, handler: DatagramHandler) -> None:
        self._handler = handler
        self._transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport, which sends the datagrams."""
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[Any, ...]) -> None:
        """Pass one received datagram to the handler."""
        self._handler(data, Address(addr[0], addr[1]))

    def error_received(self, exc: Exception) -> None:
        """Ignore errors such as a closed port: probing detects unreachable hosts."""

    def send(self, data: bytes, address: Address) -> None:
        """Send one datagram; it may be lost."""
        if self._transport is not None:
            self._transport.sendto(data, address)

    def close(self) -> None:
        """Release the socket."""
        if self._transport is not None:
            self._transport.close()


async def open_udp_endpoint(
    address: Address, handler: DatagramHandler
) -> DatagramEndpoint:
    """Bind a UDP socket and return its endpoint.

    Raises
    ------
    OSError
        When the address is in use.
    """
    loop = asyncio.get_running_loop()
    _, endpoint = await loop.create_datagram_endpoint(
        lambda: UdpEndpoint(handler), local_addr=(address.ip, address.port)
    )
    return endpoint
