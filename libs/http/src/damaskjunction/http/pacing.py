"""Pacing of reads: many responses are read at the same time, at intervals."""

from __future__ import annotations

import asyncio

from damaskjunction.core import Timers


class ReadPacer:
    """Lets the readers of many responses read together, once in each interval.

    Readers that read when their data arrive wake the process for each piece of each
    response.

    Parameters
    ----------
    timers : Timers
        The process's timer service.
    interval_s : float
        Seconds from the first reader's wait to the next reads of all.
    """

    def __init__(self, timers: Timers, interval_s: float) -> None:
        self._timers = timers
        self._interval_s = interval_s
        self._turn: asyncio.Event | None = None

    async def wait(self) -> None:
        """Wait for the next reads, at most ``interval_s`` seconds."""
        if self._turn is None:
            self._turn = asyncio.Event()
            self._timers.once(self._interval_s, self._begin_reads)
        await self._turn.wait()

    def _begin_reads(self) -> None:
        turn, self._turn = self._turn, None
        if turn is not None:
            turn.set()
