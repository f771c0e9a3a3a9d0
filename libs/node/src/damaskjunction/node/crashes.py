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
)
from damaskjunction.core.units import MILLISECOND_S, MINUTE_S
from damaskjunction.node.documents import QUARANTINE_KIND, QuarantineDocument
from damaskjunction.node.state import HostView
from damaskjunction.node.tasks import end_tasks
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
LOST_REASONS = frozenset(("runner_lost", "stream_cut"))
N_PROBES = 2
PROBE_PAUSE_S = 30 * MILLISECOND_S
PROBE_TIMEOUT_S = 0.5
N_SENDS = 3
RESEND_S = 0.5
SYNC_INTERVAL_S = MINUTE_S
SYNC_RETRY_S = 2.0

logger = logging.getLogger(__name__)


class CrashWatch:
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
    chance : random.Random
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
        chance: random.Random,
        metrics: Metrics,
    ) -> None:
        self._view = view
        self._links = links
        self._store = store
        self._timers = timers
        self._chance = chance
        self._metrics = metrics
        self._quarantine = Quarantine()
        self._watches_by_runner: dict[RunnerId, _RunnerWatch] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._unsaved = asyncio.Event()

    async def start(self) -> None:
        """Start syncing convictions with the platform's store."""
        self._keep(self._sync())

    async def close(self) -> None:
        """Cancel the sync and pending broadcasts."""
        await end_tasks(self._tasks)

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

    def take(self, news: VerdictNews) -> None:
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
        watch = self._watches_by_runner.setdefault(runner.runner_id, _RunnerWatch())
        request_id = f"{forward.request_id}.{forward.attempt}"
        guard = RunnerGuard(watch, request_id, forward.fingerprint)
        try:
            alone = forward.alone or verdict is Verdict.SUSPECT
            await watch.enter(
                request_id, alone=alone, timeout_s=deadline_at_s - self._timers.now()
            )
            yield guard
            self._complete(forward.fingerprint)
        except RequestError as error:
            if error.reason not in LOST_REASONS:
                raise
            raise await self._diagnose(runner, watch, forward, error) from None
        finally:
            watch.leave(request_id)
            if watch.is_idle:
                self._watches_by_runner.pop(runner.runner_id, None)

    def _complete(self, fingerprint: str) -> None:
        news = self._quarantine.record_completion(fingerprint, self._timers.now())
        if news is not None:
            self._spread(news)

    async def _diagnose(
        self,
        runner: Runner,
        watch: _RunnerWatch,
        forward: Forward,
        error: RequestError,
    ) -> RequestError:
        """Return the error to report for a request whose connection was lost."""
        if watch.diagnosis is None:
            watch.diagnosis = asyncio.ensure_future(self._find_crash(runner, watch))
        diagnosis = watch.diagnosis
        has_crashed = await asyncio.shield(diagnosis)
        if watch.diagnosis is diagnosis:
            watch.diagnosis = None
        if self.verdict_of(forward.fingerprint) is Verdict.CONVICTED:
            detail = "a runner crashed at this request again, while it ran alone"
            return RequestError(Outcome.RAN, "crashes_runner", detail)
        if has_crashed:
            return RequestError(error.outcome, "runner_crashed", error.detail)
        return error

    async def _find_crash(self, runner: Runner, watch: _RunnerWatch) -> bool:
        """Return whether a runner crashed; if so, record a verdict on its requests.

        A runner that is leaving the fleet does not count as crashed.
        """
        fingerprints = list(watch.fingerprints_by_id.values())
        was_alone = len(fingerprints) == 1 and watch.gate.exclusive_holder is not None
        if not await is_dead(runner.address):
            return False
        known = self._view.fleet.runners_by_id.get(runner.runner_id, runner)
        if known.state is HostState.LEAVING:
            return False
        self._metrics.count("runner_crashes_total")
        news = self._quarantine.record_crash(
            fingerprints, self._timers.now(), was_alone=was_alone
        )
        logger.warning(
            "runner crashed",
            extra={
                "runner": runner.runner_id,
                "n_requests": len(fingerprints),
                "verdict": news.verdict.value if news else "",
            },
        )
        if news is not None:
            self._spread(news)
        return True

    def _spread(self, news: VerdictNews) -> None:
        for host in self._view.fleet.hosts_by_id.values():
            if host.host_id != self._view.own.host_id:
                self._keep(self._send(host.peer, news))
        if news.verdict is Verdict.CONVICTED:
            self._metrics.count("requests_convicted_total")
            self._unsaved.set()

    async def _send(self, peer: Address, news: VerdictNews) -> None:
        for _ in range(N_SENDS):
            try:
                async for _reply in self._links.call(peer, CONTROL_LANE, news):
                    pass
                return
            except RequestError:
                await asyncio.sleep(RESEND_S)

    def _keep(self, work: Any) -> None:
        task: asyncio.Task[None] = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _sync(self) -> None:
        """Sync convictions with the store at intervals and after each new one."""
        while True:
            pause_s = SYNC_INTERVAL_S * self._chance.uniform(0.5, 1.5)
            self._unsaved.clear()
            try:
                await self._merge()
            except (PlatformError, ValueError, KeyError) as error:
                logger.warning("quarantine sync failed", extra={"error": str(error)})
                pause_s = SYNC_RETRY_S * self._chance.uniform(0.5, 1.5)
            with suppress(TimeoutError):
                async with asyncio.timeout(pause_s):
                    await self._unsaved.wait()

    async def _merge(self) -> None:
        name = self._view.own.region
        stored = await self._store.get(QUARANTINE_KIND, name)
        stored_since_by_fingerprint = _read_convicted(stored.value if stored else b"")
        now_s, wall_s = self._timers.now(), self._timers.wall()
        for fingerprint, since_s in stored_since_by_fingerprint.items():
            age_s = max(0.0, wall_s - since_s)
            self.take(VerdictNews(Verdict.CONVICTED, (fingerprint,), age_s))
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
            self._unsaved.set()


class RunnerGuard:
    """Marks one request as in flight at its runner."""

    def __init__(
        self, watch: _RunnerWatch, request_id: RequestId, fingerprint: str
    ) -> None:
        self._watch = watch
        self._request_id = request_id
        self._fingerprint = fingerprint

    def begin(self) -> None:
        """Record that the request is being sent to the runner."""
        self._watch.fingerprints_by_id[self._request_id] = self._fingerprint

    def end(self) -> None:
        """Record that the request is no longer in flight; it may begin again."""
        self._watch.fingerprints_by_id.pop(self._request_id, None)


class _RunnerWatch:
    """Requests in flight at one runner, and shared or exclusive access to it."""

    def __init__(self) -> None:
        self.gate = SharedExclusiveLock()
        self.fingerprints_by_id: dict[RequestId, str] = {}
        self.diagnosis: asyncio.Future[bool] | None = None
        self._entered_by_id: dict[RequestId, asyncio.Future[None]] = {}

    @property
    def is_idle(self) -> bool:
        """Whether nothing uses the runner and no diagnosis is in progress."""
        return self.gate.is_idle and self.diagnosis is None

    async def enter(
        self, request_id: RequestId, *, alone: bool, timeout_s: float
    ) -> None:
        """Return when the request may go on to admission.

        Raises
        ------
        RequestError
            ``NOT_RUN`` when access was not granted within ``timeout_s``.
        """
        entered: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._entered_by_id[request_id] = entered
        self._apply(self.gate.acquire(request_id, exclusive=alone))
        try:
            async with asyncio.timeout(timeout_s):
                await entered
        except TimeoutError:
            detail = "a suspect request blocked access to the runner"
            raise RequestError(Outcome.NOT_RUN, "deadline", detail) from None

    def leave(self, request_id: RequestId) -> None:
        """Remove a request and grant access to those that wait for it."""
        self._entered_by_id.pop(request_id, None)
        self.fingerprints_by_id.pop(request_id, None)
        self._apply(self.gate.release(request_id))

    def _apply(self, effects: list[GrantAccess]) -> None:
        for effect in effects:
            entered = self._entered_by_id[effect.request_id]
            if not entered.done():
                entered.set_result(None)


async def is_dead(address: Address) -> bool:
    """Return whether a process has ended, that is, connections to it are refused.

    A connection that is aborted, stalls or times out does not count, since a network
    fault can cause that too.
    """
    for number in range(N_PROBES):
        if number:
            await asyncio.sleep(PROBE_PAUSE_S)
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_S):
                _, writer = await asyncio.open_connection(*address)
        except ConnectionRefusedError:
            return True
        except (OSError, TimeoutError):
            return False
        writer.transport.abort()
    return False


def _read_convicted(value: bytes) -> dict[str, float]:
    if not value:
        return {}
    document: QuarantineDocument = json.loads(value)
    return document["convicted_since"]
