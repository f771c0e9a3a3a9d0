"""Works on batch jobs: finds them, claims chunks and runs these."""

from __future__ import annotations

import asyncio
import logging
import random
import uuid
from typing import Any

from damaskjunction.batch import (
    Chunk,
    ChunkClaim,
    ChunkState,
    InFlightWindow,
    JobDocument,
    JobState,
    chunk_number,
    decode,
)
from damaskjunction.core import ConflictError, JobId, PlatformError, Timers
from damaskjunction.node.documents import JOB_KIND
from damaskjunction.node.job_chunks import ChunkRunner
from damaskjunction.node.job_items import ItemRunner
from damaskjunction.node.job_slots import ItemSlots
from damaskjunction.node.job_store import JobStore
from damaskjunction.node.job_table import JobTable, KnownJob
from damaskjunction.node.metering import Meter, RequestRunner
from damaskjunction.node.peak_budget import PeakBudget
from damaskjunction.node.state import HostView
from damaskjunction.node.tasks import cancel_tasks
from damaskjunction.telemetry import Metrics

logger = logging.getLogger(__name__)

MIN_SCAN_S = 0.5
SCANS_PER_S = 60.0
MAX_CHUNKS = 4
DRAIN_LIMIT_S = 15.0
JOBS_REMEMBERED = 10_000


class JobWorker:
    """The batch work of one host.

    Parameters
    ----------
    view : HostView
        Configuration and live hosts.
    store : JobStore
        Stored jobs.
    runner : RequestRunner
        Runs requests.
    meter : Meter
        Usage of this host and its budget.
    peak : PeakBudget
        Takes slices of the minutes' budgets.
    timers : Timers
        The process's timer service.
    metrics : Metrics
        Counts the work.
    chance : random.Random
        Spreads hosts over time and chunks.
    """

    def __init__(
        self,
        view: HostView,
        store: JobStore,
        runner: RequestRunner,
        *,
        meter: Meter,
        peak: PeakBudget,
        timers: Timers,
        metrics: Metrics,
        chance: random.Random,
    ) -> None:
        self._view = view
        self._store = store
        self._timers = timers
        self._metrics = metrics
        self._chance = chance
        self._window = InFlightWindow()
        self._slots = ItemSlots(self._window, meter.budget, peak.ask)
        peak.subscribe(self._slots.fill)
        self._items = ItemRunner(
            runner,
            self._slots,
            self._window,
            meter=meter,
            timers=timers,
            metrics=metrics,
        )
        self._table = JobTable(view.own.host_id, chance)
        self._chunks_by_name: dict[str, ChunkRunner] = {}
        self._tasks_by_name: dict[str, asyncio.Task[None]] = {}
        self._cancelled: dict[JobId, None] = {}
        self._is_draining = False
        self._task: asyncio.Task[None] | None = None
        metrics.gauge("batch_window_items", lambda: float(self._window.limit))
        metrics.gauge("batch_in_flight_items", lambda: float(self._slots.n_in_flight))
        metrics.gauge("batch_chunks_held", lambda: float(len(self._chunks_by_name)))

    async def start(self) -> None:
        """Start working."""
        self._task = asyncio.ensure_future(self._work())

    async def drain(self) -> None:
        """Claim nothing more, let running items end and give the rest back."""
        self._is_draining = True
        for chunk in self._chunks_by_name.values():
            chunk.stop()
        tasks = list(self._tasks_by_name.values())
        if tasks:
            await asyncio.wait(tasks, timeout=DRAIN_LIMIT_S)

    async def close(self) -> None:
        """Stop working."""
        tasks = list(self._tasks_by_name.values())
        if self._task is not None:
            tasks.append(self._task)
        await cancel_tasks(tasks)

    def to_document(self) -> dict[str, Any]:
        """Return the state for the dump."""
        return {
            "window": self._window.limit,
            "in_flight": self._slots.n_in_flight,
            "jobs": sorted(self._table.jobs_by_id),
            "chunks": {
                name: {"epoch": chunk.claim.chunk.epoch, "waiting": chunk.n_unstarted}
                for name, chunk in self._chunks_by_name.items()
            },
        }

    async def stop_job(self, job_id: JobId) -> None:
        """End the work on a cancelled job, and start no more of it."""
        self._remember_cancelled(job_id)
        self._table.drop(job_id)
        chunks = [
            chunk
            for chunk in self._chunks_by_name.values()
            if chunk.job["job_id"] == job_id
        ]
        for chunk in chunks:
            chunk.stop()
        await asyncio.gather(*(chunk.abort() for chunk in chunks))

    def _remember_cancelled(self, job_id: JobId) -> None:
        self._cancelled[job_id] = None
        if len(self._cancelled) > JOBS_REMEMBERED:
            del self._cancelled[next(iter(self._cancelled))]

    async def _work(self) -> None:
        while not self._is_draining:
            try:
                await self._scan()
                await self._claim_chunks()
                await self._end_jobs()
            except PlatformError as error:
                logger.warning("batch step failed", extra={"error": str(error)})
                self._table.restart_leases()
            await asyncio.sleep(self._scan_interval_s())

    def _scan_interval_s(self) -> float:
        n_hosts = len(self._view.serving_hosts())
        interval_s = max(MIN_SCAN_S, n_hosts / SCANS_PER_S)
        return interval_s * (0.75 + 0.5 * self._chance.random())

    async def _scan(self) -> None:
        """Bring the table up to date with the queue."""
        if not self._view.is_ready:
            return
        change = self._table.compare(await self._store.list_queue())
        for job_id in change.gone:
            await self._leave(job_id)
        for job_id in change.unknown:
            job = await self._store.get_job(job_id)
            if job is None or job_id in self._cancelled:
                continue
            if job["state"] == JobState.OPEN:
                self._table.add(job)
            else:
                await self._store.leave_queue(job_id)

    async def _leave(self, job_id: JobId) -> None:
        """End the work on a job that is no longer in the queue."""
        self._table.drop(job_id)
        for chunk in list(self._chunks_by_name.values()):
            if chunk.job["job_id"] == job_id:
                await chunk.abort()

    async def _claim_chunks(self) -> None:
        """Claim chunks until enough items wait for a free slot."""
        while self._wants_work():
            chunk = await self._next_chunk()
            if chunk is None:
                break
            self._start_chunk(*chunk)
        for known in list(self._table.jobs_by_id.values()):
            if known.is_read:
                await self._read_chunks(known)

    async def _next_chunk(self) -> tuple[KnownJob, Chunk] | None:
        for known in self._table.in_order():
            if not known.free:
                await self._read_chunks(known)
            if known.free:
                return known, known.free.pop()
        return None

    def _wants_work(self) -> bool:
        if self._is_draining or len(self._chunks_by_name) >= MAX_CHUNKS:
            return False
        n_waiting = sum(chunk.n_unstarted for chunk in self._chunks_by_name.values())
        return n_waiting < self._window.limit

    async def _read_chunks(self, known: KnownJob) -> None:
        lease_s = self._view.configuration.batch.lease_s
        live = [host.host_id for host in self._view.serving_hosts()]
        if not self._table.is_due(known, live, lease_s, self._timers.now()):
            return
        chunks = await self._store.list_chunks(known.job)
        known.take(
            chunks,
            held=self._chunks_by_name.keys(),
            now_s=self._timers.now(),
            lease_s=lease_s,
            chance=self._chance,
        )

    def _start_chunk(self, known: KnownJob, chunk: Chunk) -> None:
        job = known.job
        job_id = job["job_id"]
        spec = self._view.configuration.batch
        if chunk.state is ChunkState.CLAIMED:
            self._metrics.count("batch_takeovers_total")
        claim = ChunkClaim(
            chunk, self._view.own.host_id, spec.lease_s, lambda: uuid.uuid4().hex
        )
        runner = ChunkRunner(
            job,
            chunk_number(chunk.name),
            claim,
            store=self._store,
            items=self._items,
            timers=self._timers,
            metrics=self._metrics,
            max_tries=spec.max_tries,
            is_stopped=lambda: job_id in self._cancelled,
        )
        self._chunks_by_name[chunk.name] = runner
        task = asyncio.ensure_future(self._run_chunk(chunk.name, runner))
        self._tasks_by_name[chunk.name] = task
        self._table.count(job, self._share_of(job))

    async def _run_chunk(self, name: str, runner: ChunkRunner) -> None:
        try:
            await runner.run()
        except Exception:
            logger.exception("chunk failed", extra={"chunk": name})
        finally:
            del self._chunks_by_name[name]
            del self._tasks_by_name[name]
            self._table.note_end(runner.job["job_id"])

    def _share_of(self, job: JobDocument) -> float:
        spec = self._view.configuration.workspaces_by_name.get(job["workspace"])
        return spec.share if spec is not None else 1.0

    async def _end_jobs(self) -> None:
        """Record the end of jobs whose chunks are all done."""
        for known in list(self._table.jobs_by_id.values()):
            if known.is_all_done:
                await self._end_job(known.job)

    async def _end_job(self, job: JobDocument) -> None:
        chunks = (await self._store.list_chunks(job)).values()
        stored = await self._store.get(JOB_KIND, job["job_id"])
        if stored is None or decode(stored.value)["state"] != JobState.OPEN:
            self._table.drop(job["job_id"])
            return
        finished: JobDocument = {
            **job,
            "state": JobState.COMPLETE.value,
            "finished_at": self._timers.wall(),
            "n_done": sum(chunk.n_done for chunk in chunks),
            "n_failed": sum(chunk.n_failed for chunk in chunks),
        }
        try:
            await self._store.put(
                JOB_KIND, job["job_id"], finished, expected_version=stored.version
            )
        except ConflictError:
            return
        await self._store.leave_queue(job["job_id"])
        self._table.drop(job["job_id"])
