"""Concurrency limits of one runner, adapted to the latency of its answers.

The limit follows additive increase and multiplicative decrease (AIMD): it grows by one
per window while it is fully used and the runner meets its latency targets, and
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
MAX_WINDOWS = 4
MIN_SAMPLES = 40
GROWTH_SLACK = 1  # a limit with one free slot counts as fully used
MAX_SAMPLES = 1000  # per window and work class
PERCENTILE = 0.95
MAX_TAIL_RATIO = 2.0
INITIAL_SHARE = 0.5  # fraction of the slots
MIN_SHARE = 0.375  # fraction of the slots
DECREASE_FACTOR = 0.85
BATCH_DECREASE_FACTOR = 0.5
GROWTH_THRESHOLD = 0.9  # fraction of the token interval target
BATCH_DECREASE_THRESHOLD = 0.8  # fraction of the target, for online intervals
GROWTH_DELAY_S = 1.0  # since the last decrease
REGROWTH_DELAY_S = 5.0  # before a level that was too high is allowed again
MAX_REGROWTH_DELAY_S = 60.0


class LatencyTargets(NamedTuple):
    """Latency targets for the 95th percentile, in seconds."""

    first_token_s: float = 0.83
    token_interval_s: float = 0.047


class ConcurrencyLimits(Protocol):
    """Concurrency limits of one runner, in total and for batch.

    Implementations may adapt them to the observations they are given.
    """

    @property
    def total(self) -> int:
        """Maximum number of concurrent requests."""

    @property
    def batch(self) -> int:
        """Maximum number of concurrent batch requests."""

    def set_targets(self, targets: LatencyTargets) -> None:
        """Replace the latency targets."""

    def observe_in_flight(self, n_online: int, n_batch: int) -> None:
        """Record the number of requests in flight."""

    def observe_first_token(self, work_class: WorkClass, duration_s: float) -> None:
        """Record the time from admission to the first token, in seconds."""

    def observe_interval(self, work_class: WorkClass, interval_s: float) -> None:
        """Record the time between two tokens of one answer, in seconds."""

    def update(self, now_s: float) -> bool:
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

    def set_targets(self, targets: LatencyTargets) -> None:
        """Do nothing; the limits do not depend on the targets."""

    def observe_in_flight(self, n_online: int, n_batch: int) -> None:
        """Do nothing; the limits do not depend on the load."""

    def observe_first_token(self, work_class: WorkClass, duration_s: float) -> None:
        """Do nothing; the limits do not depend on latency."""

    def observe_interval(self, work_class: WorkClass, interval_s: float) -> None:
        """Do nothing; the limits do not depend on latency."""

    def update(self, now_s: float) -> bool:
        """Return False; the limits never change."""
        return False


class AdaptiveLimits:
    """Limits that adapt to the runner's token interval and time to first token.

    They start at a fraction of the runner's slots, since a new home cannot see the
    requests that other hosts have in flight there, and never exceed the slots. The
    total never falls below a fraction of the slots, since tokens may be late for
    reasons that fewer requests do not remedy.

    Parameters
    ----------
    slots : int
        Declared maximum number of concurrent requests of the runner.
    targets : LatencyTargets
        Latency targets of the runner's service.
    """

    def __init__(self, slots: int, targets: LatencyTargets) -> None:
        self._targets = targets
        self._total = _AimdLimit(slots, floor=int(slots * MIN_SHARE))
        self._batch = _AimdLimit(slots, floor=1)
        self._window = _Window()
        self._windows: deque[_Window] = deque([self._window], MAX_WINDOWS)
        self._window_end_s = -math.inf

    @property
    def total(self) -> int:
        """Maximum number of concurrent requests."""
        return self._total.value

    @property
    def batch(self) -> int:
        """Maximum number of concurrent batch requests."""
        return self._batch.value

    def set_targets(self, targets: LatencyTargets) -> None:
        """Replace the latency targets."""
        self._targets = targets

    def observe_in_flight(self, n_online: int, n_batch: int) -> None:
        """Record the number of requests in flight."""
        window = self._window
        window.n_in_flight = max(window.n_in_flight, n_online + n_batch)
        window.n_batch = max(window.n_batch, n_batch)

    def observe_first_token(self, work_class: WorkClass, duration_s: float) -> None:
        """Record the time from admission to the first token, in seconds."""
        self._window.n_first_tokens += 1
        self._window.n_late_first_tokens += duration_s > self._targets.first_token_s

    def observe_interval(self, work_class: WorkClass, interval_s: float) -> None:
        """Record the time between two tokens of one answer, in seconds."""
        samples = self._window.intervals_by_class[work_class]
        if len(samples) < MAX_SAMPLES:
            samples.append(interval_s)

    def update(self, now_s: float) -> bool:
        """Update the limits at the end of a window; return whether they changed."""
        if now_s < self._window_end_s:
            return False
        before = (self.total, self.batch)
        if self._window_end_s > -math.inf:
            self._adapt(now_s)
        self._window = _Window()
        self._windows.append(self._window)
        self._window_end_s = now_s + WINDOW_S
        return (self.total, self.batch) != before

    def _adapt(self, now_s: float) -> None:
        target_s = self._targets.token_interval_s
        online_s = self._interval_s(WorkClass.ONLINE)
        highest_s = max(online_s, self._interval_s(WorkClass.BATCH))
        n_batch = self._window.n_batch
        n_in_flight = self._window.n_in_flight
        is_late = highest_s > target_s or self._is_first_token_late()
        if n_batch and (is_late or online_s > BATCH_DECREASE_THRESHOLD * target_s):
            self._batch.decrease(n_batch, BATCH_DECREASE_FACTOR, now_s)
            self._windows.clear()
        elif is_late:
            self._total.decrease(n_in_flight, DECREASE_FACTOR, now_s)
            self._windows.clear()
        elif highest_s <= GROWTH_THRESHOLD * target_s:
            self._total.increase(n_in_flight + GROWTH_SLACK, now_s)
            self._batch.increase(n_batch, now_s)

    def _interval_s(self, work_class: WorkClass) -> float:
        """Return the 95th percentile of the token interval, 0 for too few samples.

        It is capped at ``MAX_TAIL_RATIO`` times the median: load delays every token, so
        a long tail over a low median has another cause.
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
        return min(high_s, MAX_TAIL_RATIO * median_s)

    def _is_first_token_late(self) -> bool:
        """Return whether more first tokens were late than the percentile allows."""
        n_first_tokens = sum(window.n_first_tokens for window in self._windows)
        n_late = sum(window.n_late_first_tokens for window in self._windows)
        return n_late > max(1.0, (1.0 - PERCENTILE) * n_first_tokens)


class _AimdLimit:
    """An AIMD limit that backs off from the level at which it last proved too high.

    Each time that level fails again, the delay before it is tried again doubles, up to
    ``MAX_REGROWTH_DELAY_S``.
    """

    def __init__(self, slots: int, *, floor: int) -> None:
        self._slots = slots
        self._floor = max(1, floor)
        self._overload_level = slots + 1
        self._decreased_at_s = -math.inf
        self._regrowth_delay_s = REGROWTH_DELAY_S
        self.value = max(1, int(slots * INITIAL_SHARE))

    def decrease(self, n_in_flight: int, factor: float, now_s: float) -> None:
        """Decrease the limit below the concurrency that was in use."""
        level = min(self.value, n_in_flight)
        is_same_level = level == self._overload_level
        doubled_s = min(2 * self._regrowth_delay_s, MAX_REGROWTH_DELAY_S)
        self._regrowth_delay_s = doubled_s if is_same_level else REGROWTH_DELAY_S
        self._overload_level = level
        self._decreased_at_s = now_s
        self.value = max(self._floor, int(self._overload_level * factor))

    def increase(self, n_in_flight: int, now_s: float) -> None:
        """Increase the limit by one if it was fully used and the delay has passed."""
        if n_in_flight < self.value or self.value >= self._slots:
            return
        elapsed_s = now_s - self._decreased_at_s
        delay_s = (
            GROWTH_DELAY_S
            if self.value + 1 < self._overload_level
            else self._regrowth_delay_s
        )
        if elapsed_s >= delay_s:
            self.value += 1


class _Window:
    """Observations made during one window of ``WINDOW_S`` seconds."""

    def __init__(self) -> None:
        self.n_in_flight = 0
        self.n_batch = 0
        self.n_first_tokens = 0
        self.n_late_first_tokens = 0
        self.intervals_by_class: dict[WorkClass, list[float]] = {
            work_class: [] for work_class in WorkClass
        }
