"""Room for batch items on one host: the window of items in flight and the budget."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable

from damaskjunction.batch import HostBudget, InFlightWindow


class ItemSlots:
    """Lets items start while the window and the minute's budget have room.

    Parameters
    ----------
    window : InFlightWindow
        How many items may be in flight.
    budget : HostBudget
        What they may cost in the current minute.
    ask_for_budget : callable
        Called with the cost of an item that the budget has no room for.
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
        """Items that the window has room for, beyond those waiting."""
        return self._window.limit - self.n_in_flight - len(self._waiting)

    async def acquire(self, item: str, cost: float) -> None:
        """Return when the item may run; ``release`` ends its run."""
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
        """Take back the room of an item whose run ended."""
        self.n_in_flight -= 1
        self._budget.release(item)
        self.fill()

    def fill(self) -> None:
        """Let waiting items start while there is room."""
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
