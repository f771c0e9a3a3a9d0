"""The waits of this host's asks for slots in the queues of homes."""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

from damaskjunction.core import HostId
from damaskjunction.wire import SlotAsk

logger = logging.getLogger(__name__)

# In one queue, until the next ask. Asks that wait for the same time are repeated at the
# same time, and what is granted to one whose wait has just ended is lost.
MIN_WAIT_S = 3.0  # after it the excluded runners may be used again
MAX_WAIT_S = 4.0


class AskAgainError(Exception):
    """A wait has ended without a slot, and the ask has to be repeated."""


class QueueWaits:
    """Bounds the waits in the queues of homes, and ends those that are not wanted.

    Parameters
    ----------
    rng : random.Random
        Chooses how long each wait may last.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._is_wanted_by_wait: dict[asyncio.Timeout, Callable[[], bool]] = {}

    @asynccontextmanager
    async def wait(
        self, ask: SlotAsk, home_id: HostId, is_wanted: Callable[[], bool]
    ) -> AsyncIterator[None]:
        """Bound the wait of the block in the queue of a home.

        Raises
        ------
        AskAgainError
            When the wait is not wanted any more, or after ``MAX_WAIT_S`` at most.
        """
        if not is_wanted():  # any more, since the ask was sent
            raise AskAgainError
        max_wait_s = self._rng.uniform(MIN_WAIT_S, MAX_WAIT_S)
        try:
            async with asyncio.timeout(max_wait_s) as wait:
                self._is_wanted_by_wait[wait] = is_wanted
                try:
                    yield
                finally:
                    del self._is_wanted_by_wait[wait]
        except TimeoutError:
            extra = {"request": ask.request_id, "home": home_id}
            logger.info("slot asked for again", extra=extra)
            raise AskAgainError from None

    def end_unwanted(self) -> None:
        """End the waits that are not wanted any more."""
        for wait, is_wanted in self._is_wanted_by_wait.items():
            if not is_wanted() and not wait.expired():
                wait.reschedule(asyncio.get_running_loop().time())


def age_ask(ask: SlotAsk, age_s: float) -> SlotAsk:
    """Return an ask that is repeated ``age_s`` seconds after it was first made."""
    return ask._replace(
        avoid=ask.avoid if age_s < MIN_WAIT_S else (),
        start_within_s=ask.start_within_s - age_s,
        due_in_s=ask.due_in_s - age_s,
        goal_in_s=ask.goal_in_s - age_s,
    )
