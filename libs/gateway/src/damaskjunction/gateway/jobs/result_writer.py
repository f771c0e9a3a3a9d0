"""Writes the results of a batch job to the platform's store, in groups."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable
from typing import TypeAlias

from damaskjunction.batch import (
    SEGMENT_BYTES,
    ItemResult,
    estimate_stored_bytes,
    merge_results,
    take_page,
)
from damaskjunction.core import JobId, PlatformError
from damaskjunction.gateway.jobs.result_repository import (
    ResultRepository,
    ResultSegment,
)

logger = logging.getLogger(__name__)

GROUPING_DELAY_S = 0.5
MAX_ADDED_BYTES = 300_000  # of one write, unless a single result is larger
# Of results that share an object of the store; a larger one has an object of its own.
MAX_SHARED_BYTES = SEGMENT_BYTES + MAX_ADDED_BYTES

BackOff: TypeAlias = Callable[[int], Awaitable[None]]


class ResultWriter:
    """Writes the results of one job; those added close together share a write.

    Parameters
    ----------
    repository : ResultRepository
        The stored results.
    job_id : str
        The job.
    back_off : BackOff
        Sleeps between retries.
    n_expected : int
        Number of results still to come.
    """

    def __init__(
        self,
        repository: ResultRepository,
        job_id: JobId,
        back_off: BackOff,
        n_expected: int,
    ) -> None:
        self._repository = repository
        self._back_off = back_off
        self._job_id = job_id
        self._n_expected = n_expected
        self._are_all_added = asyncio.Event()
        self._buffered: list[ItemResult] = []
        self._is_writing = False
        self._n_failures = 0
        self._idle = asyncio.Event()
        self._idle.set()

    async def add(self, result: ItemResult) -> None:
        """Add a result and return once it is stored."""
        self._buffered.append(result)
        self._n_expected -= 1
        if self._n_expected <= 0:
            self._are_all_added.set()
        await self._wait_for_more()
        while result in self._buffered:
            await self._write()

    async def _wait_for_more(self) -> None:
        """Wait up to ``GROUPING_DELAY_S`` until all expected results are added."""
        try:
            async with asyncio.timeout(GROUPING_DELAY_S):
                await self._are_all_added.wait()
        except TimeoutError:
            return

    async def flush(self) -> None:
        """Write the results that are not stored yet."""
        while self._buffered:
            await self._write()

    async def _write(self) -> None:
        """Write some of the buffered results, or wait for the write under way.

        Each write is one turn, so that a result which the store refuses again and again
        holds up none of those that are added meanwhile.
        """
        if self._is_writing:
            await self._idle.wait()
            return
        self._is_writing = True
        self._idle.clear()
        try:
            await self._write_or_back_off()
        finally:
            self._is_writing = False
            self._idle.set()

    async def _write_or_back_off(self) -> None:
        try:
            await self._write_once()
            self._n_failures = 0
        except PlatformError as error:
            extra = {"job": self._job_id, "error": str(error)}
            logger.warning("results wait for the store", extra=extra)
            await self._back_off(self._n_failures)
            self._n_failures += 1
            await self._refresh()
        self._buffered = list(self._not_listed())

    async def _refresh(self) -> None:
        """Refresh the results: a write without a response may have been applied."""
        try:
            await self._repository.read(self._job_id)
        except PlatformError as error:
            extra = {"job": self._job_id, "error": str(error)}
            logger.info("results not refreshed", extra=extra)

    def _not_listed(self) -> tuple[ItemResult, ...]:
        """Return the buffered results that are not known to be stored."""
        known = self._repository.cached(self._job_id)
        return merge_results(known, self._buffered)[len(known) :]

    async def _write_once(self) -> None:
        """Write the next results, the large ones last."""
        results = self._not_listed()
        if not results:
            return
        added = take_page(sorted(results, key=_write_order), MAX_ADDED_BYTES)
        segments = self._repository.cached_segments(self._job_id)
        if not segments or segments[-1].is_full:
            await self._write_segment(len(segments), tuple(added))
            return
        last = segments[-1].results
        merged = (*last, *added)
        if estimate_stored_bytes(merged) <= MAX_SHARED_BYTES:
            await self._write_segment(len(segments) - 1, merged)
        else:
            await self._write_segment(len(segments) - 1, last, is_full=True)

    async def _write_segment(
        self, index: int, results: tuple[ItemResult, ...], *, is_full: bool = False
    ) -> None:
        """Write a segment, unless another host has written it since."""
        is_full = is_full or estimate_stored_bytes(results) > SEGMENT_BYTES
        segment = ResultSegment(results, is_full)
        await self._repository.write(self._job_id, index, segment)


def _write_order(result: ItemResult) -> int:
    """Return 0 for results that share a write, and the size of each larger one."""
    size = estimate_stored_bytes((result,))
    return size if size > MAX_ADDED_BYTES else 0
