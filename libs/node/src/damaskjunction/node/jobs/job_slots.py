"""Limits on the batch items of one host: the in-flight window and the budget."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable

from damaskjunction.batch import HostBudget, InFlightWindow


class ItemSlots:
    """Lets items start within the in-flight window and the budget of the minute.

    Parameters
    ----------
    window : InFlightWindow
        Limit on the items in flight.
    budget : HostBudget
        Limit on their cost in the current billing minute, in units of the meter.
    request_budget : callable
        Called with the cost of an item when it exceeds the remaining budget.
    """

    def __init__(
        self,
        window: InFlightWindow,
        budget: HostBudget,
        request_budget: Callable[[float], None],
    ) -> None:
        self._window = window
        self._budget = budget
        self._request_budget = request_budget
        self._queue: deque[tuple[asyncio.Future[None], str, float]] = deque()
        self.n_in_flight = 0

    @property
    def n_free(self) -> int:
        """Items that the window still allows after all queued ones have started."""
        return self._window.limit - self.n_in_flight - len(self._queue)

    async def acquire(self, request_id: str, cost: float) -> None:
        """Wait until the item may start; the caller must ``release`` it at its end."""
        admitted: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._queue.append((admitted, request_id, cost))
        self.start_queued()
        try:
            await admitted
        except asyncio.CancelledError:
            if admitted.done() and not admitted.cancelled():
                self.release(request_id)
            raise

    def release(self, request_id: str) -> None:
        """Release the slot and the reserved budget of an item."""
        self.n_in_flight -= 1
        self._budget.release(request_id)
        self.start_queued()

    def start_queued(self) -> None:
        """Let queued items start in order while the window and the budget allow it."""
        while self._queue and self.n_in_flight < self._window.limit:
            admitted, request_id, cost = self._queue[0]
            if admitted.done():
                self._queue.popleft()
                continue
            if not self._budget.reserve(request_id, cost):
                self._request_budget(cost)
                return
            self._queue.popleft()
            self.n_in_flight += 1
            admitted.set_result(None)
