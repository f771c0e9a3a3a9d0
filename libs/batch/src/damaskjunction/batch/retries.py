"""Retry policy for items whose attempt ended without a complete response."""

from __future__ import annotations

from typing import NamedTuple, TypeAlias

from damaskjunction.core import Outcome, RequestError

PREEMPTED = "preempted"
NON_RETRYABLE_REASONS = frozenset({"quarantined", "bad_request"})
REFUSED_BY_RUNNER = "runner_refused"
MAX_REFUSALS = 50
INITIAL_DELAY_S = 0.1
MAX_DELAY_S = 5.0


class Resume(NamedTuple):
    """Resume the item after its last received token, in ``delay_s`` seconds."""

    delay_s: float


class GiveUp(NamedTuple):
    """Fail the item; ``tries`` is the number of failed attempts."""

    reason: str
    detail: str
    tries: int


RetryDecision: TypeAlias = Resume | GiveUp


class ItemRetryState:
    """Retry state of one item, with exponential backoff.

    Attempts that were refused before they ran, or preempted, do not count towards
    ``max_tries``. An item is also given up after ``MAX_REFUSALS`` refusals by runners,
    and at once for the reasons in ``NON_RETRYABLE_REASONS``. Preemption resets the
    delay.

    Parameters
    ----------
    max_tries : int
        Number of failed attempts after which the item is given up.
    """

    def __init__(self, max_tries: int) -> None:
        self._max_tries = max_tries
        self.n_failed_attempts = 0
        self._n_refusals = 0
        self._delay_s = INITIAL_DELAY_S

    def next_step(self, error: RequestError) -> RetryDecision:
        """Record a failed attempt and decide whether to resume or give up the item."""
        if error.reason in NON_RETRYABLE_REASONS:
            return GiveUp(error.reason, error.detail, self.n_failed_attempts)
        if error.reason == PREEMPTED:
            self._delay_s = INITIAL_DELAY_S
            return Resume(INITIAL_DELAY_S)
        self._count_failure(error)
        is_spent = self.n_failed_attempts >= self._max_tries
        if is_spent or self._n_refusals >= MAX_REFUSALS:
            return GiveUp(error.reason, error.detail, self.n_failed_attempts)
        delay_s = max(self._delay_s, min(error.retry_after_s, MAX_DELAY_S))
        self._delay_s = min(2 * self._delay_s, MAX_DELAY_S)
        return Resume(delay_s)

    def _count_failure(self, error: RequestError) -> None:
        if error.outcome is not Outcome.NOT_RUN:
            self.n_failed_attempts += 1
        elif error.reason == REFUSED_BY_RUNNER:
            self._n_refusals += 1
