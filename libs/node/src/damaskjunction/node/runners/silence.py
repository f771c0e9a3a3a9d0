"""Tells that a runner has fallen silent, while it keeps the request."""

from __future__ import annotations

import asyncio
import math
from collections import deque
from collections.abc import AsyncGenerator
from typing import NamedTuple, TypeAlias

from damaskjunction.node.tasks import cancel_tasks
from damaskjunction.routing import AnswerPart, RunnerLoad, RunnerSilent

MAX_AHEAD = 16  # messages read before they are taken

AnswerMessage: TypeAlias = AnswerPart | RunnerLoad | RunnerSilent


class SilenceLimits(NamedTuple):
    """Seconds without a message after which a runner counts as silent."""

    first_s: float
    next_s: float


async def tell_silence(
    messages: AsyncGenerator[AnswerMessage, None], attempt: int, limits: SilenceLimits
) -> AsyncGenerator[AnswerMessage, None]:
    """Yield the messages of an answer, and in each silence one that tells it.

    Parameters
    ----------
    messages : async generator
        The answer; the caller closes it.
    attempt : int
        The attempt that the answer belongs to.
    limits : SilenceLimits
        How long each wait for a message may last.
    """
    reader = _Reader(messages)
    limit_s = limits.first_s
    try:
        while not reader.is_ended:
            if not await reader.wait(limit_s):
                yield RunnerSilent(attempt)
                await reader.wait(math.inf)
            while (message := reader.take()) is not None:
                yield message
            limit_s = limits.next_s
        reader.check()
    finally:
        await reader.close()


class _Reader:
    """Reads messages in a task of its own, ``MAX_AHEAD`` ahead at most.

    Parameters
    ----------
    messages : async generator
        The messages; read in one task, as one for each message costs as much as
        handling it.
    """

    def __init__(self, messages: AsyncGenerator[AnswerMessage, None]) -> None:
        self._messages = messages
        self._ahead: deque[AnswerMessage] = deque()
        self._has_room = asyncio.Event()
        self._waiter: asyncio.Future[None] | None = None
        self._task = asyncio.ensure_future(self._read())
        self._task.add_done_callback(lambda _: self._wake())

    @property
    def is_ended(self) -> bool:
        """Whether all messages were taken."""
        return self._task.done() and not self._ahead

    def take(self) -> AnswerMessage | None:
        """Return the next message that was read, if any."""
        if not self._ahead:
            return None
        self._has_room.set()
        return self._ahead.popleft()

    async def wait(self, limit_s: float) -> bool:
        """Return whether there is a message, or the end, within a time."""
        if self._ahead or self._task.done():
            return True
        loop = asyncio.get_running_loop()
        self._waiter = loop.create_future()
        timer = loop.call_later(limit_s, self._wake) if limit_s < math.inf else None
        try:
            await self._waiter
        finally:
            self._waiter = None
            if timer is not None:
                timer.cancel()
        return bool(self._ahead) or self._task.done()

    def check(self) -> None:
        """Raise the error that ended the messages, if any."""
        self._task.result()

    async def close(self) -> None:
        """Stop reading."""
        if not self._task.done():
            await cancel_tasks((self._task,))

    async def _read(self) -> None:
        async for message in self._messages:
            self._ahead.append(message)
            self._wake()
            if len(self._ahead) >= MAX_AHEAD:
                self._has_room.clear()
                await self._has_room.wait()

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)
