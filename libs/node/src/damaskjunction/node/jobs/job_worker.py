"""Batch work of one host: finds jobs, claims their chunks and runs them."""

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
from damaskjunction.node.jobs.job_chunks import ChunkRunner
from damaskjunction.node.jobs.job_items import ItemRunner
from damaskjunction.node.jobs.job_slots import ItemSlots
from damaskjunction.node.jobs.job_store import JobStore
from damaskjunction.node.jobs.job_table import JobTable, KnownJob
from damaskjunction.node.jobs.peak_budget import PeakBudget
from damaskjunction.node.serving.metering import Meter, RequestRunner
from damaskjunction.node.state import HostView
from damaskjunction.node.tasks import cancel_tasks
from damaskjunction.telemetry import Metrics

logger = logging.getLogger(__name__)

MIN_SCAN_INTERVAL_S = 0.5
FLEET_SCANS_PER_S = 60.0  # of all hosts together
MAX_HELD_CHUNKS = 4
DRAIN_TIMEOUT_S = 15.0
MAX_REMEMBERED_CANCELLATIONS = 10_000


class JobWorker:
    """Finds open jobs, claims their chunks and runs these on this host.

    Parameters
    ----------
    view : HostView
        Configuration and live hosts.
    store : JobStore
        Stored jobs.
    request_runner : RequestRunner
        Runs requests.
    meter : Meter
        Usage of this host and its budget.
    peak : PeakBudget
        Takes slices of the budget of each billing minute.
    timers : Timers
        The process's timer service.
    metrics : Metrics
        Counts takeovers and reports the items and chunks in progress.
    rng : random.Random
        Randomises scan intervals and the choice of chunks.
    """

    def __init__(
        self,
        view: HostView,
        store: JobStore,
        request_runner: RequestRunner,
        *,
        meter: Meter,
        peak: PeakBudget,
        timers: Timers,
        metrics: Metrics,
        rng: random.Random,
    ) -> None:
        self._view = view
        self._store = store
        self._timers = timers
        self._metrics = metrics
        self._rng = rng
        self._window = InFlightWindow()
        self._slots = ItemSlots(self._window, meter.budget, peak.request_budget)
        peak.subscribe(self._slots.start_queued)
        self._items = ItemRunner(
            request_runner,
            self._slots,
            self._window,
            meter=meter,
            timers=timers,
            metrics=metrics,
        )
        self._table = JobTable(view.own.host_id, rng)
        self._chunks_by_name: dict[str, ChunkRunner] = {}
        self._tasks_by_name: dict[str, asyncio.Task[None]] = {}
        self._cancelled_jobs: dict[JobId, None] = {}
        self._is_draining = False
        self._task: asyncio.Task[None] | None = None
        metrics.gauge("batch_window_items", lambda: float(self._window.limit))
        metrics.gauge("batch_in_flight_items", lambda: float(self._slots.n_in_flight))
        metrics.gauge("batch_chunks_held", lambda: float(len(self._chunks_by_name)))

    async def start(self) -> None:
        """Start to scan for jobs and run their chunks."""
        self._task = asyncio.ensure_future(self._run_scans())

    async def drain(self) -> None:
        """Claim no more chunks, let items in flight end, release unfinished chunks."""
        self._is_draining = True
        for chunk in self._chunks_by_name.values():
            chunk.stop()
        tasks = list(self._tasks_by_name.values())
        if tasks:
            await asyncio.wait(tasks, timeout=DRAIN_TIMEOUT_S)

    async def close(self) -> None:
        """Stop scanning and cancel the chunks in progress."""
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
                name: {"epoch": chunk.claim.chunk.epoch, "waiting": chunk.n_unfinished}
                for name, chunk in self._chunks_by_name.items()
            },
        }

    async def stop_job(self, job_id: JobId) -> None:
        """Abort the work on a cancelled job and claim no more of its chunks."""
        self._remember_cancelled(job_id)
        self._table.remove(job_id)
        chunks = [
            chunk
            for chunk in self._chunks_by_name.values()
            if chunk.job["job_id"] == job_id
        ]
        for chunk in chunks:
            chunk.stop()
        await asyncio.gather(*(chunk.abort() for chunk in chunks))

    def _remember_cancelled(self, job_id: JobId) -> None:
        self._cancelled_jobs[job_id] = None
        if len(self._cancelled_jobs) > MAX_REMEMBERED_CANCELLATIONS:
            del self._cancelled_jobs[next(iter(self._cancelled_jobs))]

    async def _run_scans(self) -> None:
        while not self._is_draining:
            try:
                await self._scan()
                await self._claim_chunks()
                await self._complete_jobs()
            except PlatformError as error:
                logger.warning(
                    "scan for batch work failed", extra={"error": str(error)}
                )
                self._table.restart_leases()
            await asyncio.sleep(self._scan_interval_s())

    def _scan_interval_s(self) -> float:
        n_hosts = len(self._view.serving_hosts())
        interval_s = max(MIN_SCAN_INTERVAL_S, n_hosts / FLEET_SCANS_PER_S)
        return interval_s * (0.75 + 0.5 * self._rng.random())

    async def _scan(self) -> None:
        """Update the table of jobs from the queue."""
        if not self._view.is_ready:
            return
        change = self._table.compare_queue(await self._store.list_queue())
        for job_id in change.removed:
            await self._abort_removed_job(job_id)
        for job_id in change.added:
            job = await self._store.get_job(job_id)
            if job is None or job_id in self._cancelled_jobs:
                continue
            if job["state"] == JobState.OPEN:
                self._table.add(job)
            else:
                await self._store.remove_from_queue(job_id)

    async def _abort_removed_job(self, job_id: JobId) -> None:
        """Abort the work on a job that is no longer in the queue."""
        self._table.remove(job_id)
        for chunk in list(self._chunks_by_name.values()):
            if chunk.job["job_id"] == job_id:
                await chunk.abort()

    async def _claim_chunks(self) -> None:
        """Claim chunks until their items fill the window.

        Then read the chunks of known jobs again, where a read is due.
        """
        while self._may_claim_more():
            chunk = await self._choose_chunk()
            if chunk is None:
                break
            self._start_chunk(*chunk)
        for known in list(self._table.jobs_by_id.values()):
            if known.is_read:
                await self._read_chunks(known)

    async def _choose_chunk(self) -> tuple[KnownJob, Chunk] | None:
        for known in self._table.by_priority():
            if not known.claimable:
                await self._read_chunks(known)
            if known.claimable:
                return known, known.claimable.pop()
        return None

    def _may_claim_more(self) -> bool:
        if self._is_draining or len(self._chunks_by_name) >= MAX_HELD_CHUNKS:
            return False
        n_unfinished_items = sum(
            chunk.n_unfinished for chunk in self._chunks_by_name.values()
        )
        return n_unfinished_items < self._window.limit

    async def _read_chunks(self, known: KnownJob) -> None:
        lease_s = self._view.configuration.batch.lease_s
        live_hosts = [host.host_id for host in self._view.serving_hosts()]
        if not self._table.is_read_due(known, live_hosts, lease_s, self._timers.now()):
            return
        chunks = await self._store.list_chunks(known.job)
        known.record_chunks(
            chunks,
            held_names=self._chunks_by_name.keys(),
            now_s=self._timers.now(),
            lease_s=lease_s,
            rng=self._rng,
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
        chunk_runner = ChunkRunner(
            job,
            chunk_number(chunk.name),
            claim,
            store=self._store,
            items=self._items,
            timers=self._timers,
            metrics=self._metrics,
            max_tries=spec.max_tries,
            is_job_cancelled=lambda: job_id in self._cancelled_jobs,
        )
        self._chunks_by_name[chunk.name] = chunk_runner
        task = asyncio.ensure_future(self._run_chunk(chunk.name, chunk_runner))
        self._tasks_by_name[chunk.name] = task
        self._table.charge_chunk(job, self._workspace_share(job))

    async def _run_chunk(self, name: str, chunk_runner: ChunkRunner) -> None:
        try:
            await chunk_runner.run()
        except Exception:
            logger.exception("chunk failed", extra={"chunk": name})
        finally:
            del self._chunks_by_name[name]
            del self._tasks_by_name[name]
            self._table.schedule_read(chunk_runner.job["job_id"])

    def _workspace_share(self, job: JobDocument) -> float:
        spec = self._view.configuration.workspaces_by_name.get(job["workspace"])
        return spec.share if spec is not None else 1.0

    async def _complete_jobs(self) -> None:
        """Complete the jobs whose chunks are all done."""
        for known in list(self._table.jobs_by_id.values()):
            if known.is_all_done:
                await self._complete_job(known.job)

    async def _complete_job(self, job: JobDocument) -> None:
        chunks = (await self._store.list_chunks(job)).values()
        stored = await self._store.get(JOB_KIND, job["job_id"])
        if stored is None or decode(stored.value)["state"] != JobState.OPEN:
            self._table.remove(job["job_id"])
            return
        completed_job: JobDocument = {
            **job,
            "state": JobState.COMPLETE.value,
            "finished_at": self._timers.wall(),
            "n_done": sum(chunk.n_done for chunk in chunks),
            "n_failed": sum(chunk.n_failed for chunk in chunks),
        }
        try:
            await self._store.put(
                JOB_KIND, job["job_id"], completed_job, expected_version=stored.version
            )
        except ConflictError:
            return
        await self._store.remove_from_queue(job["job_id"])
        self._table.remove(job["job_id"])
