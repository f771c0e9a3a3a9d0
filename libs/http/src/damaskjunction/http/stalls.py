"""Stall timeouts of reads, with one timer of the event loop for many reads."""

from __future__ import annotations

import asyncio
import math

from damaskjunction.core.units import MILLISECOND_S

PRECISION_S = MILLISECOND_S


def has_unread_data(reader: asyncio.StreamReader) -> bool:
    """Return whether data were received that nobody has read."""
    # StreamReader has no public way to look at its buffer.
    return bool(getattr(reader, "_buffer", b""))


class StallTimer:
    """Fails the reads of a stream that wait for data beyond their timeout.

    The event loop's timer is left as it is while reads succeed, and moved when it falls
    due too early. After a timeout every read of the stream fails.

    Parameters
    ----------
    reader : asyncio.StreamReader
        The stream.
    """

    def __init__(self, reader: asyncio.StreamReader) -> None:
        self._reader = reader
        self._loop = asyncio.get_running_loop()
        self._stalls_at_s = math.inf  # while no read waits
        self._handle: asyncio.TimerHandle | None = None

    async def read(self, n_bytes: int, stall_s: float) -> bytes:
        """Read up to ``n_bytes`` as soon as data arrive; empty at the stream's end.

        Raises
        ------
        TimeoutError
            When no data arrive for ``stall_s`` seconds.
        """
        self._stalls_at_s = self._loop.time() + stall_s
        if self._handle is None:
            self._schedule()
        elif self._handle.when() > self._stalls_at_s + PRECISION_S:
            self._handle.cancel()
            self._schedule()
        try:
            return await self._reader.read(n_bytes)
        finally:
            self._stalls_at_s = math.inf

    def close(self) -> None:
        """Cancel the timer of the event loop."""
        if self._handle is not None:
            self._handle.cancel()

    def _schedule(self) -> None:
        self._handle = self._loop.call_at(self._stalls_at_s, self._check)

    def _check(self) -> None:
        self._handle = None
        if has_unread_data(self._reader):
            return  # they came while the loop was late; the next read schedules again
        if self._stalls_at_s <= self._loop.time():
            self._reader.set_exception(TimeoutError())
        elif self._stalls_at_s != math.inf:
            self._schedule()
