"""Forecast of the wait for a slot, from the slots and tokens of a service's runners."""

from __future__ import annotations

import math
from collections.abc import Sequence
from typing import NamedTuple

from damaskjunction.core.units import MILLISECOND_S, MINUTE_S

HOLD_TIME_MARGIN = 1.2  # factor on the mean hold time
MAX_WAIT_S = MINUTE_S
PRECISION_S = MILLISECOND_S
ROUNDING_ERROR = 1e-6  # of a token


class RunnerSupply(NamedTuple):
    """What one runner has to offer to online requests.

    ``n_slots`` slots are in use by them, by batch or by nobody, and ``n_free`` of these
    not by online requests. ``tokens`` may start now by the runner's rate limit, and
    ``limit_per_s`` more in each second; both are infinite without a limit.
    """

    n_slots: int
    n_free: int
    tokens: float = math.inf
    limit_per_s: float = math.inf


class WaitForecast:
    """Times at which waiting online requests are expected to start.

    A slot comes free each time a request ends, which is taken as even over time. A
    token of a rate limit comes at a known time, so it is counted when it is whole.

    Parameters
    ----------
    supplies : sequence of RunnerSupply
        The usable runners.
    mean_hold_s : float
        Mean time in seconds for which an online request holds a slot.
    """

    def __init__(self, supplies: Sequence[RunnerSupply], mean_hold_s: float) -> None:
        self.mean_hold_s = mean_hold_s
        self._hold_s = HOLD_TIME_MARGIN * mean_hold_s
        self._limited = [s for s in supplies if s.tokens != math.inf]
        unlimited = [s for s in supplies if s.tokens == math.inf]
        self._n_free = sum(s.n_free for s in unlimited)
        self._n_slots = sum(s.n_slots for s in unlimited)

    @property
    def n_served_at_once(self) -> float:
        """Number of online requests that can run at a time, limits considered."""
        return self._n_slots + sum(
            min(supply.n_slots, supply.limit_per_s * self.mean_hold_s)
            for supply in self._limited
        )

    def wait_s(self, place: int) -> float:
        """Return the wait in seconds of the request behind ``place`` others."""
        n_starts = place + 1
        if not self._limited:
            return self._wait_for_slots_s(n_starts)
        if self._n_starts_within(0.0) >= n_starts:
            return 0.0
        return self._wait_by_search_s(n_starts)

    def _wait_for_slots_s(self, n_starts: int) -> float:
        n_ahead = max(0, n_starts - self._n_free)
        return n_ahead * self._hold_s / (self._n_slots or 1)

    def _wait_by_search_s(self, n_starts: int) -> float:
        too_short_s, enough_s = 0.0, MAX_WAIT_S
        while enough_s - too_short_s > PRECISION_S:
            middle_s = (too_short_s + enough_s) / 2
            if self._n_starts_within(middle_s) >= n_starts:
                enough_s = middle_s
            else:
                too_short_s = middle_s
        return enough_s

    def _n_starts_within(self, duration_s: float) -> float:
        """Return how many requests can start in the next ``duration_s`` seconds."""
        n_holds = duration_s / self._hold_s
        return (
            self._n_free
            + self._n_slots * n_holds
            + sum(
                math.floor(
                    min(
                        supply.n_free + supply.n_slots * n_holds,
                        supply.tokens + supply.limit_per_s * duration_s,
                    )
                    + ROUNDING_ERROR
                )
                for supply in self._limited
            )
        )
