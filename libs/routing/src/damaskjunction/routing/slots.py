"""Slot allocation for the runners of one service, done by the service's home.

The home counts the requests in flight at each runner. Online requests take any free
slot. Batch requests take what is left above a reserve, and their slots are revoked
when online requests wait. A slot is held until it is released.
"""

from __future__ import annotations

import heapq
import math
from collections import deque
from collections.abc import Mapping
from typing import NamedTuple

from damaskjunction.core import RequestId, RunnerId, WorkClass
from damaskjunction.routing.crash_counts import CrashCounts
from damaskjunction.routing.ejection import EjectionPolicy, OutlierEjection
from damaskjunction.routing.kept_parts import KeptParts
from damaskjunction.routing.slot_types import (
    GrantSlot,
    RefuseSlot,
    RevokeSlot,
    SlotCounts,
    SlotEffect,
    SlotTicket,
)

RESERVE_SHARE = 0.06
HOLD_WEIGHT = 0.05
FIRST_HOLD_S = 0.5
MIN_RETRY_AFTER_S = 0.1
WAIT_MARGIN = 1.2
PREFIX_WEIGHT = 0.6
MAX_QUEUE = 4096
BEGIN_S = 0.4
REPORT_LAG_S = 0.3
CRASH_RETRY_AFTER_S = 30.0
REPEATED_RANK = 1
LATE_RANK = 2

TROUBLE = EjectionPolicy(n_failures=1, base_s=0.7, limit_s=6.0)


class _Held(NamedTuple):
    """A slot held by a request since ``since_s``."""

    ticket: SlotTicket
    runner_id: RunnerId
    since_s: float


class SlotPool:
    """Allocates the slots of one service's runners to requests.

    Online requests are served by priority rank and then by deadline, batch requests by
    earliest due time. Runners that failed recently are ejected for a while.
    """

    def __init__(self) -> None:
        self._slots_by_runner: dict[RunnerId, int] = {}
        self._online_held_by_id: dict[RequestId, _Held] = {}
        self._batch_held_by_id: dict[RequestId, _Held] = {}
        self._revoked_ids: set[RequestId] = set()
        self._used_by_runner: dict[RunnerId, int] = {}
        self._online: dict[RequestId, SlotTicket] = {}
        self._batch: dict[RequestId, SlotTicket] = {}
        self._batch_order: list[tuple[float, RequestId]] = []
        self._kept_parts = KeptParts()
        self._ejection = OutlierEjection(TROUBLE)
        self._crashes = CrashCounts()
        self._hold_s = FIRST_HOLD_S
        self._unseen_by_runner: dict[RunnerId, int] = {}
        self._released: deque[tuple[float, RunnerId]] = deque()
        self._batch_from_s = 0.0

    @property
    def counts(self) -> SlotCounts:
        """Current counts of slots, their holders and waiting requests."""
        return SlotCounts(
            sum(self._slots_by_runner.values()),
            len(self._online_held_by_id),
            len(self._batch_held_by_id),
            len(self._online),
            len(self._batch),
        )

    def set_runners(
        self, slots_by_runner: Mapping[RunnerId, int], now_s: float
    ) -> list[SlotEffect]:
        """Replace the set of usable runners and their slot counts."""
        self._slots_by_runner = {
            name: slots_by_runner[name] for name in sorted(slots_by_runner)
        }
        self._kept_parts.keep_runners(slots_by_runner)
        for runner_id in self._unseen_by_runner.keys() - slots_by_runner.keys():
            del self._unseen_by_runner[runner_id]
        return self._dispatch(now_s)

    def submit(self, ticket: SlotTicket, now_s: float) -> list[SlotEffect]:
        """Grant a request a slot, queue it or refuse it.

        A new online request is refused when it is predicted to miss its latency goal;
        a repeated one may wait until the latest time at which it can start.
        """
        if self._crashes.is_held_back(ticket.fingerprint, now_s):
            reason = "crashes_runners"
            return [RefuseSlot(ticket.request_id, reason, CRASH_RETRY_AFTER_S)]
        if ticket.work_class is WorkClass.BATCH:
            if len(self._batch) >= MAX_QUEUE:
                return [RefuseSlot(ticket.request_id, "overloaded", 1.0)]
            self._batch[ticket.request_id] = ticket
            heapq.heappush(self._batch_order, (ticket.due_at_s, ticket.request_id))
            return self._dispatch(now_s)
        if not any(name not in ticket.avoid for name in self._slots_by_runner):
            reason = "no_runner" if not self._slots_by_runner else "runners_failed"
            return [RefuseSlot(ticket.request_id, reason, self._hold_s)]
        latest_s = ticket.start_by_s if ticket.is_repeated else ticket.goal_at_s
        rank = _rank(ticket, now_s)
        n_before = sum(_rank(t, now_s) <= rank for t in self._online.values())
        if now_s + self._predicted_wait_s(n_before) > latest_s:
            wait_s = self._predicted_wait_s(len(self._online))
            retry_after_s = max(MIN_RETRY_AFTER_S, wait_s)
            return [RefuseSlot(ticket.request_id, "overloaded", retry_after_s)]
        self._online[ticket.request_id] = ticket
        return self._dispatch(now_s)

    def begin(self, now_s: float) -> None:
        """Start as the home: withhold batch grants until slots in use are reported."""
        self._batch_from_s = now_s + BEGIN_S

    def observe_report(
        self, runner_id: RunnerId, n_requests: int, now_s: float
    ) -> list[SlotEffect]:
        """Process a runner's own count of requests, which lags slightly.

        Requests beyond those that held a slot here within ``REPORT_LAG_S`` were not
        granted by this pool; they occupy slots that must not be granted again.
        """
        while self._released and now_s - self._released[0][0] > REPORT_LAG_S:
            self._released.popleft()
        n_known = self._used_by_runner.get(runner_id, 0) + sum(
            name == runner_id for _, name in self._released
        )
        self._unseen_by_runner[runner_id] = max(0, n_requests - n_known)
        return self._dispatch(now_s)

    def hold(self, ticket: SlotTicket, runner_id: RunnerId, now_s: float) -> None:
        """Record a slot that the previous home granted before the takeover."""
        self._hold(ticket, runner_id, now_s)

    def release(self, request_id: RequestId, now_s: float) -> list[SlotEffect]:
        """Free the slot of a request, or remove the request from the queue."""
        self._online.pop(request_id, None)
        self._batch.pop(request_id, None)
        self._revoked_ids.discard(request_id)
        held = self._online_held_by_id.pop(request_id, None)
        if held is not None:
            sample_s = now_s - held.since_s
            self._hold_s += HOLD_WEIGHT * (sample_s - self._hold_s)
        else:
            held = self._batch_held_by_id.pop(request_id, None)
        if held is not None:
            self._used_by_runner[held.runner_id] -= 1
            self._released.append((now_s, held.runner_id))
        return self._dispatch(now_s)

    def note_trouble(self, runner_id: RunnerId, now_s: float) -> None:
        """Eject a runner that failed a request, and forget its cached prefixes."""
        self._ejection.fail(runner_id, now_s)
        self._kept_parts.forget(runner_id)

    def note_crash(self, fingerprint: str, now_s: float) -> None:
        """Count a request that a runner aborted before producing any output."""
        self._crashes.note(fingerprint, now_s)

    def note_success(self, runner_id: RunnerId) -> None:
        """End the ejection of a runner that has answered."""
        self._ejection.succeed(runner_id)

    def expire(self, now_s: float) -> list[SlotEffect]:
        """Refuse the online requests that can no longer start in time."""
        late = [t for t in self._online.values() if now_s > t.start_by_s]
        for ticket in late:
            del self._online[ticket.request_id]
        refusals = [
            RefuseSlot(
                ticket.request_id,
                "overloaded",
                max(MIN_RETRY_AFTER_S, self._predicted_wait_s(len(self._online))),
            )
            for ticket in late
        ]
        return [*refusals, *self._dispatch(now_s)]

    def to_document(self) -> dict[str, object]:
        """Return the state for the diagnostic dump."""
        return {
            **self.counts._asdict(),
            "hold_s": round(self._hold_s, 4),
            "used_by_runner": dict(self._used_by_runner),
            "slots_by_runner": dict(self._slots_by_runner),
            "unseen_by_runner": dict(self._unseen_by_runner),
        }

    def _predicted_wait_s(self, n_waiting: int) -> float:
        """Return the expected wait in seconds behind ``n_waiting`` queued requests."""
        n_slots = sum(
            max(0, slots - self._unseen_by_runner.get(runner_id, 0))
            for runner_id, slots in self._slots_by_runner.items()
        )
        n_ahead = len(self._online_held_by_id) + n_waiting + 1 - n_slots
        if n_ahead <= 0:
            return 0.0
        return WAIT_MARGIN * n_ahead * self._hold_s / max(1, n_slots)

    def _dispatch(self, now_s: float) -> list[SlotEffect]:
        effects: list[SlotEffect] = []
        if not (self._online or self._batch):
            return effects
        free_by_runner = self._free_by_runner(now_s)
        if self._online and free_by_runner:
            effects += self._grant_online(free_by_runner, now_s)
        if self._online:
            return effects + self._revoke(len(self._online))
        return effects + self._grant_batch(free_by_runner, now_s)

    def _grant_online(
        self, free_by_runner: dict[RunnerId, int], now_s: float
    ) -> list[SlotEffect]:
        effects: list[SlotEffect] = []
        for ticket in self._in_order(now_s):
            if not free_by_runner:
                break
            runner_id = self._choose(ticket, free_by_runner)
            if runner_id is None:
                continue
            del self._online[ticket.request_id]
            self._hold(ticket, runner_id, now_s)
            _take_one(free_by_runner, runner_id)
            effects.append(GrantSlot(ticket.request_id, runner_id))
        return effects

    def _in_order(self, now_s: float) -> list[SlotTicket]:
        """Return the waiting online requests in the order in which they are served."""

        def order(ticket: SlotTicket) -> tuple[int, float, str]:
            rank = _rank(ticket, now_s)
            due_s = ticket.start_by_s if rank == LATE_RANK else ticket.goal_at_s
            return rank, due_s, ticket.request_id

        return sorted(self._online.values(), key=order)

    def _free_by_runner(self, now_s: float) -> dict[RunnerId, int]:
        """Return the number of free slots of each healthy runner that has any."""
        names = list(self._slots_by_runner)
        free_by_runner: dict[RunnerId, int] = {}
        for runner_id in self._ejection.healthy(names, str, now_s):
            used = self._used_by_runner.get(runner_id, 0)
            used += self._unseen_by_runner.get(runner_id, 0)
            if used < self._slots_by_runner[runner_id]:
                free_by_runner[runner_id] = self._slots_by_runner[runner_id] - used
        return free_by_runner

    def _choose(
        self, ticket: SlotTicket, free_by_runner: Mapping[RunnerId, int]
    ) -> RunnerId | None:
        """Return the runner with the best score of cached prefix and free slots."""
        best: tuple[float, str] | None = None
        avoid = self._avoided(ticket)
        for runner_id, n_free in free_by_runner.items():
            if runner_id in avoid:
                continue
            score = n_free / self._slots_by_runner[runner_id]
            score += PREFIX_WEIGHT * self._kept_parts.share(runner_id, ticket.parts)
            if best is None or score > best[0]:
                best = (score, runner_id)
        return best[1] if best is not None else None

    def _avoided(self, ticket: SlotTicket) -> tuple[RunnerId, ...]:
        """Return the runners that must not be given a request.

        A batch request that excludes every runner would wait forever, so its exclusions
        are ignored.
        """
        is_batch = ticket.work_class is WorkClass.BATCH
        if is_batch and all(name in ticket.avoid for name in self._slots_by_runner):
            return ()
        return ticket.avoid

    def _hold(self, ticket: SlotTicket, runner_id: RunnerId, now_s: float) -> None:
        held = _Held(ticket, runner_id, now_s)
        if ticket.work_class is WorkClass.ONLINE:
            self._online_held_by_id[ticket.request_id] = held
        else:
            self._batch_held_by_id[ticket.request_id] = held
        used = self._used_by_runner.get(runner_id, 0)
        self._used_by_runner[runner_id] = used + 1
        self._kept_parts.note(runner_id, ticket.parts)

    def _revoke(self, n_wanted: int) -> list[SlotEffect]:
        """Revoke the latest granted batch slots, up to ``n_wanted``.

        Slots that are revoked but not released yet count towards ``n_wanted``.
        """
        n_wanted -= len(self._revoked_ids)
        effects: list[SlotEffect] = []
        if n_wanted <= 0:
            return effects
        for request_id in reversed(self._batch_held_by_id):
            if len(effects) >= n_wanted:
                break
            if request_id not in self._revoked_ids:
                self._revoked_ids.add(request_id)
                effects.append(RevokeSlot(request_id))
        return effects

    def _grant_batch(
        self, free_by_runner: dict[RunnerId, int], now_s: float
    ) -> list[SlotEffect]:
        effects: list[SlotEffect] = []
        if not self._batch or now_s < self._batch_from_s:
            return effects
        n_slots = sum(self._slots_by_runner.values())
        n_room = sum(free_by_runner.values()) - math.ceil(RESERVE_SHARE * n_slots)
        passed_over: list[tuple[float, RequestId]] = []
        while n_room > 0 and self._batch_order:
            place = heapq.heappop(self._batch_order)
            ticket = self._batch.get(place[1])
            if ticket is None:
                continue  # released while it waited
            runner_id = self._choose(ticket, free_by_runner)
            if runner_id is None:
                passed_over.append(place)
                continue
            del self._batch[ticket.request_id]
            self._hold(ticket, runner_id, now_s)
            _take_one(free_by_runner, runner_id)
            effects.append(GrantSlot(ticket.request_id, runner_id))
            n_room -= 1
        for place in passed_over:
            heapq.heappush(self._batch_order, place)
        return effects


def _rank(ticket: SlotTicket, now_s: float) -> int:
    """Return 0 for a request that can meet its goal, 1 for a repeated one, 2 if late.

    A repeated request has already missed its latency goal, which the caller counts from
    its first try.
    """
    if ticket.goal_at_s < now_s:
        return LATE_RANK
    return REPEATED_RANK if ticket.is_repeated else 0


def _take_one(free_by_runner: dict[RunnerId, int], runner_id: RunnerId) -> None:
    free_by_runner[runner_id] -= 1
    if not free_by_runner[runner_id]:
        del free_by_runner[runner_id]
