"""Runs one chunk: claims it, runs its items, renews the claim, commits the results."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

from damaskjunction.batch import (
    ChunkClaim,
    ChunkWrite,
    ItemDocument,
    JobDocument,
    JobState,
    ResultDocument,
    find_chunk,
)
from damaskjunction.core import ConflictError, PlatformError, Timers
from damaskjunction.node.documents import RESULTS_KIND
from damaskjunction.node.jobs.job_items import ItemRunner
from damaskjunction.node.jobs.job_store import INITIAL_DELAY_S, JobStore
from damaskjunction.node.tasks import cancel_tasks
from damaskjunction.telemetry import Metrics

logger = logging.getLogger(__name__)

MIN_RENEWAL_INTERVAL_S = 0.2
UNLIMITED_ATTEMPTS = 1_000_000


class ChunkRunner:
    """Runs the items of a chunk from claim to commit.

    Parameters
    ----------
    job : JobDocument
        The job that the chunk belongs to.
    number : int
        The chunk's number within the job.
    claim : ChunkClaim
        The claim, which ``run`` stores first.
    is_job_cancelled : callable
        Returns whether this host was notified that the job is cancelled.
    """

    def __init__(
        self,
        job: JobDocument,
        number: int,
        claim: ChunkClaim,
        *,
        store: JobStore,
        items: ItemRunner,
        timers: Timers,
        metrics: Metrics,
        max_tries: int,
        is_job_cancelled: Callable[[], bool],
    ) -> None:
        self.job = job
        self.claim = claim
        # An estimate until the items have been read.
        self.n_unfinished = max(1, job["n_items"] // job["n_chunks"])
        self._location = find_chunk(job, number)
        self._store = store
        self._items = items
        self._timers = timers
        self._metrics = metrics
        self._max_tries = max_tries
        self._is_job_cancelled = is_job_cancelled
        self._results_by_index: dict[int, ResultDocument] = {}
        self._item_tasks: set[asyncio.Task[None]] = set()
        self._claim_changed = asyncio.Event()
        self._is_complete = False

    async def run(self) -> None:
        """Claim the chunk, run its items and commit or release it."""
        if not await self._write_until_resolved(self.claim.claim(self._timers.now())):
            self._metrics.count("batch_claims_total", result="lost")
            return
        self._metrics.count("batch_claims_total", result="held")
        renewal = asyncio.ensure_future(self._renew_claim())
        try:
            await self._run_items()
        except PlatformError as error:
            extra = {"chunk": self.claim.chunk.name, "error": str(error)}
            logger.warning("chunk could not be read", extra=extra)
        finally:
            await cancel_tasks([renewal])
            await self._cancel_items()
        if not self.claim.is_lost:
            await self._finish()

    def stop(self) -> None:
        """Start no further items; items in flight continue."""
        self.claim.stop()
        self._claim_changed.set()

    async def abort(self) -> None:
        """Start no further items and cancel those in flight."""
        self.stop()
        await self._cancel_items()

    async def _run_items(self) -> None:
        document = await self._store.get_items(self._location.items_name)
        stored_results = await self._store.get_results(self.claim.chunk)
        await self._refresh_job_state()
        finished_indices = {result["index"] for result in stored_results}
        first_index = self._location.segment_offset + document["first"]
        unfinished_items = {
            index: item
            for index, item in enumerate(document["items"], start=first_index)
            if index not in finished_indices
        }
        self.n_unfinished = len(unfinished_items)
        self._item_tasks = {
            asyncio.ensure_future(self._run_item(index, item))
            for index, item in unfinished_items.items()
        }
        if self._item_tasks:
            await asyncio.wait(self._item_tasks)
        self._is_complete = len(self._results_by_index) == len(unfinished_items)

    async def _run_item(self, index: int, item: ItemDocument) -> None:
        try:
            result = await self._items.run(
                self.job,
                index,
                item,
                max_tries=self._max_tries,
                may_start=self._may_start,
            )
        finally:
            self.n_unfinished -= 1
        if result is not None:
            self._results_by_index[index] = result

    async def _may_start(self) -> bool:
        """Wait until it is known whether an item may start, and return that."""
        while not self.claim.may_start(self._timers.now()):
            if self.claim.is_lost or self.claim.is_stopped:
                return False
            self._claim_changed.clear()
            await self._claim_changed.wait()
        return True

    async def _renew_claim(self) -> None:
        """Renew the claim until it is lost, then cancel the items."""
        while not self.claim.is_lost:
            delay_s = self.claim.renewal_due_s() - self._timers.now()
            await asyncio.sleep(max(MIN_RENEWAL_INTERVAL_S, delay_s))
            if await self._write_until_resolved(self.claim.renew(self._timers.now())):
                await self._refresh_job_state()
        await self._cancel_items()

    async def _refresh_job_state(self) -> None:
        """Read the job's state, which decides whether items may start."""
        read_at_s = self._timers.now()
        try:
            job = await self._store.get_job(self.job["job_id"])
        except PlatformError as error:
            logger.warning(
                "state of job could not be read", extra={"error": str(error)}
            )
            return
        is_open = job is not None and job["state"] == JobState.OPEN
        self.claim.record_job_state(is_open and not self._is_job_cancelled(), read_at_s)
        self._claim_changed.set()
        if self.claim.is_stopped:
            await self._cancel_items()

    async def _finish(self) -> None:
        """Store the results and commit the chunk, or release it when items remain.

        If the renewal was cancelled during a write, that write is completed first.
        """
        if self.claim.pending and not await self._write_until_resolved(
            self.claim.pending
        ):
            return
        results = [self._results_by_index[i] for i in sorted(self._results_by_index)]
        if results:
            await self._store.put(
                RESULTS_KIND, self.claim.part, results, max_attempts=UNLIMITED_ATTEMPTS
            )
        n_failed = sum("error" in result for result in results)
        make_write = self.claim.commit if self._is_complete else self.claim.release
        write = make_write(len(results) - n_failed, n_failed, self._timers.now())
        is_stored = await self._write_until_resolved(write)
        result = write.chunk.state.value if is_stored else "lost"
        self._metrics.count("batch_commits_total", result=result)

    async def _write_until_resolved(self, write: ChunkWrite) -> bool:
        """Retry a write until it succeeds or conflicts; return whether it succeeded."""
        delay_s = INITIAL_DELAY_S
        while True:
            try:
                version = await self._store.write_chunk(write)
            except ConflictError:
                self.claim.record_conflict()
                self._claim_changed.set()
                return False
            except PlatformError as error:
                extra = {"chunk": write.chunk.name, "error": str(error)}
                logger.warning("write of chunk failed and is retried", extra=extra)
                delay_s = await self._store.wait_before_retry(delay_s)
            else:
                self.claim.record_success(write, version)
                return True

    async def _cancel_items(self) -> None:
        running = [task for task in self._item_tasks if not task.done()]
        await cancel_tasks(running)
