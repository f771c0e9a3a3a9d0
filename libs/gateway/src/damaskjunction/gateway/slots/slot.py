"""A slot that a host holds, at the home that counts it."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncGenerator, Callable

from damaskjunction.core import HostId, RunnerId
from damaskjunction.gateway.slots.slot_home import SlotReservation
from damaskjunction.node import cancel_tasks
from damaskjunction.wire import Message, SlotAsk


class Slot:
    """A slot that was granted, held until ``close``.

    ``revoked`` is set when the holder has to release it. ``watched`` are the request's
    traits whose answer is to be reported, since a crash accuses them. ``is_wanted``
    tells whether the ask still stands while it waits. ``untrack`` is called when the
    slot is closed.
    """

    def __init__(
        self,
        ask: SlotAsk,
        is_wanted: Callable[[], bool],
        untrack: Callable[[Slot], None],
    ) -> None:
        self._untrack = untrack
        self.ask = ask
        self.is_wanted = is_wanted
        self.runner_id: RunnerId = ""
        self.revoked = asyncio.Event()
        self.watched: tuple[str, ...] = ()
        self.home_id: HostId = ""
        self.reservation: SlotReservation | None = None
        self.call: AsyncGenerator[Message, None] | None = None
        self.reader: asyncio.Task[None] | None = None
        self.is_moving = False
        self.is_closed = False

    async def close(self) -> None:
        """Release the slot."""
        self.is_closed = True
        self._untrack(self)
        await self.release()

    async def release(self) -> None:
        """Release the slot at its home, by closing the reservation or the call."""
        reservation, self.reservation = self.reservation, None
        if reservation is not None:
            reservation.close()
        reader, self.reader = self.reader, None
        call, self.call = self.call, None
        if reader is not None and reader is not asyncio.current_task():
            await cancel_tasks([reader])
        if call is not None:
            await call.aclose()
