"""Multiplexed links between hosts: many calls over one TCP connection.

A call is one message out and any number of messages back, closed by an end mark. Each
lane has a connection of its own, so batch never waits in a buffer before online. A
link with calls in progress is pinged in both directions; one that stays silent is
given up and its calls fail.
"""

from __future__ import annotations

import asyncio
import logging
import struct
from collections.abc import AsyncGenerator, Awaitable, Callable
from contextlib import aclosing
from enum import IntEnum
from typing import NamedTuple, TypeAlias

from damaskjunction.core import (
    Address,
    Outcome,
    RequestError,
    Subscription,
    Timers,
)
from damaskjunction.core.units import MIB
from damaskjunction.wire.codec import (
    DecodeError,
    Frame,
    Message,
    decode_frame,
    decode_message,
    encode_frame,
    encode_message,
)
from damaskjunction.wire.messages import Failure

logger = logging.getLogger(__name__)

MAX_FRAME_BYTES = 4 * MIB
PING_INTERVAL_S = 0.3
SILENCE_LIMIT_S = 1.0
CONNECT_TIMEOUT_S = 1.0
IDLE_CLOSE_S = 30.0

_LENGTH = struct.Struct("!I")


class Operation(IntEnum):
    """What a frame does."""

    CALL = 0
    REPLY = 1
    END = 2
    CANCEL = 3
    PING = 4
    PONG = 5


class LinkKey(NamedTuple):
    """One link of a host: to whom, and for which lane of work."""

    address: Address
    lane: str


Reply: TypeAlias = Callable[[Message], Awaitable[None]]
CallHandler: TypeAlias = Callable[[Message, Reply], Awaitable[None]]


class _Channel:
    """Frames over one connection, with signs of life."""

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        timers: Timers,
        take: Callable[[Frame], None],
    ) -> None:
        self._reader = reader
        self._writer = writer
        self._timers = timers
        self._take = take
        self._heard_at_s = timers.now()

    def is_silent(self) -> bool:
        """Return whether nothing has come in for too long."""
        return self._timers.now() - self._heard_at_s > SILENCE_LIMIT_S

    def expect_signs(self) -> None:
        """Count silence from now on."""
        self._heard_at_s = self._timers.now()

    def send(self, frame: Frame) -> None:
        """Write a frame to the connection's buffer."""
        data = encode_frame(frame)
        self._writer.write(_LENGTH.pack(len(data)) + data)

    async def drain(self) -> None:
        """Wait while the connection's buffer is full."""
        await self._writer.drain()

    def abort(self) -> None:
        """Cut the connection."""
        self._writer.transport.abort()

    async def run(self) -> None:
        """Take frames until the connection ends."""
        try:
            while True:
                head = await self._reader.readexactly(_LENGTH.size)
                (length,) = _LENGTH.unpack(head)
                if length > MAX_FRAME_BYTES:
                    raise DecodeError(f"a frame of {length} bytes")
                data = await self._reader.readexactly(length)
                self._heard_at_s = self._timers.now()
                self._take_frame(decode_frame(data))
        except (OSError, asyncio.IncompleteReadError):
            pass  # the peer closed, or this end did
        except DecodeError as error:
            logger.warning("peer sent what is no frame", extra={"error": str(error)})
        finally:
            self.abort()

    def _take_frame(self, frame: Frame) -> None:
        if frame.operation == Operation.PING:
            self.send(Frame(0, Operation.PONG))
        elif frame.operation != Operation.PONG:
            self._take(frame)


class _Link:
    """The calling end of one connection."""

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        timers: Timers,
    ) -> None:
        self._timers = timers
        self._channel = _Channel(reader, writer, timers, self._take)
        self._queues_by_call: dict[int, asyncio.Queue[Frame | None]] = {}
        self._last_call = 0
        self._idle_since_s = timers.now()
        self._pings = timers.every(PING_INTERVAL_S, self._check)
        self.is_open = True
        self._task = asyncio.ensure_future(self._run())

    async def call(self, message: Message) -> AsyncGenerator[Message, None]:
        """Send a call and yield its replies until the end mark."""
        if not self._queues_by_call:
            self._channel.expect_signs()
        self._last_call += 1
        call_id = self._last_call
        queue: asyncio.Queue[Frame | None] = asyncio.Queue()
        self._queues_by_call[call_id] = queue
        kind = type(message).__name__
        is_ended = False
        try:
            self._channel.send(
                Frame(call_id, Operation.CALL, kind, encode_message(message))
            )
            while (frame := await queue.get()) is not None:
                if frame.operation == Operation.END:
                    is_ended = True
                    return
                yield _read_reply(frame)
            is_ended = True
            raise RequestError(Outcome.UNKNOWN, "link_lost", "the peer went away")
        finally:
            del self._queues_by_call[call_id]
            self._idle_since_s = self._timers.now()
            if not is_ended and self.is_open:
                self._channel.send(Frame(call_id, Operation.CANCEL))

    def close(self) -> None:
        """Cut the connection; calls in progress fail."""
        self._pings.cancel()
        self._channel.abort()

    async def _run(self) -> None:
        await self._channel.run()
        self.is_open = False
        self._pings.cancel()
        for queue in self._queues_by_call.values():
            queue.put_nowait(None)

    def _take(self, frame: Frame) -> None:
        queue = self._queues_by_call.get(frame.call_id)
        if queue is not None:
            queue.put_nowait(frame)

    def _check(self) -> None:
        if self._queues_by_call:
            if self._channel.is_silent():
                self.close()
            else:
                self._channel.send(Frame(0, Operation.PING))
        elif self._timers.now() - self._idle_since_s > IDLE_CLOSE_S:
            self.close()


def _read_reply(frame: Frame) -> Message:
    message = decode_message(frame.kind, frame.body)
    if isinstance(message, Failure):
        raise message.to_error()
    return message


class PeerLinks:
    """The links from this host to others, opened when needed.

    Parameters
    ----------
    timers : Timers
        The process's timer service.
    """

    def __init__(self, timers: Timers) -> None:
        self._timers = timers
        self._links_by_key: dict[LinkKey, _Link] = {}
        self._connecting_by_key: dict[LinkKey, asyncio.Future[_Link]] = {}

    async def call(
        self, address: Address, lane: str, message: Message
    ) -> AsyncGenerator[Message, None]:
        """Send a message to a host and yield its replies.

        Raises
        ------
        RequestError
            What the host answered; ``NOT_RUN`` when there was no connection;
            ``UNKNOWN`` when the link was lost.
        """
        link = await self._link(LinkKey(address, lane))
        async with aclosing(link.call(message)) as replies:
            async for reply in replies:
                yield reply

    async def ask(self, address: Address, lane: str, message: Message) -> Message:
        """Send a message to a host and return its only reply.

        Raises
        ------
        RequestError
            As ``call`` does.
        """
        replies = [reply async for reply in self.call(address, lane, message)]
        if len(replies) != 1:
            raise RequestError(Outcome.UNKNOWN, "bad_reply", "expected one reply")
        return replies[0]

    def close(self) -> None:
        """Cut every link."""
        for link in self._links_by_key.values():
            link.close()
        self._links_by_key.clear()

    async def _link(self, key: LinkKey) -> _Link:
        link = self._links_by_key.get(key)
        if link is not None and link.is_open:
            return link
        connecting = self._connecting_by_key.get(key)
        if connecting is None:
            connecting = asyncio.ensure_future(self._connect(key))
            self._connecting_by_key[key] = connecting
            connecting.add_done_callback(
                lambda _: self._connecting_by_key.pop(key, None)
            )
        return await asyncio.shield(connecting)

    async def _connect(self, key: LinkKey) -> _Link:
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(*key.address)
        except (OSError, TimeoutError) as error:
            detail = f"no connection to {key.address}: {error}"
            raise RequestError(Outcome.NOT_RUN, "peer_unreachable", detail) from None
        link = _Link(reader, writer, self._timers)
        self._links_by_key[key] = link
        return link


class PeerServer:
    """The answering end of the links from other hosts.

    Parameters
    ----------
    address : Address
        Where to listen.
    timers : Timers
        The process's timer service.
    handle : callable
        Answers a message by any number of replies; a ``RequestError`` it raises is
        passed to the caller.
    """

    def __init__(self, address: Address, timers: Timers, handle: CallHandler) -> None:
        self._address = address
        self._timers = timers
        self._handle = handle
        self._server: asyncio.Server | None = None
        self._sessions: set[_Session] = set()

    async def start(self) -> None:
        """Listen and serve."""
        self._server = await asyncio.start_server(
            self._serve, self._address.ip, self._address.port, backlog=1024
        )

    async def close(self) -> None:
        """Stop listening and cut every link."""
        if self._server is not None:
            self._server.close()
        for session in list(self._sessions):
            session.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        session = _Session(reader, writer, self._timers, self._handle)
        self._sessions.add(session)
        try:
            await session.run()
        finally:
            self._sessions.discard(session)


class _Session:
    """The answering end of one connection."""

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        timers: Timers,
        handle: CallHandler,
    ) -> None:
        self._channel = _Channel(reader, writer, timers, self._take)
        self._handle = handle
        self._tasks_by_call: dict[int, asyncio.Task[None]] = {}
        self._check: Subscription = timers.every(PING_INTERVAL_S, self._check_silence)

    async def run(self) -> None:
        """Serve calls until the connection ends."""
        try:
            await self._channel.run()
        finally:
            self._check.cancel()
            for task in list(self._tasks_by_call.values()):
                task.cancel()

    def close(self) -> None:
        """Cut the connection."""
        self._channel.abort()

    def _check_silence(self) -> None:
        if self._tasks_by_call and self._channel.is_silent():
            self.close()

    def _take(self, frame: Frame) -> None:
        if frame.operation == Operation.CALL:
            task = asyncio.ensure_future(self._answer(frame))
            self._tasks_by_call[frame.call_id] = task
            task.add_done_callback(
                lambda _: self._tasks_by_call.pop(frame.call_id, None)
            )
        elif frame.operation == Operation.CANCEL:
            running = self._tasks_by_call.get(frame.call_id)
            if running is not None:
                running.cancel()

    async def _answer(self, frame: Frame) -> None:
        async def reply(message: Message) -> None:
            kind = type(message).__name__
            body = encode_message(message)
            self._channel.send(Frame(frame.call_id, Operation.REPLY, kind, body))
            await self._channel.drain()

        try:
            await self._handle(decode_message(frame.kind, frame.body), reply)
        except RequestError as error:
            await reply(Failure.from_error(error))
        except DecodeError as error:
            await reply(Failure(Outcome.NOT_RUN, "bad_message", str(error), 0.0))
        except OSError:
            return
        except Exception:
            logger.exception("peer call failed", extra={"kind": frame.kind})
            await reply(Failure(Outcome.UNKNOWN, "internal_error", "", 0.0))
        self._channel.send(Frame(frame.call_id, Operation.END))
