"""The slots that requests hold, by request and by runner, and for how long."""

from __future__ import annotations

from collections import Counter

from damaskjunction.core import (
    RequestId,
    RunnerId,
    WorkClass,
    is_standby_request_id,
)
from damaskjunction.routing.runners.runner_speeds import RunnerSpeeds
from damaskjunction.routing.slots.hold_times import HoldTimes
from damaskjunction.routing.slots.slot_types import HeldSlot, SlotTicket

INITIAL_ONLINE_HOLD_S = 0.5
INITIAL_BATCH_HOLD_S = 2.0


class HeldSlots:
    """The held slots of one service's runners.

    ``batch_by_id`` is in the order of the grants. ``revoked_ids`` are batch requests
    whose slot is revoked and not released yet.
    """

    def __init__(self) -> None:
        self.online_by_id: dict[RequestId, HeldSlot] = {}
        self.batch_by_id: dict[RequestId, HeldSlot] = {}
        self.revoked_ids: set[RequestId] = set()
        self.used_by_runner: Counter[RunnerId] = Counter()
        self.online_by_runner: Counter[RunnerId] = Counter()
        self.online_times = HoldTimes(INITIAL_ONLINE_HOLD_S)
        self.batch_times = HoldTimes(INITIAL_BATCH_HOLD_S)
        self.speeds = RunnerSpeeds()

    def times_of(self, work_class: WorkClass) -> HoldTimes:
        """Return the hold times of a work class."""
        is_online = work_class is WorkClass.ONLINE
        return self.online_times if is_online else self.batch_times

    def add(self, ticket: SlotTicket, runner_id: RunnerId, now_s: float) -> None:
        """Record that a request holds a slot of a runner from now on."""
        held = HeldSlot(ticket, runner_id, now_s)
        if ticket.work_class is WorkClass.ONLINE:
            self.online_by_id[ticket.request_id] = held
            self.online_by_runner[runner_id] += 1
        else:
            self.batch_by_id[ticket.request_id] = held
        self.used_by_runner[runner_id] += 1

    def remove(self, request_id: RequestId, now_s: float) -> HeldSlot | None:
        """Remove and return the slot of a request, None if it holds none.

        A batch request whose slot was revoked is no sample of how long they take, nor
        is a slot that was asked for beside another one.
        """
        is_standby = is_standby_request_id(request_id)
        is_sample = request_id not in self.revoked_ids and not is_standby
        self.revoked_ids.discard(request_id)
        held = self.online_by_id.pop(request_id, None)
        if held is not None:
            self.online_by_runner[held.runner_id] -= 1
        else:
            held = self.batch_by_id.pop(request_id, None)
        if held is not None:
            self.used_by_runner[held.runner_id] -= 1
            if is_sample:
                self._observe_duration(held, now_s)
        return held

    def _observe_duration(self, held: HeldSlot, now_s: float) -> None:
        work_class, duration_s = held.ticket.work_class, now_s - held.since_s
        self.speeds.observe(held.runner_id, work_class, duration_s, now_s)
        self.times_of(work_class).observe(duration_s)
