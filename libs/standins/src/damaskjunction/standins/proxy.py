"""A fault-injecting TCP proxy."""

from __future__ import annotations

import asyncio
from enum import StrEnum

from damaskjunction.core import Address
from damaskjunction.http import (
    HttpServer,
    Request,
    Response,
    Routes,
    read_json,
    to_json_response,
)

MAX_READ_BYTES = 64 * 1024


class Mode(StrEnum):
    """How the proxy treats traffic.

    ``SILENT`` keeps connections open but drops all data in both directions.
    ``SILENT_OLD`` does so permanently for the connections that exist when it is set;
    new ones pass. ``CUT_FORWARD`` drops data from client to target and
    ``CUT_BACK`` from target to client. ``CLOSED`` resets existing and new connections.
    """

    PASS = "pass"
    SILENT = "silent"
    SILENT_OLD = "silent_old"
    CUT_FORWARD = "cut_forward"
    CUT_BACK = "cut_back"
    CLOSED = "closed"


class _Connection:
    """Writers to both ends of a proxied connection.

    ``is_silenced`` is whether ``Mode.SILENT_OLD`` was set while it was open.
    """

    def __init__(self, writers: tuple[asyncio.StreamWriter, ...]) -> None:
        self.writers = writers
        self.is_silenced = False


class ProxyStandin:
    """Forwards TCP connections to a target, with faults injected at run time.

    ``PUT /test/mode`` on the control address takes ``{"mode": ..., "delay_s": ...}``;
    the proxy waits ``delay_s`` before it forwards the data of each read.

    Parameters
    ----------
    listen, target, control : Address
        Addresses to listen on, to connect to, and of the control endpoint.
    """

    def __init__(self, listen: Address, target: Address, control: Address) -> None:
        self._listen = listen
        self._target = target
        self._mode = Mode.PASS
        self._delay_s = 0.0
        self._connections: set[_Connection] = set()
        self._server: asyncio.Server | None = None
        routes = Routes()
        routes.register("PUT", "/test/mode")(self._set_mode)
        self._control_server = HttpServer(control, routes.handle)

    async def start(self) -> None:
        """Start to listen and forward."""
        await self.listen()
        await self._control_server.start()

    async def listen(self) -> None:
        """Accept connections, again after ``refuse``."""
        self._server = await asyncio.start_server(self._serve, *self._listen)

    def refuse(self) -> None:
        """Refuse new connections, like a host whose process has ended."""
        if self._server is not None:
            self._server.close()

    async def close(self) -> None:
        """Stop listening and abort every connection."""
        if self._server is not None:
            self._server.close()
        self._abort_all()
        await self._control_server.close()

    async def _set_mode(self, request: Request) -> Response:
        document = await read_json(request)
        self._delay_s = float(document.get("delay_s", self._delay_s))
        self.set_mode(Mode(document.get("mode", self._mode)))
        return to_json_response({"mode": self._mode.value, "delay_s": self._delay_s})

    def set_mode(self, mode: Mode) -> None:
        """Change the mode, for existing and new connections."""
        self._mode = mode
        if self._mode is Mode.CLOSED:
            self._abort_all()
        if self._mode is Mode.SILENT_OLD:
            for connection in self._connections:
                connection.is_silenced = True

    def _abort_all(self) -> None:
        for connection in list(self._connections):
            for writer in connection.writers:
                writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self._mode is Mode.CLOSED:
            writer.transport.abort()
            return
        try:
            target_reader, target_writer = await asyncio.open_connection(*self._target)
        except OSError:
            writer.transport.abort()
            return
        connection = _Connection((writer, target_writer))
        self._connections.add(connection)
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(
                    self._forward(reader, target_writer, connection, Mode.CUT_FORWARD)
                )
                group.create_task(
                    self._forward(target_reader, writer, connection, Mode.CUT_BACK)
                )
        except asyncio.CancelledError:
            pass  # the event loop is shutting down
        finally:
            self._connections.discard(connection)
            for end in connection.writers:
                end.transport.abort()

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        connection: _Connection,
        drop_mode: Mode,
    ) -> None:
        try:
            while data := await reader.read(MAX_READ_BYTES):
                if self._delay_s:
                    await asyncio.sleep(self._delay_s)
                if connection.is_silenced or self._mode in (Mode.SILENT, drop_mode):
                    continue
                writer.write(data)
                await writer.drain()
            writer.write_eof()
        except OSError:
            for end in connection.writers:
                end.transport.abort()
