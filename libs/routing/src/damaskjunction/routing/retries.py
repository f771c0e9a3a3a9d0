"""Retries at the entry host: budget, backoff, deadlines and the final outcome.

Only the entry host, to which the caller sent the request, retries. A request that is
not idempotent is sent again only when every earlier attempt is known not to have run.
"""

from __future__ import annotations

import random
from typing import NamedTuple, TypeAlias

from damaskjunction.core import Outcome, RequestError
from damaskjunction.core.units import MILLISECOND_S

MAX_ATTEMPTS = 8  # attempts that may have run
MAX_ATTEMPTS_NOT_RUN = 32
NOT_RUN_COST = 0.2
BUDGET_SHARE = 0.2
MAX_BUDGET_BALANCE = 100.0
BACKOFF_BASE_S = 10 * MILLISECOND_S
BACKOFF_LIMIT_S = 0.5
HOP_ALLOWANCE_S = 2 * MILLISECOND_S
STANDBY_RESERVE_SHARE = 0.2  # of the budget, kept from standbys

NON_RETRYABLE_REASONS = frozenset(
    ("overloaded", "deadline", "quarantined", "crashes_runner", "bad_message")
)

# Retries after these errors take nothing from the budget. Such attempts count as not
# run, and ``MAX_ATTEMPTS_NOT_RUN`` does not end them.
BUDGET_EXEMPT_REASONS = frozenset(("preempted", "leaving", "not_home"))

_SEVERITY_BY_OUTCOME = {Outcome.NOT_RUN: 0, Outcome.RAN: 1, Outcome.UNKNOWN: 2}


class RetryBudget:
    """Retry budget proportional to the number of requests.

    Each request adds ``share`` of a retry to the balance and each retry takes one, so a
    failure of every runner multiplies the load by at most ``1 + share``.

    Parameters
    ----------
    share : float
        Retries per request in the long run.
    max_balance : float
        Maximum balance, which is also the initial balance, in retries.
    """

    def __init__(
        self, *, share: float = BUDGET_SHARE, max_balance: float = MAX_BUDGET_BALANCE
    ) -> None:
        self.share = share
        self.max_balance = max_balance
        self.balance = max_balance

    def add_request(self) -> None:
        """Credit the budget for a new request."""
        self.balance = min(self.max_balance, self.balance + self.share)

    def take_retry(self, cost: float = 1.0, reserve: float = 0.0) -> bool:
        """Withdraw a retry from the balance; return whether the balance sufficed.

        ``cost`` is below 1 after an attempt that caused no work at any runner, and
        ``reserve`` has to be left.
        """
        if self.balance - cost < reserve:
            return False
        self.balance -= cost
        return True


class Retry(NamedTuple):
    """Effect: start another attempt after ``delay_s`` seconds."""

    delay_s: float


class GiveUp(NamedTuple):
    """Effect: fail the request with ``error``."""

    error: RequestError


RetryEffect: TypeAlias = Retry | GiveUp


class Attempts:
    """Attempts of one request and the decisions to retry it.

    Parameters
    ----------
    idempotent : bool
        Whether the request may run more than once.
    deadline_at_s : float
        Deadline of the request, on the ``Timers`` clock.
    budget : RetryBudget
        The host's retry budget, shared by all requests.
    rng : random.Random
        Random number generator for the backoff jitter.
    """

    def __init__(
        self,
        *,
        idempotent: bool,
        deadline_at_s: float,
        budget: RetryBudget,
        rng: random.Random,
    ) -> None:
        self.number = 0
        self._n_not_run = 0
        self._n_standbys = 0  # that were not used
        self.outcome = Outcome.NOT_RUN
        self._idempotent = idempotent
        self._deadline_at_s = deadline_at_s
        self._budget = budget
        self._rng = rng
        budget.add_request()

    def begin_attempt(self, now_s: float) -> float:
        """Start an attempt; return the timeout for its next hop, in seconds.

        It is ``HOP_ALLOWANCE_S`` less than the remaining time, at least 0.
        """
        self.number += 1
        return self.next_hop_s(now_s)

    def next_hop_s(self, now_s: float) -> float:
        """Return the timeout for the next hop of an attempt, in seconds."""
        return max(0.0, self.remaining_s(now_s) - HOP_ALLOWANCE_S)

    @property
    def may_take_over(self) -> bool:
        """Whether another attempt may replace the current one."""
        return self._idempotent and self._n_counted < MAX_ATTEMPTS

    def begin_standby(self) -> int:
        """Start an attempt that may replace the current one; return its number.

        It is not counted unless ``use_standby`` is called. Standbys leave a part of
        the budget to attempts that have failed.

        Raises
        ------
        RequestError
            ``NOT_RUN`` while the budget is too low.
        """
        reserve = self._budget.max_balance * STANDBY_RESERVE_SHARE
        if not self._budget.take_retry(NOT_RUN_COST, reserve):
            raise RequestError(Outcome.NOT_RUN, "retry_budget")
        self.number += 1
        self._n_standbys += 1
        return self.number

    def use_standby(self) -> None:
        """Count the standby, which has replaced the attempt before."""
        self._n_standbys -= 1
        self.outcome = worst_outcome(self.outcome, Outcome.RAN)

    def remaining_s(self, now_s: float) -> float:
        """Return the seconds until the request's deadline, at least 0."""
        return max(0.0, self._deadline_at_s - now_s)

    def record_failure(self, error: RequestError, now_s: float) -> RetryEffect:
        """Record the error of the current attempt; return whether to retry."""
        is_not_run = (
            error.outcome is Outcome.NOT_RUN or error.reason in BUDGET_EXEMPT_REASONS
        )
        self._n_not_run += is_not_run
        self.outcome = worst_outcome(self.outcome, error.outcome)
        delay_s = self._backoff_s()
        if not self._may_retry(error, now_s + delay_s):
            return GiveUp(self.final_error(error))
        is_exempt = error.reason in BUDGET_EXEMPT_REASONS
        cost = NOT_RUN_COST if is_not_run else 1.0
        if not is_exempt and not self._budget.take_retry(cost):
            return GiveUp(self.final_error(error))
        return Retry(delay_s)

    def final_error(self, error: RequestError) -> RequestError:
        """Return the error for the caller, with the outcome of all attempts."""
        outcome = worst_outcome(self.outcome, error.outcome)
        return RequestError(
            outcome, error.reason, error.detail, retry_after_s=error.retry_after_s
        )

    @property
    def _n_counted(self) -> int:
        """Attempts that may have run."""
        return self.number - self._n_not_run - self._n_standbys

    def _may_retry(self, error: RequestError, next_at_s: float) -> bool:
        if error.reason in NON_RETRYABLE_REASONS or next_at_s >= self._deadline_at_s:
            return False
        if self._n_counted >= MAX_ATTEMPTS:
            return False
        is_exempt = error.reason in BUDGET_EXEMPT_REASONS
        if self._n_not_run >= MAX_ATTEMPTS_NOT_RUN and not is_exempt:
            return False
        return self._idempotent or self.outcome is Outcome.NOT_RUN

    def _backoff_s(self) -> float:
        """Return an exponential backoff delay with full jitter, in seconds.

        The first retry is delayed by at most ``BACKOFF_BASE_S``.
        """
        limit_s = BACKOFF_BASE_S * 2.0 ** min(self.number - 1, 16)
        return self._rng.uniform(0.0, min(limit_s, BACKOFF_LIMIT_S))


def worst_outcome(first: Outcome, second: Outcome) -> Outcome:
    """Return the combined outcome of a request with these two attempts.

    It is ``NOT_RUN`` only if both are; ``UNKNOWN`` takes precedence over ``RAN``.
    """
    return max(first, second, key=_SEVERITY_BY_OUTCOME.__getitem__)
