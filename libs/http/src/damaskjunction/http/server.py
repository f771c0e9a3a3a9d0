"""HTTP/1.1 server on h11 and asyncio streams."""

from __future__ import annotations

import asyncio
import logging
import ssl

import h11

from damaskjunction.core import Address
from damaskjunction.core.units import KIB
from damaskjunction.http.client_guard import ClientGuard
from damaskjunction.http.messages import HttpLimits
from damaskjunction.http.response_writer import WRITE_HIGH_WATER_BYTES
from damaskjunction.http.server_connection import RequestHandler, ServerConnection
from damaskjunction.http.sockets import bound_receive_buffer, open_listener

STREAM_LIMIT_BYTES = 16 * KIB
BACKLOG = 1024
N_ACCEPTED_AT_ONCE = 32
# Of the loop, to accept what the kernel has connected.
N_ACCEPT_PASSES = 1 + BACKLOG // N_ACCEPTED_AT_ONCE

logger = logging.getLogger(__name__)


class HttpServer:
    """A server that passes every request to one handler.

    Parameters
    ----------
    address : Address
        Address to listen on.
    handle : callable
        Coroutine function that returns the response to a request. An ``HttpError`` or
        ``RequestError`` that it raises is returned as an error response.
    limits : HttpLimits, optional
        Limits on connections, headers, bodies and idle times.
    tls : ssl.SSLContext, optional
        TLS context; without one, the server speaks plain HTTP.
    guard : ClientGuard, optional
        Bounds that all servers of the process share.
    """

    def __init__(
        self,
        address: Address,
        handle: RequestHandler,
        *,
        limits: HttpLimits | None = None,
        tls: ssl.SSLContext | None = None,
        guard: ClientGuard | None = None,
    ) -> None:
        self.address = address
        self._handle = handle
        self._limits = limits or HttpLimits()
        self._tls = tls
        self._guard = guard
        self._server: asyncio.Server | None = None
        self._connections_by_task: dict[asyncio.Task[None], ServerConnection] = {}
        self._is_draining = False
        self._is_keep_alive_disabled = False

    @property
    def n_connections(self) -> int:
        """Number of open connections."""
        return len(self._connections_by_task)

    async def start(self) -> None:
        """Start listening and serving."""
        if self._guard is None:
            self._guard = ClientGuard(asyncio.get_running_loop().time)
        listener = open_listener(self.address)
        self._server = await asyncio.start_server(
            self._serve_connection,
            sock=listener,
            ssl=self._tls,
            limit=STREAM_LIMIT_BYTES,
            # The event loop accepts so many in one of its iterations.
            backlog=N_ACCEPTED_AT_ONCE,
        )
        listener.listen(BACKLOG)

    def set_limits(self, limits: HttpLimits) -> None:
        """Set the limits for connections accepted from now on."""
        self._limits = limits

    def disable_keep_alive(self) -> None:
        """Keep serving, but close each connection after its next response."""
        self._is_keep_alive_disabled = True
        for connection in self._connections_by_task.values():
            connection.is_keep_alive_disabled = True

    async def drain(self) -> None:
        """Stop listening and wait until all requests in flight are complete.

        Callers may have sent a request before they can know: each connection takes one
        that arrives within a short time.
        """
        self._is_draining = True
        for connection in self._connections_by_task.values():
            connection.begin_close()
        for _ in range(N_ACCEPT_PASSES):
            await asyncio.sleep(0)
        if self._server is not None:
            self._server.close()
        while self._connections_by_task:
            await asyncio.wait(list(self._connections_by_task))

    async def close(self) -> None:
        """Stop listening and close all remaining connections."""
        if self._server is not None:
            self._server.close()
        tasks = list(self._connections_by_task)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _serve_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if len(self._connections_by_task) >= self._limits.n_connections:
            writer.close()
            return
        task = asyncio.current_task()
        assert task is not None and self._guard is not None
        connection = ServerConnection(
            reader, writer, self._handle, self._limits, self._guard
        )
        if not self._guard.connections.try_add(connection):
            connection.evict()
            return
        bound_receive_buffer(writer)
        writer.transport.set_write_buffer_limits(high=WRITE_HIGH_WATER_BYTES)
        connection.is_keep_alive_disabled = self._is_keep_alive_disabled
        if self._is_draining:
            connection.begin_close()
        self._connections_by_task[task] = connection
        try:
            await self._serve_requests(connection)
            await connection.close()
        except asyncio.CancelledError:
            pass  # cancelled by close()
        finally:
            del self._connections_by_task[task]
            self._guard.connections.remove(connection)
            writer.close()

    async def _serve_requests(self, connection: ServerConnection) -> None:
        try:
            while await connection.serve_request():
                pass
        except (OSError, TimeoutError, h11.ProtocolError) as error:
            logger.debug("connection ended", extra={"error": repr(error)})
