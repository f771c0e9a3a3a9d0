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

READ_BYTES = 64 * 1024


class Mode(StrEnum):
    """How the proxy treats traffic.

    ``SILENT`` keeps connections open but drops all data in both directions.
    ``SILENT_OLD`` does so for the connections that exist when it is set, for good,
    while new ones pass. ``CUT_FORWARD`` drops data from client to target and
    ``CUT_BACK`` from target to client. ``CLOSED`` resets existing and new connections.
    """

    PASS = "pass"
    SILENT = "silent"
    SILENT_OLD = "silent_old"
    CUT_FORWARD = "cut_forward"
    CUT_BACK = "cut_back"
    CLOSED = "closed"


class _Pair:
    """One proxied connection."""

    def __init__(self, writers: tuple[asyncio.StreamWriter, ...]) -> None:
        self.writers = writers
        self.is_silenced = False


class ProxyStandin:
    """Forwards TCP connections to a target, with faults injected at run time.

    ``PUT /test/mode`` on the control address takes ``{"mode": ..., "delay_s": ...}``;
    ``delay_s`` is added to each chunk of data.

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
        self._pairs: set[_Pair] = set()
        self._server: asyncio.Server | None = None
        routes = Routes()
        routes.register("PUT", "/test/mode")(self._set_mode)
        self._control = HttpServer(control, routes.handle)

    async def start(self) -> None:
        """Start to listen and forward."""
        self._server = await asyncio.start_server(self._serve, *self._listen)
        await self._control.start()

    async def close(self) -> None:
        """Stop listening and abort every connection."""
        if self._server is not None:
            self._server.close()
        self._cut_all()
        await self._control.close()

    async def _set_mode(self, request: Request) -> Response:
        document = await read_json(request)
        self._delay_s = float(document.get("delay_s", self._delay_s))
        self.set_mode(Mode(document.get("mode", self._mode)))
        return to_json_response({"mode": self._mode.value, "delay_s": self._delay_s})

    def set_mode(self, mode: Mode) -> None:
        """Change the mode, for existing and new connections."""
        self._mode = mode
        if self._mode is Mode.CLOSED:
            self._cut_all()
        if self._mode is Mode.SILENT_OLD:
            for pair in self._pairs:
                pair.is_silenced = True

    def _cut_all(self) -> None:
        for pair in list(self._pairs):
            for writer in pair.writers:
                writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self._mode is Mode.CLOSED:
            writer.transport.abort()
            return
        try:
            far_reader, far_writer = await asyncio.open_connection(*self._target)
        except OSError:
            writer.transport.abort()
            return
        pair = _Pair((writer, far_writer))
        self._pairs.add(pair)
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(
                    self._copy(reader, far_writer, pair, Mode.CUT_FORWARD)
                )
                group.create_task(self._copy(far_reader, writer, pair, Mode.CUT_BACK))
        except asyncio.CancelledError:
            pass  # the event loop is shutting down
        finally:
            self._pairs.discard(pair)
            for end in pair.writers:
                end.transport.abort()

    async def _copy(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        pair: _Pair,
        cut: Mode,
    ) -> None:
        try:
            while data := await reader.read(READ_BYTES):
                if self._delay_s:
                    await asyncio.sleep(self._delay_s)
                if pair.is_silenced or self._mode in (Mode.SILENT, cut):
                    continue
                writer.write(data)
                await writer.drain()
            writer.write_eof()
        except OSError:
            for end in pair.writers:
                end.transport.abort()
