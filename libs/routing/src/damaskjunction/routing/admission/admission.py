"""Admission control of one runner, done by the runner's home."""

from __future__ import annotations

from collections import OrderedDict
from typing import NamedTuple, TypeAlias

from damaskjunction.core import RequestId, WorkClass, WorkspaceName
from damaskjunction.routing.admission.limits import ConcurrencyLimits, LatencyTargets
from damaskjunction.routing.admission.queues import AdmissionTicket, FairQueue

MAX_ONLINE_QUEUE = 64
MAX_BATCH_QUEUE = 64
RESERVE_SLOTS = 1  # left free by batch
RESERVE_DURATION_S = 10.0  # after the latest online request
FORMER_HOME_SHARE = 0.5  # fraction of the limit
SERVICE_TIME_SMOOTHING = 0.1
WAIT_MARGIN = 1.1  # factor on the predicted wait and service time
MIN_RETRY_AFTER_S = 0.1
BATCH_RETRY_AFTER_S = 1.0
REPORT_LAG_S = 2.0


class Admit(NamedTuple):
    """Effect: the request may be sent to the runner."""

    request_id: RequestId


class Refuse(NamedTuple):
    """Effect: the request is rejected and may be retried after ``retry_after_s``."""

    request_id: RequestId
    reason: str
    retry_after_s: float


class Preempt(NamedTuple):
    """Effect: cancel the batch request at the runner, then ``requeue`` it."""

    request_id: RequestId


AdmissionEffect: TypeAlias = Admit | Refuse | Preempt


class AdmissionState(NamedTuple):
    """Counts of one admission controller.

    ``capacity`` is the number of requests that may be in flight; ``n_unseen`` counts
    requests that the runner reports and this controller did not admit.
    """

    capacity: int
    batch_limit: int
    n_online: int
    n_batch: int
    n_online_waiting: int
    n_batch_waiting: int
    n_unseen: int


class AdmissionController:
    """Admission controller of one runner, with its queues.

    Online requests have priority: they take any slot within the capacity, and batch
    requests are preempted, latest admitted first, to free slots for them.

    Parameters
    ----------
    limits : ConcurrencyLimits
        Concurrency limits of the runner.
    """

    def __init__(self, limits: ConcurrencyLimits) -> None:
        self._limits = limits
        self._running_by_id: dict[RequestId, _Running] = {}
        self._online_ids: set[RequestId] = set()
        self._batch_ids: OrderedDict[RequestId, None] = OrderedDict()
        self._preempted_by_id: dict[RequestId, AdmissionTicket] = {}
        self._queues_by_class = {
            WorkClass.ONLINE: FairQueue(MAX_ONLINE_QUEUE),
            WorkClass.BATCH: FairQueue(MAX_BATCH_QUEUE),
        }
        self._mean_service_s_by_workspace: dict[WorkspaceName, float] = {}
        self._mean_service_s = 0.0
        self._last_online_at_s = float("-inf")
        self._in_flight_by_time: OrderedDict[float, int] = OrderedDict()
        self._n_unseen = 0
        self._is_home = True

    @property
    def state(self) -> AdmissionState:
        """Current counts of running and waiting requests."""
        return AdmissionState(
            self._capacity(),
            self._limits.batch,
            len(self._online_ids),
            len(self._batch_ids),
            len(self._queues_by_class[WorkClass.ONLINE]),
            len(self._queues_by_class[WorkClass.BATCH]),
            self._n_unseen,
        )

    @property
    def is_idle(self) -> bool:
        """Whether no request is running, preempted or waiting."""
        is_waiting = any(self._queues_by_class.values())
        return not (is_waiting or self._running_by_id or self._preempted_by_id)

    def submit(self, ticket: AdmissionTicket, now_s: float) -> list[AdmissionEffect]:
        """Admit, queue or refuse a request."""
        if ticket.work_class is WorkClass.ONLINE:
            return self._submit_online(ticket, now_s)
        if not self._is_home:
            return [Refuse(ticket.request_id, "not_home", BATCH_RETRY_AFTER_S)]
        evicted = self._queues_by_class[WorkClass.BATCH].push(ticket)
        effects: list[AdmissionEffect] = []
        if evicted is not None:
            refusal = Refuse(evicted.request_id, "overloaded", BATCH_RETRY_AFTER_S)
            effects.append(refusal)
        return effects + self._reschedule(now_s)

    def finish(self, request_id: RequestId, now_s: float) -> list[AdmissionEffect]:
        """Remove a request that ended or was cancelled; others may be admitted."""
        running = self._running_by_id.get(request_id)
        if running is not None:
            self._record_service_time(running, now_s)
        self._forget(request_id)
        return self._reschedule(now_s)

    def requeue(self, request_id: RequestId, now_s: float) -> list[AdmissionEffect]:
        """Put a preempted request back at the head of its workspace's queue.

        It is refused when this host is no longer the runner's home.
        """
        ticket = self._preempted_by_id.pop(request_id, None)
        if ticket is not None and not self._is_home:
            return [Refuse(request_id, "not_home", 0.0), *self._reschedule(now_s)]
        if ticket is not None:
            self._queues_by_class[WorkClass.BATCH].push_front(ticket)
        return self._reschedule(now_s)

    def observe_token(
        self, request_id: RequestId, now_s: float
    ) -> list[AdmissionEffect]:
        """Record a token of a running request; the limits may change."""
        running = self._running_by_id.get(request_id)
        if running is None:
            return []
        work_class = running.ticket.work_class
        if running.n_tokens == 0:
            first_s = now_s - running.admitted_at_s
            self._limits.observe_first_token(work_class, first_s)
        else:
            interval_s = now_s - running.last_token_at_s
            self._limits.observe_interval(work_class, interval_s)
        running.n_tokens += 1
        running.last_token_at_s = now_s
        return self._reschedule(now_s) if self._limits.update(now_s) else []

    def observe_report(self, n_running: int, now_s: float) -> list[AdmissionEffect]:
        """Process the runner's own count of requests, which lags.

        Requests beyond the maximum that this controller had in flight within
        ``REPORT_LAG_S`` were not admitted here; they reduce the capacity.
        """
        self._record_in_flight(now_s)
        self._n_unseen = max(0, n_running - max(self._in_flight_by_time.values()))
        return self._reschedule(now_s)

    def set_targets(self, targets: LatencyTargets) -> None:
        """Replace the latency targets."""
        self._limits.set_targets(targets)

    def set_home(self, is_home: bool, now_s: float) -> list[AdmissionEffect]:
        """Set whether this host is the runner's home.

        A host that stops being the home refuses its waiting requests, so that they go
        to the new home. It still admits online requests within a fraction of the limit,
        for senders that have not learned of the change, but no batch requests.
        """
        if is_home == self._is_home:
            return []
        self._is_home = is_home
        effects = [] if is_home else self._refuse_waiting()
        return effects + self._reschedule(now_s)

    def _submit_online(
        self, ticket: AdmissionTicket, now_s: float
    ) -> list[AdmissionEffect]:
        self._last_online_at_s = now_s
        queue = self._queues_by_class[WorkClass.ONLINE]
        lateness_s = self._predicted_lateness_s(ticket, now_s)
        if lateness_s > 0 and (queue or not self._has_online_slot()):
            retry_after_s = max(MIN_RETRY_AFTER_S, lateness_s)
            return [Refuse(ticket.request_id, "overloaded", retry_after_s)]
        effects: list[AdmissionEffect] = []
        evicted = queue.push(ticket)
        if evicted is not None:
            retry_after_s = max(MIN_RETRY_AFTER_S, self._mean_service_s)
            effects.append(Refuse(evicted.request_id, "overloaded", retry_after_s))
        return effects + self._reschedule(now_s)

    def _refuse_waiting(self) -> list[AdmissionEffect]:
        effects: list[AdmissionEffect] = []
        for queue in self._queues_by_class.values():
            for ticket in queue.tickets():
                queue.remove(ticket.request_id)
                effects.append(Refuse(ticket.request_id, "not_home", 0.0))
        return effects

    def _predicted_lateness_s(self, ticket: AdmissionTicket, now_s: float) -> float:
        """Return the seconds past its deadline at which a new request would end.

        The result is negative when the request would end in time.
        """
        turns = self._queues_by_class[WorkClass.ONLINE].max_turns_until(ticket)
        wait_s = turns * self._mean_service_s / self._capacity()
        end_s = now_s + (wait_s + self._service_time_of(ticket)) * WAIT_MARGIN
        return end_s - ticket.deadline_at_s

    def _reschedule(self, now_s: float) -> list[AdmissionEffect]:
        """Admit waiting requests as capacity allows, and preempt batch above it."""
        effects = self._admit_online(now_s)
        batch_capacity = self._batch_capacity(now_s)
        n_excess = len(self._batch_ids) - batch_capacity
        for _ in range(n_excess):
            effects.append(self._preempt_latest())
        if n_excess < 0:
            effects += self._admit_batch(-n_excess, now_s)
        self._record_in_flight(now_s)
        return effects

    def _admit_online(self, now_s: float) -> list[AdmissionEffect]:
        """Admit online requests to free slots.

        One that would end past its deadline is refused if others wait behind it.
        """
        queue = self._queues_by_class[WorkClass.ONLINE]
        effects: list[AdmissionEffect] = []
        while queue and self._has_online_slot():
            ticket = queue.pop(self._mean_service_s_by_workspace)
            is_late = now_s + self._service_time_of(ticket) > ticket.deadline_at_s
            if is_late and queue:
                retry_after_s = max(MIN_RETRY_AFTER_S, self._mean_service_s)
                effects.append(Refuse(ticket.request_id, "overloaded", retry_after_s))
                continue
            self._online_ids.add(ticket.request_id)
            effects.append(self._admit(ticket, now_s))
        return effects

    def _admit_batch(self, n_slots: int, now_s: float) -> list[AdmissionEffect]:
        queue = self._queues_by_class[WorkClass.BATCH]
        effects: list[AdmissionEffect] = []
        for _ in range(min(n_slots, len(queue))):
            ticket = queue.pop()
            self._batch_ids[ticket.request_id] = None
            effects.append(self._admit(ticket, now_s))
        return effects

    def _admit(self, ticket: AdmissionTicket, now_s: float) -> Admit:
        self._running_by_id[ticket.request_id] = _Running(ticket, now_s)
        return Admit(ticket.request_id)

    def _preempt_latest(self) -> Preempt:
        request_id, _ = self._batch_ids.popitem()
        running = self._running_by_id.pop(request_id)
        self._preempted_by_id[request_id] = running.ticket
        return Preempt(request_id)

    def _forget(self, request_id: RequestId) -> None:
        self._running_by_id.pop(request_id, None)
        self._online_ids.discard(request_id)
        self._batch_ids.pop(request_id, None)
        self._preempted_by_id.pop(request_id, None)
        for queue in self._queues_by_class.values():
            queue.remove(request_id)

    def _capacity(self) -> int:
        limit = self._limits.total
        if not self._is_home:
            limit = int(limit * FORMER_HOME_SHARE)
        return max(1, limit - self._n_unseen)

    def _has_online_slot(self) -> bool:
        return len(self._online_ids) < self._capacity()

    def _batch_capacity(self, now_s: float) -> int:
        if not self._is_home or self._limits.total <= self._n_unseen:
            return 0
        is_reserved = now_s - self._last_online_at_s < RESERVE_DURATION_S
        reserve = RESERVE_SLOTS if is_reserved else 0
        free = self._capacity() - len(self._online_ids) - reserve
        return max(0, min(self._limits.batch, free))

    def _service_time_of(self, ticket: AdmissionTicket) -> float:
        return self._mean_service_s_by_workspace.get(
            ticket.workspace, self._mean_service_s
        )

    def _record_service_time(self, running: _Running, now_s: float) -> None:
        if running.ticket.work_class is not WorkClass.ONLINE:
            return
        service_s = now_s - running.admitted_at_s
        self._mean_service_s = _moving_average(self._mean_service_s, service_s)
        workspace = running.ticket.workspace
        previous_s = self._mean_service_s_by_workspace.get(workspace, 0.0)
        self._mean_service_s_by_workspace[workspace] = _moving_average(
            previous_s, service_s
        )

    def _record_in_flight(self, now_s: float) -> None:
        n_online, n_batch = len(self._online_ids), len(self._batch_ids)
        self._limits.observe_in_flight(n_online, n_batch)
        self._in_flight_by_time[now_s] = n_online + n_batch + len(self._preempted_by_id)
        while now_s - next(iter(self._in_flight_by_time)) > REPORT_LAG_S:
            self._in_flight_by_time.popitem(last=False)


class _Running:
    """An admitted request and the tokens it has produced so far."""

    def __init__(self, ticket: AdmissionTicket, admitted_at_s: float) -> None:
        self.ticket = ticket
        self.admitted_at_s = admitted_at_s
        self.last_token_at_s = admitted_at_s
        self.n_tokens = 0


def _moving_average(mean: float, sample: float) -> float:
    if mean == 0.0:
        return sample
    return mean + SERVICE_TIME_SMOOTHING * (sample - mean)
