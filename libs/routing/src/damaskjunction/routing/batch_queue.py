"""The batch requests that wait for a slot, in the order in which they are served."""

from __future__ import annotations

import heapq

from damaskjunction.core import RequestId
from damaskjunction.routing.slot_types import SlotTicket

MAX_LEFT_BEHIND = 64  # entries, beside one for each waiting request


class BatchQueue:
    """Batch requests by earliest due time."""

    def __init__(self) -> None:
        self._tickets_by_id: dict[RequestId, SlotTicket] = {}
        # An entry is left behind when its request is discarded.
        self._heap: list[tuple[float, RequestId]] = []

    def __len__(self) -> int:
        return len(self._tickets_by_id)

    @property
    def n_entries(self) -> int:
        """Number of entries in memory, including those that are left behind."""
        return len(self._heap)

    def tickets(self) -> list[SlotTicket]:
        """Return the waiting requests in the order of their arrival."""
        return list(self._tickets_by_id.values())

    def add(self, ticket: SlotTicket) -> None:
        """Add a request."""
        self._tickets_by_id[ticket.request_id] = ticket
        heapq.heappush(self._heap, (ticket.due_at_s, ticket.request_id))

    def discard(self, request_id: RequestId) -> None:
        """Remove a request, if it waits."""
        self._tickets_by_id.pop(request_id, None)
        if len(self._heap) > 2 * len(self._tickets_by_id) + MAX_LEFT_BEHIND:
            self._rebuild()

    def pop(self) -> SlotTicket | None:
        """Remove and return the request that is due first, None if there is none."""
        while self._heap:
            _, request_id = heapq.heappop(self._heap)
            ticket = self._tickets_by_id.pop(request_id, None)
            if ticket is not None:
                return ticket
        return None

    def _rebuild(self) -> None:
        """Drop the entries that are left behind."""
        tickets = self._tickets_by_id.values()
        self._heap = [(ticket.due_at_s, ticket.request_id) for ticket in tickets]
        heapq.heapify(self._heap)
