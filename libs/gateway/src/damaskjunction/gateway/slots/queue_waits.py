"""The waits of this host's asks for slots in the queues of homes."""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from typing import NamedTuple

from damaskjunction.core import EntryHost, HostId, ServiceName
from damaskjunction.wire import SlotAsk

logger = logging.getLogger(__name__)

# In one queue, until the next ask. Asks that wait for the same time are repeated at the
# same time, and what is granted to one whose wait has just ended is lost.
MIN_WAIT_S = 3.0  # after it the excluded runners may be used again
MAX_WAIT_S = 4.0


class AskAgainError(Exception):
    """A wait has ended without a slot, and the ask has to be repeated."""


class _Place(NamedTuple):
    """The queue that an ask waits in; ``is_wanted`` tells whether the ask stands."""

    service: ServiceName
    home_id: HostId
    is_wanted: Callable[[], bool]


class QueueWaits:
    """Ends the waits at hosts that are not the home any more, and unwanted ones.

    Parameters
    ----------
    rng : random.Random
        Chooses how long each wait may last.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._places_by_wait: dict[asyncio.Timeout, _Place] = {}

    @asynccontextmanager
    async def wait(
        self, ask: SlotAsk, home_id: HostId, is_wanted: Callable[[], bool]
    ) -> AsyncIterator[None]:
        """Bound the wait of the block in the queue of a home.

        Raises
        ------
        AskAgainError
            When the home has changed, when the ask is not wanted any more, or after
            ``MAX_WAIT_S`` at most.
        """
        if not is_wanted():  # any more, since the ask was sent
            raise AskAgainError
        max_wait_s = self._rng.uniform(MIN_WAIT_S, MAX_WAIT_S)
        try:
            async with asyncio.timeout(max_wait_s) as wait:
                place = _Place(ask.service_name, home_id, is_wanted)
                self._places_by_wait[wait] = place
                try:
                    yield
                finally:
                    del self._places_by_wait[wait]
        except TimeoutError:
            extra = {"request": ask.request_id, "home": home_id}
            logger.info("slot asked for again", extra=extra)
            raise AskAgainError from None

    def end_misplaced(self, home_of: Callable[[ServiceName], EntryHost | None]) -> None:
        """End the unwanted waits, and those elsewhere than at ``home_of``."""
        for wait, place in self._places_by_wait.items():
            home = home_of(place.service)
            is_misplaced = home is not None and home.host_id != place.home_id
            is_over = is_misplaced or not place.is_wanted()
            if is_over and not wait.expired():
                wait.reschedule(asyncio.get_running_loop().time())


def age_ask(ask: SlotAsk, age_s: float) -> SlotAsk:
    """Return an ask that is repeated ``age_s`` seconds after it was first made."""
    return ask._replace(
        avoid=ask.avoid if age_s < MIN_WAIT_S else (),
        start_within_s=ask.start_within_s - age_s,
        due_in_s=ask.due_in_s - age_s,
        goal_in_s=ask.goal_in_s - age_s,
    )
