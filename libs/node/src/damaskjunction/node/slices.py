"""Cooperative scheduling of long computations on the event loop."""

from __future__ import annotations

import asyncio
from collections.abc import Generator
from typing import TypeVar

T = TypeVar("T")


async def run_in_slices(slices: Generator[None, None, T]) -> T:
    """Run a generator to its end and return its result.

    Control returns to the event loop at each ``yield``, so that a long computation does
    not block other tasks.
    """
    while True:
        try:
            next(slices)
        except StopIteration as stop:
            result: T = stop.value
            return result
        await asyncio.sleep(0)
