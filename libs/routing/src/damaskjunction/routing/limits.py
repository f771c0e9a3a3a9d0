"""How many requests one runner takes at once, learned from its answers.

The limit follows additive increase and multiplicative decrease (AIMD): it grows by one
a window while the runner meets its targets with the limit in use, and shrinks when the
95th percentile of the last windows passes a target. Several windows are looked at
together, since one stall of this host delays a token of each stream, which is more
than 5 in 100 tokens of one window. Batch shrinks first.
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
START_SHARE = 0.5
DECREASE = 0.85
BATCH_DECREASE = 0.5
GROW_BELOW = 0.9
BATCH_HEADROOM = 0.8
HOLD_S = 1.0
RETRY_GROWTH_S = 5.0
MAX_RETRY_GROWTH_S = 60.0


class Targets(NamedTuple):
    """What 95 in 100 requests should see, in seconds."""

    first_token_s: float = 0.83
    token_interval_s: float = 0.047


class Limits(Protocol):
    """Limits of one runner, total and for batch, which observations may move."""

    @property
    def total(self) -> int:
        """Most requests at once."""

    @property
    def batch(self) -> int:
        """Most batch requests at once."""

    def set_targets(self, targets: Targets) -> None:
        """Hold the runner against other targets from now on."""

    def observe_use(self, n_online: int, n_batch: int) -> None:
        """Note how many requests are under way."""

    def observe_first_token(self, work_class: WorkClass, duration_s: float) -> None:
        """Note the time from admission to the first token."""

    def observe_interval(self, work_class: WorkClass, interval_s: float) -> None:
        """Note the time between two tokens of one answer."""

    def step(self, now_s: float) -> bool:
        """Return whether the limits moved, now that time has passed."""


class FixedLimits:
    """Limits that nothing moves.

    Parameters
    ----------
    slots : int
        Most requests at once, of any class.
    """

    def __init__(self, slots: int) -> None:
        self.total = slots
        self.batch = slots

    def set_targets(self, targets: Targets) -> None:
        """Ignore the targets."""

    def observe_use(self, n_online: int, n_batch: int) -> None:
        """Ignore the use."""

    def observe_first_token(self, work_class: WorkClass, duration_s: float) -> None:
        """Ignore the time."""

    def observe_interval(self, work_class: WorkClass, interval_s: float) -> None:
        """Ignore the time."""

    def step(self, now_s: float) -> bool:
        """Leave the limits as they are."""
        return False


class LearnedLimits:
    """Limits that follow the runner's token interval and first-token time.

    They start at a part of the runner's slots, since a new home can't see what others
    have under way there, and never pass the slots.

    Parameters
    ----------
    slots : int
        Most requests that the runner is said to take at once.
    targets : Targets
        What the runner's service should keep to.
    """

    def __init__(self, slots: int, targets: Targets) -> None:
        self._targets = targets
        self._total = _Limit(slots)
        self._batch = _Limit(slots)
        self._window = _Window()
        self._windows: deque[_Window] = deque([self._window], WINDOWS_KEPT)
        self._window_end_s = -math.inf

    @property
    def total(self) -> int:
        """Most requests at once."""
        return self._total.value

    @property
    def batch(self) -> int:
        """Most batch requests at once."""
        return self._batch.value

    def set_targets(self, targets: Targets) -> None:
        """Hold the runner against other targets from now on."""
        self._targets = targets

    def observe_use(self, n_online: int, n_batch: int) -> None:
        """Note how many requests are under way."""
        window = self._window
        window.n_used = max(window.n_used, n_online + n_batch)
        window.n_batch = max(window.n_batch, n_batch)

    def observe_first_token(self, work_class: WorkClass, duration_s: float) -> None:
        """Note the time from admission to the first token."""
        self._window.n_first += 1
        self._window.n_late_first += duration_s > self._targets.first_token_s

    def observe_interval(self, work_class: WorkClass, interval_s: float) -> None:
        """Note the time between two tokens of one answer."""
        samples = self._window.intervals_by_class[work_class]
        if len(samples) < MAX_SAMPLES:
            samples.append(interval_s)

    def step(self, now_s: float) -> bool:
        """Move the limits at the end of a window; return whether they moved."""
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
        if n_batch and online_s > BATCH_HEADROOM * target_s:
            self._batch.shrink(n_batch, BATCH_DECREASE, now_s)
            self._windows.clear()
        elif worst_s > target_s or self._is_first_token_late():
            self._total.shrink(n_used, DECREASE, now_s)
            self._windows.clear()
        elif worst_s <= GROW_BELOW * target_s:
            self._total.grow(n_used + GROW_SLACK, now_s)
            self._batch.grow(n_batch, now_s)

    def _interval_s(self, work_class: WorkClass) -> float:
        """Return the high percentile of the token interval, 0 for too few."""
        samples = sorted(
            interval_s
            for window in self._windows
            for interval_s in window.intervals_by_class[work_class]
        )
        if len(samples) < MIN_SAMPLES:
            return 0.0
        return samples[int(PERCENTILE * len(samples))]

    def _is_first_token_late(self) -> bool:
        """Return whether more first tokens came late than the target allows."""
        n_first = sum(window.n_first for window in self._windows)
        n_late = sum(window.n_late_first for window in self._windows)
        return n_late > max(1.0, (1.0 - PERCENTILE) * n_first)


class _Limit:
    """One limit, which remembers for a while where it was too high.

    Each time it fails there again, it waits twice as long until the next try.
    """

    def __init__(self, slots: int) -> None:
        self._slots = slots
        self._failed = slots + 1
        self._shrunk_at_s = -math.inf
        self._retry_s = RETRY_GROWTH_S
        self.value = max(1, int(slots * START_SHARE))

    def shrink(self, n_used: int, factor: float, now_s: float) -> None:
        """Fall below what was in use."""
        failed = min(self.value, n_used)
        is_again = failed == self._failed
        longer_s = min(2 * self._retry_s, MAX_RETRY_GROWTH_S)
        self._retry_s = longer_s if is_again else RETRY_GROWTH_S
        self._failed = failed
        self._shrunk_at_s = now_s
        self.value = max(1, int(self._failed * factor))

    def grow(self, n_used: int, now_s: float) -> None:
        """Rise by one when the limit was in use."""
        if n_used < self.value or self.value >= self._slots:
            return
        since_s = now_s - self._shrunk_at_s
        wait_s = HOLD_S if self.value + 1 < self._failed else self._retry_s
        if since_s >= wait_s:
            self.value += 1


class _Window:
    """Observations of one window."""

    def __init__(self) -> None:
        self.n_used = 0
        self.n_batch = 0
        self.n_first = 0
        self.n_late_first = 0
        self.intervals_by_class: dict[WorkClass, list[float]] = {
            work_class: [] for work_class in WorkClass
        }
