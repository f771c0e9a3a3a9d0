"""Cancels jobs: stores the cancellation, then stops the work on every host."""

from __future__ import annotations

import asyncio
import logging

from damaskjunction.batch import ChunkState, JobDocument, JobState, decode
from damaskjunction.core import (
    ConflictError,
    EntryHost,
    HostId,
    JobId,
    PlatformError,
    PlatformUnavailableError,
    RequestError,
    Timers,
)
from damaskjunction.node.documents import JOB_KIND
from damaskjunction.node.jobs.job_store import JobStore
from damaskjunction.node.jobs.job_worker import JobWorker
from damaskjunction.node.state import HostView
from damaskjunction.wire import PeerLinks, StopJob

logger = logging.getLogger(__name__)

CONTROL_LANE = "control"
STOP_TIMEOUT_S = 1.0
STOP_RETRY_INTERVAL_S = 0.5
MAX_STOP_WAIT_S = 8.0
CANCEL_PROPAGATION_DELAY_S = 0.1  # lets cancelled items end on their runners


class JobCanceller:
    """Cancels jobs on behalf of this host's callers.

    Parameters
    ----------
    view : HostView
        Known hosts and the lease duration.
    store : JobStore
        Stored jobs.
    worker : JobWorker
        Batch work of this host.
    links : PeerLinks
        Connections to other hosts.
    timers : Timers
        The process's timer service.
    """

    def __init__(
        self,
        view: HostView,
        store: JobStore,
        worker: JobWorker,
        links: PeerLinks,
        timers: Timers,
    ) -> None:
        self._view = view
        self._store = store
        self._worker = worker
        self._links = links
        self._timers = timers
        self._cancelled_at_s_by_job: dict[JobId, float] = {}

    async def cancel(self, job_id: JobId) -> tuple[JobDocument, bool]:
        """Cancel a job; return its record and whether its work has ended.

        Work has ended once each host that held a chunk of the job has confirmed it, or
        once a full lease duration has passed since the cancellation was stored. It may
        not have ended as long as the chunks can't be read.

        Raises
        ------
        PlatformUnavailableError
            When the cancellation was not stored.
        PlatformUnknownError
            When it may have been stored.
        """
        job = await self._store_cancelled(job_id)
        if job["state"] != JobState.CANCELLED:
            return job, True
        now_s = self._timers.now()
        cancelled_at_s = self._cancelled_at_s_by_job.setdefault(job_id, now_s)
        leases_expired_at_s = cancelled_at_s + self._view.configuration.batch.lease_s
        try:
            has_ended = await self._stop_holders(job, leases_expired_at_s)
            if has_ended:
                await self._store.remove_from_queue(job_id)
        except PlatformError as error:
            extra = {"job": job_id, "error": str(error)}
            logger.warning("holders of a cancelled job not stopped", extra=extra)
            return job, False
        if has_ended:
            self._cancelled_at_s_by_job.pop(job_id, None)
        return job, has_ended

    async def _store_cancelled(self, job_id: JobId) -> JobDocument:
        stored = await self._store.get(JOB_KIND, job_id)
        if stored is None:
            raise PlatformUnavailableError(f"job {job_id!r} does not exist")
        job: JobDocument = decode(stored.value)
        if job["state"] != JobState.OPEN:
            return job
        finished_at = self._timers.wall()
        cancelled_job: JobDocument = {
            **job,
            "state": JobState.CANCELLED.value,
            "finished_at": finished_at,
        }
        try:
            await self._store.put(
                JOB_KIND, job_id, cancelled_job, expected_version=stored.version
            )
        except ConflictError as error:
            latest: JobDocument = decode(error.value)
            return latest
        return cancelled_job

    async def _stop_holders(self, job: JobDocument, leases_expired_at_s: float) -> bool:
        await self._worker.stop_job(job["job_id"])
        chunks = await self._store.list_chunks(job)
        holders = {
            chunk.holder
            for chunk in chunks.values()
            if chunk.state is ChunkState.CLAIMED
        } - {self._view.own.host_id}
        wait_until_s = self._timers.now() + MAX_STOP_WAIT_S
        while holders:
            stopped = await asyncio.gather(
                *(self._stop_on_host(h, job) for h in holders)
            )
            holders = {h for h, done in zip(holders, stopped, strict=True) if not done}
            now_s = self._timers.now()
            if not holders or now_s >= leases_expired_at_s:
                break
            if now_s >= wait_until_s:
                return False
            await asyncio.sleep(min(STOP_RETRY_INTERVAL_S, leases_expired_at_s - now_s))
        await asyncio.sleep(CANCEL_PROPAGATION_DELAY_S)
        return True

    async def _stop_on_host(self, holder: HostId, job: JobDocument) -> bool:
        host: EntryHost | None = self._view.fleet.hosts_by_id.get(holder)
        if host is None:
            return False
        try:
            async with asyncio.timeout(STOP_TIMEOUT_S):
                await self._links.ask(host.peer, CONTROL_LANE, StopJob(job["job_id"]))
        except (RequestError, TimeoutError):
            return False
        return True
