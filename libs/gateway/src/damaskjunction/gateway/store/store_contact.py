"""What a host knows of outages of the store, in which entries of runners expire."""

from __future__ import annotations

import math

from damaskjunction.core import Timers

RENEWAL_DELAY_S = 2.2  # after an outage, for a runner to write its entry again
MIN_OUTAGE_S = 0.8  # longer than the pauses between answers in calm
CLOCK_TOLERANCE_S = 0.5  # the age of an outage is told with the latency of a link


class StoreContact:
    """Tells until when an entry that is missing may have expired in an outage.

    It answers outages after which live runners are missing for a moment, and runners
    that are removed soon after one: only the end of the outage tells them apart. An
    outage is a time without answers in which the store was seen to fail; without such
    a sign, this host or the one that it reads from has stood still.

    Parameters
    ----------
    timers : Timers
        The process's timer service.
    """

    def __init__(self, timers: Timers) -> None:
        self._timers = timers
        self._answered_at_s = math.inf  # no answer yet, so none is missing
        self._has_failed = False  # since the last answer
        self._silent_from_s = self._silent_until_s = -math.inf
        self._outage_ended_at_s = -math.inf

    @property
    def outage_ended_ago_s(self) -> float | None:
        """Seconds since the end of the last outage, None if none is known."""
        if self._outage_ended_at_s == -math.inf:
            return None
        return self._timers.now() - self._outage_ended_at_s

    def expired_until_s(self) -> float:
        """Return the time until which a missing entry may be written again.

        It is in the past unless there is an outage, or was one just before.
        """
        now_s = self._timers.now()
        if self._is_away(now_s):
            return now_s + RENEWAL_DELAY_S
        return self._outage_ended_at_s + RENEWAL_DELAY_S

    def record_failure(self) -> None:
        """Record that a call of the store failed, here or at a host to read from."""
        self._has_failed = True

    def record_answer(self) -> None:
        """Record that the store has answered a call of this host."""
        now_s = self._timers.now()
        if self._is_away(now_s):
            self._outage_ended_at_s = now_s
        self._record_contact(now_s)

    def record_heartbeat(self) -> None:
        """Record that the store has answered the host from which this one reads."""
        self._record_contact(self._timers.now())

    def record_news(self, outage_ended_ago_s: float | None) -> None:
        """Record what the host from which this one reads knows of the last outage.

        It does not count if this host had contact all the while: then the other host
        was cut off, frozen or slow, and the store was not away.
        """
        now_s = self._timers.now()
        self._record_contact(now_s)
        if outage_ended_ago_s is None:
            self._outage_ended_at_s = -math.inf
            return
        ended_at_s = now_s - outage_ended_ago_s
        latest_s = self._silent_until_s + CLOCK_TOLERANCE_S
        was_silent = self._silent_from_s < ended_at_s <= latest_s
        self._outage_ended_at_s = ended_at_s if was_silent else -math.inf

    def _is_away(self, now_s: float) -> bool:
        is_silent = now_s - self._answered_at_s >= MIN_OUTAGE_S
        return is_silent and self._has_failed

    def _record_contact(self, now_s: float) -> None:
        self._has_failed = False
        if now_s - self._answered_at_s >= MIN_OUTAGE_S:
            self._silent_from_s = self._answered_at_s
            self._silent_until_s = now_s
        self._answered_at_s = now_s
