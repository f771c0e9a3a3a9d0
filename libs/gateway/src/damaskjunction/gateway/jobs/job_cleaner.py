"""Deletes batch jobs from the store after the retention time of their results."""

from __future__ import annotations

import asyncio
import logging

from damaskjunction.core import (
    JobId,
    PlatformError,
    Subscription,
    Timers,
    rendezvous_order,
)
from damaskjunction.gateway.jobs.job_repository import JobRepository
from damaskjunction.node import HostView, cancel_tasks

logger = logging.getLogger(__name__)

CHECK_PERIOD_S = 15.0
RETENTION_MARGIN_S = 60.0


class JobCleaner:
    """Deletes done or cancelled jobs; rendezvous hashing picks the host for each job.

    Parameters
    ----------
    job_repository : JobRepository
        Jobs and their results.
    view : HostView
        The known hosts.
    timers : Timers
        The process's timer service.
    retention_s : float
        Retention of results in seconds, from when this host first observed the job.
    """

    def __init__(
        self,
        job_repository: JobRepository,
        view: HostView,
        timers: Timers,
        retention_s: float,
    ) -> None:
        self._jobs = job_repository
        self._view = view
        self._timers = timers
        self._retention_s = retention_s + RETENTION_MARGIN_S
        self._observed_at_by_id: dict[JobId, float] = {}
        self._check: Subscription | None = None
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start the periodic check for expired jobs."""
        self._check = self._timers.every(CHECK_PERIOD_S, self._start_cleaning)

    async def close(self) -> None:
        """Stop the check and cancel a deletion in progress."""
        if self._check is not None:
            self._check.cancel()
        if self._task is not None:
            await cancel_tasks([self._task])

    def _record_observed(self) -> None:
        """Record when each job was first observed, by this host's monotonic clock.

        Wall clocks differ between hosts and may jump.
        """
        now_s = self._timers.now()
        observed_at_by_id = self._observed_at_by_id
        self._observed_at_by_id = {
            job_id: observed_at_by_id.get(job_id, now_s)
            for job_id in self._jobs.jobs_by_id
        }

    def _start_cleaning(self) -> None:
        if self._task is None or self._task.done():
            self._task = asyncio.ensure_future(self.clean())

    async def clean(self) -> None:
        """Delete the expired jobs that are assigned to this host."""
        own_id = self._view.own.host_id
        weighted_hosts = [(host.host_id, 1.0) for host in self._view.serving_hosts()]
        self._record_observed()
        for job in list(self._jobs.jobs_by_id.values()):
            job_id = job.record.job_id
            age_s = self._timers.now() - self._observed_at_by_id[job_id]
            if job.is_open or age_s < self._retention_s:
                continue
            if rendezvous_order(f"clean/{job_id}", weighted_hosts)[:1] != [own_id]:
                continue
            try:
                await self._jobs.delete(job)
            except PlatformError as error:
                extra = {"job": job_id, "error": str(error)}
                logger.info("job deletion failed", extra=extra)
                return
            logger.info("job deleted", extra={"job": job_id, "age_s": round(age_s)})
