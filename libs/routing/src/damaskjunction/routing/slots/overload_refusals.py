"""Refusals of online requests that can't start in time, and when they may return."""

from __future__ import annotations

from collections.abc import Iterable

from damaskjunction.routing.slots.online_queue import OnlineQueue
from damaskjunction.routing.slots.slot_types import RefuseSlot, SlotTicket
from damaskjunction.routing.slots.wait_forecast import WaitForecast
from damaskjunction.routing.workspaces.fair_shares import FairShares
from damaskjunction.routing.workspaces.return_times import ReturnTimes

MIN_RETRY_AFTER_S = 0.1


class OverloadRefusals:
    """Refuses online requests that can't start in time.

    A request of a workspace is told to return when the workspace has been served those
    that were refused before it. One without a workspace is told the wait behind all.

    Parameters
    ----------
    queue : OnlineQueue
        The online requests that wait.
    shares : FairShares
        The shares of the workspaces.
    """

    def __init__(self, queue: OnlineQueue, shares: FairShares) -> None:
        self._queue = queue
        self._shares = shares
        self._return_times = ReturnTimes()

    def refuse(
        self,
        tickets: Iterable[SlotTicket],
        forecast: WaitForecast,
        now_s: float,
    ) -> list[RefuseSlot]:
        """Return the refusals of requests.

        Parameters
        ----------
        tickets : iterable of SlotTicket
            The requests; they don't wait any more.
        forecast : WaitForecast
            Forecast of the waits for the usable runners.
        now_s : float
            The current time in seconds.
        """
        refusals = []
        for ticket in tickets:
            retry_after_s = self._retry_after_s(ticket, forecast, now_s)
            retry_after_s = max(MIN_RETRY_AFTER_S, retry_after_s)
            refusals.append(RefuseSlot(ticket.request_id, "overloaded", retry_after_s))
        return refusals

    def _retry_after_s(
        self, ticket: SlotTicket, forecast: WaitForecast, now_s: float
    ) -> float:
        if not ticket.workspace:
            return forecast.wait_s(len(self._queue))
        n_slots = max(1.0, forecast.n_served_at_once)
        share = min(self._shares.share(ticket.workspace), n_slots)
        return self._return_times.book(
            ticket.request_id,
            ticket.workspace,
            forecast.wait_s(self._queue.n_within_share(now_s)),
            forecast.mean_hold_s / share,
            now_s,
        )

    def to_document(self) -> dict[str, object]:
        """Return the state for the diagnostic dump."""
        return {
            "shares": self._shares.to_document(),
            "n_yielded": self._queue.n_yielded,
            "last_yield": self._queue.last_yield,
        }
