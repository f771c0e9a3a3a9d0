"""Concurrency limits of one runner, adapted to the latency of its answers.

The limit follows additive increase and multiplicative decrease (AIMD): it grows by one
per window while the runner meets its latency targets with the limit in use, and
shrinks when the 95th percentile over the last windows exceeds a target. Several windows
are evaluated together, since one stall of this host delays a token of every stream,
which is more than 5 % of the tokens of one window. The batch limit shrinks first.
"""

from __future__ import annotations

import math
from collections import deque
from typing import NamedTuple, Protocol

from damaskjunction.core import WorkClass

WINDOW_S = 0.25
WINDOWS_KEPT = 4
MIN_SAMPLES = 40
GROW_SLACK = 1
MAX_SAMPLES = 1000
PERCENTILE = 0.95
TAIL_BOUND = 2.0
START_SHARE = 0.5
FLOOR_SHARE = 0.375
DECREASE = 0.85
BATCH_DECREASE = 0.5
GROW_BELOW = 0.9
BATCH_HEADROOM = 0.8
HOLD_S = 1.0
RETRY_GROWTH_S = 5.0
MAX_RETRY_GROWTH_S = 60.0


class Targets(NamedTuple):
    """Latency targets for the 95th percentile, in seconds."""

    first_token_s: float = 0.83
    token_interval_s: float = 0.047


class Limits(Protocol):
    """Concurrency limits of one runner, in total and for batch.

    Implementations may adapt them to the observations they are given.
    """

    @property
    def total(self) -> int:
        """Maximum number of concurrent requests."""

    @property
    def batch(self) -> int:
        """Maximum number of concurrent batch requests."""

    def set_targets(self, targets: Targets) -> None:
        """Replace the latency targets."""

    def observe_use(self, n_online: int, n_batch: int) -> None:
        """Record the number of requests in flight."""

    def observe_first_token(self, work_class: WorkClass, duration_s: float) -> None:
        """Record the time from admission to the first token, in seconds."""

    def observe_interval(self, work_class: WorkClass, interval_s: float) -> None:
        """Record the time between two tokens of one answer, in seconds."""

    def step(self, now_s: float) -> bool:
        """Update the limits to the current time; return whether they changed."""


class FixedLimits:
    """Constant limits.

    Parameters
    ----------
    slots : int
        Maximum number of concurrent requests, of any class.
    """

    def __init__(self, slots: int) -> None:
        self.total = slots
        self.batch = slots

    def set_targets(self, targets: Targets) -> None:
        """Do nothing; the limits do not depend on the targets."""

    def observe_use(self, n_online: int, n_batch: int) -> None:
        """Do nothing; the limits do not depend on the load."""

    def observe_first_token(self, work_class: WorkClass, duration_s: float) -> None:
        """Do nothing; the limits do not depend on latency."""

    def observe_interval(self, work_class: WorkClass, interval_s: float) -> None:
        """Do nothing; the limits do not depend on latency."""

    def step(self, now_s: float) -> bool:
        """Return False; the limits never change."""
        return False


class LearnedLimits:
    """Limits that adapt to the runner's token interval and time to first token.

    They start at a fraction of the runner's slots, since a new home cannot see the
    requests that other hosts have in flight there, and never exceed the slots. The
    total never falls below a fraction of the slots, since tokens may be late for
    reasons that fewer requests do not remedy.

    Parameters
    ----------
    slots : int
        Declared maximum number of concurrent requests of the runner.
    targets : Targets
        Latency targets of the runner's service.
    """

    def __init__(self, slots: int, targets: Targets) -> None:
        self._targets = targets
        self._total = _Limit(slots, floor=int(slots * FLOOR_SHARE))
        self._batch = _Limit(slots, floor=1)
        self._window = _Window()
        self._windows: deque[_Window] = deque([self._window], WINDOWS_KEPT)
        self._window_end_s = -math.inf

    @property
    def total(self) -> int:
        """Maximum number of concurrent requests."""
        return self._total.value

    @property
    def batch(self) -> int:
        """Maximum number of concurrent batch requests."""
        return self._batch.value

    def set_targets(self, targets: Targets) -> None:
        """Replace the latency targets."""
        self._targets = targets

    def observe_use(self, n_online: int, n_batch: int) -> None:
        """Record the number of requests in flight."""
        window = self._window
        window.n_used = max(window.n_used, n_online + n_batch)
        window.n_batch = max(window.n_batch, n_batch)

    def observe_first_token(self, work_class: WorkClass, duration_s: float) -> None:
        """Record the time from admission to the first token, in seconds."""
        self._window.n_first += 1
        self._window.n_late_first += duration_s > self._targets.first_token_s

    def observe_interval(self, work_class: WorkClass, interval_s: float) -> None:
        """Record the time between two tokens of one answer, in seconds."""
        samples = self._window.intervals_by_class[work_class]
        if len(samples) < MAX_SAMPLES:
            samples.append(interval_s)

    def step(self, now_s: float) -> bool:
        """Update the limits at the end of a window; return whether they changed."""
        if now_s < self._window_end_s:
            return False
        before = (self.total, self.batch)
        if self._window_end_s > -math.inf:
            self._learn(now_s)
        self._window = _Window()
        self._windows.append(self._window)
        self._window_end_s = now_s + WINDOW_S
        return (self.total, self.batch) != before

    def _learn(self, now_s: float) -> None:
        target_s = self._targets.token_interval_s
        online_s = self._interval_s(WorkClass.ONLINE)
        worst_s = max(online_s, self._interval_s(WorkClass.BATCH))
        n_batch = self._window.n_batch
        n_used = self._window.n_used
        is_late = worst_s > target_s or self._is_first_token_late()
        if n_batch and (is_late or online_s > BATCH_HEADROOM * target_s):
            self._batch.shrink(n_batch, BATCH_DECREASE, now_s)
            self._windows.clear()
        elif is_late:
            self._total.shrink(n_used, DECREASE, now_s)
            self._windows.clear()
        elif worst_s <= GROW_BELOW * target_s:
            self._total.grow(n_used + GROW_SLACK, now_s)
            self._batch.grow(n_batch, now_s)

    def _interval_s(self, work_class: WorkClass) -> float:
        """Return the high percentile of the token interval, 0 for too few samples.

        It is capped at ``TAIL_BOUND`` times the median: load delays every token, so a
        long tail over a low median has another cause.
        """
        samples = sorted(
            interval_s
            for window in self._windows
            for interval_s in window.intervals_by_class[work_class]
        )
        if len(samples) < MIN_SAMPLES:
            return 0.0
        median_s = samples[len(samples) // 2]
        high_s = samples[int(PERCENTILE * len(samples))]
        return min(high_s, TAIL_BOUND * median_s)

    def _is_first_token_late(self) -> bool:
        """Return whether more first tokens were late than the percentile allows."""
        n_first = sum(window.n_first for window in self._windows)
        n_late = sum(window.n_late_first for window in self._windows)
        return n_late > max(1.0, (1.0 - PERCENTILE) * n_first)


class _Limit:
    """An AIMD limit that backs off from the level at which it last proved too high.

    Each time that level fails again, the delay before it is tried again doubles, up to
    ``MAX_RETRY_GROWTH_S``.
    """

    def __init__(self, slots: int, *, floor: int) -> None:
        self._slots = slots
        self._floor = max(1, floor)
        self._failed = slots + 1
        self._shrunk_at_s = -math.inf
        self._retry_s = RETRY_GROWTH_S
        self.value = max(1, int(slots * START_SHARE))

    def shrink(self, n_used: int, factor: float, now_s: float) -> None:
        """Decrease the limit below the concurrency that was in use."""
        failed = min(self.value, n_used)
        is_again = failed == self._failed
        longer_s = min(2 * self._retry_s, MAX_RETRY_GROWTH_S)
        self._retry_s = longer_s if is_again else RETRY_GROWTH_S
        self._failed = failed
        self._shrunk_at_s = now_s
        self.value = max(self._floor, int(self._failed * factor))

    def grow(self, n_used: int, now_s: float) -> None:
        """Increase the limit by one if it was fully used and the delay has passed."""
        if n_used < self.value or self.value >= self._slots:
            return
        since_s = now_s - self._shrunk_at_s
        wait_s = HOLD_S if self.value + 1 < self._failed else self._retry_s
        if since_s >= wait_s:
            self.value += 1


class _Window:
    """Observations made during one window of ``WINDOW_S`` seconds."""

    def __init__(self) -> None:
        self.n_used = 0
        self.n_batch = 0
        self.n_first = 0
        self.n_late_first = 0
        self.intervals_by_class: dict[WorkClass, list[float]] = {
            work_class: [] for work_class in WorkClass
        }
