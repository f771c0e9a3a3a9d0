"""The batch requests that wait for a slot, in the order in which they are served."""

from __future__ import annotations

import heapq

from damaskjunction.core import RequestId
from damaskjunction.routing.slot_types import SlotTicket


class BatchQueue:
    """Batch requests by earliest due time."""

    def __init__(self) -> None:
        self._tickets_by_id: dict[RequestId, SlotTicket] = {}
        # An entry is left behind when its request is discarded.
        self._heap: list[tuple[float, RequestId]] = []

    def __len__(self) -> int:
        return len(self._tickets_by_id)

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

    def pop(self) -> SlotTicket | None:
        """Remove and return the request that is due first, None if there is none."""
        while self._heap:
            _, request_id = heapq.heappop(self._heap)
            ticket = self._tickets_by_id.pop(request_id, None)
            if ticket is not None:
                return ticket
        return None
