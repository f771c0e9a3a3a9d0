"""One accepted connection of the HTTP server."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import TypeAlias
from urllib.parse import parse_qsl, urlsplit

import h11

from damaskjunction.core import RequestError
from damaskjunction.core.units import KIB
from damaskjunction.http.client_guard import ClientGuard
from damaskjunction.http.client_memory import SMALL_BYTES, Holding
from damaskjunction.http.messages import (
    JSON_TYPE,
    BodyReader,
    HttpError,
    HttpLimits,
    Request,
    Response,
    error_response,
    request_error_response,
)
from damaskjunction.http.protocol import (
    decode_headers,
    encode_headers,
    prepare_for_reuse,
)
from damaskjunction.http.read_ahead import FULL_BYTES, AheadReader

RequestHandler: TypeAlias = Callable[[Request], Awaitable[Response]]
ProtocolEvent: TypeAlias = h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]

LINGER_S = 0.2  # in which a connection that is to close still takes a request
READ_BYTES = 64 * KIB
READ_HEAD_BYTES = 16 * KIB
WRITE_HIGH_WATER_BYTES = 32 * KIB
WRITE_BYTES = 64 * KIB
DISCARD_S = 1.0  # in which the rest of a refused body is read and dropped

logger = logging.getLogger(__name__)


class ServerConnection:
    """An accepted connection, which serves one request after the other.

    ``waits_since_s`` is since when it waits for its client to send or to read, None
    while it does not. ``n_served`` is the number of requests that have begun.
    """

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        handle: RequestHandler,
        limits: HttpLimits,
        guard: ClientGuard | None = None,
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self._guard = guard or ClientGuard(self._loop.time)
        self._reader = AheadReader(reader, writer, self._guard.memory)
        self._writer = writer
        self._handle = handle
        self._limits = limits
        self.waits_since_s: float | None = self._loop.time()
        self.n_served = 0
        self._is_stalled = False
        self._body: Holding | None = None
        self._body_timeout: asyncio.Timeout | None = None
        self._protocol = h11.Connection(
            h11.SERVER, max_incomplete_event_size=limits.header_bytes
        )
        self.is_keep_alive_disabled = False
        self._body_consumed = asyncio.Event()
        self._is_closing = False
        self._idle_timeout: asyncio.Timeout | None = None

    def begin_close(self) -> None:
        """Take at most one more request; its first bytes have ``LINGER_S`` to come."""
        self.is_keep_alive_disabled = self._is_closing = True
        if self._idle_timeout is not None and not self._idle_timeout.expired():
            self._idle_timeout.reschedule(self._loop.time() + LINGER_S)

    def evict(self) -> None:
        """Close the connection at once: another one needs its room."""
        self._guard.report(self._peer(), "too many connections")
        self._writer.transport.abort()

    async def close(self) -> None:
        """Close the connection; what was written has a bounded time to be read."""
        self.waits_since_s = self._loop.time()
        transport = self._writer.transport
        try:
            if not self._is_stalled:
                await self._discard_body()
                self._writer.close()
                if transport.get_write_buffer_size():
                    async with asyncio.timeout(self._limits.write_stall_timeout_s):
                        await self._writer.wait_closed()
        except (OSError, TimeoutError) as error:
            self._log_unread(error)
        finally:
            if self._is_stalled or transport.get_write_buffer_size():
                transport.abort()
            self._writer.close()

    async def _discard_body(self) -> None:
        """Drop the rest of a body, which would reset the connection if left unread.

        The client would not get the response then.
        """
        states = (self._protocol.their_state, self._protocol.our_state)
        if states[0] is not h11.SEND_BODY or states[1] is h11.SEND_RESPONSE:
            return
        if self._writer.is_closing() or not self._writer.can_write_eof():
            return
        self._writer.write_eof()
        try:
            async with asyncio.timeout(DISCARD_S):
                while await self._reader.read(READ_BYTES):
                    pass
        except TimeoutError as error:
            self._log_unread(error)

    def _log_unread(self, error: Exception) -> None:
        """Log that a client may not have read the end of its last answer."""
        extra = {"peer": self._peer(), "error": repr(error)}
        logger.debug("connection closed before its client had read all", extra=extra)

    def _peer(self) -> str:
        name = self._writer.get_extra_info("peername")
        return f"{name[0]}:{name[1]}" if name else ""

    def _drop(self, reason: str) -> None:
        self._guard.report(self._peer(), reason)
        self._is_stalled = True
        self._writer.transport.abort()

    async def serve_request(self) -> bool:
        """Serve one request; return whether the connection can serve another."""
        try:
            head = await self._read_head()
        except h11.RemoteProtocolError as error:
            await self._send_error(HttpError(error.error_status_hint, "bad_request"))
            return False
        if head is None:
            return False
        self.n_served += 1
        self._body_consumed.clear()
        self._consume_empty_body(head)
        try:
            if not await self._answer(head):
                return False
        finally:
            self._release_body()
        return prepare_for_reuse(self._protocol)

    async def _answer(self, head: h11.Request) -> bool:
        """Answer a request; return False if the peer has gone before."""
        response = await self._respond(head)
        if response is None:
            return False
        try:
            await self._send(head, response)
        finally:
            await _close_body(response)
        return True

    async def _read_head(self) -> h11.Request | None:
        event = self._protocol.next_event()
        if event is h11.NEED_DATA:
            self.waits_since_s = self._loop.time()
            self._protocol.receive_data(await self._read_when_idle())
            event = self._protocol.next_event()
            if event is h11.NEED_DATA:
                event = await self._read_rest_of_head()
        self.waits_since_s = None
        return event if isinstance(event, h11.Request) else None

    async def _read_rest_of_head(self) -> ProtocolEvent:
        holding = self._guard.memory.open(lambda: self._drop("slow head"))
        holding.resize(READ_HEAD_BYTES)
        event: ProtocolEvent = h11.NEED_DATA
        try:
            async with asyncio.timeout(self._limits.header_timeout_s):
                while event is h11.NEED_DATA:
                    data = await self._reader.read(READ_HEAD_BYTES)
                    self._protocol.receive_data(data)
                    event = self._protocol.next_event()
        finally:
            holding.close()
        return event

    async def _read_when_idle(self) -> bytes:
        """Read the first bytes of a request; raise when none come in time."""
        timeout_s = LINGER_S if self._is_closing else self._limits.keep_alive_timeout_s
        try:
            async with asyncio.timeout(timeout_s) as self._idle_timeout:
                return await self._reader.read(READ_HEAD_BYTES)
        finally:
            self._idle_timeout = None

    async def _respond(self, head: h11.Request) -> Response | None:
        """Run the handler; return None if the peer disconnects meanwhile."""
        try:
            request = self._to_request(head)
        except HttpError as error:
            return error_response(error)
        handler = asyncio.ensure_future(self._run_handler(request))
        watcher = asyncio.ensure_future(self._cancel_on_disconnect(handler))
        try:
            return await handler
        except asyncio.CancelledError:
            await _cancel_handler(handler)
            if watcher.done() and not watcher.cancelled():
                return None
            raise
        finally:
            watcher.cancel()
            await asyncio.gather(watcher, return_exceptions=True)

    async def _run_handler(self, request: Request) -> Response:
        try:
            return await self._handle(request)
        except HttpError as error:
            return error_response(error)
        except RequestError as error:
            return request_error_response(error)
        except (OSError, TimeoutError):
            raise
        except Exception:
            logger.exception(
                "unhandled exception in request handler", extra={"path": request.path}
            )
            return error_response(HttpError(500, "internal_error"))

    async def _cancel_on_disconnect(self, handler: asyncio.Future[Response]) -> None:
        """Cancel the handler if the peer disconnects before the response."""
        await self._body_consumed.wait()
        await self._reader.wait_for_disconnect()
        handler.cancel()

    def _to_request(self, head: h11.Request) -> Request:
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

    async def _body_chunks(self) -> AsyncIterator[bytes]:
        if self._protocol.they_are_waiting_for_100_continue:
            await self._write(
                h11.InformationalResponse(status_code=100, headers=[], reason=b"")
            )
        began_at_s, n_received = self._loop.time(), 0
        while not self._body_consumed.is_set():
            event = self._next_body_event()
            if isinstance(event, h11.Data):
                n_received += len(event.data)
                yield bytes(event.data)
            elif event is h11.NEED_DATA:
                ends_at_s = began_at_s + self._limits.body_timeout_s(n_received)
                self._protocol.receive_data(await self._read_body(ends_at_s))
            else:
                self._body_consumed.set()

    def _next_body_event(self) -> ProtocolEvent:
        try:
            return self._protocol.next_event()
        except h11.RemoteProtocolError as error:
            raise HttpError(400, "bad_request", str(error)) from None

    async def _read_body(self, ends_at_s: float) -> bytes:
        """Read a part of a body.

        Raises
        ------
        HttpError
            With status 408 when none comes in time, or 503 when the body is dropped.
        """
        self.waits_since_s = now_s = self._loop.time()
        until_s = min(now_s + self._limits.body_stall_timeout_s, ends_at_s)
        try:
            async with asyncio.timeout_at(until_s) as self._body_timeout:
                return await self._reader.read(READ_BYTES)
        except TimeoutError:
            if self._body is not None:
                self._body.check()
            self._guard.report(self._peer(), "slow body")
            raise HttpError(408, "body_timeout", "the body came too slowly") from None
        finally:
            self.waits_since_s = self._body_timeout = None

    def _keep_body(self, n_bytes: int, is_whole: bool) -> None:
        """Count the bytes of the body that are kept; raise when there is no room."""
        if n_bytes <= SMALL_BYTES:
            return
        if self._body is None:
            self._body = self._guard.memory.open(self._drop_body)
        try:
            self._body.request(n_bytes)
        except HttpError:
            self._guard.report(self._peer(), "no room for a body")
            raise
        if is_whole:
            self._body.fix()

    def _drop_body(self) -> None:
        if self._body_timeout is not None and not self._body_timeout.expired():
            self._body_timeout.reschedule(self._loop.time())

    def _release_body(self) -> None:
        if self._body is not None:
            self._body.close()
            self._body = None

    def _consume_empty_body(self, head: h11.Request) -> None:
        """Consume the end of a request without a body.

        From then on, ``_cancel_on_disconnect`` detects that the peer disconnects.
        """
        names = {name for name, _ in head.headers}
        if names.isdisjoint((b"content-length", b"transfer-encoding")):
            self._protocol.next_event()
            self._body_consumed.set()

    async def _send(self, head: h11.Request, response: Response) -> None:
        has_known_length = isinstance(response.body, bytes)
        headers = encode_headers(response.headers)
        if response.content_type is not None:
            headers.insert(0, (b"Content-Type", response.content_type.encode()))
        if isinstance(response.body, bytes):
            headers.append((b"Content-Length", b"%d" % len(response.body)))
        if self.is_keep_alive_disabled or self._protocol.their_state is not h11.DONE:
            headers.append((b"Connection", b"close"))
        await self._write(
            h11.Response(status_code=response.status, headers=headers, reason=b"")
        )
        if has_known_length:
            assert isinstance(response.body, bytes)
            if head.method != b"HEAD":
                await self._write(h11.Data(data=response.body))
        else:
            assert not isinstance(response.body, bytes)
            await self._send_stream(response.body)
        await self._write(h11.EndOfMessage())

    async def _send_stream(self, chunks: AsyncIterator[bytes]) -> None:
        """Stream chunks to the peer; raise when it disconnects."""
        sender = asyncio.ensure_future(self._send_chunks(chunks))
        watcher = asyncio.ensure_future(self._reader.wait_for_disconnect())
        try:
            await asyncio.wait((sender, watcher), return_when=asyncio.FIRST_COMPLETED)
            if not sender.done():
                raise ConnectionResetError("the peer closed the connection")
            await sender
        finally:
            sender.cancel()
            watcher.cancel()
            await asyncio.gather(sender, watcher, return_exceptions=True)

    async def _send_chunks(self, chunks: AsyncIterator[bytes]) -> None:
        async for chunk in chunks:
            await self._write(h11.Data(data=chunk))

    async def _send_error(self, error: HttpError) -> None:
        if self._protocol.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        response = error_response(error)
        assert isinstance(response.body, bytes)
        headers = [
            ("Content-Type", JSON_TYPE),
            ("Content-Length", str(len(response.body))),
            ("Connection", "close"),
        ]
        await self._write(
            h11.Response(status_code=response.status, headers=headers, reason=b"")
        )
        await self._write(h11.Data(data=response.body))
        await self._write(h11.EndOfMessage())

    async def _write(self, event: h11.Event) -> None:
        """Send an event; apply backpressure only when the write buffer is large."""
        data = self._protocol.send(event)
        if not data:
            return
        if len(data) <= WRITE_BYTES:
            self._writer.write(data)
            await self._wait_while_full(len(data))
            return
        view = memoryview(data)
        for begin in range(0, len(data), WRITE_BYTES):
            self._writer.write(view[begin : begin + WRITE_BYTES])
            await self._wait_while_full(len(data))

    async def _wait_while_full(self, n_held: int) -> None:
        n_buffered = self._writer.transport.get_write_buffer_size()
        if n_buffered > WRITE_HIGH_WATER_BYTES:
            await self._wait_until_read(FULL_BYTES + n_held)

    async def _wait_until_read(self, n_held: int) -> None:
        """Wait until the client has read most of what was written.

        Raises
        ------
        TimeoutError
            When it does not, for the time that the limits give it.
        """
        holding = self._guard.memory.open(lambda: self._drop("unread answers"))
        holding.resize(n_held)
        self.waits_since_s = self._loop.time()
        try:
            async with asyncio.timeout(self._limits.write_stall_timeout_s):
                await self._writer.drain()
        except TimeoutError:
            self._is_stalled = True
            self._guard.report(self._peer(), "unread answers")
            raise
        finally:
            self.waits_since_s = None
            holding.close()


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


async def _cancel_handler(handler: asyncio.Future[Response]) -> None:
    """Cancel a handler; close the response of one that has already finished."""
    handler.cancel()
    if handler.done() and not handler.cancelled() and handler.exception() is None:
        await _close_body(handler.result())


async def _close_body(response: Response) -> None:
    """Close a streamed body, which may not have been read to its end."""
    close = getattr(response.body, "aclose", None)
    if close is not None:
        await close()
