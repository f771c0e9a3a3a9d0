"""One host's cache of the results of batch jobs in the platform's store."""

from __future__ import annotations

import re
from collections import OrderedDict
from collections.abc import Mapping
from itertools import islice
from typing import NamedTuple

from damaskjunction.batch import ItemResult
from damaskjunction.core import (
    SHAPE_ERRORS,
    JobId,
    PlatformUnavailableError,
    Revision,
    read_bool,
)
from damaskjunction.platform import (
    DISPLACED_RESULTS_KIND,
    RESULTS_KIND,
    ObjectConflictError,
    PlatformObject,
    StoreClient,
    decode_result_list,
    encode_result_list,
)

MAX_CACHED_JOBS = 64  # beside those that are pinned

_SEGMENT_SUFFIX = re.compile(r"\.[0-9]+\Z")  # of the name of a later segment


class ResultSegment(NamedTuple):
    """Consecutive results of a job that share an object of the store.

    No results are added to one that ``is_full``, and another may follow it.
    ``revision`` is that of the object, 0 for one that is not stored yet, and ``kind``
    its kind.
    """

    results: tuple[ItemResult, ...]
    is_full: bool
    revision: Revision = 0
    kind: str = RESULTS_KIND


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
        self._pinned_ids: set[JobId] = set()
        self._unsettled_ids: set[JobId] = set()

    def pin(self, job_id: JobId) -> None:
        """Keep a job's results in the cache whatever else is read."""
        self._pinned_ids.add(job_id)

    def unpin(self, job_id: JobId) -> None:
        """Let the results of other jobs displace those of a job again."""
        self._pinned_ids.discard(job_id)

    def is_settled(self, job_id: JobId) -> bool:
        """Return whether the effect of each write of a job's results is known.

        Others may have read what a write without an answer has added.
        """
        return job_id not in self._unsettled_ids

    def evict(self, job_id: JobId) -> None:
        """Remove a job's results from the cache, unless they are pinned."""
        if job_id in self._pinned_ids:
            return
        self._segments_by_id.pop(job_id, None)
        self._unsettled_ids.discard(job_id)

    async def delete(self, job_id: JobId) -> None:
        """Delete the results of a job from the store."""
        for index, segment in enumerate(await self.read(job_id)):
            name = segment_name(segment.kind, job_id, index)
            await self._store.delete(segment.kind, name)

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
        # Reads of other jobs may evict these segments meanwhile.
        segments = list(self.cached_segments(job_id))[:-1]
        try:
            await self._read_further(job_id, segments)
        finally:
            if segments:
                self._cache(job_id, segments)
        return self.cached_segments(job_id)

    async def _read_further(self, job_id: JobId, segments: list[ResultSegment]) -> None:
        """Append the segments that follow those in the list."""
        is_full = True
        while is_full:
            segment = await self._find(job_id, len(segments))
            if segment is None:
                return
            segments.append(segment)
            is_full = segment.is_full

    async def _find(self, job_id: JobId, index: int) -> ResultSegment | None:
        """Return a segment from the store, None if it does not exist."""
        for kind in _kinds_of(job_id, index):
            stored = await self._store.get(kind, segment_name(kind, job_id, index))
            if stored is not None and _is_own(stored, job_id):
                return _decode_segment(stored)
        return None

    async def write(self, job_id: JobId, index: int, segment: ResultSegment) -> bool:
        """Write a segment; return False on a conflict with another write.

        After a conflict the segment that is stored, if any, is cached.

        Raises
        ------
        PlatformUnavailableError, PlatformUnknownError
            When the segment was not, or may not have been, written.
        """
        segments = list(self.cached_segments(job_id))
        results = encode_result_list(segment.results)
        content = {"results": results, "is_full": segment.is_full, "job": job_id}
        self._unsettled_ids.add(job_id)
        try:
            if index < len(segments):
                kind, revision = segments[index].kind, segments[index].revision
                name = segment_name(kind, job_id, index)
                stored = await self._store.replace(
                    kind, name, content, revision=revision
                )
            else:
                stored = await self._create(job_id, index, content)
        except ObjectConflictError as error:
            self._unsettled_ids.discard(job_id)
            if error.current is not None:
                current = _decode_segment(error.current)
                self._cache(job_id, [*segments[:index], current])
            return False
        self._unsettled_ids.discard(job_id)
        written = segment._replace(revision=stored.revision, kind=stored.kind)
        self._cache(job_id, [*segments[:index], written])
        return True

    async def _create(
        self, job_id: JobId, index: int, content: Mapping[str, object]
    ) -> PlatformObject:
        """Create a segment, elsewhere if another job's has its name.

        Raises as ``StoreClient.create`` does.
        """
        *others, last = _kinds_of(job_id, index)
        for kind in others:
            name = segment_name(kind, job_id, index)
            try:
                return await self._store.create(kind, name, content)
            except ObjectConflictError as error:
                if error.current is None or _is_own(error.current, job_id):
                    raise
        return await self._store.create(
            last, segment_name(last, job_id, index), content
        )

    def _cache(self, job_id: JobId, segments: list[ResultSegment]) -> None:
        """Cache the first segments of a job, but for those known at later revisions."""
        known = self._segments_by_id.setdefault(job_id, [])
        for index, segment in enumerate(segments):
            if index == len(known):
                known.append(segment)
            elif known[index].revision < segment.revision:
                known[index] = segment
        self._segments_by_id.move_to_end(job_id)
        n_excess = len(self._segments_by_id) - MAX_CACHED_JOBS - len(self._pinned_ids)
        if n_excess > 0:
            self._displace(n_excess)

    def _displace(self, n_excess: int) -> None:
        """Evict the jobs that were used longest ago."""
        unpinned = (i for i in self._segments_by_id if i not in self._pinned_ids)
        for job_id in list(islice(unpinned, n_excess)):
            self.evict(job_id)


def _decode_segment(stored: PlatformObject) -> ResultSegment:
    """Decode a segment.

    Raises
    ------
    PlatformUnavailableError
        If the object is malformed.
    """
    try:
        results = decode_result_list(stored.content["results"])
        is_full = read_bool(stored.content["is_full"])
    except SHAPE_ERRORS as error:
        detail = f"results {stored.name} are malformed: {error!r}"
        raise PlatformUnavailableError(detail) from None
    return ResultSegment(results, is_full, stored.revision, stored.kind)


def segment_name(kind: str, job_id: JobId, index: int) -> str:
    """Return the name of a segment among the objects of a kind.

    Of ``RESULTS_KIND`` a later segment may have the name of another job's first one.
    """
    if kind == RESULTS_KIND and not index:
        return job_id
    return f"{job_id}.{index}"


def _kinds_of(job_id: JobId, index: int) -> tuple[str, ...]:
    """Return the kinds of which a segment may be, in order of preference.

    The second one has room for it where another job has its name among the first.
    """
    if index or _SEGMENT_SUFFIX.search(job_id):
        return RESULTS_KIND, DISPLACED_RESULTS_KIND
    return (RESULTS_KIND,)


def _is_own(stored: PlatformObject, job_id: JobId) -> bool:
    """Return whether a segment is one of a job.

    Builds before this one do not tell whose it is, and take it for their own.
    """
    content = stored.content
    return not isinstance(content, dict) or content.get("job", job_id) == job_id
