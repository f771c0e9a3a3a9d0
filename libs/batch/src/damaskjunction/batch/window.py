"""Adaptive limit on a host's items in flight, driven by queueing delay."""

from __future__ import annotations

MIN_ITEMS = 1.0
FIRST_ITEMS = 4.0
MAX_ITEMS = 512.0
FEW_WAITING = 2.0
MANY_WAITING = 6.0
REFUSED_FACTOR = 0.7
BASE_DRIFT = 0.001


class InFlightWindow:
    """Delay-based congestion window on items in flight, similar to TCP Vegas.

    The shortest time to first token is the baseline latency of a runner with a free
    slot. The excess over the baseline estimates how many of this host's items are
    queued for admission. The window keeps a few items queued, so that a free slot is
    filled immediately, and no more.
    """

    def __init__(self) -> None:
        self._limit = FIRST_ITEMS
        self._base_s = float("inf")

    @property
    def limit(self) -> int:
        """Maximum number of items in flight."""
        return int(self._limit)

    def admitted(self, wait_s: float, n_in_flight: int) -> None:
        """Adjust the limit to an item's time to first token in seconds."""
        self._base_s = min(self._base_s * (1 + BASE_DRIFT), max(wait_s, 1e-6))
        n_waiting = self._limit * (1 - self._base_s / max(wait_s, self._base_s))
        if n_waiting > MANY_WAITING:
            self._limit = max(MIN_ITEMS, self._limit - 1 / self._limit)
        elif n_waiting < FEW_WAITING and n_in_flight >= self.limit:
            self._limit = min(MAX_ITEMS, self._limit + 1)

    def refused(self) -> None:
        """Reduce the limit after an item was refused or preempted."""
        self._limit = max(MIN_ITEMS, self._limit * REFUSED_FACTOR)
