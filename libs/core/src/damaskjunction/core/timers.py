"""The timer service: the only source of the time and of scheduled callbacks.

Callbacks run on the thread of the event loop. ``LoopTimers`` schedules them on the
event loop; ``ManualTimers`` is a simulated clock for tests and experiments.
"""

from __future__ import annotations

import asyncio
import heapq
import itertools
import math
import time
from collections.abc import Callable
from typing import Protocol, TypeAlias

Callback: TypeAlias = Callable[[], None]

WAKE_GRID_S = 0.05
_ROUNDING_MARGIN = 1e-6  # of a step of the grid


class Subscription:
    """A scheduled callback, one-shot or periodic, that can be cancelled."""

    def __init__(self, callback: Callback, interval_s: float | None) -> None:
        self.callback = callback
        self.interval_s = interval_s
        self.is_cancelled = False
        self.handle: asyncio.TimerHandle | None = None

    def cancel(self) -> None:
        """Cancel the callback; it is not called again."""
        self.is_cancelled = True
        if self.handle is not None:
            self.handle.cancel()


class Timers(Protocol):
    """Interface of the timer service."""

    def now(self) -> float:
        """Return monotonic seconds; the clock runs on while the process is stopped."""

    def wall(self) -> float:
        """Return seconds since the epoch; may jump, so unfit to measure durations."""

    def once(self, delay_s: float, callback: Callback) -> Subscription:
        """Call back once, ``delay_s`` seconds from now."""

    def every(self, interval_s: float, callback: Callback) -> Subscription:
        """Call back each ``interval_s`` seconds until cancelled."""


class LoopTimers:
    """Timer service on the running event loop of the calling thread.

    Periodic callbacks whose interval is a multiple of ``WAKE_GRID_S`` are called at
    multiples of it, so that those that fall due together wake the process once. The
    first call comes up to ``WAKE_GRID_S`` early for that.
    """

    def __init__(self) -> None:
        self._grid_origin_s = time.monotonic()

    def now(self) -> float:
        """Return seconds on the monotonic clock."""
        return time.monotonic()

    def wall(self) -> float:
        """Return seconds since the epoch."""
        return time.time()

    def once(self, delay_s: float, callback: Callback) -> Subscription:
        """Call back once, ``delay_s`` seconds from now."""
        subscription = Subscription(callback, None)
        loop = asyncio.get_running_loop()
        subscription.handle = loop.call_later(delay_s, _call_once, subscription)
        return subscription

    def every(self, interval_s: float, callback: Callback) -> Subscription:
        """Call back each ``interval_s`` seconds until cancelled."""
        subscription = Subscription(callback, interval_s)
        loop = asyncio.get_running_loop()
        self._schedule_next(subscription, interval_s, loop)
        return subscription

    def _schedule_next(
        self,
        subscription: Subscription,
        interval_s: float,
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        due_s = self._align(loop.time() + interval_s, interval_s)
        subscription.handle = loop.call_at(
            due_s, self._call_periodically, subscription, interval_s, loop
        )

    def _align(self, due_s: float, interval_s: float) -> float:
        """Return a due time moved back to the grid if the interval fits it."""
        n_steps = interval_s / WAKE_GRID_S
        if abs(n_steps - round(n_steps)) > _ROUNDING_MARGIN or round(n_steps) < 2:
            return due_s
        step = math.floor(
            (due_s - self._grid_origin_s) / WAKE_GRID_S + _ROUNDING_MARGIN
        )
        return self._grid_origin_s + step * WAKE_GRID_S

    def _call_periodically(
        self,
        subscription: Subscription,
        interval_s: float,
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        if subscription.is_cancelled:
            return
        self._schedule_next(subscription, interval_s, loop)
        subscription.callback()


def _call_once(subscription: Subscription) -> None:
    if not subscription.is_cancelled:
        subscription.callback()


class ManualTimers:
    """Timer service on a simulated clock, which only ``advance`` moves."""

    def __init__(self, start_s: float = 0.0, wall_start_s: float = 1.8e9) -> None:
        self._now_s = start_s
        self._wall_offset_s = wall_start_s - start_s
        self._insertion_order = itertools.count()
        self._pending: list[tuple[float, int, Subscription]] = []

    def now(self) -> float:
        """Return seconds on the simulated clock."""
        return self._now_s

    def wall(self) -> float:
        """Return simulated seconds since the epoch; advances with ``now``."""
        return self._now_s + self._wall_offset_s

    def once(self, delay_s: float, callback: Callback) -> Subscription:
        """Call back once, ``delay_s`` seconds from now."""
        return self._add_pending(Subscription(callback, None), delay_s)

    def every(self, interval_s: float, callback: Callback) -> Subscription:
        """Call back each ``interval_s`` seconds until cancelled."""
        return self._add_pending(Subscription(callback, interval_s), interval_s)

    def advance(self, duration_s: float) -> None:
        """Advance the clock and run the callbacks that fall due, in order of time."""
        end_s = self._now_s + duration_s
        while self._pending and self._pending[0][0] <= end_s:
            due_s, _, subscription = heapq.heappop(self._pending)
            self._now_s = due_s
            self._run_callback(subscription)
        self._now_s = end_s

    def _run_callback(self, subscription: Subscription) -> None:
        if subscription.is_cancelled:
            return
        if subscription.interval_s is not None:
            self._add_pending(subscription, subscription.interval_s)
        subscription.callback()

    def _add_pending(self, subscription: Subscription, delay_s: float) -> Subscription:
        entry = (self._now_s + delay_s, next(self._insertion_order), subscription)
        heapq.heappush(self._pending, entry)
        return subscription
