"""Multiplexed links between hosts: many calls over one TCP connection.

A call is a request message and any number of reply messages, closed by an end frame.
Each lane has a connection of its own, so that online messages never queue behind batch
messages in a buffer. Replies are subject to credit-based flow control, so that a slow
reader delays no other call. A call is sent only on a connection with a recent pong; a
connection that fails this check gets no further calls and is replaced immediately.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import AsyncGenerator
from contextlib import aclosing
from typing import NamedTuple

from damaskjunction.core import (
    Address,
    Outcome,
    RequestError,
    Subscription,
    Timers,
)
from damaskjunction.wire.channel import (
    CREDIT_REPLIES,
    WINDOW_REPLIES,
    Channel,
    FrameTooLargeError,
    Operation,
)
from damaskjunction.wire.codec import (
    DecodeError,
    Frame,
    Message,
    decode_message,
    encode_message,
)
from damaskjunction.wire.messages import Failure

logger = logging.getLogger(__name__)

CONNECT_TIMEOUT_S = 0.5
MAX_PONG_AGE_S = 0.5
PONG_TIMEOUT_S = 0.25
IDLE_CLOSE_S = 30.0


class LinkKey(NamedTuple):
    """Key of a link: the peer's address and the lane (class of work)."""

    address: Address
    lane: str


class _Link:
    """The client end of one connection."""

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        timers: Timers,
    ) -> None:
        self._timers = timers
        self._channel = Channel(reader, writer, timers, self._handle_frame)
        self._queues_by_call_id: dict[int, asyncio.Queue[Frame | None]] = {}
        self._last_call_id = 0
        self._idle_close: Subscription | None = timers.once(IDLE_CLOSE_S, self.close)
        self.is_open = True
        self._task = asyncio.ensure_future(self._receive())

    async def check_alive(self, timeout_s: float) -> bool:
        """Return whether a pong arrived recently or arrives within the timeout."""
        if self._channel.pong_age_s() <= MAX_PONG_AGE_S:
            return True
        return await self._channel.check_alive(timeout_s)

    async def call(
        self, message: Message, keepalive: bool
    ) -> AsyncGenerator[Message, None]:
        """Send a call and yield its replies until the end frame."""
        self._last_call_id += 1
        call_id = self._last_call_id
        # A failure and the end frame are sent without credit.
        queue: asyncio.Queue[Frame | None] = asyncio.Queue(WINDOW_REPLIES + 2)
        kind = type(message).__name__
        self._send_call(Frame(call_id, Operation.CALL, kind, encode_message(message)))
        self._register_call(call_id, queue, keepalive)
        has_ended = False
        n_received = 0
        try:
            while (frame := await queue.get()) is not None:
                if frame.operation == Operation.END:
                    has_ended = True
                    return
                yield _read_reply(frame)
                n_received += 1
                if n_received % CREDIT_REPLIES == 0 and self.is_open:
                    self._channel.send(Frame(call_id, Operation.CREDIT))
            has_ended = True
            raise RequestError(Outcome.UNKNOWN, "link_lost", "the peer disconnected")
        finally:
            self._finish_call(call_id)
            if not has_ended and self.is_open:
                self._channel.send(Frame(call_id, Operation.CANCEL))

    def close(self) -> None:
        """Abort the connection; calls in progress fail."""
        self._channel.abort()

    def _send_call(self, frame: Frame) -> None:
        try:
            self._channel.send(frame)
        except FrameTooLargeError as error:
            raise RequestError(Outcome.NOT_RUN, "too_large", str(error)) from None

    def _register_call(
        self, call_id: int, queue: asyncio.Queue[Frame | None], keepalive: bool
    ) -> None:
        self._queues_by_call_id[call_id] = queue
        if keepalive:
            self._channel.start_keepalive()
        if self._idle_close is not None:
            self._idle_close.cancel()
            self._idle_close = None

    def _finish_call(self, call_id: int) -> None:
        del self._queues_by_call_id[call_id]
        if not self._queues_by_call_id and self.is_open:
            self._channel.stop_keepalive()
            self._idle_close = self._timers.once(IDLE_CLOSE_S, self.close)

    async def _receive(self) -> None:
        await self._channel.run()
        self.is_open = False
        if self._idle_close is not None:
            self._idle_close.cancel()
        for queue in self._queues_by_call_id.values():
            _signal_link_lost(queue)

    def _handle_frame(self, frame: Frame) -> None:
        queue = self._queues_by_call_id.get(frame.call_id)
        if queue is None:
            return
        try:
            queue.put_nowait(frame)
        except asyncio.QueueFull:
            logger.error("peer exceeded its credit")
            self.close()


def _signal_link_lost(queue: asyncio.Queue[Frame | None]) -> None:
    """Signal to a call that its link is lost; drops a reply if the queue is full."""
    if queue.full():
        queue.get_nowait()
    queue.put_nowait(None)


def _read_reply(frame: Frame) -> Message:
    try:
        message = decode_message(frame.kind, frame.body)
    except DecodeError as error:
        raise RequestError(Outcome.UNKNOWN, "bad_reply", str(error)) from None
    if isinstance(message, Failure):
        raise message.to_error()
    return message


class PeerLinks:
    """The links from this host to others, opened on demand.

    Parameters
    ----------
    timers : Timers
        The process's timer service.
    """

    def __init__(self, timers: Timers) -> None:
        self._timers = timers
        self._links_by_key: dict[LinkKey, _Link] = {}
        self._retired: set[_Link] = set()
        self._connecting_by_key: dict[LinkKey, asyncio.Future[_Link]] = {}
        self.n_replaced = 0

    async def call(
        self, address: Address, lane: str, message: Message, *, keepalive: bool = True
    ) -> AsyncGenerator[Message, None]:
        """Send a message to a host and yield its replies.

        Pings show whether the link works, unless ``keepalive`` is False: for a caller
        that has to hear replies all the time and ends the call when it does not.

        Raises
        ------
        RequestError
            The error that the host replied with; ``NOT_RUN`` if no connection could be
            made; ``UNKNOWN`` if the link was lost.
        """
        link = await self._get_live_link(LinkKey(address, lane))
        async with aclosing(link.call(message, keepalive)) as replies:
            async for reply in replies:
                yield reply

    async def ask(self, address: Address, lane: str, message: Message) -> Message:
        """Send a message to a host and return its only reply.

        Raises
        ------
        RequestError
            As in ``call``, or if there is not exactly one reply.
        """
        replies = [reply async for reply in self.call(address, lane, message)]
        if len(replies) != 1:
            raise RequestError(
                Outcome.UNKNOWN, "bad_reply", "expected exactly one reply"
            )
        return replies[0]

    def close(self) -> None:
        """Abort all connections."""
        for link in (*self._links_by_key.values(), *self._retired):
            link.close()
        self._links_by_key.clear()
        self._retired.clear()

    async def _get_live_link(self, key: LinkKey) -> _Link:
        """Return a live link, replacing the existing one if it fails the check."""
        link = self._links_by_key.get(key)
        if link is not None and link.is_open:
            if await link.check_alive(PONG_TIMEOUT_S) and link.is_open:
                return link
            self._retire(key, link)
        return await self._get_or_connect(key)

    def _retire(self, key: LinkKey, link: _Link) -> None:
        """Stop using a link for new calls; those in progress continue on it."""
        if self._links_by_key.get(key) is not link:
            return
        del self._links_by_key[key]
        self.n_replaced += 1
        self._retired = {old for old in self._retired if old.is_open}
        self._retired.add(link)
        logger.warning("link replaced", extra={"peer": str(key.address)})

    async def _get_or_connect(self, key: LinkKey) -> _Link:
        link = self._links_by_key.get(key)
        if link is not None and link.is_open:
            return link
        connecting = self._connecting_by_key.get(key)
        if connecting is None:
            connecting = asyncio.ensure_future(self._connect(key))
            self._connecting_by_key[key] = connecting
            connecting.add_done_callback(
                lambda done: self._finish_connecting(key, done)
            )
        return await asyncio.shield(connecting)

    def _finish_connecting(self, key: LinkKey, done: asyncio.Future[_Link]) -> None:
        self._connecting_by_key.pop(key, None)
        if not done.cancelled():
            done.exception()  # asyncio logs an exception that is not retrieved

    async def _connect(self, key: LinkKey) -> _Link:
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(*key.address)
        except (OSError, TimeoutError) as error:
            detail = f"no connection to {key.address}: {error}"
            raise RequestError(Outcome.NOT_RUN, "peer_unreachable", detail) from None
        link = _Link(reader, writer, self._timers)
        if not await link.check_alive(CONNECT_TIMEOUT_S):
            link.close()
            detail = f"{key.address} does not answer pings"
            raise RequestError(Outcome.NOT_RUN, "peer_unreachable", detail)
        self._links_by_key[key] = link
        return link
