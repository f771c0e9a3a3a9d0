"""The online requests that wait for a slot, in the order in which they are served."""

from __future__ import annotations

import math
from typing import TypedDict

from damaskjunction.core import RequestId, WorkspaceName, is_standby_request_id
from damaskjunction.routing.slots.slot_types import SlotTicket
from damaskjunction.routing.slots.wait_forecast import WaitForecast
from damaskjunction.routing.workspaces.fair_shares import FairShares, Standing

STARVATION_S = 1.0  # for so long, what waited in vain predicts the next
CONTENTION_S = 1.0  # after a request that would start too late, standing counts
REPEATED_RANK = 1
LATE_RANK = 2


class YieldDocument(TypedDict):
    """A request that was refused for one of another workspace, for the dump."""

    request_id: RequestId
    workspace: WorkspaceName
    for_workspace: WorkspaceName


class OnlineQueue:
    """Online requests by priority rank and then by ``goal_at_s``.

    New requests go first, then repeated ones, then repeated ones that are late, by
    ``start_by_s``. Repeated requests give way to new ones; when they wait in vain, the
    next ones of their standing are not let wait for ``STARVATION_S``. While
    not all can start in time, those of workspaces that want more than their share go
    behind all others, and last those that came when it was used up.

    Parameters
    ----------
    shares : FairShares
        Tells how requests stand to the share of their workspace.
    """

    def __init__(self, shares: FairShares) -> None:
        self._shares = shares
        self.n_yielded = 0
        self.last_yield: YieldDocument | None = None
        self._tickets_by_id: dict[RequestId, SlotTicket] = {}
        self._standing_by_id: dict[RequestId, Standing] = {}
        self._contended_until_s = -math.inf
        self._low_rank_waits_since_s = dict.fromkeys(Standing, -math.inf)
        self._starved_at_s = dict.fromkeys(Standing, -math.inf)

    def __len__(self) -> int:
        return len(self._tickets_by_id)

    def tickets(self) -> list[SlotTicket]:
        """Return the waiting requests in the order of their arrival."""
        return list(self._tickets_by_id.values())

    def admit(
        self, ticket: SlotTicket, forecast: WaitForecast, now_s: float
    ) -> SlotTicket | None:
        """Add a request; return the one that is to be refused for it, if any.

        If it would start too late, the newest request of the workspace that wants most
        above its share gives way to it, if its own workspace wants less above its.
        Otherwise it is refused itself.
        """
        if not is_standby_request_id(ticket.request_id):
            self._standing_by_id[ticket.request_id] = self._shares.take(
                ticket.workspace,
                forecast.mean_hold_s,
                now_s,
                is_new=not ticket.is_repeated,
            )
        place = self.place_of(ticket, now_s)
        if now_s + forecast.wait_s(place) > _latest_wanted_s(ticket):
            self._contended_until_s = now_s + CONTENTION_S
        n_ahead = max(place, self._n_ahead_of(ticket, now_s))
        if self._starts_in_time(ticket, n_ahead, forecast, now_s):
            self._add(ticket, now_s)
            return None
        newest = self._newest_above(ticket, now_s)
        n_ahead = self._n_ahead_of(ticket, now_s, without=newest)
        is_in_time = self._starts_in_time(ticket, n_ahead, forecast, now_s)
        if newest is None or not is_in_time:
            self._standing_by_id.pop(ticket.request_id, None)
            return ticket
        self.discard(newest.request_id)
        self._add(ticket, now_s)
        self._record_yield(newest, ticket)
        return newest

    def _starts_in_time(
        self, ticket: SlotTicket, n_ahead: int, forecast: WaitForecast, now_s: float
    ) -> bool:
        wait_s = forecast.wait_s(n_ahead) * self._shares.stretch(
            self._standing(ticket, now_s)
        )
        return now_s + wait_s <= self.latest_start_s(ticket, now_s)

    def _newest_above(self, ticket: SlotTicket, now_s: float) -> SlotTicket | None:
        """Return the newest request that is to give way to another one, if any."""
        newest_first = reversed(self._tickets_by_id.values())
        newest = max(
            newest_first, key=lambda t: self._above_share(t, now_s), default=ticket
        )
        is_above = self._above_share(newest, now_s) > self._above_share(ticket, now_s)
        return newest if is_above else None

    def _above_share(self, ticket: SlotTicket, now_s: float) -> tuple[Standing, float]:
        standing = self._standing(ticket, now_s)
        if standing is Standing.WITHIN:
            return standing, 0.0
        return standing, self._shares.excess(ticket.workspace)

    def _standing(self, ticket: SlotTicket, now_s: float) -> Standing:
        if now_s > self._contended_until_s:
            return Standing.WITHIN
        return self._standing_by_id.get(ticket.request_id, Standing.WITHIN)

    def _n_ahead_of(
        self, ticket: SlotTicket, now_s: float, *, without: SlotTicket | None = None
    ) -> int:
        """Return how many requests do not go behind another one."""
        precedence = self._precedence(ticket, now_s)
        return sum(
            t is not without and self._precedence(t, now_s) <= precedence
            for t in self._tickets_by_id.values()
        )

    def _precedence(self, ticket: SlotTicket, now_s: float) -> tuple[Standing, int]:
        return self._standing(ticket, now_s), _rank(ticket, now_s)

    def _record_yield(self, ticket: SlotTicket, other: SlotTicket) -> None:
        self.n_yielded += 1
        self.last_yield = YieldDocument(
            request_id=ticket.request_id,
            workspace=ticket.workspace,
            for_workspace=other.workspace,
        )

    def _own_standing(self, ticket: SlotTicket) -> Standing:
        """Return how a request stands to its share, also while slots are not short.

        What waits in vain is kept by it, as it does not change while a request waits.
        """
        return self._standing_by_id.get(ticket.request_id, Standing.WITHIN)

    def _add(self, ticket: SlotTicket, now_s: float) -> None:
        standing = self._own_standing(ticket)
        if _gives_way(ticket, now_s) and not self._is_low_rank_waiting(standing, now_s):
            self._low_rank_waits_since_s[standing] = now_s
        self._tickets_by_id[ticket.request_id] = ticket

    def discard(self, request_id: RequestId) -> None:
        """Remove a request, if it waits."""
        self._tickets_by_id.pop(request_id, None)
        self._standing_by_id.pop(request_id, None)

    def take(self, ticket: SlotTicket, now_s: float) -> None:
        """Remove a request that is served."""
        if _gives_way(ticket, now_s):
            self._low_rank_waits_since_s[self._own_standing(ticket)] = now_s
        self.discard(ticket.request_id)

    def place_of(self, ticket: SlotTicket, now_s: float) -> int:
        """Return how many requests to count as served before another one.

        All of its rank count: none of them is late then if it goes before them.
        """
        rank = _rank(ticket, now_s)
        return sum(_rank(t, now_s) <= rank for t in self._tickets_by_id.values())

    def n_within_share(self, now_s: float) -> int:
        """Return how many requests are within the share of their workspace."""
        return sum(
            self._standing(ticket, now_s) is Standing.WITHIN
            for ticket in self._tickets_by_id.values()
        )

    def latest_start_s(self, ticket: SlotTicket, now_s: float) -> float:
        """Return until when another request may be let wait.

        A new one may wait for its latency goal, which a repeated one has missed.
        """
        own_standing = self._own_standing(ticket)
        if _rank(ticket, now_s) and self._is_starving(own_standing, now_s):
            return now_s
        is_over = self._standing(ticket, now_s) is Standing.OVER
        return ticket.goal_at_s if is_over else _latest_wanted_s(ticket)

    def in_service_order(self, now_s: float) -> list[SlotTicket]:
        """Return the waiting requests in the order in which they are served."""

        def order(ticket: SlotTicket) -> tuple[tuple[Standing, int], float, str]:
            precedence = self._precedence(ticket, now_s)
            rank = precedence[1]
            due_s = ticket.start_by_s if rank == LATE_RANK else ticket.goal_at_s
            return precedence, due_s, ticket.request_id

        return sorted(self._tickets_by_id.values(), key=order)

    def remove_late(self, forecast: WaitForecast, now_s: float) -> list[SlotTicket]:
        """Remove and return the requests that are not expected to start in time."""
        late_by_id = self._expected_late(forecast, now_s)
        if late_by_id:
            self._contended_until_s = now_s + CONTENTION_S
            late_by_id = self._expected_late(forecast, now_s)
        for ticket in late_by_id.values():
            waits_since_s = self._low_rank_waits_since_s[self._own_standing(ticket)]
            if _gives_way(ticket, now_s) and now_s - waits_since_s > STARVATION_S:
                self._starved_at_s[self._own_standing(ticket)] = now_s
        removed = [
            ticket
            for ticket in self._tickets_by_id.values()
            if ticket.request_id in late_by_id
            or (
                _rank(ticket, now_s)
                and self._is_starving(self._own_standing(ticket), now_s)
            )
        ]
        for ticket in removed:
            self.discard(ticket.request_id)
        return removed

    def _expected_late(
        self, forecast: WaitForecast, now_s: float
    ) -> dict[RequestId, SlotTicket]:
        late_by_id: dict[RequestId, SlotTicket] = {}
        n_ahead = 0
        for ticket in self.in_service_order(now_s):
            if now_s + forecast.wait_s(n_ahead) > self._let_wait_until_s(ticket, now_s):
                late_by_id[ticket.request_id] = ticket
            else:
                n_ahead += 1
        return late_by_id

    def _let_wait_until_s(self, ticket: SlotTicket, now_s: float) -> float:
        """Return the latest start of a waiting request.

        One that others overtake is refused when it would miss its goal: late, it would
        take the slot of one that can still be in time.
        """
        if ticket.is_repeated or self._standing(ticket, now_s) is Standing.WITHIN:
            return ticket.start_by_s
        return ticket.goal_at_s

    def _is_low_rank_waiting(self, standing: Standing, now_s: float) -> bool:
        return any(
            self._own_standing(ticket) is standing and _gives_way(ticket, now_s)
            for ticket in self._tickets_by_id.values()
        )

    def _is_starving(self, standing: Standing, now_s: float) -> bool:
        """Return whether requests that gave way have lately waited in vain."""
        return now_s - self._starved_at_s[standing] <= STARVATION_S


def _latest_wanted_s(ticket: SlotTicket) -> float:
    """Return the latest start of a request by the terms of its caller."""
    return ticket.start_by_s if ticket.is_repeated else ticket.goal_at_s


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
