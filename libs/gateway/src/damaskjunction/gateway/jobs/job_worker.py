"""Runs the batch jobs that this host owns, and takes over orphaned jobs."""

from __future__ import annotations

import asyncio
import logging
from collections import defaultdict
from collections.abc import Awaitable, Callable, Mapping, Sequence
from typing import TypeAlias, TypedDict, TypeVar

from damaskjunction.batch import BatchItem, ItemResult, TakeoverWatch
from damaskjunction.core import (
    HostId,
    JobId,
    PlatformError,
    Subscription,
    rendezvous_order,
    stable_hash,
)
from damaskjunction.gateway.dispatch_context import DispatchContext
from damaskjunction.gateway.jobs.item_feed import ItemFeed, ItemLine
from damaskjunction.gateway.jobs.item_runner import ItemRunner
from damaskjunction.gateway.jobs.job_repository import JobRepository, StoredJob
from damaskjunction.gateway.jobs.owed_items import ItemState, OwedItem, OwedItems
from damaskjunction.gateway.jobs.placement_check import PlacementCheck
from damaskjunction.gateway.jobs.result_writer import ResultWriter
from damaskjunction.node import TaskSet, cancel_tasks

logger = logging.getLogger(__name__)

CHECK_PERIOD_S = 0.5
FIRST_CHECK_DELAY_S = 4.0
BACKOFF_BASE_S = 0.1
BACKOFF_LIMIT_S = 1.0
STOP_TIMEOUT_S = 3.0  # of a run that is cancelled, before the job may run again


T = TypeVar("T")


class JobDocument(TypedDict):
    """An open job in the dump, as far as this host knows.

    ``items_without_worker`` are the ids of the items without a known result that nobody
    is known to run: those of a host that is not seen, or of this one before or after
    they are owed. ``age_s`` are the seconds since the job was accepted.
    """

    owner: HostId
    is_owner_known: bool
    runs_here: bool
    n_items: int
    n_results_known: int
    age_s: float
    items_without_worker: list[str]


StoreOperation: TypeAlias = Callable[[JobId], Awaitable[T]]


class JobWorker:
    """Runs the items of the jobs that this host owns.

    Parameters
    ----------
    job_repository : JobRepository
        Jobs and their results.
    context : DispatchContext
        What is needed to send items to runners.
    """

    def __init__(self, job_repository: JobRepository, context: DispatchContext) -> None:
        self._jobs = job_repository
        self._state = context.state
        self._timers = context.timers
        self._rng = context.rng
        self._tasks_by_job: dict[JobId, asyncio.Task[None]] = {}
        self._stopped_at_by_job: dict[JobId, float] = {}
        self._ids_with_cached_results: set[JobId] = set()
        self._ids_without_former_owner: set[JobId] = set()
        self._takeover_watch = TakeoverWatch(context.state.view.own.host_id)
        self._runner = ItemRunner(context, self.back_off)
        self._feed = ItemFeed()
        self.owed_items = OwedItems(context.timers, context.metrics)
        self._placement_check = PlacementCheck(context, self.owed_items)
        self._check: Subscription | None = None
        self._takeovers = TaskSet()
        self.is_draining = False
        job_repository.subscribe(self._on_job_change)
        context.metrics.gauge("jobs_without_owner", self._n_without_owner)
        context.metrics.gauge("items_waiting", lambda: float(self._feed.n_waiting))

    async def start(self) -> None:
        """Start the periodic check for orphaned jobs, after ``FIRST_CHECK_DELAY_S``."""
        await self.owed_items.start()
        await self._placement_check.start()
        self._check = self._timers.once(FIRST_CHECK_DELAY_S, self._start_checks)

    async def close(self) -> None:
        """Stop running all jobs; the store holds what remains to be done."""
        if self._check is not None:
            self._check.cancel()
        await self._placement_check.close()
        await cancel_tasks(self._tasks_by_job.values())
        await self._runner.close()
        await self._takeovers.close()
        await self.owed_items.close()

    async def drain(self, timeout_s: float) -> None:
        """Start no more jobs; stop running the others after ``timeout_s``."""
        self.is_draining = True
        tasks = list(self._tasks_by_job.values())
        if tasks:
            await asyncio.wait(tasks, timeout=timeout_s)
        await cancel_tasks(self._tasks_by_job.values())

    def is_running(self, job_id: JobId) -> bool:
        """Return whether this host is running a job."""
        return job_id in self._tasks_by_job

    def collects_results(self, job_id: JobId) -> bool:
        """Return whether this host runs a job and has read what was stored before."""
        return job_id in self._ids_with_cached_results and self.is_running(job_id)

    def has_current_results(self, job_id: JobId) -> bool:
        """Return whether this host runs a job and has cached all its stored results.

        A former owner may write results until it learns that it has lost the job.
        """
        is_sole_writer = job_id in self._ids_without_former_owner
        return (
            is_sole_writer
            and self.collects_results(job_id)
            and self._jobs.results.is_settled(job_id)
        )

    def to_document(self) -> dict[JobId, JobDocument]:
        """Return the open jobs for the dump."""
        return {
            job.record.job_id: {
                "owner": job.owner,
                "is_owner_known": self._is_owner_known(job),
                "runs_here": self.is_running(job.record.job_id),
                "n_items": len(job.record.item_ids),
                "n_results_known": len(self._jobs.results.cached(job.record.job_id)),
                "age_s": round(self._timers.wall() - job.record.sent_at_s, 3),
                "items_without_worker": self._items_without_worker(job),
            }
            for job in self._jobs.open_jobs()
        }

    def _items_without_worker(self, job: StoredJob) -> list[str]:
        is_owner = job.owner == self._state.view.own.host_id
        if self._is_owner_known(job) and not is_owner:
            return []
        results = self._jobs.results.cached(job.record.job_id)
        found_ids = {result.item_id for result in results}
        found_ids |= self.owed_items.ids_of(job.record.job_id)
        found_ids |= self._feed.waiting_ids_of(job.record.job_id)
        return [item_id for item_id in job.record.item_ids if item_id not in found_ids]

    def _n_without_owner(self) -> float:
        return float(sum(not self._is_owner_known(j) for j in self._jobs.open_jobs()))

    def _is_owner_known(self, job: StoredJob) -> bool:
        """Return whether the owner of a job is this host or one that it sees live."""
        view = self._state.view
        return job.owner == view.own.host_id or job.owner in view.fleet.hosts_by_id

    def _start_checks(self) -> None:
        self._check = self._timers.every(CHECK_PERIOD_S, self._check_orphans)

    def _on_job_change(self, job_id: JobId) -> None:
        job = self._jobs.jobs_by_id[job_id]
        own_id = self._state.view.own.host_id
        task = self._tasks_by_job.get(job_id)
        if not job.is_open or job.owner != own_id:
            if task is not None:
                logger.info(
                    "job run stopped", extra={"job": job_id, **job.status._asdict()}
                )
                task.cancel()
                self._stopped_at_by_job.setdefault(job_id, self._timers.now())
            return
        if task is None and not self.is_draining:
            self._start_job(job)

    def _start_job(self, job: StoredJob) -> None:
        job_id = job.record.job_id
        task = asyncio.ensure_future(self._run_job(job))
        self._tasks_by_job[job_id] = task
        self._stopped_at_by_job.pop(job_id, None)
        task.add_done_callback(lambda done: self._on_job_end(job_id, done))

    def _on_job_end(self, job_id: JobId, done: asyncio.Task[None]) -> None:
        if self._tasks_by_job.get(job_id) is done:
            del self._tasks_by_job[job_id]
            self._stopped_at_by_job.pop(job_id, None)
            self._ids_with_cached_results.discard(job_id)
            self._ids_without_former_owner.discard(job_id)
            self._jobs.results.unpin(job_id)
            self._jobs.memory.release(job_id)
        if not done.cancelled() and done.exception() is not None:
            logger.error("job failed", exc_info=done.exception(), extra={"job": job_id})

    # Orphans

    def _check_orphans(self) -> None:
        """Take over jobs whose owners are missing, and restart own ones that stopped.

        Rendezvous hashing orders the hosts that may take a job over.
        """
        if self.is_draining:
            return
        view = self._state.view
        open_jobs = list(self._jobs.open_jobs())
        self._takeover_watch.retain_jobs([job.record.job_id for job in open_jobs])
        weighted_hosts = [(host.host_id, 1.0) for host in view.serving_hosts()]
        for job in open_jobs:
            job_id = job.record.job_id
            if self._is_owner_known(job):
                self._takeover_watch.observe_present(job_id)
                if job.owner == view.own.host_id and not self._may_still_run(job_id):
                    self._start_job(job)
                continue
            candidates = rendezvous_order(f"job/{job_id}", weighted_hosts)
            if self._takeover_watch.is_due(job_id, candidates, self._timers.now()):
                self._takeovers.begin(self._take_over(job))

    def _may_still_run(self, job_id: JobId) -> bool:
        """Return whether a job has a run, but for one that was stopped long ago."""
        if job_id not in self._tasks_by_job:
            return False
        stopped_at_s = self._stopped_at_by_job.get(job_id)
        if stopped_at_s is None or self._timers.now() - stopped_at_s < STOP_TIMEOUT_S:
            return True
        logger.error("job run does not end", extra={"job": job_id})
        return False

    async def _take_over(self, job: StoredJob) -> None:
        own_id = self._state.view.own.host_id
        extra = {"job": job.record.job_id, "former_owner": job.owner}
        logger.info("job taken over", extra=extra)
        try:
            await self._jobs.update_status(job.record.job_id, owner=own_id)
        except PlatformError as error:
            logger.warning("job takeover failed", extra={**extra, "error": str(error)})

    # Jobs

    async def _run_job(self, job: StoredJob) -> None:
        job_id = job.record.job_id
        items = await self._retry(self._jobs.items, job_id)
        self._jobs.memory.hold(job_id, items)
        self._jobs.results.pin(job_id)
        if await self._jobs.pop_created(job_id):
            self._ids_without_former_owner.add(job_id)
        else:
            await self._retry(self._jobs.results.read, job_id)
        self._ids_with_cached_results.add(job_id)
        # A task that was cancelled ends its group like one that has finished.
        while remaining := self._without_result(job_id, items):
            await self._run_items(job, remaining)
        await self._retry(self._mark_done, job_id)
        logger.info("job complete", extra={"job": job_id})

    def _without_result(
        self, job_id: JobId, items: Sequence[BatchItem]
    ) -> list[BatchItem]:
        finished_ids = {result.item_id for result in self._jobs.results.cached(job_id)}
        return [item for item in items if item.item_id not in finished_ids]

    async def _run_items(self, job: StoredJob, items: Sequence[BatchItem]) -> None:
        job_id = job.record.job_id
        writer = ResultWriter(self._jobs.results, job_id, self.back_off, len(items))
        logger.info("job runs", extra={"job": job_id, "n_remaining": len(items)})
        since_s = self._timers.now()
        async with asyncio.TaskGroup() as group:

            def begin(item: BatchItem) -> asyncio.Task[None]:
                return group.create_task(self._run_item(job, item, writer, since_s))

            for line, line_items in self._by_line(job, items).items():
                group.create_task(self._feed.feed(line, job_id, line_items, begin))
        await writer.flush()

    def _by_line(
        self, job: StoredJob, items: Sequence[BatchItem]
    ) -> Mapping[ItemLine, Sequence[BatchItem]]:
        """Return the items of a job by the line in which they wait to begin."""
        route_name = job.record.route_name
        route = self._state.table.find_by_name(route_name)
        items_by_line: defaultdict[ItemLine, list[BatchItem]] = defaultdict(list)
        for item in items:
            service = route.service_for(stable_hash(item.item_id)) if route else ""
            items_by_line[ItemLine(route_name, service)].append(item)
        return items_by_line

    async def _mark_done(self, job_id: JobId) -> None:
        await self._jobs.update_status(job_id, is_done=True)

    async def _retry(self, operation: StoreOperation[T], job_id: JobId) -> T:
        """Retry an operation on the store, with backoff, until it succeeds."""
        n_failures = 0
        while True:
            try:
                return await operation(job_id)
            except PlatformError as error:
                extra = {"job": job_id, "error": str(error)}
                logger.warning("job waits for the store", extra=extra)
                await self.back_off(n_failures)
                n_failures += 1

    async def back_off(self, n_failures: int) -> None:
        """Sleep before a retry: exponential backoff with jitter."""
        max_delay_s = min(BACKOFF_LIMIT_S, BACKOFF_BASE_S * 2.0 ** min(n_failures, 8))
        await asyncio.sleep(max_delay_s * self._rng.uniform(0.5, 1.0))

    async def _run_item(
        self, job: StoredJob, item: BatchItem, writer: ResultWriter, since_s: float
    ) -> None:
        job_id = job.record.job_id
        with self.owed_items.track(job_id, item.item_id, since_s) as owed:
            result = await self._run_until_result(job, item, owed)
            owed.enter(ItemState.STORING)
            await writer.add(result)

    async def _run_until_result(
        self, job: StoredJob, item: BatchItem, owed: OwedItem
    ) -> ItemResult:
        """Run an item; take it up again when its run ends without a result."""
        n_failures = 0
        while True:
            owed.run = run = asyncio.ensure_future(self._runner.run(job, item, owed))
            try:
                await asyncio.wait((run,))
            finally:
                await cancel_tasks((run,))
            error = None if run.cancelled() else run.exception()
            if not run.cancelled() and error is None:
                return run.result()
            extra = {"item": item.item_id, **owed.to_document()}
            logger.error("item taken up again", exc_info=error, extra=extra)
            owed.reason = repr(error)
            owed.enter(ItemState.DELAYED)
            await self.back_off(n_failures)
            n_failures += 1
