"""Runs one claimed chunk: its items, the renewal of the claim and the commit."""

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
from damaskjunction.node.job_items import ItemRunner
from damaskjunction.node.job_store import FIRST_PAUSE_S, JobStore
from damaskjunction.node.tasks import cancel_tasks
from damaskjunction.telemetry import Metrics

logger = logging.getLogger(__name__)

MIN_RENEWAL_S = 0.2
UNTIL_RESOLVED = 1_000_000


class ChunkRunner:
    """Runs the items of a chunk from claim to commit.

    Parameters
    ----------
    job : JobDocument
        The job that the chunk is of.
    number : int
        The chunk's number.
    claim : ChunkClaim
        The claim to make.
    is_stopped : callable
        Tells whether this host was told that the job was cancelled.
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
        is_stopped: Callable[[], bool],
    ) -> None:
        self.job = job
        self.claim = claim
        self.n_unstarted = max(1, job["n_items"] // job["n_chunks"])
        self._place = find_chunk(job, number)
        self._store = store
        self._items = items
        self._timers = timers
        self._metrics = metrics
        self._max_tries = max_tries
        self._is_told_to_stop = is_stopped
        self._results_by_index: dict[int, ResultDocument] = {}
        self._item_tasks: set[asyncio.Task[None]] = set()
        self._changed = asyncio.Event()
        self._is_whole = False

    async def run(self) -> None:
        """Claim the chunk, run its items and commit or release it."""
        if not await self._resolve(self.claim.claim(self._timers.now())):
            self._metrics.count("batch_claims_total", result="lost")
            return
        self._metrics.count("batch_claims_total", result="held")
        keeping = asyncio.ensure_future(self._keep())
        try:
            await self._run_items()
        except PlatformError as error:
            extra = {"chunk": self.claim.chunk.name, "error": str(error)}
            logger.warning("chunk not read", extra=extra)
        finally:
            await cancel_tasks([keeping])
            await self._cancel_items()
        if not self.claim.is_lost:
            await self._end()

    def stop(self) -> None:
        """Start no further item; what runs goes on."""
        self.claim.stop()
        self._changed.set()

    async def abort(self) -> None:
        """Start no further item and end those that run."""
        self.stop()
        await self._cancel_items()

    async def _run_items(self) -> None:
        document = await self._store.get_items(self._place.items_name)
        done = await self._store.get_results(self.claim.chunk)
        await self._confirm()
        known = {result["index"] for result in done}
        first = self._place.segment_offset + document["first"]
        todo = {
            index: item
            for index, item in enumerate(document["items"], start=first)
            if index not in known
        }
        self.n_unstarted = len(todo)
        self._item_tasks = {
            asyncio.ensure_future(self._run_item(index, item))
            for index, item in todo.items()
        }
        if self._item_tasks:
            await asyncio.wait(self._item_tasks)
        self._is_whole = len(self._results_by_index) == len(todo)

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
            self.n_unstarted -= 1
        if result is not None:
            self._results_by_index[index] = result

    async def _may_start(self) -> bool:
        """Return whether an item may start, once that is known."""
        while not self.claim.may_start(self._timers.now()):
            if self.claim.is_lost or self.claim.is_stopped:
                return False
            self._changed.clear()
            await self._changed.wait()
        return True

    async def _keep(self) -> None:
        """Renew the claim until it is lost."""
        while not self.claim.is_lost:
            delay_s = self.claim.renewal_due_s() - self._timers.now()
            await asyncio.sleep(max(MIN_RENEWAL_S, delay_s))
            if await self._resolve(self.claim.renew(self._timers.now())):
                await self._confirm()
        await self._cancel_items()

    async def _confirm(self) -> None:
        """Read the job's record, which tells whether items may start."""
        read_at_s = self._timers.now()
        try:
            job = await self._store.get_job(self.job["job_id"])
        except PlatformError as error:
            logger.warning("job not confirmed", extra={"error": str(error)})
            return
        is_open = job is not None and job["state"] == JobState.OPEN
        self.claim.record_job_state(is_open and not self._is_told_to_stop(), read_at_s)
        self._changed.set()
        if self.claim.is_stopped:
            await self._cancel_items()

    async def _end(self) -> None:
        """Commit the chunk, or release it when items are left."""
        if self.claim.pending and not await self._resolve(self.claim.pending):
            return
        results = [self._results_by_index[i] for i in sorted(self._results_by_index)]
        if results:
            await self._store.put(
                RESULTS_KIND, self.claim.part, results, attempts=UNTIL_RESOLVED
            )
        n_failed = sum("error" in result for result in results)
        end = self.claim.commit if self._is_whole else self.claim.release
        write = end(len(results) - n_failed, n_failed, self._timers.now())
        is_kept = await self._resolve(write)
        result = write.chunk.state.value if is_kept else "lost"
        self._metrics.count("batch_commits_total", result=result)

    async def _resolve(self, write: ChunkWrite) -> bool:
        """Make a write until it is known to be stored or refused; tell which."""
        pause_s = FIRST_PAUSE_S
        while True:
            try:
                version = await self._store.write_chunk(write)
            except ConflictError:
                self.claim.record_conflict()
                self._changed.set()
                return False
            except PlatformError as error:
                extra = {"chunk": write.chunk.name, "error": str(error)}
                logger.warning("chunk write not resolved", extra=extra)
                pause_s = await self._store.pause(pause_s)
            else:
                self.claim.record_success(write, version)
                return True

    async def _cancel_items(self) -> None:
        running = [task for task in self._item_tasks if not task.done()]
        await cancel_tasks(running)
