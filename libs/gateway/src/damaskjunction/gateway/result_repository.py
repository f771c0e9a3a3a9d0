"""One host's cache of the results of batch jobs in the platform's store."""

from __future__ import annotations

from collections import OrderedDict
from typing import NamedTuple

from damaskjunction.batch import ItemResult
from damaskjunction.core import JobId, Revision
from damaskjunction.platform import (
    RESULTS_KIND,
    ObjectConflictError,
    PlatformObject,
    StoreClient,
    decode_result_list,
)

MAX_CACHED_JOBS = 64


class ResultSegment(NamedTuple):
    """Consecutive results of a job that share an object, and the object's revision."""

    results: tuple[ItemResult, ...]
    revision: Revision


class ResultRepository:
    """Reads and writes the segments of results, and caches them.

    Parameters
    ----------
    store : StoreClient
        The platform's store.
    """

    def __init__(self, store: StoreClient) -> None:
        self._store = store
        self._segments_by_id: OrderedDict[JobId, list[ResultSegment]] = OrderedDict()

    def evict(self, job_id: JobId) -> None:
        """Remove a job's results from the cache."""
        self._segments_by_id.pop(job_id, None)

    async def delete(self, job_id: JobId) -> None:
        """Delete the results of a job from the store."""
        for index in range(len(await self.read(job_id))):
            await self._store.delete(RESULTS_KIND, _segment_name(job_id, index))

    def cached(self, job_id: JobId) -> tuple[ItemResult, ...]:
        """Return the cached results; the store may have more."""
        segments = self._segments_by_id.get(job_id, [])
        return tuple(result for segment in segments for result in segment.results)

    def cached_segments(self, job_id: JobId) -> list[ResultSegment]:
        """Return the cached segments; the store may have more."""
        return self._segments_by_id.get(job_id, [])

    async def read(self, job_id: JobId) -> list[ResultSegment]:
        """Refresh the segments of a job from the store and return them.

        Reads from the last cached segment on: earlier ones are full.

        Raises
        ------
        PlatformUnavailableError
            When the store did not respond.
        """
        segments = self._segments_by_id.get(job_id, [])
        index = max(0, len(segments) - 1)
        while True:
            stored = await self._store.get(RESULTS_KIND, _segment_name(job_id, index))
            if stored is None:
                break
            self._cache_object(job_id, index, stored)
            if not stored.content["is_full"]:
                break
            index += 1
        return self._segments_by_id.get(job_id, [])

    async def write(
        self,
        job_id: JobId,
        index: int,
        results: tuple[ItemResult, ...],
        encoded: object,
        *,
        is_full: bool,
    ) -> bool:
        """Write a segment; return False on a conflict with another write.

        After a conflict the segment that is stored, if any, is cached.

        Raises
        ------
        PlatformUnavailableError, PlatformUnknownError
            When the segment was not, or may not have been, written.
        """
        segments = self._segments_by_id.get(job_id, [])
        name = _segment_name(job_id, index)
        content = {"results": encoded, "is_full": is_full}
        try:
            if index < len(segments):
                stored = await self._store.replace(
                    RESULTS_KIND, name, content, revision=segments[index].revision
                )
            else:
                stored = await self._store.create(RESULTS_KIND, name, content)
        except ObjectConflictError as error:
            if error.current is not None:
                self._cache_object(job_id, index, error.current)
            return False
        written = ResultSegment(results, stored.revision)
        self._cache_segment(job_id, index, written)
        return True

    def _cache_object(self, job_id: JobId, index: int, stored: PlatformObject) -> None:
        results = decode_result_list(stored.content["results"])
        self._cache_segment(job_id, index, ResultSegment(results, stored.revision))

    def _cache_segment(self, job_id: JobId, index: int, segment: ResultSegment) -> None:
        segments = self._segments_by_id.setdefault(job_id, [])
        if index == len(segments):
            segments.append(segment)
        elif segments[index].revision < segment.revision:
            segments[index] = segment
        self._segments_by_id.move_to_end(job_id)
        while len(self._segments_by_id) > MAX_CACHED_JOBS:
            self._segments_by_id.popitem(last=False)


def _segment_name(job_id: JobId, index: int) -> str:
    return f"{job_id}.{index}" if index else job_id
