"""What an accepted connection receives: heads and bodies of requests."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import TypeAlias
from urllib.parse import parse_qsl, urlsplit

import h11

from damaskjunction.core.units import KIB
from damaskjunction.http.client_end import ClientEnd
from damaskjunction.http.client_guard import ClientGuard
from damaskjunction.http.client_memory import Holding
from damaskjunction.http.messages import BodyReader, HttpError, HttpLimits, Request
from damaskjunction.http.protocol import decode_headers
from damaskjunction.http.read_ahead import FULL_BYTES, AheadReader

ProtocolEvent: TypeAlias = h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]

LINGER_S = 0.2  # in which a connection that is to close still takes a request
READ_BYTES = 64 * KIB
READ_HEAD_BYTES = 16 * KIB
SMALL_HEAD_BYTES = 2 * KIB  # larger parts are parsed one in each turn of the loop
MAX_CHUNKS_AT_ONCE = 64  # handling so many takes about as long as a request
DISCARD_S = 1.0  # in which the rest of a refused body is read and dropped


class RequestReader:
    """Reads the requests of a connection, one after the other.

    ``has_read_body`` is set once the body of the present request has been read.

    Parameters
    ----------
    reader : AheadReader
        What arrives.
    protocol : h11.Connection
        The state of the connection.
    client : ClientEnd
        The client that is waited for.
    limits : HttpLimits
        Limits on heads, bodies and idle times.
    guard : ClientGuard
        Bounds on all clients of the process.
    send_continue : callable
        Asks the client to send its body.
    """

    def __init__(
        self,
        reader: AheadReader,
        protocol: h11.Connection,
        client: ClientEnd,
        *,
        limits: HttpLimits,
        guard: ClientGuard,
        send_continue: Callable[[], Awaitable[None]],
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self._reader = reader
        self._protocol = protocol
        self._client = client
        self._limits = limits
        self._memory = guard.memory
        self._turns = guard.turns
        self._send_continue = send_continue
        self.has_read_body = asyncio.Event()
        self._body: Holding | None = None
        self._body_timeout: asyncio.Timeout | None = None
        self._idle_timeout: asyncio.Timeout | None = None
        self._is_closing = False

    def begin_close(self) -> None:
        """Give the first bytes of a further request ``LINGER_S`` to come."""
        self._is_closing = True
        if self._idle_timeout is not None and not self._idle_timeout.expired():
            self._idle_timeout.reschedule(self._loop.time() + LINGER_S)

    async def read_head(self) -> h11.Request | None:
        """Return the head of the next request, None at the end of the connection."""
        if self._protocol.trailing_data[0]:
            await self._turns.wait()
        event = self._protocol.next_event()
        if event is h11.NEED_DATA:
            self._client.begin_wait()
            await self._receive_head(await self._read_when_idle())
            event = self._protocol.next_event()
            if event is h11.NEED_DATA:
                event = await self._read_rest_of_head()
        self._client.end_wait()
        if not isinstance(event, h11.Request):
            return None
        self.has_read_body.clear()
        self._consume_empty_body(event)
        return event

    def to_request(self, head: h11.Request) -> Request:
        """Return the request that a head begins.

        Raises
        ------
        HttpError
            With status 400 or 431, when the head is malformed or too large.
        """
        if len(head.headers) > self._limits.n_headers:
            detail = f"at most {self._limits.n_headers} headers are allowed"
            raise HttpError(431, "too_many_headers", detail)
        size = sum(len(name) + len(value) for name, value in head.headers)
        if size + len(head.target) > self._limits.header_bytes:
            detail = f"at most {self._limits.header_bytes} header bytes are allowed"
            raise HttpError(431, "head_too_large", detail)
        target = head.target.decode("ascii")
        path, query_text = _split_target(target)
        headers = decode_headers(head.headers)
        body = BodyReader(self._body_chunks(), self._limits.body_bytes, self._keep_body)
        query = dict(parse_qsl(query_text, keep_blank_values=True))
        method = head.method.decode("ascii")
        return Request(method, path, query, headers, body, target)

    async def wait_for_disconnect(self) -> None:
        """Return when the client has closed the connection, after the body if any."""
        await self.has_read_body.wait()
        await self._reader.wait_for_disconnect()

    def release_body(self) -> None:
        """Count the body no more."""
        if self._body is not None:
            self._body.close()
            self._body = None

    async def discard(self) -> None:
        """Drop what arrives for ``DISCARD_S`` or until the client closes.

        Raises
        ------
        TimeoutError
            When the client goes on.
        """
        async with asyncio.timeout(DISCARD_S):
            while await self._reader.read(READ_BYTES):
                pass

    async def _read_rest_of_head(self) -> ProtocolEvent:
        holding = self._memory.open(lambda: self._client.drop("slow head"))
        holding.resize(READ_HEAD_BYTES)
        event: ProtocolEvent = h11.NEED_DATA
        try:
            async with asyncio.timeout(self._limits.header_timeout_s):
                while event is h11.NEED_DATA:
                    await self._receive_head(await self._reader.read(READ_HEAD_BYTES))
                    event = self._protocol.next_event()
        finally:
            holding.close()
        return event

    async def _receive_head(self, data: bytes) -> None:
        """Give a part of a head to the parser, a large one when it has its turn."""
        if len(data) > SMALL_HEAD_BYTES:
            await self._turns.wait()
        self._protocol.receive_data(data)

    async def _read_when_idle(self) -> bytes:
        """Read the first bytes of a request; raise when none come in time."""
        timeout_s = LINGER_S if self._is_closing else self._limits.keep_alive_timeout_s
        try:
            async with asyncio.timeout(timeout_s) as self._idle_timeout:
                return await self._reader.read(READ_HEAD_BYTES)
        finally:
            self._idle_timeout = None

    def _consume_empty_body(self, head: h11.Request) -> None:
        """Consume the end of a request without a body.

        From then on, ``wait_for_disconnect`` detects that the client disconnects.
        """
        names = {name for name, _ in head.headers}
        if names.isdisjoint((b"content-length", b"transfer-encoding")):
            self._protocol.next_event()
            self.has_read_body.set()

    async def _body_chunks(self) -> AsyncIterator[bytes]:
        if self._protocol.they_are_waiting_for_100_continue:
            await self._send_continue()
        began_at_s, n_received, n_at_once = self._loop.time(), 0, 0
        while not self.has_read_body.is_set():
            chunks, event = self._take_chunks(MAX_CHUNKS_AT_ONCE - n_at_once)
            n_at_once += len(chunks)
            if chunks:
                part = b"".join(chunks)
                n_received += len(part)
                yield part
            if isinstance(event, h11.Data):
                await self._wait_for_turn()
                n_at_once = 0
            elif event is h11.NEED_DATA:
                ends_at_s = began_at_s + self._limits.body_timeout_s(n_received)
                self._protocol.receive_data(await self._read_body(ends_at_s))
            else:
                self.has_read_body.set()

    def _take_chunks(self, max_chunks: int) -> tuple[list[bytes], ProtocolEvent]:
        """Return the next chunks that have arrived, and the last event.

        That is data only if ``max_chunks`` have been taken.
        """
        chunks: list[bytes] = []
        event: ProtocolEvent = h11.NEED_DATA
        while len(chunks) < max_chunks:
            event = self._next_body_event()
            if not isinstance(event, h11.Data):
                break
            chunks.append(bytes(event.data))
        return chunks, event

    def _next_body_event(self) -> ProtocolEvent:
        try:
            return self._protocol.next_event()
        except h11.RemoteProtocolError as error:
            raise HttpError(400, "bad_request", str(error)) from None

    async def _wait_for_turn(self) -> None:
        """Let others go on before the rest of what has arrived is handled.

        What waits there counts as well.

        Raises
        ------
        HttpError
            With status 503 when there is no room for it, or the body is dropped.
        """
        body = self._open_body()
        self._request_room(body, body.n_bytes + FULL_BYTES)
        try:
            await self._turns.wait()
        finally:
            body.resize(max(body.n_bytes - FULL_BYTES, 0))

    async def _read_body(self, ends_at_s: float) -> bytes:
        """Read a part of a body.

        Raises
        ------
        HttpError
            With status 408 when none comes in time, or 503 when the body is dropped.
        """
        until_s = min(self._loop.time() + self._limits.body_stall_timeout_s, ends_at_s)
        try:
            with self._client.waiting():
                async with asyncio.timeout_at(until_s) as self._body_timeout:
                    return await self._reader.read(READ_BYTES)
        except TimeoutError:
            if self._body is not None:
                self._body.check()
            self._client.report("slow body")
            raise HttpError(408, "body_timeout", "the body came too slowly") from None
        finally:
            self._body_timeout = None

    def _keep_body(self, n_bytes: int, is_whole: bool) -> None:
        """Count the bytes of the body that are kept; raise when there is no room."""
        if not n_bytes:
            return
        body = self._open_body()
        self._request_room(body, n_bytes)
        if is_whole:
            body.fix()

    def _open_body(self) -> Holding:
        """Return what counts the present body."""
        if self._body is None:
            self._body = self._memory.open(self._drop_body)
        return self._body

    def _request_room(self, body: Holding, n_bytes: int) -> None:
        try:
            body.request(n_bytes)
        except HttpError:
            self._client.report("no room for a body")
            raise

    def _drop_body(self) -> None:
        if self._body_timeout is not None and not self._body_timeout.expired():
            self._body_timeout.reschedule(self._loop.time())


def _split_target(target: str) -> tuple[str, str]:
    """Return the path and the query of a request target.

    A target that begins with a slash is a path, also with two of them, where a URL
    would have the name of a server.

    Raises
    ------
    HttpError
        With status 400, when the target is malformed.
    """
    try:
        parts = urlsplit(target)
    except ValueError as error:
        raise HttpError(400, "bad_request", f"malformed target: {error}") from None
    if not target.startswith("/"):
        return parts.path, parts.query
    path, _, query = target.partition("?")
    return path, query
