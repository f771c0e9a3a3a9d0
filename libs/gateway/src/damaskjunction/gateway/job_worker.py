"""Runs the items of batch jobs that this host owns, and takes over orphaned jobs."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable
from typing import NamedTuple, TypeAlias, TypeVar

from damaskjunction.batch import (
    SEGMENT_BYTES,
    BatchItem,
    ItemResult,
    merge_results,
    segment_bytes,
)
from damaskjunction.core import (
    JobId,
    Outcome,
    PlatformError,
    RequestError,
    Subscription,
    WorkClass,
    rendezvous_order,
    stable_hash,
)
from damaskjunction.gateway.job_book import JobBook, KnownJob
from damaskjunction.gateway.parts import Sending
from damaskjunction.gateway.runner_calls import (
    CRASH_REASONS,
    RunnerFailedError,
    runner_named,
)
from damaskjunction.gateway.slot_desk import Slot
from damaskjunction.http import BrokenResponseError, ClientResponse, EventBlocks
from damaskjunction.node import end_tasks
from damaskjunction.platform import encode_result_list, item_request
from damaskjunction.routing import Route
from damaskjunction.wire import RunnerSeen, SlotAsk

logger = logging.getLogger(__name__)

CHECK_PERIOD_S = 0.5
FIRST_CHECK_S = 4.0
ORPHAN_S = 1.0
MAX_ITEMS_AT_ONCE = 64
ITEM_TIME_S = 60.0
STALL_S = 3.0
RETRY_BASE_S = 0.1
RETRY_LIMIT_S = 1.0
MAX_BREAKS = 3
CLOCK_MARGIN_S = 5.0
DEFAULT_RETENTION_S = 60.0
NEVER_DONE_STATUS = 422


T = TypeVar("T")
StoreCall: TypeAlias = Callable[[JobId], Awaitable[T]]


class ItemEnd(NamedTuple):
    """How one run of an item ended; ``reason`` is for logs."""

    is_whole: bool
    is_final: bool
    reason: str


class _ItemRun:
    """What is known of an item over all its runs."""

    def __init__(self, item: BatchItem) -> None:
        self.item = item
        self.texts: list[str] = []
        self.last_event_id: int | None = None
        self.n_failures = 0
        self.n_breaks = 0
        self.avoid: set[str] = set()


class JobWorker:
    """The items of this host's jobs.

    Parameters
    ----------
    book : JobBook
        Jobs and results.
    sending : Sending
        What items are sent by.
    """

    def __init__(self, book: JobBook, sending: Sending) -> None:
        self._book = book
        self._state = sending.state
        self._desk = sending.desk
        self._calls = sending.calls
        self._timers = sending.timers
        self._metrics = sending.metrics
        self._chance = sending.chance
        self._tasks_by_job: dict[JobId, asyncio.Task[None]] = {}
        self._orphaned_at_by_job: dict[JobId, float] = {}
        self._places = asyncio.Semaphore(MAX_ITEMS_AT_ONCE)
        self._check: Subscription | None = None
        self._taking: set[asyncio.Task[None]] = set()
        self.is_draining = False
        book.subscribe(self._on_change)

    async def start(self) -> None:
        """Begin to look for jobs that no host runs."""
        self._check = self._timers.once(FIRST_CHECK_S, self._begin_checks)

    async def close(self) -> None:
        """Stop all runs; the store keeps what has to be done."""
        if self._check is not None:
            self._check.cancel()
        await end_tasks([*self._tasks_by_job.values(), *self._taking])

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

    def _begin_checks(self) -> None:
        self._check = self._timers.every(CHECK_PERIOD_S, self._look_for_orphans)

    def _on_change(self, job_id: JobId) -> None:
        job = self._book.jobs_by_id[job_id]
        own_id = self._state.view.own.host_id
        task = self._tasks_by_job.get(job_id)
        if not job.is_open or job.owner != own_id:
            if task is not None:
                logger.info(
                    "job given up", extra={"job": job_id, **job.marks._asdict()}
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
                task = asyncio.ensure_future(self._take_over(job))
                self._taking.add(task)
                task.add_done_callback(self._taking.discard)

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
        await self._persist(self._book.segments, job_id)
        listed = {result.item_id for result in self._book.known_results(job_id)}
        writer = _ResultWriter(self, self._book, job_id)
        logger.info(
            "job runs",
            extra={"job": job_id, "n_items": len(items), "n_listed": len(listed)},
        )
        async with asyncio.TaskGroup() as group:
            for item in items:
                if item.item_id not in listed:
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

    # Items

    async def _run_item(
        self, job: KnownJob, item: BatchItem, writer: _ResultWriter
    ) -> None:
        run = _ItemRun(item)
        async with self._places:
            end = await self._run_to_end(job, run)
        text = "\n".join(run.texts) if end.is_whole else ""
        extra = {"job": job.record.job_id, "item": item.item_id, "reason": end.reason}
        logger.info("item ended", extra=extra)
        self._metrics.count("items", is_whole=str(end.is_whole))
        await writer.add(ItemResult(item.item_id, end.is_whole, text))

    async def _run_to_end(self, job: KnownJob, run: _ItemRun) -> ItemEnd:
        n_tries = 0
        while True:
            route = self._state.table.named(job.record.route_name)
            retention_s = DEFAULT_RETENTION_S if route is None else route.retention_s
            end_at_s = job.record.sent_at_s + retention_s + CLOCK_MARGIN_S
            left_s = end_at_s - self._timers.wall()
            if retention_s and left_s <= 0:
                return ItemEnd(False, True, "retention over")
            if route is None or run.n_breaks >= MAX_BREAKS:
                await asyncio.sleep(min(max(left_s, 0.0) + 0.01, 1.0))
                continue
            end = await self._run_once(job, route, run)
            if end.is_final:
                return end
            if run.n_failures >= route.max_attempts:
                return ItemEnd(False, True, "failed at each attempt")
            if end.reason != "revoked":
                await self.pause(min(n_tries, 3))
                n_tries += 1

    async def _run_once(self, job: KnownJob, route: Route, run: _ItemRun) -> ItemEnd:
        try:
            slot = await self._take_slot(job, route, run)
        except RequestError as error:
            return ItemEnd(False, False, error.reason)
        run.avoid.clear()
        revoked = asyncio.ensure_future(slot.revoked.wait())
        work = asyncio.ensure_future(self._work(job, route, run, slot))
        try:
            await asyncio.wait((revoked, work), return_when=asyncio.FIRST_COMPLETED)
            if not work.done():
                return ItemEnd(False, False, "revoked")
            return work.result()
        except RunnerFailedError as error:
            self._note_failure(route, run, slot, error)
            return ItemEnd(False, False, error.reason)
        finally:
            await end_tasks([work, revoked])
            await slot.close()

    async def _take_slot(self, job: KnownJob, route: Route, run: _ItemRun) -> Slot:
        record = job.record
        request = item_request(run.item, record.host)
        due_at_s = record.sent_at_s + route.completion_target_s
        return await self._desk.take(
            SlotAsk(
                request_id=run.item.item_id,
                service_name=route.service_for(stable_hash(run.item.item_id)),
                work_class=WorkClass.BATCH,
                parts=request.shared_parts,
                avoid=tuple(run.avoid),
                start_within_s=ITEM_TIME_S,
                due_in_s=due_at_s - self._timers.wall(),
            )
        )

    async def _work(
        self, job: KnownJob, route: Route, run: _ItemRun, slot: Slot
    ) -> ItemEnd:
        """Send an item to a runner and collect what it makes.

        Raises
        ------
        RunnerFailedError
            When the output is not whole.
        """
        service = route.service_for(stable_hash(run.item.item_id))
        runner = runner_named(self._state.runners_of(service), slot.runner_id)
        if runner is None:
            raise RunnerFailedError(Outcome.NOT_RUN, "runner_gone")
        answer = await self._calls.send(
            runner,
            item_request(run.item, job.record.host),
            left_s=ITEM_TIME_S,
            stall_s=STALL_S,
            last_event_id=run.last_event_id,
        )
        try:
            if answer.head.status != 200:
                await self._calls.read_whole(answer)
                if answer.head.status == NEVER_DONE_STATUS:
                    return ItemEnd(False, True, "can never be done")
                run.n_failures += answer.head.status == 500
                raise RunnerFailedError(Outcome.RAN, "failed", str(answer.head.status))
            await self._collect(run, answer.response)
        finally:
            answer.response.close()
        self._desk.note(RunnerSeen(service, slot.runner_id, True))
        return ItemEnd(True, True, "whole")

    async def _collect(self, run: _ItemRun, response: ClientResponse) -> None:
        blocks = EventBlocks()
        try:
            async for chunk in response.chunks():
                for block in blocks.feed(chunk):
                    if block.event_id is None:
                        continue
                    known = run.last_event_id
                    if known is not None and block.event_id <= known:
                        continue
                    run.last_event_id = block.event_id
                    run.texts.append(block.data)
                    run.n_breaks = 0
        except BrokenResponseError as error:
            raise RunnerFailedError(
                Outcome.RAN, "stream_cut", str(error), is_fault=True
            ) from None
        if not blocks.is_between_events:
            raise RunnerFailedError(Outcome.RAN, "stream_cut", "within an event")

    def _note_failure(
        self, route: Route, run: _ItemRun, slot: Slot, error: RunnerFailedError
    ) -> None:
        run.avoid.add(slot.runner_id)
        run.n_breaks += error.reason in CRASH_REASONS
        if error.is_fault:
            service = route.service_for(stable_hash(run.item.item_id))
            self._desk.note(RunnerSeen(service, slot.runner_id, False))
        extra = {
            "item": run.item.item_id,
            "runner": slot.runner_id,
            "reason": error.reason,
            "detail": error.detail,
            "last_event_id": run.last_event_id,
        }
        logger.info("item attempt failed", extra=extra)


class _ResultWriter:
    """Writes results of one job, those that end together in one write."""

    def __init__(self, worker: JobWorker, book: JobBook, job_id: JobId) -> None:
        self._worker = worker
        self._book = book
        self._job_id = job_id
        self._finished: list[ItemResult] = []
        self._is_writing = False
        self._idle = asyncio.Event()
        self._idle.set()

    async def add(self, result: ItemResult) -> None:
        """Take a result; return when the store has it."""
        self._finished.append(result)
        if self._is_writing:
            await self._idle.wait()
        while result in self._finished:
            await self._write()

    async def finish(self) -> None:
        """Write what is left."""
        while self._finished:
            await self._write()

    async def _write(self) -> None:
        if self._is_writing:
            await self._idle.wait()
            return
        self._is_writing = True
        self._idle.clear()
        try:
            await self._write_segment()
        finally:
            self._is_writing = False
            self._idle.set()

    async def _write_segment(self) -> None:
        n_failures = 0
        while self._finished:
            batch = tuple(self._finished)
            try:
                if await self._try_write(batch):
                    self._finished = [r for r in self._finished if r not in batch]
                    return
            except PlatformError as error:
                extra = {"job": self._job_id, "error": str(error)}
                logger.warning("results wait for the store", extra=extra)
                await self._worker.pause(n_failures)
                n_failures += 1
                await self._reread()

    async def _reread(self) -> None:
        """Read what the store has, since a write without an answer may have come."""
        try:
            await self._book.segments(self._job_id)
        except PlatformError as error:
            extra = {"job": self._job_id, "error": str(error)}
            logger.info("results not read back", extra=extra)

    async def _try_write(self, batch: tuple[ItemResult, ...]) -> bool:
        known = self._book.known_results(self._job_id)
        fresh = merge_results(known, batch)[len(known) :]
        if not fresh:
            return True
        segments = self._book.known_segments(self._job_id)
        index = max(0, len(segments) - 1)
        results = segments[index].results if segments else ()
        if segment_bytes(results) > SEGMENT_BYTES:
            index, results = index + 1, ()
        merged = (*results, *fresh)
        return await self._book.add_results(
            self._job_id,
            index,
            merged,
            encode_result_list(merged),
            is_full=segment_bytes(merged) > SEGMENT_BYTES,
        )
