"""Turns of the connections that have more data at hand than are handled at once."""

from __future__ import annotations

import asyncio
from collections import deque


class BacklogTurns:
    """Lets one connection with a backlog go on in each iteration of the event loop.

    It answers peers that send faster than their data are handled, many at once: other
    work, and connections without a backlog, wait for one of them at most.
    """

    def __init__(self) -> None:
        self._waiting: deque[asyncio.Future[None]] = deque()

    async def wait(self) -> None:
        """Wait for this connection's turn."""
        loop = asyncio.get_running_loop()
        turn = loop.create_future()
        self._waiting.append(turn)
        if len(self._waiting) == 1:
            loop.call_soon(self._next)
        try:
            await turn
        finally:
            turn.cancel()

    def _next(self) -> None:
        turn = self._waiting[0]
        if not turn.done():
            turn.set_result(None)
        self._waiting.popleft()
        if self._waiting:
            asyncio.get_running_loop().call_soon(self._next)
