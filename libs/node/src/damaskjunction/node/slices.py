"""Long work on the loop, in slices that leave it free in between."""

from __future__ import annotations

import asyncio
from collections.abc import Generator
from typing import TypeVar

T = TypeVar("T")


async def run_in_slices(slices: Generator[None, None, T]) -> T:
    """Return the result of work that yields after each slice."""
    while True:
        try:
            next(slices)
        except StopIteration as stop:
            result: T = stop.value
            return result
        await asyncio.sleep(0)
