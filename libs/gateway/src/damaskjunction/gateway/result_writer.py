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
)
from damaskjunction.core import JobId, PlatformError
from damaskjunction.gateway.result_repository import ResultRepository
from damaskjunction.platform import encode_result_list

logger = logging.getLogger(__name__)

GATHER_S = 0.5

Pause: TypeAlias = Callable[[int], Awaitable[None]]


class ResultWriter:
    """Writes the results of one job; those that end close together share a write.

    Parameters
    ----------
    repository : ResultRepository
        The stored results.
    job_id : str
        The job.
    pause : Pause
        Sleeps between retries.
    n_running : int
        Number of results still to come.
    """

    def __init__(
        self, repository: ResultRepository, job_id: JobId, pause: Pause, n_running: int
    ) -> None:
        self._repository = repository
        self._pause = pause
        self._job_id = job_id
        self._n_running = n_running
        self._are_all_ended = asyncio.Event()
        self._finished: list[ItemResult] = []
        self._is_writing = False
        self._idle = asyncio.Event()
        self._idle.set()

    async def add(self, result: ItemResult) -> None:
        """Add a result and return once it is stored."""
        self._finished.append(result)
        self._n_running -= 1
        if self._n_running <= 0:
            self._are_all_ended.set()
        await self._gather()
        if self._is_writing:
            await self._idle.wait()
        while result in self._finished:
            await self._write()

    async def _gather(self) -> None:
        """Wait up to ``GATHER_S`` for further results, less once none is to come."""
        try:
            async with asyncio.timeout(GATHER_S):
                await self._are_all_ended.wait()
        except TimeoutError:
            return

    async def finish(self) -> None:
        """Write the results that are not stored yet."""
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
                await self._pause(n_failures)
                n_failures += 1
                await self._reread()

    async def _reread(self) -> None:
        """Refresh the results: a write without a response may have been applied."""
        try:
            await self._repository.read(self._job_id)
        except PlatformError as error:
            extra = {"job": self._job_id, "error": str(error)}
            logger.info("results not refreshed", extra=extra)

    async def _try_write(self, batch: tuple[ItemResult, ...]) -> bool:
        known = self._repository.cached(self._job_id)
        fresh = merge_results(known, batch)[len(known) :]
        if not fresh:
            return True
        segments = self._repository.cached_segments(self._job_id)
        index = max(0, len(segments) - 1)
        results = segments[index].results if segments else ()
        if estimate_stored_bytes(results) > SEGMENT_BYTES:
            index, results = index + 1, ()
        merged = (*results, *fresh)
        return await self._repository.write(
            self._job_id,
            index,
            merged,
            encode_result_list(merged),
            is_full=estimate_stored_bytes(merged) > SEGMENT_BYTES,
        )
