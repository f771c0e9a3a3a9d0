"""HTTP/1.1 client on h11 with a pool of idle connections per address."""

from __future__ import annotations

import asyncio
import math
import ssl
from collections.abc import AsyncGenerator, Callable, Mapping
from typing import NamedTuple, cast

import h11

from damaskjunction.core import Address, Timers
from damaskjunction.core.types import EMPTY
from damaskjunction.core.units import MIB
from damaskjunction.http.messages import (
    BrokenResponseError,
    ConnectFailedError,
    StalledResponseError,
)
from damaskjunction.http.pacing import ReadPacer
from damaskjunction.http.sockets import enable_tcp_keepalive, has_waiting_bytes

READ_BYTES = 64 * 1024
DEFAULT_CONNECT_TIMEOUT_S = 2.0
DEFAULT_IDLE_TIMEOUT_S = 20.0
DEFAULT_STALL_TIMEOUT_S = 30.0
DEFAULT_MAX_BODY_BYTES = 64 * MIB
MAX_INTERIM_HEADS = 8
KEEP_ALIVE_TIMEOUT_FRACTION = 0.5


class HttpClient:
    """An HTTP client with a pool of keep-alive connections.

    Clients share no state. Give work that must not be delayed by other work a client of
    its own.

    Parameters
    ----------
    timers : Timers
        Clock that measures how long a connection has been idle.
    connect_timeout_s : float
        Timeout of a connection attempt, in seconds.
    idle_timeout_s : float
        Seconds after which an idle connection is not reused. A keep-alive timeout
        announced by the peer can shorten it.
    tls : ssl.SSLContext, optional
        TLS context; without one, connections are plain TCP.
    """

    def __init__(
        self,
        timers: Timers,
        *,
        connect_timeout_s: float = DEFAULT_CONNECT_TIMEOUT_S,
        idle_timeout_s: float = DEFAULT_IDLE_TIMEOUT_S,
        tls: ssl.SSLContext | None = None,
    ) -> None:
        self._timers = timers
        self._connect_timeout_s = connect_timeout_s
        self._idle_timeout_s = idle_timeout_s
        self._tls = tls
        self._idle_by_address: dict[Address, list[_Connection]] = {}
        self.n_connections_opened = 0

    async def send(
        self,
        address: Address,
        method: str,
        target: str,
        *,
        headers: Mapping[str, str] = EMPTY,
        body: bytes = b"",
        stall_s: float = DEFAULT_STALL_TIMEOUT_S,
        new_connection: bool = False,
        before_send: Callable[[], None] | None = None,
    ) -> ClientResponse:
        """Send a request and return once the status and headers have arrived.

        Parameters
        ----------
        address : Address
            Address of the server.
        method, target : str
            Method and target of the request line.
        headers : mapping, optional
            Additional headers. ``Host`` and ``Content-Length`` are set from the address
            and the body unless given here.
        body : bytes, optional
            The complete request body.
        stall_s : float, optional
            Seconds without received data, or waiting for the send buffer to drain,
            after which the request fails; also for the whole head of the response.
        new_connection : bool, optional
            Open a new connection instead of reusing an idle one, whose peer may be
            dead without having closed it.
        before_send : callable, optional
            Called once connected, right before the first byte is written. If it raises,
            nothing is sent and the exception propagates.

        Raises
        ------
        ConnectFailedError
            The connection could not be opened; no byte was sent.
        BrokenResponseError
            At least part of the request was sent, but no response arrived.
        """
        connection = None if new_connection else self._take_idle(address)
        if connection is None:
            connection = await self._connect(address)
        try:
            if before_send is not None:
                before_send()
            head = await connection.exchange(method, target, headers, body, stall_s)
        except BaseException:
            connection.abort()
            raise
        return ClientResponse(head, connection, self)

    def close(self) -> None:
        """Close all idle connections."""
        for connections in self._idle_by_address.values():
            for connection in connections:
                connection.abort()
        self._idle_by_address.clear()

    def release(self, connection: _Connection) -> None:
        """Return a connection to the pool after its response was read completely."""
        if not connection.prepare_for_reuse():
            connection.abort()
            return
        connection.idle_since_s = self._timers.now()
        self._idle_by_address.setdefault(connection.address, []).append(connection)

    def _take_idle(self, address: Address) -> _Connection | None:
        connections = self._idle_by_address.get(address, [])
        while connections:
            connection = connections.pop()
            idle_s = self._timers.now() - connection.idle_since_s
            timeout_s = min(self._idle_timeout_s, connection.keep_alive_timeout_s)
            if idle_s < timeout_s and connection.is_reusable():
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
            raise ConnectFailedError(f"cannot connect to {address}: {error}") from None
        self.n_connections_opened += 1
        enable_tcp_keepalive(writer)
        return _Connection(address, reader, writer)


class ResponseHead(NamedTuple):
    """Status and headers of a response; header names are lower-case."""

    status: int
    headers: Mapping[str, str]


class ClientResponse:
    """A response whose body is streamed.

    The caller must either read the body to its end, which returns the connection to
    the pool, or call ``close``. ``is_first`` says that its request was the first on its
    connection, so that it can be the response to no earlier one.
    """

    def __init__(
        self, head: ResponseHead, connection: _Connection, client: HttpClient
    ) -> None:
        self.status = head.status
        self.headers = head.headers
        self.is_first = connection.n_requests == 1
        self._connection: _Connection | None = connection
        self._client = client

    @property
    def ends_with_connection(self) -> bool:
        """Whether the body has neither a length nor chunks; its end is unsure then."""
        framing = ("content-length", "transfer-encoding")
        return not any(name in self.headers for name in framing)

    def set_stall_timeout(self, stall_s: float) -> None:
        """Set the stall timeout of the body: seconds without received data."""
        if self._connection is not None:
            self._connection.stall_s = stall_s

    def set_pacer(self, pacer: ReadPacer) -> None:
        """Read the rest of the body together with others, at intervals.

        For bodies that nobody reads along: the end of this one is seen up to an
        interval late.
        """
        if self._connection is not None:
            self._connection.pacer = pacer

    async def chunks(self) -> AsyncGenerator[bytes, None]:
        """Yield the body in chunks as they arrive.

        Raises
        ------
        BrokenResponseError
            When the connection closes or stalls before the end of the body.
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
        self._client.release(connection)

    async def read(self, max_bytes: int = DEFAULT_MAX_BODY_BYTES) -> bytes:
        """Return the complete body.

        Raises
        ------
        BrokenResponseError
            When the connection closes or stalls before the end of the body, or the body
            has more than ``max_bytes``.
        """
        chunks = []
        n_left = max_bytes
        async for chunk in self.chunks():
            n_left -= len(chunk)
            if n_left < 0:
                self.close()
                raise BrokenResponseError("the body is too large")
            chunks.append(chunk)
        return b"".join(chunks)

    def close(self) -> None:
        """Abort the connection unless the body has been read to its end."""
        if self._connection is not None:
            self._connection.abort()
            self._connection = None


class _Connection:
    """A client connection, used for one request at a time."""

    def __init__(
        self,
        address: Address,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self.address = address
        self.n_requests = 0
        self.idle_since_s = 0.0
        self.keep_alive_timeout_s = math.inf
        self._reader = reader
        self._writer = writer
        self._protocol = h11.Connection(h11.CLIENT)
        self.stall_s = DEFAULT_STALL_TIMEOUT_S
        self.pacer: ReadPacer | None = None

    async def exchange(
        self,
        method: str,
        target: str,
        headers: Mapping[str, str],
        body: bytes,
        stall_s: float,
    ) -> ResponseHead:
        """Send a request and return the status and headers of the response."""
        self.stall_s = stall_s
        self.pacer = None
        self.n_requests += 1
        request_headers = {
            "Host": str(self.address),
            "Content-Length": str(len(body)),
            **headers,
        }
        request = h11.Request(
            method=method, target=target, headers=list(request_headers.items())
        )
        send = self._protocol.send
        parts = (request, h11.Data(data=body), h11.EndOfMessage())
        self._writer.write(b"".join(send(part) or b"" for part in parts))
        try:
            async with asyncio.timeout(stall_s):
                await self._writer.drain()
        except (OSError, TimeoutError) as error:
            raise BrokenResponseError(f"{self.address}: {error!r}") from None
        try:
            async with asyncio.timeout(stall_s):
                return await self._read_head()
        except TimeoutError:
            detail = f"{self.address}: no complete head in {stall_s:.3f} s"
            raise StalledResponseError(detail) from None

    async def read_body(self) -> bytes | None:
        """Return the next chunk of the body, or None at its end."""
        while True:
            event = await self._next_event()
            if isinstance(event, h11.Data):
                return bytes(event.data)
            if isinstance(event, h11.EndOfMessage):
                return None

    def prepare_for_reuse(self) -> bool:
        """Prepare for the next request; return whether the connection is reusable."""
        if self._protocol.our_state is not h11.DONE:
            return False
        if self._protocol.their_state is not h11.DONE:
            return False
        self._protocol.start_next_cycle()
        return True

    def is_reusable(self) -> bool:
        """Return whether the connection is open and no unread bytes wait on it."""
        if self._reader.at_eof() or self._writer.is_closing():
            return False
        # Bytes after a complete response belong to no request.
        return not (
            self._protocol.trailing_data[0]
            or self._has_unread_data()
            or has_waiting_bytes(self._writer)
        )

    def _has_unread_data(self) -> bool:
        # StreamReader has no public way to look at its buffer.
        return bool(getattr(self._reader, "_buffer", b""))

    def abort(self) -> None:
        """Close the connection at once, without flushing unsent data."""
        self._writer.transport.abort()

    async def _read_head(self) -> ResponseHead:
        for _ in range(1 + MAX_INTERIM_HEADS):
            event = await self._next_event()
            if isinstance(event, h11.Response):
                headers = {
                    name.decode("ascii"): value.decode("latin-1")
                    for name, value in event.headers
                }
                self._apply_keep_alive_timeout(headers.get("keep-alive", ""))
                return ResponseHead(event.status_code, headers)
        raise BrokenResponseError(f"{self.address}: too many interim heads")

    def _apply_keep_alive_timeout(self, text: str) -> None:
        """Limit reuse to a fraction of the peer's announced keep-alive timeout.

        Otherwise the peer might close the connection while a request is being sent.
        """
        for part in text.split(","):
            name, _, value = part.strip().partition("=")
            if name == "timeout" and value.isdigit():
                self.keep_alive_timeout_s = KEEP_ALIVE_TIMEOUT_FRACTION * int(value)

    async def _pause_reading(self, pacer: ReadPacer) -> None:
        """Leave what arrives to the kernel until the next reads of the pacer."""
        transport = cast(asyncio.Transport, self._writer.transport)
        transport.pause_reading()
        try:
            await pacer.wait()
        finally:
            transport.resume_reading()

    async def _next_event(self) -> h11.Event:
        try:
            while (event := self._protocol.next_event()) is h11.NEED_DATA:
                if self.pacer is not None:
                    await self._pause_reading(self.pacer)
                async with asyncio.timeout(self.stall_s):
                    data = await self._reader.read(READ_BYTES)
                self._protocol.receive_data(data)
        except TimeoutError:
            detail = f"{self.address}: no data received for {self.stall_s:.3f} s"
            raise StalledResponseError(detail) from None
        except (OSError, h11.RemoteProtocolError) as error:
            raise BrokenResponseError(f"{self.address}: {error!r}") from None
        if isinstance(event, h11.ConnectionClosed) or event is h11.PAUSED:
            raise BrokenResponseError(f"{self.address}: closed before end of response")
        assert isinstance(event, h11.Event)
        return event
