"""The query that tells which process is the peer of a connection."""

from __future__ import annotations

from collections.abc import Callable, Hashable
from typing import NamedTuple

from damaskjunction.core.types import EMPTY
from damaskjunction.http.connection import Connection, ResponseHead
from damaskjunction.http.messages import (
    BrokenResponseError,
    OtherPeerError,
    PeerUnknownError,
)


class PeerQuery(NamedTuple):
    """A GET request that tells which process is the peer of a connection.

    It is sent once on each connection, ahead of its first other request. ``timeout_s``
    bounds all that comes before that request. ``decode`` returns the peer, None if the
    answer does not tell it.
    """

    target: str
    timeout_s: float
    max_bytes: int
    decode: Callable[[ResponseHead, bytes], Hashable | None]
    expected: Hashable


async def is_usable_after(query: PeerQuery, connection: Connection) -> bool:
    """Check the peer of a connection; return whether the connection is still usable.

    Raises
    ------
    ConnectFailedError
        When the peer is not the expected one, or does not tell; the connection is
        closed then.
    """
    is_usable = True
    try:
        if connection.peer is None:
            connection.peer = await _ask_peer(query, connection)
            is_usable = connection.prepare_for_reuse() and connection.is_reusable()
        _check_peer(query, connection)
    except BrokenResponseError as error:
        connection.abort()
        raise PeerUnknownError(f"{connection.address}: {error!r}") from None
    except BaseException:
        connection.abort()
        raise
    return is_usable


def _check_peer(query: PeerQuery, connection: Connection) -> None:
    if connection.peer is None:
        raise PeerUnknownError(f"{connection.address}: does not tell its process")
    if connection.peer != query.expected:
        detail = f"{connection.peer} instead of {query.expected}"
        raise OtherPeerError(f"{connection.address}: {detail}")


async def _ask_peer(query: PeerQuery, connection: Connection) -> Hashable | None:
    head = await connection.exchange("GET", query.target, EMPTY, b"", query.timeout_s)
    body = bytearray()
    while (chunk := await connection.read_body()) is not None:
        body += chunk
        if len(body) > query.max_bytes:
            raise BrokenResponseError(f"{connection.address}: the body is too large")
    return query.decode(head, bytes(body))
