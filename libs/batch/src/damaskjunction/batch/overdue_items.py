"""Decides which items are overdue at a runner, whatever they wait for meanwhile.

The bound is on the item as a whole: an item that changes from one short wait to the
next is as overdue as one that stays in the same.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from damaskjunction.core import RunnerId

OVERDUE_S = 2.0
ROOM_LASTS_S = 0.9  # room that is taken sooner is no sign that nobody is given it
MAX_LOOK_GAP_S = 2.5  # between two looks at room that is taken to have lasted
MIN_RUN_S = 1.0  # a shorter run that this side has ended is none
ROOM_SHARE = 0.5  # fraction of the slots in use below which a runner has room


class RunnerReading(NamedTuple):
    """What a runner itself has reported just now."""

    runner_id: RunnerId
    n_requests: int
    n_slots: int


class PlacementClock:
    """Tells for how long an item has been at no runner.

    Parameters
    ----------
    now_s : float
        When the item began to be owed, on the monotonic clock.
    """

    def __init__(self, now_s: float) -> None:
        self._unplaced_since_s = now_s
        self._run_since_s: float | None = None

    def begin_run(self, now_s: float) -> None:
        """Record that the item has been given a runner's slot."""
        if self._run_since_s is None:
            self._run_since_s = now_s

    def end_run(self, now_s: float) -> None:
        """Record that the item has left its runner."""
        since_s, self._run_since_s = self._run_since_s, None
        if since_s is not None and now_s - since_s >= MIN_RUN_S:
            self._unplaced_since_s = now_s

    def restart(self, now_s: float) -> None:
        """Count anew, since a runner has worked on the item or it is started over."""
        self._unplaced_since_s = now_s

    def unplaced_s(self, now_s: float) -> float:
        """Return the seconds for which the item has been at no runner."""
        if self._run_since_s is not None:
            return 0.0
        return now_s - self._unplaced_since_s


def is_overdue(unplaced_s: float) -> bool:
    """Return whether an item is overdue if a runner that may take it has room."""
    return unplaced_s >= OVERDUE_S


class RoomWatch:
    """Tells whether runners that may take an item have had room for a while.

    Runners that have just joined have room, and so have all of them after a burst.
    """

    def __init__(self) -> None:
        self._since_s = 0.0
        self._seen_at_s = float("-inf")

    def observe(self, has_room: bool, now_s: float) -> bool:
        """Process a look at runners; return whether there has been room for a while."""
        if not has_room:
            self._seen_at_s = float("-inf")
            return False
        if now_s - self._seen_at_s > MAX_LOOK_GAP_S:
            self._since_s = now_s
        self._seen_at_s = now_s
        return now_s - self._since_s >= ROOM_LASTS_S


def runners_with_room(readings: Iterable[RunnerReading]) -> list[RunnerId]:
    """Return the runners whose own reports tell that they have room."""
    return [r.runner_id for r in readings if r.n_requests < ROOM_SHARE * r.n_slots]
