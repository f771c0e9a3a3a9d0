"""Sums whose terms lose weight over time."""

from __future__ import annotations

import math


class DecayedSum:
    """A sum whose terms lose weight over time, as a mean per second.

    Parameters
    ----------
    window_s : float
        Seconds after which a term has lost all but 1/e of its weight.
    """

    def __init__(self, window_s: float) -> None:
        self._window_s = window_s
        self._sum = 0.0
        self._at_s = 0.0

    def add(self, amount: float, now_s: float) -> None:
        """Add a term."""
        self._sum = self._sum_at(now_s) + amount
        self._at_s = now_s

    def per_second(self, now_s: float) -> float:
        """Return the weighted sum of the terms per second."""
        return self._sum_at(now_s) / self._window_s

    def _sum_at(self, now_s: float) -> float:
        if not self._sum:
            return 0.0
        return self._sum * math.exp((self._at_s - now_s) / self._window_s)
