"""Removes batch jobs from the store once their results need no longer be readable."""

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
from damaskjunction.gateway.job_book import JobBook
from damaskjunction.node import HostView, cancel_tasks

logger = logging.getLogger(__name__)

CHECK_PERIOD_S = 15.0
KEEP_MARGIN_S = 60.0


class JobCleaner:
    """Removes jobs that are done or ended, each on one host of the fleet.

    Parameters
    ----------
    book : JobBook
        Jobs and results.
    view : HostView
        The hosts.
    timers : Timers
        The process's timer service.
    keep_s : float
        Seconds that results have to stay readable, from when the job was first seen.
    """

    def __init__(
        self, book: JobBook, view: HostView, timers: Timers, keep_s: float
    ) -> None:
        self._book = book
        self._view = view
        self._timers = timers
        self._keep_s = keep_s + KEEP_MARGIN_S
        self._seen_at_by_id: dict[JobId, float] = {}
        self._check: Subscription | None = None
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Begin to look for jobs to remove."""
        self._check = self._timers.every(CHECK_PERIOD_S, self._begin)

    async def close(self) -> None:
        """Stop."""
        if self._check is not None:
            self._check.cancel()
        if self._task is not None:
            await cancel_tasks([self._task])

    def _note_seen(self) -> None:
        """Note when jobs were first seen here: times of day differ and jump."""
        now_s = self._timers.now()
        seen = self._seen_at_by_id
        self._seen_at_by_id = {
            job_id: seen.get(job_id, now_s) for job_id in self._book.jobs_by_id
        }

    def _begin(self) -> None:
        if self._task is None or self._task.done():
            self._task = asyncio.ensure_future(self.clean())

    async def clean(self) -> None:
        """Remove the jobs that are old enough and fall to this host."""
        own_id = self._view.own.host_id
        names = [(host.host_id, 1.0) for host in self._view.serving_hosts()]
        self._note_seen()
        for job in list(self._book.jobs_by_id.values()):
            job_id = job.record.job_id
            age_s = self._timers.now() - self._seen_at_by_id[job_id]
            if job.is_open or age_s < self._keep_s:
                continue
            if rendezvous_order(f"clean/{job_id}", names)[:1] != [own_id]:
                continue
            try:
                await self._book.delete(job)
            except PlatformError as error:
                extra = {"job": job_id, "error": str(error)}
                logger.info("job not removed yet", extra=extra)
                return
            logger.info("job removed", extra={"job": job_id, "age_s": round(age_s)})
