"""Requests that runners report beyond those whose slots this host has granted."""

from __future__ import annotations

from collections import deque
from collections.abc import Collection

from damaskjunction.core import RunnerId

REPORT_LAG_S = 0.3
MAX_REPORT_AGE_S = 2.0


class UnseenRequests:
    """Counts by runner from its own reports, which lag slightly.

    Requests beyond those that held a slot here within ``REPORT_LAG_S`` are unseen: this
    host did not grant their slots, and must not grant them again. A report that is not
    followed by another is forgotten after ``MAX_REPORT_AGE_S``.
    """

    def __init__(self) -> None:
        self.n_by_runner: dict[RunnerId, int] = {}
        self._reported_at_by_runner: dict[RunnerId, float] = {}
        self._recent_releases: deque[tuple[float, RunnerId]] = deque()

    def n_at(self, runner_id: RunnerId) -> int:
        """Return the number of unseen requests at a runner."""
        return self.n_by_runner.get(runner_id, 0)

    def observe_report(
        self, runner_id: RunnerId, n_requests: int, n_held: int, now_s: float
    ) -> None:
        """Process a report of ``n_requests``, ``n_held`` of which hold a slot here."""
        releases = self._recent_releases
        while releases and now_s - releases[0][0] > REPORT_LAG_S:
            releases.popleft()
        n_known = n_held + sum(name == runner_id for _, name in releases)
        self.n_by_runner[runner_id] = max(0, n_requests - n_known)
        self._reported_at_by_runner[runner_id] = now_s

    def record_release(self, runner_id: RunnerId, now_s: float) -> None:
        """Record that a request which held a slot here has ended."""
        self._recent_releases.append((now_s, runner_id))

    def forget_old(self, now_s: float) -> None:
        """Forget the reports that are too old."""
        for runner_id, reported_at_s in list(self._reported_at_by_runner.items()):
            if now_s - reported_at_s > MAX_REPORT_AGE_S:
                self._forget(runner_id)

    def retain_runners(self, runner_ids: Collection[RunnerId]) -> None:
        """Forget the reports of all runners not in ``runner_ids``."""
        for runner_id in self.n_by_runner.keys() - set(runner_ids):
            self._forget(runner_id)

    def _forget(self, runner_id: RunnerId) -> None:
        del self.n_by_runner[runner_id]
        del self._reported_at_by_runner[runner_id]
