"""Tells that a runner has fallen silent, while it keeps the request."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncGenerator
from typing import NamedTuple, TypeAlias

from damaskjunction.node.tasks import cancel_tasks
from damaskjunction.routing import AnswerPart, RunnerLoad, RunnerSilent

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
    limit_s = limits.first_s
    while True:
        pending = asyncio.ensure_future(anext(messages, None))
        try:
            await asyncio.wait((pending,), timeout=limit_s)
            if not pending.done():
                yield RunnerSilent(attempt)
            message = await pending
        finally:
            await cancel_tasks((pending,))
        if message is None:
            return
        yield message
        limit_s = limits.next_s
