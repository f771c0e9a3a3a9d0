"""Tracks the latest reported state of each runner and its age."""

from __future__ import annotations

from collections.abc import Collection
from typing import NamedTuple

from damaskjunction.core import RunnerId
from damaskjunction.placement.types import RunnerState, RunnerStatus

STALE_AFTER_S = 5.0
LOST_AFTER_S = 10.0
MAX_LOST_FRACTION = 0.5


class _Entry(NamedTuple):
    """The latest status of a runner.

    ``unreachable_since_s`` applies only while the runner is unreachable.
    """

    status: RunnerStatus
    reported_at_s: float
    unreachable_since_s: float


class RunnerStatusTracker:
    """Tracks the states of a region's engines from reports and read-backs.

    Parameters
    ----------
    stale_after_s : float, optional
        Seconds after which a state that is not reported again is unknown.
    lost_after_s : float, optional
        Seconds after which an unreachable runner is lost. An engine that restarts is
        back sooner, so its weights need not be loaded elsewhere.
    """

    def __init__(
        self,
        *,
        stale_after_s: float = STALE_AFTER_S,
        lost_after_s: float = LOST_AFTER_S,
    ) -> None:
        self.stale_after_s = stale_after_s
        self._lost_after_s = lost_after_s
        self._entries_by_runner: dict[RunnerId, _Entry] = {}

    def record(self, now_s: float, status: RunnerStatus) -> None:
        """Record a state reported at ``now_s``."""
        since_s = now_s
        entry = self._entries_by_runner.get(status.runner_id)
        if entry is not None and _is_unreachable(entry.status):
            since_s = entry.unreachable_since_s
        self._entries_by_runner[status.runner_id] = _Entry(status, now_s, since_s)

    def retain_only(self, known: Collection[RunnerId]) -> None:
        """Drop the runners that are not in the inventory ``known``."""
        for runner_id in self._entries_by_runner.keys() - known:
            del self._entries_by_runner[runner_id]

    def clear(self) -> None:
        """Drop all states, so that a new lease starts without them."""
        self._entries_by_runner.clear()

    def statuses(self, now_s: float) -> dict[RunnerId, RunnerStatus]:
        """Return the state of each runner by id, unknown for those that are stale.

        If more than half would be lost, the network is assumed to be at fault rather
        than the runners: they stay unreachable, so that nothing is moved.
        """
        statuses_by_runner = {
            runner_id: self._status_at(entry, now_s)
            for runner_id, entry in self._entries_by_runner.items()
        }
        lost = [
            runner_id
            for runner_id, status in statuses_by_runner.items()
            if status.state is RunnerState.LOST
        ]
        if len(lost) > MAX_LOST_FRACTION * len(statuses_by_runner):
            for runner_id in lost:
                entry = self._entries_by_runner[runner_id]
                statuses_by_runner[runner_id] = entry.status
        return statuses_by_runner

    def _status_at(self, entry: _Entry, now_s: float) -> RunnerStatus:
        status = entry.status
        if now_s - entry.reported_at_s > self.stale_after_s:
            return status._replace(state=RunnerState.UNKNOWN)
        unreachable_s = now_s - entry.unreachable_since_s
        if _is_unreachable(status) and unreachable_s >= self._lost_after_s:
            return status._replace(state=RunnerState.LOST)
        return status


def _is_unreachable(status: RunnerStatus) -> bool:
    return status.state is RunnerState.UNREACHABLE
