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
from damaskjunction.gateway.result_repository import ResultRepository
from damaskjunction.platform import encode_result_list

logger = logging.getLogger(__name__)

GROUPING_DELAY_S = 0.5
# Of one write; an object of the store holds this and a segment that is not full.
MAX_ADDED_BYTES = 300_000

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
        self._idle = asyncio.Event()
        self._idle.set()

    async def add(self, result: ItemResult) -> None:
        """Add a result and return once it is stored."""
        self._buffered.append(result)
        self._n_expected -= 1
        if self._n_expected <= 0:
            self._are_all_added.set()
        await self._wait_for_more()
        if self._is_writing:
            await self._idle.wait()
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
        if self._is_writing:
            await self._idle.wait()
            return
        self._is_writing = True
        self._idle.clear()
        try:
            await self._write_with_retries()
        finally:
            self._is_writing = False
            self._idle.set()

    async def _write_with_retries(self) -> None:
        n_failures = 0
        while self._buffered:
            group = tuple(self._buffered)
            try:
                if await self._write_once(group):
                    self._buffered = [r for r in self._buffered if r not in group]
                    return
            except PlatformError as error:
                extra = {"job": self._job_id, "error": str(error)}
                logger.warning("results wait for the store", extra=extra)
                await self._back_off(n_failures)
                n_failures += 1
                await self._refresh()

    async def _refresh(self) -> None:
        """Refresh the results: a write without a response may have been applied."""
        try:
            await self._repository.read(self._job_id)
        except PlatformError as error:
            extra = {"job": self._job_id, "error": str(error)}
            logger.info("results not refreshed", extra=extra)

    async def _write_once(self, group: tuple[ItemResult, ...]) -> bool:
        """Write what fits of a group; return whether all of it is stored."""
        known = self._repository.cached(self._job_id)
        new_results = merge_results(known, group)[len(known) :]
        if not new_results:
            return True
        segments = self._repository.cached_segments(self._job_id)
        index = max(0, len(segments) - 1)
        results = segments[index].results if segments else ()
        if estimate_stored_bytes(results) > SEGMENT_BYTES:
            index, results = index + 1, ()
        added = take_page(new_results, MAX_ADDED_BYTES)
        merged = (*results, *added)
        is_written = await self._repository.write(
            self._job_id,
            index,
            merged,
            encode_result_list(merged),
            is_full=estimate_stored_bytes(merged) > SEGMENT_BYTES,
        )
        return is_written and len(added) == len(new_results)
