"""The end of tasks that a part owns."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
from typing import Any


async def end_tasks(tasks: Iterable[asyncio.Future[Any]]) -> None:
    """Cancel tasks and return when each has ended, however it did."""
    ending = list(tasks)
    for task in ending:
        task.cancel()
    await asyncio.gather(*ending, return_exceptions=True)
