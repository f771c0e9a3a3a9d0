"""A fault-injecting TCP proxy."""

from __future__ import annotations

import asyncio
import socket
import struct
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
from damaskjunction.standins.listener import Listener

MAX_READ_BYTES = 64 * 1024
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER for no seconds


class Mode(StrEnum):
    """How the proxy treats traffic.

    ``SILENT`` keeps connections open but drops all data in both directions.
    ``SILENT_OLD`` does so permanently for the connections that exist when it is set;
    new ones pass. ``CUT_FORWARD`` drops data from client to target and
    ``CUT_BACK`` from target to client. ``CLOSED`` resets existing and new connections.
    ``HANGING`` holds all data, and the ends of connections, until the next mode, and
    new connections hang as if their SYN was lost. ``REFUSING`` refuses new connections
    while those that exist pass; ``DOWN`` resets these, too. ``PAUSED`` holds data as
    ``HANGING`` does and accepts new connections, as a process does that stands still.
    """

    PASS = "pass"
    SILENT = "silent"
    SILENT_OLD = "silent_old"
    CUT_FORWARD = "cut_forward"
    CUT_BACK = "cut_back"
    CLOSED = "closed"
    HANGING = "hanging"
    REFUSING = "refusing"
    DOWN = "down"
    PAUSED = "paused"


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
    listen, target : Address
        Addresses to listen on and to connect to.
    control : Address, optional
        Address of the control endpoint; without one there is none.

    Attributes
    ----------
    n_accepted : int
        Number of connections accepted so far.
    n_forwarded : int
        Number of bytes passed on so far, in both directions.
    """

    def __init__(
        self, listen: Address, target: Address, control: Address | None = None
    ) -> None:
        self._target = target
        self._mode = Mode.PASS
        self._delay_s = 0.0
        self._connections: set[_Connection] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._listen_address = listen
        self._listener: Listener | None = None
        self._is_refusing = True
        self._passing = asyncio.Event()
        self._passing.set()
        self.n_accepted = self.n_forwarded = 0
        self._control_server: HttpServer | None = None
        if control is not None:
            routes = Routes()
            routes.register("PUT", "/test/mode")(self._set_mode)
            self._control_server = HttpServer(control, routes.handle)

    async def start(self) -> None:
        """Start to listen and forward."""
        self._listener = Listener(
            self._listen_address,
            self._begin_connection,
            asyncio.get_running_loop(),
        )
        self.listen()
        if self._control_server is not None:
            await self._control_server.start()

    def listen(self) -> None:
        """Accept connections, again after ``refuse``."""
        self._is_refusing = False
        self._update_listener()

    def refuse(self) -> None:
        """Refuse new connections, like a host whose process has ended."""
        self._is_refusing = True
        self._update_listener()

    async def close(self) -> None:
        """Stop listening and abort every connection."""
        self.refuse()
        self._abort_all()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        if self._control_server is not None:
            await self._control_server.close()

    async def _set_mode(self, request: Request) -> Response:
        document = await read_json(request)
        self._delay_s = float(document.get("delay_s", self._delay_s))
        self.set_mode(Mode(document.get("mode", self._mode)))
        return to_json_response({"mode": self._mode.value, "delay_s": self._delay_s})

    def set_mode(self, mode: Mode) -> None:
        """Change the mode, for existing and new connections."""
        self._mode = mode
        self._update_listener()
        if mode in (Mode.HANGING, Mode.PAUSED):
            self._passing.clear()
        else:
            self._passing.set()
        if mode in (Mode.CLOSED, Mode.DOWN):
            self._abort_all()
        if self._mode is Mode.SILENT_OLD:
            for connection in self._connections:
                connection.is_silenced = True

    def _update_listener(self) -> None:
        if self._listener is None:
            return
        if self._is_refusing or self._mode in (Mode.REFUSING, Mode.DOWN):
            self._listener.refuse()
        elif self._mode is Mode.HANGING:
            self._listener.hang()
        else:
            self._listener.accept()

    def _abort_all(self) -> None:
        for connection in list(self._connections):
            for writer in connection.writers:
                _reset(writer)

    def _begin_connection(self, accepted: socket.socket) -> None:
        self.n_accepted += 1
        task = asyncio.ensure_future(self._serve(accepted))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(self, accepted: socket.socket) -> None:
        accepted.setblocking(False)
        reader, writer = await asyncio.open_connection(sock=accepted)
        if self._mode is Mode.CLOSED:
            _reset(writer)
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
                await self._passing.wait()
                if connection.is_silenced or self._mode in (Mode.SILENT, drop_mode):
                    continue
                writer.write(data)
                self.n_forwarded += len(data)
                await writer.drain()
            await self._passing.wait()
            writer.write_eof()
        except OSError:
            await self._passing.wait()
            for end in connection.writers:
                end.transport.abort()


def _reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection with a RST, unless its peer has reset it."""
    end: socket.socket = writer.get_extra_info("socket")
    if end.fileno() >= 0:
        end.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    writer.transport.abort()
