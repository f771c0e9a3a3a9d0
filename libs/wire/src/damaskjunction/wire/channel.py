"""Framing over one connection between two hosts, with ping-pong keepalive."""

from __future__ import annotations

import asyncio
import logging
import struct
from collections.abc import Callable
from enum import IntEnum

from damaskjunction.core import Subscription, Timers
from damaskjunction.core.units import KIB, MIB
from damaskjunction.http import SMALL_BYTES, BacklogTurns, ClientMemory, Holding
from damaskjunction.wire.codec import (
    DecodeError,
    Frame,
    decode_frame,
    encode_frame,
)

logger = logging.getLogger(__name__)

MAX_FRAME_BYTES = 4 * MIB
MAX_FRAMES_AT_ONCE = 64  # before other connections have their turn
READ_BYTES = 64 * KIB
PING_INTERVAL_S = 0.25
MAX_CHECK_INTERVAL_S = 2 * PING_INTERVAL_S
KEEPALIVE_TIMEOUT_S = 1.0
WINDOW_REPLIES = 64
CREDIT_REPLIES = 32

_LENGTH = struct.Struct("!I")


class Operation(IntEnum):
    """Operation of a frame.

    ``CREDIT`` lets the server send ``CREDIT_REPLIES`` further replies of a call,
    beyond the ``WINDOW_REPLIES`` that it may send initially. ``TUNNEL``, as the first
    frame of a connection, turns that into a tunnel to a runner.
    """

    CALL = 0
    REPLY = 1
    END = 2
    CANCEL = 3
    PING = 4
    PONG = 5
    CREDIT = 6
    TUNNEL = 7


class FrameTooLargeError(ValueError):
    """A message exceeds the maximum size of a frame."""


def frame_bytes(frame: Frame) -> bytes:
    """Return a frame as it is sent, with its length.

    Raises
    ------
    FrameTooLargeError
        If the peer would reject the frame.
    """
    data = encode_frame(frame)
    if len(data) > MAX_FRAME_BYTES:
        raise FrameTooLargeError(
            f"frame of {len(data)} bytes exceeds the limit of {MAX_FRAME_BYTES}"
        )
    return _LENGTH.pack(len(data)) + data


class NoRoomError(ConnectionError):
    """The peer's bytes find no room in the memory for those of all peers."""


async def read_frame(
    reader: asyncio.StreamReader, holding: Holding | None = None
) -> Frame:
    """Return the next frame of a connection.

    Parameters
    ----------
    reader : asyncio.StreamReader
        The connection.
    holding : Holding, optional
        Counts a frame of more than ``SMALL_BYTES`` as it arrives.

    Raises
    ------
    DecodeError
        If the bytes are no valid frame.
    NoRoomError
        If there is no room for the frame.
    OSError, asyncio.IncompleteReadError
        If the connection ends before.
    """
    (length,) = _LENGTH.unpack(await reader.readexactly(_LENGTH.size))
    if length > MAX_FRAME_BYTES:
        raise DecodeError(f"frame of {length} bytes is too large")
    if holding is None or length <= SMALL_BYTES:
        return decode_frame(await reader.readexactly(length))
    try:
        return decode_frame(await _read_counted(reader, length, holding))
    finally:
        holding.resize(0)


async def _read_counted(
    reader: asyncio.StreamReader, length: int, holding: Holding
) -> bytes:
    data = bytearray()
    while len(data) < length:
        part = await reader.read(min(READ_BYTES, length - len(data)))
        if not part:
            raise asyncio.IncompleteReadError(bytes(data), length)
        data += part
        if not holding.try_resize(len(data)):
            raise NoRoomError("no room for a frame")
    return bytes(data)


class Channel:
    """One end of a connection.

    While keepalive is on, it sends pings and aborts the connection when no pong has
    arrived for ``KEEPALIVE_TIMEOUT_S``; otherwise it sends nothing and has no timer.

    Parameters
    ----------
    reader, writer : asyncio.StreamReader, asyncio.StreamWriter
        The connection.
    timers : Timers
        The process's timer service.
    handle_frame : callable
        Receives each frame that is neither a ping nor a pong.
    turns : BacklogTurns, optional
        The turns of connections that have many frames at hand; all have one by default.
    memory : ClientMemory, optional
        Counts what is received, and what the peer does not read; without it, neither
        is bounded.
    on_cut : callable, optional
        Takes the reason for which the connection is aborted when there is no room.
    """

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        timers: Timers,
        handle_frame: Callable[[Frame], None],
        *,
        turns: BacklogTurns | None = None,
        memory: ClientMemory | None = None,
        on_cut: Callable[[str], None] = lambda reason: None,
    ) -> None:
        self._on_cut = on_cut
        self._reader = reader
        self._writer = writer
        self._timers = timers
        self._handle_frame = handle_frame
        self._turns = turns or BacklogTurns()
        self._received: Holding | None = None
        self._unread: Holding | None = None
        if memory is not None:
            self._received = memory.open(lambda: self._cut("slow frame"))
            self._unread = memory.open(lambda: self._cut("unread answers"))
        # Until the first pong, ``pong_age_s`` exceeds every limit on it.
        self._last_pong_at_s = -KEEPALIVE_TIMEOUT_S
        self._keepalive_since_s = 0.0
        self._checked_at_s = 0.0
        self._keepalive: Subscription | None = None
        self._pending_pong: asyncio.Future[None] | None = None

    def pong_age_s(self) -> float:
        """Return the seconds since the last pong, which showed that the link works."""
        return self._timers.now() - self._last_pong_at_s

    async def check_alive(self, timeout_s: float) -> bool:
        """Send a ping and return whether the pong arrives within the timeout."""
        if self._pending_pong is None:
            self._pending_pong = asyncio.get_running_loop().create_future()
            self.send(Frame(0, Operation.PING))
        pending = self._pending_pong
        try:
            async with asyncio.timeout(timeout_s):
                await asyncio.shield(pending)
        except (TimeoutError, ConnectionError):
            return False
        return True

    def start_keepalive(self) -> None:
        """Start sending pings; abort the connection when pongs stop arriving."""
        if self._keepalive is None:
            self._keepalive_since_s = self._checked_at_s = self._timers.now()
            self._keepalive = self._timers.every(PING_INTERVAL_S, self._check_keepalive)

    def stop_keepalive(self) -> None:
        """Stop sending pings."""
        if self._keepalive is not None:
            self._keepalive.cancel()
            self._keepalive = None

    def send(self, frame: Frame) -> None:
        """Write a frame to the connection's buffer.

        Raises
        ------
        FrameTooLargeError
            If the peer would reject the frame; nothing was written.
        """
        self._writer.write(frame_bytes(frame))
        self._count_unread()

    def _count_unread(self) -> None:
        """Count what the peer has not read; abort the connection without room."""
        unread = self._unread
        if unread is None:
            return
        n_bytes = self._writer.transport.get_write_buffer_size()
        if n_bytes <= SMALL_BYTES:
            n_bytes = 0
        if n_bytes != unread.n_bytes and not unread.try_resize(
            n_bytes, is_favoured=True
        ):
            self._cut("unread answers")

    async def drain(self) -> None:
        """Wait while the connection's buffer is full."""
        await self._writer.drain()

    def abort(self) -> None:
        """Abort the connection."""
        self.stop_keepalive()
        self._writer.transport.abort()

    def _cut(self, reason: str) -> None:
        self._on_cut(reason)
        self.abort()

    async def run(self, first: Frame | None = None) -> None:
        """Receive frames until the connection ends; ``first`` was received before."""
        try:
            if first is not None:
                self._dispatch(first)
                await self._turns.wait()
            await self._receive()
        except NoRoomError as error:
            self._cut(str(error))
        except (OSError, asyncio.IncompleteReadError):
            pass  # the connection was closed by either end
        except DecodeError as error:
            address = self._writer.get_extra_info("peername")
            extra = {"peer": str(address), "error": str(error)}
            logger.warning("peer sent an invalid frame", extra=extra)
        finally:
            self.abort()
            self._fail_pending_pong()
            for holding in (self._received, self._unread):
                if holding is not None:
                    holding.close()

    async def _receive(self) -> None:
        """Handle frames; after so many that may all have arrived, let others go on."""
        while True:
            for _ in range(MAX_FRAMES_AT_ONCE):
                self._dispatch(await read_frame(self._reader, self._received))
            await self._turns.wait()

    def _dispatch(self, frame: Frame) -> None:
        if frame.operation == Operation.PING:
            self.send(Frame(0, Operation.PONG))
        elif frame.operation == Operation.PONG:
            self._record_pong()
        else:
            self._handle_frame(frame)

    def _record_pong(self) -> None:
        self._last_pong_at_s = self._timers.now()
        if self._pending_pong is not None:
            self._pending_pong.set_result(None)
            self._pending_pong = None

    def _fail_pending_pong(self) -> None:
        if self._pending_pong is not None:
            self._pending_pong.set_exception(
                ConnectionResetError("the connection was closed")
            )
            # asyncio logs an exception that is not retrieved.
            self._pending_pong.exception()
            self._pending_pong = None

    def _check_keepalive(self) -> None:
        now_s = self._timers.now()
        if now_s - self._checked_at_s > MAX_CHECK_INTERVAL_S:
            self._keepalive_since_s = now_s  # this process stood still: pongs may wait
        self._checked_at_s = now_s
        last_alive_at_s = max(self._last_pong_at_s, self._keepalive_since_s)
        silent_s = now_s - last_alive_at_s
        if silent_s > KEEPALIVE_TIMEOUT_S:
            logger.warning("link went silent", extra={"silent_s": round(silent_s, 3)})
            self.abort()
        else:
            self.send(Frame(0, Operation.PING))
