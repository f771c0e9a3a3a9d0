"""Time limit for the next message of an answer, with grace for a busy event loop."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncGenerator
from typing import TypeVar

MessageT = TypeVar("MessageT")


async def next_message(
    messages: AsyncGenerator[MessageT, None], timeout_s: float, grace_s: float
) -> MessageT | None:
    """Return the next message, None after the last.

    The grace begins when the loop gets to the timeout. A loop that is late handles
    first what came in meanwhile.

    Raises
    ------
    TimeoutError
        If there is none ``grace_s`` seconds after that.
    """
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(None) as limit:
        timer = loop.call_later(
            timeout_s, lambda: limit.reschedule(loop.time() + grace_s)
        )
        try:
            return await anext(messages, None)
        finally:
            timer.cancel()
