"""How many items a host keeps in flight, learned from how long they wait."""

from __future__ import annotations

MIN_ITEMS = 1.0
FIRST_ITEMS = 4.0
MAX_ITEMS = 512.0
FEW_WAITING = 2.0
MANY_WAITING = 6.0
REFUSED_FACTOR = 0.7
BASE_DRIFT = 0.001


class InFlightWindow:
    """A congestion window on items in flight.

    The shortest wait for a first token is what a runner with room takes; a longer
    wait tells how many of this host's items wait for admission. The window keeps a few
    waiting, so that a free slot is filled at once, and no more.
    """

    def __init__(self) -> None:
        self._limit = FIRST_ITEMS
        self._base_s = float("inf")

    @property
    def limit(self) -> int:
        """Items that may be in flight."""
        return int(self._limit)

    def admitted(self, wait_s: float, n_in_flight: int) -> None:
        """Take note of the seconds from an item's start to its first token."""
        self._base_s = min(self._base_s * (1 + BASE_DRIFT), max(wait_s, 1e-6))
        n_waiting = self._limit * (1 - self._base_s / max(wait_s, self._base_s))
        if n_waiting > MANY_WAITING:
            self._limit = max(MIN_ITEMS, self._limit - 1 / self._limit)
        elif n_waiting < FEW_WAITING and n_in_flight >= self.limit:
            self._limit = min(MAX_ITEMS, self._limit + 1)

    def refused(self) -> None:
        """Take note that an item was refused or had its slot taken away."""
        self._limit = max(MIN_ITEMS, self._limit * REFUSED_FACTOR)
