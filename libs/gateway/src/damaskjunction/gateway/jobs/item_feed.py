"""Begins the items of jobs in their order, few of them at a time."""

from __future__ import annotations

import asyncio
from collections import defaultdict
from collections.abc import Callable, Sequence
from typing import NamedTuple, TypeAlias

from damaskjunction.batch import BatchItem
from damaskjunction.core import JobId, ServiceName
from damaskjunction.gateway.jobs.item_runner import MAX_ITEMS_AT_ONCE

# Those that are delayed or wait for their route leave their places to others.
MAX_ITEMS_BEGUN = 2 * MAX_ITEMS_AT_ONCE  # of one line

BeginItem: TypeAlias = Callable[[BatchItem], asyncio.Task[None]]


class ItemLine(NamedTuple):
    """Items that wait behind each other; the service is empty without a route."""

    route_name: str
    service: ServiceName


class _Line:
    """The places of a line, and whose turn it is to fill them."""

    def __init__(self) -> None:
        self.turn = asyncio.Lock()
        self.places = asyncio.Semaphore(MAX_ITEMS_BEGUN)


class ItemFeed:
    """Begins at most ``MAX_ITEMS_BEGUN`` items of a line at a time.

    An item that has begun costs several KB beside its text; a job that many others are
    ahead of costs the text alone.
    """

    def __init__(self) -> None:
        self._lines_by_key: defaultdict[ItemLine, _Line] = defaultdict(_Line)
        self._waiting_ids_by_job: defaultdict[JobId, set[str]] = defaultdict(set)

    @property
    def n_waiting(self) -> int:
        """Number of items that have not begun."""
        return sum(len(ids) for ids in self._waiting_ids_by_job.values())

    def waiting_ids_of(self, job_id: JobId) -> set[str]:
        """Return the ids of the items of a job that have not begun."""
        return self._waiting_ids_by_job.get(job_id, set())

    async def feed(
        self, key: ItemLine, job_id: JobId, items: Sequence[BatchItem], begin: BeginItem
    ) -> None:
        """Begin items of a job, once all that came to the line before have begun."""
        line = self._lines_by_key[key]
        ids = {item.item_id for item in items}
        waiting_ids = self._waiting_ids_by_job[job_id]
        waiting_ids |= ids
        try:
            async with line.turn:
                for item in items:
                    await line.places.acquire()
                    waiting_ids.discard(item.item_id)
                    begin(item).add_done_callback(lambda _: line.places.release())
        finally:
            waiting_ids -= ids
            if not waiting_ids:
                self._waiting_ids_by_job.pop(job_id, None)
