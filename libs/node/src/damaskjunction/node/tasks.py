"""Ownership and cancellation of asyncio tasks."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable, Coroutine, Iterable
from typing import Any, TypeAlias

logger = logging.getLogger(__name__)

RESTART_DELAY_S = 0.5

Work: TypeAlias = Callable[[], Awaitable[None]]


async def cancel_tasks(tasks: Iterable[asyncio.Future[Any]]) -> None:
    """Cancel tasks and return when all have ended; their exceptions are ignored."""
    cancelled = list(tasks)
    for task in cancelled:
        task.cancel()
    await asyncio.gather(*cancelled, return_exceptions=True)


async def supervise(name: str, work: Work) -> None:
    """Run work that goes on until it is cancelled; start it again when it fails.

    An unexpected error, such as one odd message, costs the step at which it came.

    Parameters
    ----------
    name : str
        Name of the work in the log.
    work : callable
        Coroutine function that does the work.
    """
    while True:
        try:
            await run_once(name, work)
            return
        except Exception:
            logger.exception("work failed, started again", extra={"work": name})
        await asyncio.sleep(RESTART_DELAY_S)


async def run_once(name: str, work: Work) -> None:
    """Run supervised work up to its end or its failure."""
    await work()


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
