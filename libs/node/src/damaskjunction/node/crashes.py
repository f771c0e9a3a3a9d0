"""Detection of poison requests, and propagation of verdicts between hosts."""

from __future__ import annotations

import asyncio
import json
import logging
import random
import uuid
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from typing import Any

from damaskjunction.core import (
    Address,
    ConflictError,
    HostState,
    Outcome,
    PlatformError,
    RequestError,
    RequestId,
    Runner,
    RunnerId,
    Timers,
    WorkClass,
)
from damaskjunction.core.units import MINUTE_S
from damaskjunction.node.connection_probe import refuses_connections
from damaskjunction.node.documents import QUARANTINE_KIND, QuarantineDocument
from damaskjunction.node.state import HostView
from damaskjunction.node.tasks import cancel_tasks
from damaskjunction.platform import ObjectStore
from damaskjunction.routing import (
    Forward,
    GrantAccess,
    Quarantine,
    SharedExclusiveLock,
    Verdict,
    VerdictNews,
)
from damaskjunction.telemetry import Metrics
from damaskjunction.wire import PeerLinks

CONTROL_LANE = "control"
CONNECTION_LOST_REASONS = frozenset(("runner_lost", "stream_cut"))
N_SEND_ATTEMPTS = 3
SEND_RETRY_S = 0.5
SYNC_INTERVAL_S = MINUTE_S
SYNC_RETRY_S = 2.0

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
    ) -> None:
        self._view = view
        self._links = links
        self._store = store
        self._timers = timers
        self._rng = rng
        self._metrics = metrics
        self._quarantine = Quarantine()
        self._trackers_by_runner: dict[RunnerId, _RunnerTracker] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._sync_requested = asyncio.Event()

    async def start(self) -> None:
        """Start syncing convictions with the platform's store."""
        self._start_task(self._sync_loop())

    async def close(self) -> None:
        """Cancel the sync and pending broadcasts."""
        await cancel_tasks(self._tasks)

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
        verdict = self.verdict_of(forward.fingerprint)
        if verdict is Verdict.CONVICTED:
            detail = "equal requests have crashed the runners that ran them"
            raise RequestError(Outcome.NOT_RUN, "quarantined", detail)
        tracker = self._trackers_by_runner.setdefault(
            runner.runner_id, _RunnerTracker()
        )
        request_id = f"{forward.request_id}.{forward.attempt}"
        guard = RunnerGuard(tracker, request_id, forward)
        try:
            exclusive = forward.alone or verdict is Verdict.SUSPECT
            await tracker.acquire(
                request_id,
                exclusive=exclusive,
                timeout_s=deadline_at_s - self._timers.now(),
            )
            yield guard
            self._record_completion(forward.fingerprint)
        except RequestError as error:
            if error.reason not in CONNECTION_LOST_REASONS:
                raise
            raise await self._diagnose(runner, tracker, forward, error) from None
        finally:
            tracker.release(request_id)
            if tracker.is_idle:
                self._trackers_by_runner.pop(runner.runner_id, None)

    def _record_completion(self, fingerprint: str) -> None:
        news = self._quarantine.record_completion(fingerprint, self._timers.now())
        if news is not None:
            self._broadcast(news)

    async def _diagnose(
        self,
        runner: Runner,
        tracker: _RunnerTracker,
        forward: Forward,
        error: RequestError,
    ) -> RequestError:
        """Return the error to report for a request whose connection was lost."""
        if tracker.diagnosis is None:
            tracker.diagnosis = asyncio.ensure_future(
                self._detect_crash(runner, tracker)
            )
        diagnosis = tracker.diagnosis
        has_crashed = await asyncio.shield(diagnosis)
        if tracker.diagnosis is diagnosis:
            tracker.diagnosis = None
        if self.verdict_of(forward.fingerprint) is Verdict.CONVICTED:
            detail = "a runner crashed again while it ran only this request"
            return RequestError(Outcome.RAN, "crashes_runner", detail)
        if has_crashed:
            return RequestError(error.outcome, "runner_crashed", error.detail)
        return error

    async def _detect_crash(self, runner: Runner, tracker: _RunnerTracker) -> bool:
        """Return whether a runner crashed; if so, record a verdict on its requests.

        A runner that is leaving the fleet does not count as crashed.
        """
        in_flight = list(tracker.in_flight_by_id.values())
        was_alone = len(in_flight) == 1 and tracker.lock.exclusive_holder is not None
        if not await refuses_connections(runner.address):
            return False
        current = self._view.fleet.runners_by_id.get(runner.runner_id, runner)
        if current.state is HostState.LEAVING:
            return False
        self._metrics.count("runner_crashes_total")
        news = self._quarantine.record_crash(
            [request.fingerprint for request in in_flight],
            self._timers.now(),
            was_alone=was_alone,
            position_by_fingerprint=tracker.furthest_items(),
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

    def _broadcast(self, news: VerdictNews) -> None:
        for host in self._view.fleet.hosts_by_id.values():
            if host.host_id != self._view.own.host_id:
                self._start_task(self._send(host.peer, news))
        if news.verdict is Verdict.CONVICTED:
            self._metrics.count("requests_convicted_total")
            self._sync_requested.set()

    async def _send(self, peer: Address, news: VerdictNews) -> None:
        for _ in range(N_SEND_ATTEMPTS):
            try:
                async for _reply in self._links.call(peer, CONTROL_LANE, news):
                    pass
                return
            except RequestError:
                await asyncio.sleep(SEND_RETRY_S)

    def _start_task(self, work: Any) -> None:
        task: asyncio.Task[None] = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _sync_loop(self) -> None:
        """Sync convictions with the store at intervals and after each new one."""
        while True:
            pause_s = SYNC_INTERVAL_S * self._rng.uniform(0.5, 1.5)
            self._sync_requested.clear()
            try:
                await self._sync_with_store()
            except (PlatformError, ValueError, KeyError) as error:
                logger.warning("quarantine sync failed", extra={"error": str(error)})
                pause_s = SYNC_RETRY_S * self._rng.uniform(0.5, 1.5)
            with suppress(TimeoutError):
                async with asyncio.timeout(pause_s):
                    await self._sync_requested.wait()

    async def _sync_with_store(self) -> None:
        name = self._view.own.region
        stored = await self._store.get(QUARANTINE_KIND, name)
        stored_since_by_fingerprint = _parse_convicted_since(
            stored.value if stored else b""
        )
        now_s, wall_s = self._timers.now(), self._timers.wall()
        for fingerprint, since_s in stored_since_by_fingerprint.items():
            age_s = max(0.0, wall_s - since_s)
            self.merge(VerdictNews(Verdict.CONVICTED, (fingerprint,), age_s))
        own = self._quarantine.conviction_ages(now_s)
        if not own.keys() - stored_since_by_fingerprint.keys():
            return
        document: QuarantineDocument = {
            "convicted_since": {name: wall_s - age_s for name, age_s in own.items()}
        }
        try:
            await self._store.put(
                QUARANTINE_KIND,
                name,
                json.dumps(document).encode(),
                expected_version=stored.version if stored else 0,
                operation_id=uuid.uuid4().hex,
            )
        except ConflictError:
            self._sync_requested.set()


class RunnerGuard:
    """Marks one request as in flight at its runner."""

    def __init__(
        self, tracker: _RunnerTracker, request_id: RequestId, forward: Forward
    ) -> None:
        self._in_flight_by_id = tracker.in_flight_by_id
        self._request_id = request_id
        self._request = _InFlight(
            forward.fingerprint,
            forward.from_token,
            is_item=forward.work_class is WorkClass.BATCH,
        )

    def begin(self) -> None:
        """Record that the request is being sent to the runner."""
        self._in_flight_by_id[self._request_id] = self._request

    def end(self) -> None:
        """Record that the request is no longer in flight; it may begin again."""
        self._in_flight_by_id.pop(self._request_id, None)

    def record_position(self, position: int) -> None:
        """Record how many tokens of its answer the request has."""
        self._request.position = position


class _InFlight:
    """A request in flight at a runner, with the number of tokens of its answer."""

    def __init__(self, fingerprint: str, position: int, *, is_item: bool) -> None:
        self.fingerprint = fingerprint
        self.position = position
        self.is_item = is_item


class _RunnerTracker:
    """Requests in flight at one runner, and shared or exclusive access to it."""

    def __init__(self) -> None:
        self.lock = SharedExclusiveLock()
        self.in_flight_by_id: dict[RequestId, _InFlight] = {}
        self.diagnosis: asyncio.Future[bool] | None = None
        self._granted_by_id: dict[RequestId, asyncio.Future[None]] = {}

    @property
    def is_idle(self) -> bool:
        """Whether nothing uses the runner and no diagnosis is in progress."""
        return self.lock.is_idle and self.diagnosis is None

    def furthest_items(self) -> dict[str, int]:
        """Return by fingerprint how many tokens items in flight have at most."""
        furthest: dict[str, int] = {}
        for item in self.in_flight_by_id.values():
            if item.is_item:
                known = furthest.get(item.fingerprint, item.position)
                furthest[item.fingerprint] = max(known, item.position)
        return furthest

    async def acquire(
        self, request_id: RequestId, *, exclusive: bool, timeout_s: float
    ) -> None:
        """Return when the request may go on to admission.

        Raises
        ------
        RequestError
            ``NOT_RUN`` when access was not granted within ``timeout_s``.
        """
        granted: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._granted_by_id[request_id] = granted
        self._apply(self.lock.acquire(request_id, exclusive=exclusive))
        try:
            async with asyncio.timeout(timeout_s):
                await granted
        except TimeoutError:
            detail = "a suspect request blocked access to the runner"
            raise RequestError(Outcome.NOT_RUN, "deadline", detail) from None

    def release(self, request_id: RequestId) -> None:
        """Remove a request and grant access to the requests that it blocked."""
        self._granted_by_id.pop(request_id, None)
        self.in_flight_by_id.pop(request_id, None)
        self._apply(self.lock.release(request_id))

    def _apply(self, effects: list[GrantAccess]) -> None:
        for effect in effects:
            granted = self._granted_by_id[effect.request_id]
            if not granted.done():
                granted.set_result(None)


def _parse_convicted_since(value: bytes) -> dict[str, float]:
    if not value:
        return {}
    document: QuarantineDocument = json.loads(value)
    return document["convicted_since"]
