"""One accepted connection of the HTTP server."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable
from typing import TypeAlias

import h11

from damaskjunction.core import RequestError
from damaskjunction.http.client_end import ClientEnd
from damaskjunction.http.client_guard import ClientGuard
from damaskjunction.http.messages import (
    HttpError,
    HttpLimits,
    Request,
    Response,
    error_response,
    request_error_response,
)
from damaskjunction.http.protocol import prepare_for_reuse
from damaskjunction.http.read_ahead import AheadReader
from damaskjunction.http.request_reader import RequestReader
from damaskjunction.http.response_writer import ResponseWriter

RequestHandler: TypeAlias = Callable[[Request], Awaitable[Response]]

logger = logging.getLogger(__name__)


class ServerConnection:
    """An accepted connection, which serves one request after the other.

    ``n_served`` is the number of requests that have begun.
    """

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        handle: RequestHandler,
        limits: HttpLimits,
        guard: ClientGuard | None = None,
    ) -> None:
        now = asyncio.get_running_loop().time
        guard = guard or ClientGuard(now)
        self._writer = writer
        self._handle = handle
        self._limits = limits
        self._client = ClientEnd(writer, guard, now)
        self._protocol = h11.Connection(
            h11.SERVER, max_incomplete_event_size=limits.header_bytes
        )
        ahead_reader = AheadReader(reader, writer, guard.memory)
        self._responses = ResponseWriter(
            writer,
            ahead_reader,
            self._protocol,
            self._client,
            stall_timeout_s=limits.write_stall_timeout_s,
            memory=guard.memory,
        )
        self._requests = RequestReader(
            ahead_reader,
            self._protocol,
            self._client,
            limits=limits,
            guard=guard,
            send_continue=self._responses.send_continue,
        )
        self.n_served = 0
        self.is_keep_alive_disabled = False

    @property
    def waits_since_s(self) -> float | None:
        """Since when it waits for its client to send or read, None if it does not."""
        return self._client.waits_since_s

    def begin_close(self) -> None:
        """Take at most one more request, whose first bytes come soon."""
        self.is_keep_alive_disabled = True
        self._requests.begin_close()

    def evict(self) -> None:
        """Close the connection at once: another one needs its room."""
        self._client.report("too many connections")
        self._writer.transport.abort()

    async def close(self) -> None:
        """Close the connection; what was written has a bounded time to be read."""
        self._client.begin_wait()
        transport = self._writer.transport
        try:
            if not self._client.is_dropped:
                await self._discard_body()
                self._writer.close()
                if transport.get_write_buffer_size():
                    async with asyncio.timeout(self._limits.write_stall_timeout_s):
                        await self._writer.wait_closed()
        except (OSError, TimeoutError) as error:
            self._log_unread(error)
        finally:
            if self._client.is_dropped or transport.get_write_buffer_size():
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
            await self._requests.discard()
        except TimeoutError as error:
            self._log_unread(error)

    def _log_unread(self, error: Exception) -> None:
        """Log that a client may not have read the end of its last answer."""
        extra = {"peer": self._client.name, "error": repr(error)}
        logger.debug("connection closed before its client had read all", extra=extra)

    async def serve_request(self) -> bool:
        """Serve one request; return whether the connection can serve another."""
        try:
            head = await self._requests.read_head()
        except h11.RemoteProtocolError as error:
            await self._responses.send_error(
                HttpError(error.error_status_hint, "bad_request")
            )
            return False
        if head is None:
            return False
        self.n_served += 1
        try:
            if not await self._answer(head):
                return False
        finally:
            self._requests.release_body()
        return prepare_for_reuse(self._protocol)

    async def _answer(self, head: h11.Request) -> bool:
        """Answer a request; return False if the client has gone before."""
        response = await self._respond(head)
        if response is None:
            return False
        try:
            await self._responses.send(
                head, response, is_last=self.is_keep_alive_disabled
            )
        finally:
            await _close_body(response)
        return True

    async def _respond(self, head: h11.Request) -> Response | None:
        """Run the handler; return None if the client disconnects meanwhile."""
        try:
            request = self._requests.to_request(head)
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
        """Cancel the handler if the client disconnects before the response."""
        await self._requests.wait_for_disconnect()
        handler.cancel()


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
