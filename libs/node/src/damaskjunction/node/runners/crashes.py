"""Detection of poison requests: which requests a runner had when it crashed."""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

from damaskjunction.core import (
    HostState,
    Outcome,
    RequestError,
    Runner,
    RunnerId,
    Timers,
)
from damaskjunction.node.runners.runner_occupancy import RunnerGuard, RunnerOccupancy
from damaskjunction.node.runners.verdict_spread import VerdictSpread
from damaskjunction.node.state import HostView
from damaskjunction.platform import ObjectStore
from damaskjunction.relay import PathDiagnosis
from damaskjunction.routing import Forward, Quarantine, Verdict, VerdictNews
from damaskjunction.telemetry import Metrics
from damaskjunction.wire import PeerLinks

CONNECTION_LOST_REASONS = frozenset(("runner_lost", "stream_cut"))

logger = logging.getLogger(__name__)


class CrashTracker:
    """Diagnoses runner crashes and keeps the verdicts on poison requests.

    Parameters
    ----------
    view : HostView
        Known hosts and runners.
    links : PeerLinks
        Links to the other hosts.
    store : ObjectStore
        Stores convictions across restarts.
    timers : Timers
        Timer service of the process.
    rng : random.Random
        Random number generator for the jitter of calls to the store.
    metrics : Metrics
        Metrics of the process.
    diagnosis : PathDiagnosis
        Tells a runner that has ended from a path that is cut.
    """

    def __init__(
        self,
        view: HostView,
        links: PeerLinks,
        store: ObjectStore,
        timers: Timers,
        *,
        rng: random.Random,
        metrics: Metrics,
        diagnosis: PathDiagnosis,
    ) -> None:
        self._view = view
        self._timers = timers
        self._metrics = metrics
        self._diagnosis = diagnosis
        self._quarantine = Quarantine()
        self._spread = VerdictSpread(
            self._quarantine, view, links, store, timers=timers, rng=rng
        )
        self._occupancy_by_runner: dict[RunnerId, RunnerOccupancy] = {}

    async def start(self) -> None:
        """Start syncing convictions with the platform's store."""
        await self._spread.start()

    async def close(self) -> None:
        """Cancel the sync and pending broadcasts."""
        await self._spread.close()

    def to_document(self) -> dict[str, Any]:
        """Return the age of each conviction in seconds, and the number of suspects."""
        now_s = self._timers.now()
        return {
            "convicted_age_s": self._quarantine.conviction_ages(now_s),
            "n_suspects": self._quarantine.n_suspects(now_s),
        }

    def verdict_of(self, fingerprint: str) -> Verdict:
        """Return the verdict on a fingerprint."""
        return self._quarantine.verdict_of(fingerprint, self._timers.now())

    def check(self, fingerprint: str) -> Verdict:
        """Return the verdict on a request that may run.

        Raises
        ------
        RequestError
            ``NOT_RUN`` when the request is quarantined.
        """
        verdict = self.verdict_of(fingerprint)
        if verdict is Verdict.CONVICTED:
            detail = "equal requests have crashed the runners that ran them"
            raise RequestError(Outcome.NOT_RUN, "quarantined", detail)
        return verdict

    def merge(self, news: VerdictNews) -> None:
        """Merge a verdict from another host."""
        self._quarantine.merge(news, self._timers.now())

    @asynccontextmanager
    async def guard(
        self, runner: Runner, forward: Forward, deadline_at_s: float
    ) -> AsyncIterator[RunnerGuard]:
        """Track one request to a runner, from before its admission to its end.

        A suspect gets exclusive access to the runner.

        Raises
        ------
        RequestError
            ``NOT_RUN`` when the request is quarantined, or its deadline passed before
            it got access to the runner. A lost connection is reported as
            ``runner_crashed`` when the runner has crashed, and as ``crashes_runner``
            when that convicted the request.
        """
        is_suspect = self.check(forward.fingerprint) is Verdict.SUSPECT
        occupancy = self._occupancy_by_runner.setdefault(
            runner.runner_id, RunnerOccupancy()
        )
        request_id = f"{forward.request_id}.{forward.attempt}"
        guard = RunnerGuard(occupancy, request_id, forward)
        try:
            await occupancy.acquire(
                request_id,
                exclusive=forward.alone or is_suspect,
                timeout_s=deadline_at_s - self._timers.now(),
            )
            yield guard
            self._record_completion(forward.fingerprint)
        except RequestError as error:
            if error.reason not in CONNECTION_LOST_REASONS:
                raise
            raise await self._diagnose(runner, occupancy, forward, error) from None
        finally:
            occupancy.release(request_id)
            if occupancy.is_idle:
                self._occupancy_by_runner.pop(runner.runner_id, None)

    def _record_completion(self, fingerprint: str) -> None:
        news = self._quarantine.record_completion(fingerprint, self._timers.now())
        if news is not None:
            self._broadcast(news)

    async def _diagnose(
        self,
        runner: Runner,
        occupancy: RunnerOccupancy,
        forward: Forward,
        error: RequestError,
    ) -> RequestError:
        """Return the error to report for a request whose connection was lost."""
        if occupancy.diagnosis is None:
            occupancy.diagnosis = asyncio.ensure_future(
                self._detect_crash(runner, occupancy)
            )
        diagnosis = occupancy.diagnosis
        has_crashed = await asyncio.shield(diagnosis)
        if occupancy.diagnosis is diagnosis:
            occupancy.diagnosis = None
        if self.verdict_of(forward.fingerprint) is Verdict.CONVICTED:
            detail = "a runner crashed again while it ran only this request"
            return RequestError(Outcome.RAN, "crashes_runner", detail)
        if has_crashed:
            return RequestError(error.outcome, "runner_crashed", error.detail)
        return error

    async def _detect_crash(self, runner: Runner, occupancy: RunnerOccupancy) -> bool:
        """Return whether a runner crashed; if so, record a verdict on its requests."""
        in_flight = list(occupancy.in_flight_by_id.values())
        position_by_fingerprint = occupancy.furthest_items()
        was_alone = occupancy.is_exclusive
        if not await self._has_crashed(runner):
            return False
        self._metrics.count("runner_crashes_total")
        news = self._quarantine.record_crash(
            [request.fingerprint for request in in_flight],
            self._timers.now(),
            was_alone=was_alone,
            position_by_fingerprint=position_by_fingerprint,
        )
        logger.warning(
            "runner crashed",
            extra={
                "runner": runner.runner_id,
                "n_requests": len(in_flight),
                "verdict": news.verdict.value if news else "",
            },
        )
        if news is not None:
            self._broadcast(news)
        return True

    async def _has_crashed(self, runner: Runner) -> bool:
        """Return whether a runner has ended, other than by leaving the fleet."""
        if not await self._diagnosis.has_ended(runner.address):
            return False
        current = self._view.fleet.runners_by_id.get(runner.runner_id, runner)
        return current.state is not HostState.LEAVING

    def _broadcast(self, news: VerdictNews) -> None:
        self._spread.broadcast(news)
        if news.verdict is Verdict.CONVICTED:
            self._metrics.count("requests_convicted_total")
