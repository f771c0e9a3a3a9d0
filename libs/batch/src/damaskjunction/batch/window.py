"""Adaptive limit on a host's items in flight, driven by queueing delay."""

from __future__ import annotations

# Limits on items in flight, and the estimated number of them that should be queued.
MIN_ITEMS = 1.0
INITIAL_ITEMS = 4.0
MAX_ITEMS = 512.0
MIN_QUEUED = 2.0
MAX_QUEUED = 6.0
DECREASE_FACTOR = 0.7
# Fraction by which the baseline rises per first token, so that an outdated minimum
# does not persist.
BASELINE_DRIFT = 0.001


class InFlightWindow:
    """Delay-based congestion window on items in flight, similar to TCP Vegas.

    The shortest time to first token is the baseline latency of a runner with a free
    slot. The excess over the baseline estimates how many of this host's items are
    queued for admission. The window keeps a few items queued, so that a free slot is
    filled immediately, and no more.
    """

    def __init__(self) -> None:
        self._limit = INITIAL_ITEMS
        self._baseline_s = float("inf")

    @property
    def limit(self) -> int:
        """Maximum number of items in flight."""
        return int(self._limit)

    def record_first_token(self, wait_s: float, n_in_flight: int) -> None:
        """Adjust the limit to an item's time to first token in seconds.

        The limit rises only while as many items are in flight as it allows.
        """
        self._baseline_s = min(
            self._baseline_s * (1 + BASELINE_DRIFT), max(wait_s, 1e-6)
        )
        n_queued = self._limit * (1 - self._baseline_s / max(wait_s, self._baseline_s))
        if n_queued > MAX_QUEUED:
            self._limit = max(MIN_ITEMS, self._limit - 1 / self._limit)
        elif n_queued < MIN_QUEUED and n_in_flight >= self.limit:
            self._limit = min(MAX_ITEMS, self._limit + 1)

    def record_refusal(self) -> None:
        """Reduce the limit after an item was refused or preempted."""
        self._limit = max(MIN_ITEMS, self._limit * DECREASE_FACTOR)
