"""Runs the items of batch jobs that this host owns, and takes over orphaned jobs."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable
from typing import TypeAlias, TypeVar

from damaskjunction.batch import BatchItem
from damaskjunction.core import (
    JobId,
    PlatformError,
    Subscription,
    rendezvous_order,
)
from damaskjunction.gateway.dispatch_context import DispatchContext
from damaskjunction.gateway.item_runner import ItemRunner
from damaskjunction.gateway.job_book import JobBook, KnownJob
from damaskjunction.gateway.result_writer import ResultWriter
from damaskjunction.node import TaskSet, end_tasks

logger = logging.getLogger(__name__)

CHECK_PERIOD_S = 0.5
FIRST_CHECK_S = 4.0
ORPHAN_S = 1.0
RETRY_BASE_S = 0.1
RETRY_LIMIT_S = 1.0


T = TypeVar("T")
StoreCall: TypeAlias = Callable[[JobId], Awaitable[T]]


class JobWorker:
    """The items of this host's jobs.

    Parameters
    ----------
    book : JobBook
        Jobs and their results.
    context : DispatchContext
        What items are sent by.
    """

    def __init__(self, book: JobBook, context: DispatchContext) -> None:
        self._book = book
        self._state = context.state
        self._timers = context.timers
        self._chance = context.rng
        self._tasks_by_job: dict[JobId, asyncio.Task[None]] = {}
        self._jobs_read: set[JobId] = set()
        self._orphaned_at_by_job: dict[JobId, float] = {}
        self._runner = ItemRunner(context, self.pause)
        self._check: Subscription | None = None
        self._taking = TaskSet()
        self.is_draining = False
        book.subscribe(self._on_change)

    async def start(self) -> None:
        """Begin to look for jobs that no host runs."""
        self._check = self._timers.once(FIRST_CHECK_S, self._begin_checks)

    async def close(self) -> None:
        """Stop all runs; the store keeps what has to be done."""
        if self._check is not None:
            self._check.cancel()
        await end_tasks(self._tasks_by_job.values())
        await self._taking.close()

    async def drain(self, limit_s: float) -> None:
        """Let runs go on for a while, then give up what is left."""
        self.is_draining = True
        tasks = list(self._tasks_by_job.values())
        if tasks:
            await asyncio.wait(tasks, timeout=limit_s)
        await end_tasks(self._tasks_by_job.values())

    def runs(self, job_id: JobId) -> bool:
        """Return whether this host runs a job's items now."""
        return job_id in self._tasks_by_job

    def knows_results(self, job_id: JobId) -> bool:
        """Return whether this host runs a job and knows all its stored results."""
        return job_id in self._jobs_read and self.runs(job_id)

    def _begin_checks(self) -> None:
        self._check = self._timers.every(CHECK_PERIOD_S, self._look_for_orphans)

    def _on_change(self, job_id: JobId) -> None:
        job = self._book.jobs_by_id[job_id]
        own_id = self._state.view.own.host_id
        task = self._tasks_by_job.get(job_id)
        if not job.is_open or job.owner != own_id:
            if task is not None:
                logger.info(
                    "job given up", extra={"job": job_id, **job.status._asdict()}
                )
                task.cancel()
            return
        if task is None and not self.is_draining:
            self._begin(job)

    def _begin(self, job: KnownJob) -> None:
        job_id = job.record.job_id
        task = asyncio.ensure_future(self._run_job(job))
        self._tasks_by_job[job_id] = task
        task.add_done_callback(lambda done: self._end(job_id, done))

    def _end(self, job_id: JobId, done: asyncio.Task[None]) -> None:
        if self._tasks_by_job.get(job_id) is done:
            del self._tasks_by_job[job_id]
            self._jobs_read.discard(job_id)
        if not done.cancelled() and done.exception() is not None:
            logger.error("job failed", exc_info=done.exception(), extra={"job": job_id})

    # Orphans

    def _look_for_orphans(self) -> None:
        """Take over jobs whose host is gone, if they fall to this host."""
        if self.is_draining:
            return
        view = self._state.view
        now_s = self._timers.now()
        names = [(host.host_id, 1.0) for host in view.serving_hosts()]
        for job in self._book.open_jobs():
            job_id = job.record.job_id
            if job.owner == view.own.host_id:
                if job_id not in self._tasks_by_job:
                    self._begin(job)
                continue
            if job.owner in view.fleet.hosts_by_id:
                self._orphaned_at_by_job.pop(job_id, None)
                continue
            since_s = self._orphaned_at_by_job.setdefault(job_id, now_s)
            heirs = rendezvous_order(f"job/{job_id}", names)
            if now_s - since_s >= ORPHAN_S and heirs[0] == view.own.host_id:
                self._orphaned_at_by_job[job_id] = now_s
                self._taking.begin(self._take_over(job))

    async def _take_over(self, job: KnownJob) -> None:
        own_id = self._state.view.own.host_id
        extra = {"job": job.record.job_id, "former_owner": job.owner}
        logger.info("job taken over", extra=extra)
        try:
            await self._book.mark(job.record.job_id, owner=own_id)
        except PlatformError as error:
            logger.warning("job not taken over", extra={**extra, "error": str(error)})

    # Jobs

    async def _run_job(self, job: KnownJob) -> None:
        job_id = job.record.job_id
        items = await self._persist(self._book.items, job_id)
        if not self._book.take_fresh(job_id):
            await self._persist(self._book.results.read, job_id)
        self._jobs_read.add(job_id)
        listed = {result.item_id for result in self._book.results.known(job_id)}
        left = [item for item in items if item.item_id not in listed]
        writer = ResultWriter(self._book.results, job_id, self.pause, len(left))
        logger.info(
            "job runs",
            extra={"job": job_id, "n_items": len(items), "n_listed": len(listed)},
        )
        async with asyncio.TaskGroup() as group:
            for item in left:
                group.create_task(self._run_item(job, item, writer))
        await writer.finish()
        await self._persist(self._mark_done, job_id)
        logger.info("job done", extra={"job": job_id})

    async def _mark_done(self, job_id: JobId) -> None:
        await self._book.mark(job_id, is_done=True)

    async def _persist(self, call: StoreCall[T], job_id: JobId) -> T:
        """Repeat a call to the store until it is answered."""
        n_failures = 0
        while True:
            try:
                return await call(job_id)
            except PlatformError as error:
                extra = {"job": job_id, "error": str(error)}
                logger.warning("job waits for the store", extra=extra)
                await self.pause(n_failures)
                n_failures += 1

    async def pause(self, n_failures: int) -> None:
        """Wait before another try, longer after more failures."""
        limit_s = min(RETRY_LIMIT_S, RETRY_BASE_S * 2.0 ** min(n_failures, 8))
        await asyncio.sleep(limit_s * self._chance.uniform(0.5, 1.0))

    async def _run_item(
        self, job: KnownJob, item: BatchItem, writer: ResultWriter
    ) -> None:
        await writer.add(await self._runner.run(job, item))
