"""What the attempts at one request have come to, and whether another may follow."""

from __future__ import annotations

from damaskjunction.core import Outcome, RunnerId
from damaskjunction.gateway.runners.runner_responses import (
    RunnerFailedError,
)
from damaskjunction.routing import Route, RouteKind

MIN_REMAINING_S = 0.02  # with less time left, no attempt is started
MAX_RUNNERS_TRIED = 12
MAX_CRASHES = 2  # runners that may crash under one request before its answer


class AttemptHistory:
    """The failed attempts at one request.

    ``tried`` are the runners that failed it, ``excluded`` those of them that must not
    be tried again at present, and ``silent`` those that have only been silent.
    ``n_run`` counts the attempts that a runner ran or may have run, and ``outcome`` is
    what is known of the whole request.

    Parameters
    ----------
    route : Route
        The route of the request.
    """

    def __init__(self, route: Route) -> None:
        self._route = route
        self.tried: set[RunnerId] = set()
        self.excluded: set[RunnerId] = set()
        self.silent: set[RunnerId] = set()
        self.n_run = 0
        self.n_crashes = 0
        self.outcome = Outcome.NOT_RUN

    def record_failure(self, runner_id: RunnerId, error: RunnerFailedError) -> None:
        """Record a failed attempt; ``runner_id`` is empty if it reached no runner."""
        if runner_id:
            self.tried.add(runner_id)
            self.excluded.add(runner_id)
            if error.is_silence:
                self.silent.add(runner_id)
        if error.outcome is not Outcome.NOT_RUN:
            self.n_run += 1
            self.outcome = error.outcome

    def may_retry(self, remaining_s: float) -> bool:
        """Return whether another attempt may follow with so much time left."""
        if not self._has_attempts(remaining_s):
            return False
        if self.outcome is Outcome.NOT_RUN:
            return True
        return self._route.may_repeat and self.n_run < self._route.max_attempts

    def may_retry_after_run(self, remaining_s: float) -> bool:
        """Return whether another attempt may follow once a runner has run this one."""
        return (
            self._route.may_repeat
            and self.n_run + 1 < self._route.max_attempts
            and self._has_attempts(remaining_s)
        )

    def _has_attempts(self, remaining_s: float) -> bool:
        return (
            remaining_s >= MIN_REMAINING_S
            and len(self.excluded) < MAX_RUNNERS_TRIED
            and self.n_crashes < MAX_CRASHES
        )

    def may_retry_failed_response(self, remaining_s: float) -> bool:
        """Return whether another attempt may follow a runner's response of failure."""
        return (
            self._route.kind is RouteKind.IDEMPOTENT
            and self.n_run + 1 < self._route.max_attempts
            and remaining_s > MIN_REMAINING_S
        )
