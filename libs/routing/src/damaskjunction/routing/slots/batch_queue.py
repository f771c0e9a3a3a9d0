"""The batch requests that wait for a slot, in the order in which they are served."""

from __future__ import annotations

import heapq
from collections import Counter
from collections.abc import Callable
from typing import TypeAlias

from damaskjunction.core import Registry, RequestId, WorkspaceName
from damaskjunction.routing.slots.slot_types import SlotTicket

MAX_LEFT_BEHIND = 64  # entries, beside one for each waiting request
N_GRANTS_PER_LATE = (
    8  # of these one goes to a late request, so that none waits for ever
)

# Returns whether a request goes before the late ones. Its arguments are the request,
# the current time and the expected time at the runner, in seconds.
InTimeRule: TypeAlias = Callable[[SlotTicket, float, float], bool]

in_time_rules: Registry[InTimeRule] = Registry("in-time rule of batch requests")


@in_time_rules.register("earliest_due")
def go_by_due_time(ticket: SlotTicket, now_s: float, work_s: float) -> bool:
    """Serve all requests by due time, also those that are late already."""
    return True


@in_time_rules.register("in_time_first")
def go_first_in_time(ticket: SlotTicket, now_s: float, work_s: float) -> bool:
    """Serve those first that can still end by their due time.

    It answers more work than the runners can do in time: by due time alone, each
    request would begin when it is too late for it, and make the next one late.
    """
    return ticket.due_at_s - now_s >= work_s


class BatchQueue:
    """Batch requests by earliest due time, those that will be late after the others.

    While not all can end in time, a request counts as due no sooner than it would end
    if the workspaces that wait shared the slots equally. So a workspace that sends many
    does not hold up the few of the others, and its first ones keep their due times.

    Parameters
    ----------
    rule : str, optional
        Name of the in-time rule.
    """

    def __init__(self, rule: str = "in_time_first") -> None:
        self._is_in_time = in_time_rules.get(rule)
        self._tickets_by_id: dict[RequestId, SlotTicket] = {}
        self._n_by_workspace: Counter[WorkspaceName] = Counter()
        # Kept until a request is discarded: it may be added again after it was popped.
        self._rank_at_s_by_id: dict[RequestId, float] = {}
        # An entry is left behind when its request is discarded.
        self._heap: list[tuple[float, RequestId]] = []
        self._late_heap: list[tuple[float, RequestId]] = []
        self._n_until_late = N_GRANTS_PER_LATE

    def __len__(self) -> int:
        return len(self._tickets_by_id)

    @property
    def n_entries(self) -> int:
        """Number of entries in memory, including those that are left behind."""
        return len(self._heap) + len(self._late_heap)

    def tickets(self) -> list[SlotTicket]:
        """Return the waiting requests in the order of their arrival."""
        return list(self._tickets_by_id.values())

    def add(
        self, ticket: SlotTicket, now_s: float, work_s: float, n_slots: int
    ) -> None:
        """Add a request, or one that was popped, again.

        Parameters
        ----------
        ticket : SlotTicket
            The request.
        now_s : float
            The current time in seconds.
        work_s : float
            Mean seconds at the runner.
        n_slots : int
            Number of slots that batch requests may have now.
        """
        request_id = ticket.request_id
        self._take(request_id)
        if ticket.workspace and request_id not in self._rank_at_s_by_id:
            pace_s = work_s / max(1, n_slots)
            rank_at_s = self._fair_due_at_s(ticket, now_s + work_s, pace_s)
            self._rank_at_s_by_id[request_id] = rank_at_s
        self._tickets_by_id[request_id] = ticket
        if ticket.workspace:
            self._n_by_workspace[ticket.workspace] += 1
        heapq.heappush(self._heap, (self._rank_at_s(ticket), request_id))

    def _fair_due_at_s(
        self, ticket: SlotTicket, ends_first_s: float, pace_s: float
    ) -> float:
        """Return when a request counts as due, if a start at once ends at the time."""
        n_ahead = len(self._tickets_by_id)
        if ends_first_s + n_ahead * pace_s <= ticket.due_at_s:
            return ticket.due_at_s
        n_own = self._n_by_workspace[ticket.workspace]
        n_workspaces = len(self._n_by_workspace) + (n_own == 0)
        return max(ticket.due_at_s, ends_first_s + n_own * n_workspaces * pace_s)

    def _rank_at_s(self, ticket: SlotTicket) -> float:
        return self._rank_at_s_by_id.get(ticket.request_id, ticket.due_at_s)

    def _take(self, request_id: RequestId) -> SlotTicket | None:
        """Remove and return a request, None if it does not wait."""
        ticket = self._tickets_by_id.pop(request_id, None)
        if ticket is not None and ticket.workspace:
            self._n_by_workspace[ticket.workspace] -= 1
            if not self._n_by_workspace[ticket.workspace]:
                del self._n_by_workspace[ticket.workspace]
        return ticket

    def discard(self, request_id: RequestId) -> None:
        """Remove a request, if it waits."""
        self._take(request_id)
        self._rank_at_s_by_id.pop(request_id, None)
        if self.n_entries > 2 * len(self._tickets_by_id) + MAX_LEFT_BEHIND:
            self._rebuild()

    def pop(self, now_s: float, work_s: float) -> SlotTicket | None:
        """Remove and return the request to serve next, None if there is none.

        Parameters
        ----------
        now_s : float
            The current time in seconds.
        work_s : float
            Expected seconds at the runner.
        """
        self._set_late_apart(now_s, work_s)
        self._n_until_late -= 1
        is_turn_of_late = self._n_until_late <= 0
        if is_turn_of_late:
            self._n_until_late = N_GRANTS_PER_LATE
        heaps = (self._heap, self._late_heap)
        for heap in reversed(heaps) if is_turn_of_late else heaps:
            if (ticket := self._pop_from(heap)) is not None:
                return ticket
        return None

    def _set_late_apart(self, now_s: float, work_s: float) -> None:
        """Move the requests that are due first to the late ones, up to one in time."""
        while self._heap:
            rank_at_s, request_id = self._heap[0]
            ticket = self._tickets_by_id.get(request_id)
            if ticket is not None and self._is_in_time(ticket, now_s, work_s):
                return
            heapq.heappop(self._heap)
            if ticket is not None:
                heapq.heappush(self._late_heap, (rank_at_s, request_id))

    def _pop_from(self, heap: list[tuple[float, RequestId]]) -> SlotTicket | None:
        while heap:
            _, request_id = heapq.heappop(heap)
            ticket = self._take(request_id)
            if ticket is not None:
                return ticket
        return None

    def _rebuild(self) -> None:
        """Drop the entries that are left behind."""
        tickets = self._tickets_by_id.values()
        self._heap = [(self._rank_at_s(t), t.request_id) for t in tickets]
        heapq.heapify(self._heap)
        self._late_heap = []
