"""Runners in doubt: those that failed lately, even if they have answered since.

An ejection ends with the next answer. A runner that fails a part of its requests, or
goes down and up, is back at once then. Work that may be tried again is the better probe
for it than a request whose only attempt would be lost.
"""

from __future__ import annotations

from collections.abc import Collection

from damaskjunction.core import RunnerId

DOUBT_S = 6.0  # after a failure, in which the doubt wanes


class RunnerDoubts:
    """When each runner failed last, as far as that still casts doubt on it."""

    def __init__(self) -> None:
        self._failed_at_s_by_runner: dict[RunnerId, float] = {}

    def record_failure(self, runner_id: RunnerId, now_s: float) -> None:
        """Record that a runner has failed a request."""
        self._failed_at_s_by_runner[runner_id] = now_s

    def level(self, runner_id: RunnerId, now_s: float) -> float:
        """Return the doubt about a runner, from 1 at a failure down to 0."""
        failed_at_s = self._failed_at_s_by_runner.get(runner_id)
        if failed_at_s is None:
            return 0.0
        return max(0.0, 1.0 - (now_s - failed_at_s) / DOUBT_S)

    def retain_runners(self, runner_ids: Collection[RunnerId]) -> None:
        """Drop the records of all runners not in ``runner_ids``."""
        for runner_id in self._failed_at_s_by_runner.keys() - set(runner_ids):
            del self._failed_at_s_by_runner[runner_id]
