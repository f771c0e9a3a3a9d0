"""The online requests that wait for a slot, in the order in which they are served."""

from __future__ import annotations

import math

from damaskjunction.core import RequestId, is_standby_request_id
from damaskjunction.routing.slots.slot_types import SlotTicket
from damaskjunction.routing.slots.wait_forecast import WaitForecast

STARVATION_S = 1.0  # for so long, what waited in vain predicts the next
REPEATED_RANK = 1
LATE_RANK = 2


class OnlineQueue:
    """Online requests by priority rank and then by ``goal_at_s``.

    New requests go first, then repeated ones, then repeated ones that are late, by
    ``start_by_s``. Repeated requests give way to new ones; when they wait in vain, the
    next ones are not let wait for ``STARVATION_S``.
    """

    def __init__(self) -> None:
        self._tickets_by_id: dict[RequestId, SlotTicket] = {}
        self._low_rank_waits_since_s = -math.inf
        self._starved_at_s = -math.inf

    def __len__(self) -> int:
        return len(self._tickets_by_id)

    def tickets(self) -> list[SlotTicket]:
        """Return the waiting requests in the order of their arrival."""
        return list(self._tickets_by_id.values())

    def add(self, ticket: SlotTicket, now_s: float) -> None:
        """Add a request."""
        if _gives_way(ticket, now_s) and not self._is_low_rank_waiting(now_s):
            self._low_rank_waits_since_s = now_s
        self._tickets_by_id[ticket.request_id] = ticket

    def discard(self, request_id: RequestId) -> None:
        """Remove a request, if it waits."""
        self._tickets_by_id.pop(request_id, None)

    def take(self, ticket: SlotTicket, now_s: float) -> None:
        """Remove a request that is served."""
        del self._tickets_by_id[ticket.request_id]
        if _gives_way(ticket, now_s):
            self._low_rank_waits_since_s = now_s

    def place_of(self, ticket: SlotTicket, now_s: float) -> int:
        """Return how many requests to count as served before another one.

        All of its rank count: none of them is late then if it goes before them.
        """
        rank = _rank(ticket, now_s)
        return sum(_rank(t, now_s) <= rank for t in self._tickets_by_id.values())

    def latest_start_s(self, ticket: SlotTicket, now_s: float) -> float:
        """Return until when another request may be let wait.

        A new one may wait for its latency goal, which a repeated one has missed.
        """
        if _rank(ticket, now_s) and self._is_starving(now_s):
            return now_s
        return ticket.start_by_s if ticket.is_repeated else ticket.goal_at_s

    def in_service_order(self, now_s: float) -> list[SlotTicket]:
        """Return the waiting requests in the order in which they are served."""

        def order(ticket: SlotTicket) -> tuple[int, float, str]:
            rank = _rank(ticket, now_s)
            due_s = ticket.start_by_s if rank == LATE_RANK else ticket.goal_at_s
            return rank, due_s, ticket.request_id

        return sorted(self._tickets_by_id.values(), key=order)

    def remove_late(self, forecast: WaitForecast, now_s: float) -> list[SlotTicket]:
        """Remove and return the requests that are not expected to start in time."""
        late_by_id = self._expected_late(forecast, now_s)
        if now_s - self._low_rank_waits_since_s > STARVATION_S and any(
            _gives_way(ticket, now_s) for ticket in late_by_id.values()
        ):
            self._starved_at_s = now_s
        is_starving = self._is_starving(now_s)
        removed = [
            ticket
            for ticket in self._tickets_by_id.values()
            if ticket.request_id in late_by_id or (is_starving and _rank(ticket, now_s))
        ]
        for ticket in removed:
            del self._tickets_by_id[ticket.request_id]
        return removed

    def _expected_late(
        self, forecast: WaitForecast, now_s: float
    ) -> dict[RequestId, SlotTicket]:
        late_by_id: dict[RequestId, SlotTicket] = {}
        n_ahead = 0
        for ticket in self.in_service_order(now_s):
            if now_s + forecast.wait_s(n_ahead) > ticket.start_by_s:
                late_by_id[ticket.request_id] = ticket
            else:
                n_ahead += 1
        return late_by_id

    def _is_low_rank_waiting(self, now_s: float) -> bool:
        return any(_gives_way(t, now_s) for t in self._tickets_by_id.values())

    def _is_starving(self, now_s: float) -> bool:
        """Return whether requests that gave way have lately waited in vain."""
        return now_s - self._starved_at_s <= STARVATION_S


def _gives_way(ticket: SlotTicket, now_s: float) -> bool:
    """Return whether a request without a slot waits behind new ones."""
    return _rank(ticket, now_s) > 0 and not is_standby_request_id(ticket.request_id)


def _rank(ticket: SlotTicket, now_s: float) -> int:
    """Return 0 for a new request, 1 for a repeated one and 2 for one that is late too.

    The caller counts the latency goal from the first submission, so a repeated request
    has already missed it. A new one keeps its place when its goal passes: it was let
    wait since it would be served in time.
    """
    if not ticket.is_repeated:
        return 0
    return LATE_RANK if ticket.goal_at_s < now_s else REPEATED_RANK
