"""Typed reads and writes of the stored objects of batch jobs."""

from __future__ import annotations

import asyncio
import random
import uuid
from collections.abc import AsyncIterator

from damaskjunction.batch import (
    Chunk,
    ChunkWrite,
    ItemsDocument,
    JobDocument,
    ResultDocument,
    chunk_from_document,
    chunk_name,
    chunk_to_document,
    decode,
    encode,
)
from damaskjunction.core import (
    ConflictError,
    JobId,
    PlatformError,
    PlatformUnavailableError,
    PlatformUnknownError,
    Revision,
)
from damaskjunction.node.documents import (
    CHUNK_KIND,
    ITEMS_KIND,
    JOB_KIND,
    QUEUE_KIND,
    RESULTS_KIND,
)
from damaskjunction.platform import ObjectStore, StoredObject
from damaskjunction.telemetry import Metrics

OBJECTS_PER_PAGE = 500
MAX_PUT_ATTEMPTS = 4
INITIAL_DELAY_S = 0.2
MAX_DELAY_S = 4.0
CALLS_METRIC = "batch_platform_calls_total"


class JobStore:
    """Stored objects of batch jobs; every call to the platform is counted.

    Parameters
    ----------
    store : ObjectStore
        The platform's object store.
    metrics : Metrics
        Counts the calls.
    rng : random.Random
        Adds jitter to the delays between retries.
    """

    def __init__(
        self, store: ObjectStore, metrics: Metrics, rng: random.Random
    ) -> None:
        self._store = store
        self._metrics = metrics
        self._rng = rng

    async def get(self, kind: str, name: str) -> StoredObject | None:
        """Return an object, or None when it does not exist."""
        self._metrics.count(CALLS_METRIC, call="get", kind=kind)
        return await self._store.get(kind, name)

    async def get_job(self, job_id: JobId) -> JobDocument | None:
        """Return a job's record, or None when it does not exist."""
        stored = await self.get(JOB_KIND, job_id)
        return None if stored is None else decode(stored.value)

    async def put(
        self,
        kind: str,
        name: str,
        document: object,
        *,
        expected_version: Revision = 0,
        max_attempts: int = MAX_PUT_ATTEMPTS,
    ) -> Revision:
        """Store an object, with retries under the same operation id.

        Raises
        ------
        ConflictError
            When the object is at another version.
        PlatformUnavailableError
            When no attempt had an effect.
        PlatformUnknownError
            When an attempt may have had an effect.
        """
        operation_id = uuid.uuid4().hex
        value = encode(document)
        delay_s = INITIAL_DELAY_S
        may_be_stored = False
        for attempt in range(1, max_attempts + 1):
            self._metrics.count(CALLS_METRIC, call="put", kind=kind)
            try:
                return await self._store.put(
                    kind,
                    name,
                    value,
                    expected_version=expected_version,
                    operation_id=operation_id,
                )
            except ConflictError:
                raise
            except PlatformError as error:
                may_be_stored |= isinstance(error, PlatformUnknownError)
                if attempt == max_attempts:
                    raise _final_error(error, may_be_stored) from None
            delay_s = await self.wait_before_retry(delay_s)
        raise AssertionError("unreachable")

    async def write_chunk(self, write: ChunkWrite) -> Revision:
        """Store a chunk, without retries.

        Raises
        ------
        ConflictError
            When the chunk is at another version.
        PlatformError
            When the write is unresolved; the caller must repeat it unchanged.
        """
        self._metrics.count(CALLS_METRIC, call="put", kind=CHUNK_KIND)
        return await self._store.put(
            CHUNK_KIND,
            write.chunk.name,
            encode(chunk_to_document(write.chunk)),
            expected_version=write.expected_version,
            operation_id=write.operation_id,
        )

    async def delete(self, kind: str, name: str, version: Revision) -> None:
        """Delete an object; do nothing if it does not exist or has changed."""
        self._metrics.count(CALLS_METRIC, call="delete", kind=kind)
        try:
            await self._store.delete(
                kind, name, expected_version=version, operation_id=uuid.uuid4().hex
            )
        except ConflictError:
            return

    async def wait_before_retry(self, delay_s: float) -> float:
        """Wait before a retry, with jitter, and return the delay before the next one.

        The delay is doubled each time, up to ``MAX_DELAY_S``.
        """
        await asyncio.sleep(delay_s * (0.5 + self._rng.random()))
        return min(2 * delay_s, MAX_DELAY_S)

    async def list_kind(
        self, kind: str, *, prefix: str = "", after: str = ""
    ) -> AsyncIterator[StoredObject]:
        """Yield the objects of a kind, ordered by name."""
        while True:
            self._metrics.count(CALLS_METRIC, call="list", kind=kind)
            page = await self._store.list_objects(
                kind, prefix=prefix, after=after, limit=OBJECTS_PER_PAGE
            )
            for stored in page.objects:
                yield stored
            after = page.after
            if not after:
                return

    async def list_queue(self) -> dict[JobId, Revision]:
        """Return the ids of unfinished jobs and the versions of their queue entries."""
        entries = self.list_kind(QUEUE_KIND)
        return {stored.name: stored.version async for stored in entries}

    async def list_chunks(self, job: JobDocument) -> dict[str, Chunk]:
        """Return every chunk of a job by name; a chunk not stored yet is free."""
        names = (chunk_name(job["job_id"], number) for number in range(job["n_chunks"]))
        chunks = {name: Chunk(name) for name in names}
        async for stored in self.list_kind(CHUNK_KIND, prefix=f"{job['job_id']}."):
            document = decode(stored.value)
            chunks[stored.name] = chunk_from_document(
                stored.name, stored.version, document
            )
        return chunks

    async def get_items(self, name: str) -> ItemsDocument:
        """Return the items of a chunk.

        Raises
        ------
        PlatformUnavailableError
            When they can't be read or don't exist.
        """
        stored = await self.get(ITEMS_KIND, name)
        if stored is None:
            raise PlatformUnavailableError(f"items {name!r} do not exist")
        items: ItemsDocument = decode(stored.value)
        return items

    async def get_results(self, chunk: Chunk) -> list[ResultDocument]:
        """Return the results of a chunk, ordered by index.

        Raises
        ------
        PlatformUnavailableError
            When they can't be read or don't exist.
        """
        results: list[ResultDocument] = []
        for name in chunk.parts:
            stored = await self.get(RESULTS_KIND, name)
            if stored is None:
                raise PlatformUnavailableError(f"results {name!r} do not exist")
            results += decode(stored.value)
        return sorted(results, key=lambda result: result["index"])

    async def remove_from_queue(self, job_id: JobId) -> None:
        """Remove a finished job from the queue."""
        stored = await self.get(QUEUE_KIND, job_id)
        if stored is not None:
            await self.delete(QUEUE_KIND, job_id, stored.version)


def _final_error(error: PlatformError, may_be_stored: bool) -> PlatformError:
    if may_be_stored and not isinstance(error, PlatformUnknownError):
        return PlatformUnknownError(str(error))
    return error
