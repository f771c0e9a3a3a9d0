"""A time in which stand-ins of runners stand still."""

from __future__ import annotations

import asyncio

from damaskjunction.core import RunnerId

# Places in which a runner can stand still; "event N" is that after event N.
BEFORE_HEAD = "before the head"
BEFORE_EVENTS = "event 0"
IN_BODY = "in the body"
IN_REPORT = "in a report"


class Standstill:
    """Holds runners as they are, like processes that get no processor, and lets go.

    It begins once a number of requests have reached a place in the runners' work; a
    request that gets there earlier waits for the others. From then on the runners
    accept connections, and neither answer nor go on with what they do.

    Parameters
    ----------
    place : str
        Place in the work at a request, such as ``BEFORE_HEAD`` or "event 3".
    n_requests : int
        Number of requests that have to reach it.
    is_of_one : bool, optional
        Hold only the runner that reaches the place first.
    """

    def __init__(self, place: str, n_requests: int, *, is_of_one: bool = False) -> None:
        self._place = place
        self._n_missing = n_requests
        self._is_of_one = is_of_one
        self._first_runner_id: RunnerId | None = None
        self._begun = asyncio.Event()
        self._over = asyncio.Event()
        self.began_at_s = 0.0

    @property
    def is_over(self) -> bool:
        """Whether the runners go on again."""
        return self._over.is_set()

    async def wait_for_begin(self) -> None:
        """Return once the runners stand still."""
        await self._begun.wait()

    def end(self) -> None:
        """Let the runners go on with what they were doing."""
        self._over.set()

    async def reach(self, runner_id: RunnerId, place: str) -> None:
        """Wait for as long as a runner stands still in a place."""
        if self._over.is_set() or not self._holds(runner_id, place):
            return
        if place == self._place and not self._begun.is_set():
            self._n_missing -= 1
            if not self._n_missing:
                self.began_at_s = asyncio.get_running_loop().time()
                self._begun.set()
        if place == self._place or self._begun.is_set():
            await self._over.wait()

    def _holds(self, runner_id: RunnerId, place: str) -> bool:
        if self._first_runner_id is None and place == self._place:
            self._first_runner_id = runner_id
        return not self._is_of_one or runner_id == self._first_runner_id
