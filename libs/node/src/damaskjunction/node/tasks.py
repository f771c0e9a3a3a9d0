"""Ownership and cancellation of asyncio tasks."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine, Iterable
from typing import Any


async def cancel_tasks(tasks: Iterable[asyncio.Future[Any]]) -> None:
    """Cancel tasks and return when all have ended; their exceptions are ignored."""
    cancelled = list(tasks)
    for task in cancelled:
        task.cancel()
    await asyncio.gather(*cancelled, return_exceptions=True)


class TaskSet:
    """Background tasks, referenced until they end or ``close`` cancels them."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[None]] = set()

    def begin(self, work: Coroutine[Any, Any, None]) -> None:
        """Start a coroutine as a background task."""
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def close(self) -> None:
        """Cancel the tasks and return when all have ended."""
        await cancel_tasks(self._tasks)
