"""How a client opens its connections."""

from __future__ import annotations

import asyncio
import ssl
from collections.abc import Callable
from typing import NamedTuple, Protocol

from damaskjunction.core import Address
from damaskjunction.http.messages import ConnectFailedError
from damaskjunction.http.sockets import (
    RECEIVE_BUFFER_BYTES,
    bound_receive_buffer,
    enable_tcp_keepalive,
)


def _is_always_reusable() -> bool:
    return True


class OpenConnection(NamedTuple):
    """A connection that was opened, and whether it may be used once more.

    ``is_relayed`` says that it leads there through another host.
    """

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    may_reuse: Callable[[], bool] = _is_always_reusable
    is_relayed: bool = False


class Connector(Protocol):
    """Opens connections."""

    async def connect(self, address: Address) -> OpenConnection:
        """Open a connection to an address.

        Raises
        ------
        ConnectFailedError
            When it could not be opened in time.
        """


class DirectConnector:
    """Opens TCP connections.

    Parameters
    ----------
    timeout_s : float
        Timeout of a connection attempt, in seconds.
    tls : ssl.SSLContext, optional
        TLS context; without one, connections are plain TCP.
    """

    def __init__(self, timeout_s: float, tls: ssl.SSLContext | None = None) -> None:
        self._timeout_s = timeout_s
        self._tls = tls

    async def connect(self, address: Address) -> OpenConnection:
        """Open a connection to an address; see ``Connector``."""
        try:
            async with asyncio.timeout(self._timeout_s):
                reader, writer = await asyncio.open_connection(
                    address.ip,
                    address.port,
                    ssl=self._tls,
                    limit=RECEIVE_BUFFER_BYTES,
                )
        except (OSError, TimeoutError) as error:
            raise ConnectFailedError(f"cannot connect to {address}: {error}") from None
        enable_tcp_keepalive(writer)
        bound_receive_buffer(writer)
        return OpenConnection(reader, writer)
