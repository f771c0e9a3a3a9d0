"""HTTP/1.1 client: h11 for the protocol, pooled connections by address."""

from __future__ import annotations

import asyncio
import math
import socket
import ssl
from collections.abc import AsyncGenerator, Callable, Mapping
from typing import NamedTuple

import h11

from damaskjunction.core import Address, Timers
from damaskjunction.core.types import EMPTY
from damaskjunction.http.messages import (
    BrokenResponseError,
    ConnectFailedError,
    StalledResponseError,
)

READ_BYTES = 64 * 1024
DEFAULT_CONNECT_TIMEOUT_S = 2.0
DEFAULT_IDLE_LIMIT_S = 20.0
DEFAULT_STALL_S = 30.0
KEEP_ALIVE_SHARE = 0.5
PROBE_AFTER_S = 1
PROBE_INTERVAL_S = 1
N_PROBES = 3


class HttpClient:
    """A client that keeps idle connections for a while.

    Two clients share nothing, so work that must not wait for other work has a client
    of its own.

    Parameters
    ----------
    timers : Timers
        Tells how long a connection has been idle.
    connect_timeout_s : float
        Seconds until a connection attempt is given up.
    idle_limit_s : float
        Seconds after which an idle connection is not used again.
    tls : ssl.SSLContext, optional
        Connect over TLS.
    """

    def __init__(
        self,
        timers: Timers,
        *,
        connect_timeout_s: float = DEFAULT_CONNECT_TIMEOUT_S,
        idle_limit_s: float = DEFAULT_IDLE_LIMIT_S,
        tls: ssl.SSLContext | None = None,
    ) -> None:
        self._timers = timers
        self._connect_timeout_s = connect_timeout_s
        self._idle_limit_s = idle_limit_s
        self._tls = tls
        self._idle_by_address: dict[Address, list[_Connection]] = {}
        self.n_connects = 0

    async def send(
        self,
        address: Address,
        method: str,
        target: str,
        *,
        headers: Mapping[str, str] = EMPTY,
        body: bytes = b"",
        stall_s: float = DEFAULT_STALL_S,
        fresh: bool = False,
        guard: Callable[[], None] | None = None,
    ) -> ClientResponse:
        """Send a request and return when the head of its response is there.

        Parameters
        ----------
        address : Address
            Where to connect.
        method, target : str
            The request line.
        headers : mapping, optional
            Further headers.
        body : bytes, optional
            The whole body.
        stall_s : float, optional
            Seconds without a byte after which the connection is given up.
        fresh : bool, optional
            Use a new connection, since an idle one may be silently dead.
        guard : callable, optional
            Called when the connection is there, right before the first byte is written;
            what it raises ends the call with no byte sent.

        Raises
        ------
        ConnectFailedError
            No byte was sent.
        BrokenResponseError
            Some of the request was sent and no response came.
        """
        connection = None if fresh else self._take_idle(address)
        if connection is None:
            connection = await self._connect(address)
        try:
            if guard is not None:
                guard()
            head = await connection.exchange(method, target, headers, body, stall_s)
        except BaseException:
            connection.abort()
            raise
        return ClientResponse(head, connection, self)

    def close(self) -> None:
        """Close the idle connections."""
        for connections in self._idle_by_address.values():
            for connection in connections:
                connection.abort()
        self._idle_by_address.clear()

    def put_back(self, connection: _Connection) -> None:
        """Keep a connection whose response has been read whole."""
        if not connection.restart():
            connection.abort()
            return
        connection.idle_since_s = self._timers.now()
        self._idle_by_address.setdefault(connection.address, []).append(connection)

    def _take_idle(self, address: Address) -> _Connection | None:
        connections = self._idle_by_address.get(address, [])
        while connections:
            connection = connections.pop()
            idle_s = self._timers.now() - connection.idle_since_s
            limit_s = min(self._idle_limit_s, connection.keep_alive_s)
            if idle_s < limit_s and connection.is_usable():
                return connection
            connection.abort()
        self._idle_by_address.pop(address, None)
        return None

    async def _connect(self, address: Address) -> _Connection:
        try:
            async with asyncio.timeout(self._connect_timeout_s):
                reader, writer = await asyncio.open_connection(
                    address.ip, address.port, ssl=self._tls
                )
        except (OSError, TimeoutError) as error:
            raise ConnectFailedError(f"no connection to {address}: {error}") from None
        self.n_connects += 1
        _probe_when_silent(writer)
        return _Connection(address, reader, writer)


def _probe_when_silent(writer: asyncio.StreamWriter) -> None:
    """Let the kernel end a connection whose peer no longer answers."""
    connected: socket.socket = writer.get_extra_info("socket")
    connected.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    connected.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_AFTER_S)
    connected.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_INTERVAL_S)
    connected.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, N_PROBES)


class ResponseHead(NamedTuple):
    """Status and headers of a response; header names are in lower case."""

    status: int
    headers: Mapping[str, str]


class ClientResponse:
    """A response whose body is read piece by piece.

    Its owner either reads the body to its end or calls ``close``.
    """

    def __init__(
        self, head: ResponseHead, connection: _Connection, client: HttpClient
    ) -> None:
        self.status = head.status
        self.headers = head.headers
        self._connection: _Connection | None = connection
        self._client = client

    def set_stall(self, stall_s: float) -> None:
        """Give the connection up after this many seconds without a byte."""
        if self._connection is not None:
            self._connection.stall_s = stall_s

    async def chunks(self) -> AsyncGenerator[bytes, None]:
        """Yield the body piece by piece.

        Raises
        ------
        BrokenResponseError
            When the connection ends or stalls before the body does.
        """
        connection = self._connection
        if connection is None:
            return
        try:
            while (chunk := await connection.read_body()) is not None:
                yield chunk
        except BaseException:
            self.close()
            raise
        self._connection = None
        self._client.put_back(connection)

    async def read(self) -> bytes:
        """Return the whole body.

        Raises
        ------
        BrokenResponseError
            When the connection ends or stalls before the body does.
        """
        return b"".join([chunk async for chunk in self.chunks()])

    def close(self) -> None:
        """Cut the connection when the body has not been read to its end."""
        if self._connection is not None:
            self._connection.abort()
            self._connection = None


class _Connection:
    """One connection, used for one request at a time."""

    def __init__(
        self,
        address: Address,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self.address = address
        self.idle_since_s = 0.0
        self.keep_alive_s = math.inf
        self._reader = reader
        self._writer = writer
        self._protocol = h11.Connection(h11.CLIENT)
        self.stall_s = DEFAULT_STALL_S

    async def exchange(
        self,
        method: str,
        target: str,
        headers: Mapping[str, str],
        body: bytes,
        stall_s: float,
    ) -> ResponseHead:
        """Send a request and return the head of the response."""
        self.stall_s = stall_s
        all_headers = {
            "Host": str(self.address),
            "Content-Length": str(len(body)),
            **headers,
        }
        request = h11.Request(
            method=method, target=target, headers=list(all_headers.items())
        )
        send = self._protocol.send
        parts = (request, h11.Data(data=body), h11.EndOfMessage())
        self._writer.write(b"".join(send(part) or b"" for part in parts))
        try:
            async with asyncio.timeout(stall_s):
                await self._writer.drain()
        except (OSError, TimeoutError) as error:
            raise BrokenResponseError(f"{self.address}: {error!r}") from None
        return await self._read_head()

    async def read_body(self) -> bytes | None:
        """Return the next piece of the body, None after its end."""
        while True:
            event = await self._next_event()
            if isinstance(event, h11.Data):
                return bytes(event.data)
            if isinstance(event, h11.EndOfMessage):
                return None

    def restart(self) -> bool:
        """Make ready for another request; return whether that can be."""
        if self._protocol.our_state is not h11.DONE:
            return False
        if self._protocol.their_state is not h11.DONE:
            return False
        self._protocol.start_next_cycle()
        return True

    def is_usable(self) -> bool:
        """Return whether the peer has neither closed the connection nor sent more."""
        if self._reader.at_eof() or self._writer.is_closing():
            return False
        # Bytes behind a whole response belong to no request.
        return not (self._protocol.trailing_data[0] or self._has_unread())

    def _has_unread(self) -> bool:
        return bool(getattr(self._reader, "_buffer", b""))

    def abort(self) -> None:
        """Cut the connection."""
        self._writer.transport.abort()

    async def _read_head(self) -> ResponseHead:
        while True:
            event = await self._next_event()
            if isinstance(event, h11.Response):
                headers = {
                    name.decode("ascii"): value.decode("latin-1")
                    for name, value in event.headers
                }
                self._note_keep_alive(headers.get("keep-alive", ""))
                return ResponseHead(event.status_code, headers)

    def _note_keep_alive(self, text: str) -> None:
        """Use the connection for a part of the time that the peer keeps it."""
        for part in text.split(","):
            name, _, value = part.strip().partition("=")
            if name == "timeout" and value.isdigit():
                self.keep_alive_s = KEEP_ALIVE_SHARE * int(value)

    async def _next_event(self) -> h11.Event:
        try:
            while (event := self._protocol.next_event()) is h11.NEED_DATA:
                async with asyncio.timeout(self.stall_s):
                    data = await self._reader.read(READ_BYTES)
                self._protocol.receive_data(data)
        except TimeoutError:
            detail = f"{self.address}: no byte for {self.stall_s:.3f} s"
            raise StalledResponseError(detail) from None
        except (OSError, h11.RemoteProtocolError) as error:
            raise BrokenResponseError(f"{self.address}: {error!r}") from None
        if isinstance(event, h11.ConnectionClosed) or event is h11.PAUSED:
            raise BrokenResponseError(f"{self.address}: closed before its response")
        assert isinstance(event, h11.Event)
        return event
