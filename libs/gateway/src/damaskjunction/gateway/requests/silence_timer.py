"""A timer for the silences of a runner."""

from __future__ import annotations

import math
from collections.abc import Callable

from damaskjunction.core import Subscription, Timers
from damaskjunction.core.units import MILLISECOND_S

PRECISION_S = MILLISECOND_S


class SilenceTimer:
    """Calls back when a wait lasts longer than its limit, once for each wait.

    One timer of the service is left as it is while waits end in time.

    Parameters
    ----------
    timers : Timers
        The process's timer service.
    callback : callable
        Called at the limit.
    """

    def __init__(self, timers: Timers, callback: Callable[[], None]) -> None:
        self._timers = timers
        self._callback = callback
        self._silent_at_s = math.inf  # while nothing is waited for
        self._due_at_s = math.inf
        self._subscription: Subscription | None = None

    def begin(self, limit_s: float) -> None:
        """Begin a wait, in place of the one before."""
        self._silent_at_s = self._timers.now() + limit_s
        if self._due_at_s > self._silent_at_s + PRECISION_S:
            self._schedule()

    def end(self) -> None:
        """End the wait."""
        self._silent_at_s = math.inf

    def close(self) -> None:
        """Cancel the timer."""
        self.end()
        if self._subscription is not None:
            self._subscription.cancel()

    def _schedule(self) -> None:
        if self._subscription is not None:
            self._subscription.cancel()
        self._due_at_s = self._silent_at_s
        delay_s = self._due_at_s - self._timers.now()
        self._subscription = self._timers.once(delay_s, self._check)

    def _check(self) -> None:
        self._due_at_s = math.inf
        self._subscription = None
        if self._silent_at_s <= self._timers.now() + PRECISION_S:
            self.end()
            self._callback()
        elif self._silent_at_s != math.inf:
            self._schedule()
