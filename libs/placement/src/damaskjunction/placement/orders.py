"""Selects the orders to send, by reconciling reported with planned assignments."""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple, TypeAlias

from damaskjunction.core import Assignment, Plan, RunnerId
from damaskjunction.placement.types import (
    RunnerState,
    RunnerStatus,
    assignment_order_key,
    assignment_state,
)


class OrderLimits(NamedTuple):
    """Limits on orders, in seconds and in messages per second.

    A runner that is still serving is drained first: it gets its order once it has no
    requests in flight, ``settle_s`` after the plan reassigned it at the earliest, and
    after ``drain_s`` in any case. An order is repeated with exponential backoff, from
    ``retry_s`` up to ``max_retry_s``. A runner that ignores fencing tokens gets no
    order before the sender has held the lease for ``unfenced_delay_s``: the longest
    pause of a former holder between its check of the lease and the send that follows.
    """

    orders_per_s: float = 20.0
    read_backs_per_s: float = 20.0
    settle_s: float = 2.0
    drain_s: float = 20.0
    retry_s: float = 2.0
    max_retry_s: float = 60.0
    unfenced_delay_s: float = 10.0


class SendOrder(NamedTuple):
    """Order an engine to serve its assignment."""

    assignment: Assignment


class ReadBack(NamedTuple):
    """Ask an engine for its state because no recent report of it exists."""

    runner_id: RunnerId


OrderAction: TypeAlias = SendOrder | ReadBack


class _RateLimiter:
    """Token bucket with a capacity of one second's worth of messages."""

    def __init__(self, per_s: float) -> None:
        self._per_s = per_s
        self._tokens = per_s
        self._refilled_at_s = 0.0

    def refill(self, now_s: float) -> None:
        n_refilled = (now_s - self._refilled_at_s) * self._per_s
        self._tokens = min(self._per_s, self._tokens + n_refilled)
        self._refilled_at_s = now_s

    def try_take(self) -> bool:
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class _PendingOrder(NamedTuple):
    """An engine that deviates from the plan, and the orders sent to correct it.

    ``key`` is the ``order_key`` of its assignment, and ``deviates_since_s`` when the
    deviation was first observed. No order is due before ``retry_at_s``.
    """

    key: str
    n_sent: int = 0
    retry_at_s: float = 0.0
    deviates_since_s: float = 0.0


class OrderScheduler:
    """Schedules the orders of a lease holder: rate limited, repeated until followed.

    Parameters
    ----------
    limits : OrderLimits, optional
        Limits on orders.
    """

    def __init__(self, limits: OrderLimits | None = None) -> None:
        self._limits = limits or OrderLimits()
        self._order_limiter = _RateLimiter(self._limits.orders_per_s)
        self._read_back_limiter = _RateLimiter(self._limits.read_backs_per_s)
        self._pending_by_runner: dict[RunnerId, _PendingOrder] = {}
        self._read_back_at_by_runner: dict[RunnerId, float] = {}

    def clear(self) -> None:
        """Drop the record of what was sent, so that a new lease starts without it."""
        self._pending_by_runner.clear()
        self._read_back_at_by_runner.clear()

    def next_actions(
        self,
        now_s: float,
        plan: Plan,
        statuses_by_runner: Mapping[RunnerId, RunnerStatus],
        *,
        held_since_s: float,
    ) -> list[OrderAction]:
        """Return the orders and read-backs that are due now.

        Parameters
        ----------
        now_s : float
            Seconds on the monotonic clock.
        plan : Plan
            The active plan.
        statuses_by_runner : mapping
            The latest state of each engine.
        held_since_s : float
            When the lease was acquired, on the same clock.
        """
        self._order_limiter.refill(now_s)
        self._read_back_limiter.refill(now_s)
        actions: list[OrderAction] = []
        due: list[Assignment] = []
        for runner_id, assignment in plan.assignments_by_runner.items():
            status = statuses_by_runner.get(runner_id)
            if status is None or status.state is RunnerState.UNKNOWN:
                actions += self._read_back(now_s, runner_id)
            elif self._needs_no_order(assignment, status):
                self._pending_by_runner.pop(runner_id, None)
            elif self._is_due(now_s, assignment, status, held_since_s):
                due.append(assignment)
        actions += self._send(now_s, due)
        self._drop_unassigned(plan)
        return actions

    def _send(self, now_s: float, due: list[Assignment]) -> list[OrderAction]:
        """Return as many orders as the rate allows, those sent least often first."""
        pending_by_runner = self._pending_by_runner
        due.sort(key=lambda assignment: pending_by_runner[assignment.runner_id].n_sent)
        actions: list[OrderAction] = []
        for assignment in due:
            if not self._order_limiter.try_take():
                break
            self._record_sent(now_s, assignment.runner_id)
            actions.append(SendOrder(assignment))
        return actions

    def _needs_no_order(self, assignment: Assignment, status: RunnerStatus) -> bool:
        state = assignment_state(assignment, status)
        return state in (
            RunnerState.READY,
            RunnerState.LOADING,
            RunnerState.UNREACHABLE,
            RunnerState.LOST,
        )

    def _read_back(self, now_s: float, runner_id: RunnerId) -> list[OrderAction]:
        last_at_s = self._read_back_at_by_runner.get(runner_id)
        if last_at_s is not None and now_s < last_at_s + self._limits.retry_s:
            return []
        if not self._read_back_limiter.try_take():
            return []
        self._read_back_at_by_runner[runner_id] = now_s
        return [ReadBack(runner_id)]

    def _is_due(
        self,
        now_s: float,
        assignment: Assignment,
        status: RunnerStatus,
        held_since_s: float,
    ) -> bool:
        key = assignment_order_key(assignment)
        pending = self._pending_by_runner.get(assignment.runner_id)
        if pending is None or pending.key != key:
            pending = _PendingOrder(key, deviates_since_s=now_s)
            self._pending_by_runner[assignment.runner_id] = pending
        if now_s < pending.retry_at_s:
            return False
        is_serving = status.state is RunnerState.READY and pending.n_sent == 0
        if is_serving and not self._is_drained(now_s, pending, status):
            return False
        return (
            status.checks_fence or now_s >= held_since_s + self._limits.unfenced_delay_s
        )

    def _is_drained(
        self, now_s: float, pending: _PendingOrder, status: RunnerStatus
    ) -> bool:
        waited_s = now_s - pending.deviates_since_s
        if waited_s >= self._limits.drain_s:
            return True
        return status.in_flight == 0 and waited_s >= self._limits.settle_s

    def _record_sent(self, now_s: float, runner_id: RunnerId) -> None:
        pending = self._pending_by_runner[runner_id]
        backoff_s = min(
            self._limits.max_retry_s, self._limits.retry_s * 2**pending.n_sent
        )
        # 16 bounds the exponent of the backoff.
        self._pending_by_runner[runner_id] = pending._replace(
            n_sent=min(pending.n_sent + 1, 16), retry_at_s=now_s + backoff_s
        )

    def _drop_unassigned(self, plan: Plan) -> None:
        for by_runner in (self._pending_by_runner, self._read_back_at_by_runner):
            for runner_id in by_runner.keys() - plan.assignments_by_runner.keys():
                del by_runner[runner_id]
