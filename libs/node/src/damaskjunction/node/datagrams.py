"""A UDP endpoint: bytes out to an address, bytes in from one."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any, Protocol, TypeAlias, cast

from damaskjunction.core import Address

TakeDatagram: TypeAlias = Callable[[bytes, Address], None]


class Datagrams(Protocol):
    """An open endpoint."""

    def send(self, data: bytes, address: Address) -> None:
        """Send one datagram; it may be lost."""

    def close(self) -> None:
        """Release the socket."""


OpenDatagrams: TypeAlias = Callable[[Address, TakeDatagram], Awaitable[Datagrams]]


class UdpDatagrams(asyncio.DatagramProtocol):
    """An endpoint on a UDP socket.

    Parameters
    ----------
    take : callable
        Called with each datagram and where it came from.
    """

    def __init__(self, take: TakeDatagram) -> None:
        self._take = take
        self._transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport to send by."""
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[Any, ...]) -> None:
        """Pass one datagram on."""
        self._take(data, Address(addr[0], addr[1]))

    def error_received(self, exc: Exception) -> None:
        """Leave it to probing that a port is closed."""

    def send(self, data: bytes, address: Address) -> None:
        """Send one datagram; it may be lost."""
        if self._transport is not None:
            self._transport.sendto(data, address)

    def close(self) -> None:
        """Release the socket."""
        if self._transport is not None:
            self._transport.close()


async def open_datagrams(address: Address, take: TakeDatagram) -> Datagrams:
    """Bind a UDP socket.

    Raises
    ------
    OSError
        When the address is taken.
    """
    loop = asyncio.get_running_loop()
    _, endpoint = await loop.create_datagram_endpoint(
        lambda: UdpDatagrams(take), local_addr=(address.ip, address.port)
    )
    return endpoint
