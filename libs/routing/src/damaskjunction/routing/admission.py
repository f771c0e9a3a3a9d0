"""Admission of requests to one runner, kept by the runner's home."""

from __future__ import annotations

from collections import OrderedDict
from typing import NamedTuple, TypeAlias

from damaskjunction.core import RequestId, WorkClass, WorkspaceName

MAX_ONLINE_QUEUE = 64


class Ticket(NamedTuple):
    """A request that wants admission; ``deadline_at_s`` is on the timers' clock."""

    request_id: RequestId
    workspace: WorkspaceName
    work_class: WorkClass
    deadline_at_s: float


class Admit(NamedTuple):
    """The request may be sent to the runner."""

    request_id: RequestId


class Refuse(NamedTuple):
    """The request is not run."""

    request_id: RequestId
    reason: str
    retry_after_s: float


class Preempt(NamedTuple):
    """The batch request must be cancelled at the runner, to be resumed later."""

    request_id: RequestId


Effect: TypeAlias = Admit | Refuse | Preempt


class RunnerGate:
    """Queues and slots of one runner.

    Parameters
    ----------
    slots : int
        Most requests under way at once.
    """

    def __init__(self, slots: int) -> None:
        self.slots = slots
        self._running_by_id: OrderedDict[RequestId, Ticket] = OrderedDict()
        self._waiting_by_class: dict[WorkClass, OrderedDict[RequestId, Ticket]] = {
            work_class: OrderedDict() for work_class in WorkClass
        }

    @property
    def n_running(self) -> int:
        """How many requests are under way."""
        return len(self._running_by_id)

    def submit(self, ticket: Ticket) -> list[Effect]:
        """Take a request; it is admitted, refused or waits."""
        queue = self._waiting_by_class[ticket.work_class]
        if ticket.work_class is WorkClass.ONLINE and len(queue) >= MAX_ONLINE_QUEUE:
            return [Refuse(ticket.request_id, "overloaded", 1.0)]
        queue[ticket.request_id] = ticket
        effects = self._fill()
        if ticket.work_class is WorkClass.ONLINE and ticket.request_id in queue:
            effects += self._preempt_one()
        return effects

    def finish(self, request_id: RequestId) -> list[Effect]:
        """Take back a request that ended or was given up; others may be admitted."""
        self._running_by_id.pop(request_id, None)
        for queue in self._waiting_by_class.values():
            queue.pop(request_id, None)
        return self._fill()

    def _fill(self) -> list[Effect]:
        effects: list[Effect] = []
        for work_class in (WorkClass.ONLINE, WorkClass.BATCH):
            queue = self._waiting_by_class[work_class]
            while queue and len(self._running_by_id) < self.slots:
                request_id, ticket = queue.popitem(last=False)
                self._running_by_id[request_id] = ticket
                effects.append(Admit(request_id))
        return effects

    def _preempt_one(self) -> list[Effect]:
        for request_id, ticket in reversed(self._running_by_id.items()):
            if ticket.work_class is WorkClass.BATCH:
                return [Preempt(request_id)]
        return []
