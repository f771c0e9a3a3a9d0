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
        Limit on their cost in the current billing minute.
    ask_for_budget : callable
        Called with the cost of an item that exceeds the remaining budget.
    """

    def __init__(
        self,
        window: InFlightWindow,
        budget: HostBudget,
        ask_for_budget: Callable[[float], None],
    ) -> None:
        self._window = window
        self._budget = budget
        self._ask_for_budget = ask_for_budget
        self._waiting: deque[tuple[asyncio.Future[None], str, float]] = deque()
        self.n_in_flight = 0

    @property
    def n_free(self) -> int:
        """Items that the window still allows after all queued ones have started."""
        return self._window.limit - self.n_in_flight - len(self._waiting)

    async def acquire(self, item: str, cost: float) -> None:
        """Wait until the item may start; the caller must ``release`` it at its end."""
        turn: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiting.append((turn, item, cost))
        self.fill()
        try:
            await turn
        except asyncio.CancelledError:
            if turn.done() and not turn.cancelled():
                self.release(item)
            raise

    def release(self, item: str) -> None:
        """Release the slot and the reserved budget of an item."""
        self.n_in_flight -= 1
        self._budget.release(item)
        self.fill()

    def fill(self) -> None:
        """Let queued items start in order while the window and the budget allow it."""
        while self._waiting and self.n_in_flight < self._window.limit:
            turn, item, cost = self._waiting[0]
            if turn.done():
                self._waiting.popleft()
                continue
            if not self._budget.reserve(item, cost):
                self._ask_for_budget(cost)
                return
            self._waiting.popleft()
            self.n_in_flight += 1
            turn.set_result(None)
