"""One accepted connection of the HTTP server."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import TypeAlias
from urllib.parse import parse_qsl, urlsplit

import h11

from damaskjunction.core import RequestError
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

RequestHandler: TypeAlias = Callable[[Request], Awaitable[Response]]

LINGER_S = 0.2  # in which a connection that is to close still takes a request
READ_BYTES = 64 * 1024
WRITE_HIGH_WATER_BYTES = 32 * 1024

logger = logging.getLogger(__name__)


class ServerConnection:
    """An accepted connection, which serves one request after the other."""

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        handle: RequestHandler,
        limits: HttpLimits,
    ) -> None:
        self._reader = reader
        self._writer = writer
        self._handle = handle
        self._limits = limits
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
        if self._idle_timeout is not None:
            self._idle_timeout.reschedule(asyncio.get_running_loop().time() + LINGER_S)

    async def serve_request(self) -> bool:
        """Serve one request; return whether the connection can serve another."""
        try:
            head = await self._read_head()
        except h11.RemoteProtocolError as error:
            await self._send_error(HttpError(error.error_status_hint, "bad_request"))
            return False
        if head is None:
            return False
        self._body_consumed.clear()
        self._consume_empty_body(head)
        response = await self._respond(head)
        if response is None:
            return False
        try:
            await self._send(head, response)
        finally:
            await _close_body(response)
        return prepare_for_reuse(self._protocol)

    async def _read_head(self) -> h11.Request | None:
        is_idle = True
        while True:
            event = self._protocol.next_event()
            if isinstance(event, h11.Request):
                return event
            if event is not h11.NEED_DATA:
                return None
            data = await (self._read_when_idle() if is_idle else self._read_more())
            is_idle = False
            self._protocol.receive_data(data)

    async def _read_when_idle(self) -> bytes:
        """Read the first bytes of a request; raise when none come in time."""
        timeout_s = LINGER_S if self._is_closing else self._limits.keep_alive_timeout_s
        try:
            async with asyncio.timeout(timeout_s) as self._idle_timeout:
                return await self._reader.read(READ_BYTES)
        finally:
            self._idle_timeout = None

    async def _read_more(self) -> bytes:
        async with asyncio.timeout(self._limits.header_timeout_s):
            return await self._reader.read(READ_BYTES)

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
        try:
            data = await self._reader.read(READ_BYTES)
        except OSError:
            data = b""  # a reset is an end, too
        self._protocol.receive_data(data)
        if not data:
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
        body = BodyReader(self._body_chunks(), self._limits.body_bytes)
        query = dict(parse_qsl(query_text, keep_blank_values=True))
        method = head.method.decode("ascii")
        return Request(method, path, query, headers, body, target)

    async def _body_chunks(self) -> AsyncIterator[bytes]:
        if self._protocol.they_are_waiting_for_100_continue:
            await self._write(
                h11.InformationalResponse(status_code=100, headers=[], reason=b"")
            )
        while not self._body_consumed.is_set():
            event = self._protocol.next_event()
            if isinstance(event, h11.Data):
                yield bytes(event.data)
            elif event is h11.NEED_DATA:
                async with asyncio.timeout(self._limits.body_stall_timeout_s):
                    data = await self._reader.read(READ_BYTES)
                self._protocol.receive_data(data)
            else:
                self._body_consumed.set()

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
        watcher = asyncio.ensure_future(self._reader.read(READ_BYTES))
        try:
            await asyncio.wait((sender, watcher), return_when=asyncio.FIRST_COMPLETED)
            if watcher.done():
                # Also bytes that came as the stream ended belong to the next request.
                self._protocol.receive_data(watcher.result())
                if not (watcher.result() or sender.done()):
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
        self._writer.write(data)
        if self._writer.transport.get_write_buffer_size() <= WRITE_HIGH_WATER_BYTES:
            return
        async with asyncio.timeout(self._limits.write_stall_timeout_s):
            await self._writer.drain()


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
