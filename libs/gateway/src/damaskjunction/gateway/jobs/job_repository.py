"""One host's cache of the batch jobs in the platform's store."""

from __future__ import annotations

import asyncio
import logging
from collections import OrderedDict
from collections.abc import Callable, Iterator
from typing import NamedTuple

from damaskjunction.batch import (
    BatchItem,
    JobRecord,
    JobStatus,
)
from damaskjunction.core import (
    JobId,
    MalformedError,
    PlatformUnavailableError,
    PlatformUnknownError,
    Revision,
)
from damaskjunction.gateway.jobs.job_memory import JobMemory
from damaskjunction.gateway.jobs.job_parts import (
    check_sizes,
    items_bytes,
    split_items,
)
from damaskjunction.gateway.jobs.result_repository import ResultRepository
from damaskjunction.platform import (
    BODIES_KIND,
    JOBS_KIND,
    ObjectChange,
    ObjectConflictError,
    PlatformObject,
    StoreClient,
    decode_items,
    decode_record,
    decode_status,
    encode_items,
    encode_record,
    encode_status,
)

logger = logging.getLogger(__name__)

MAX_JOBS_WITH_CACHED_ITEMS = 24


class StoredJob(NamedTuple):
    """A job as last read from the store."""

    record: JobRecord
    status: JobStatus
    revision: Revision

    @property
    def is_open(self) -> bool:
        """Whether items may still have to be run."""
        return not (self.status.is_ended or self.status.is_done)

    @property
    def owner(self) -> str:
        """The host that runs the job's items."""
        return self.status.owner or self.record.owner


class JobRepository:
    """Reads jobs from the store, writes them, and caches them.

    ``jobs_by_id`` holds each job as last read, ``results`` the results of the jobs.

    Parameters
    ----------
    store : StoreClient
        The platform's store.
    memory : JobMemory, optional
        Bounds the items that are held.
    """

    def __init__(self, store: StoreClient, memory: JobMemory | None = None) -> None:
        self._store = store
        self.memory = memory or JobMemory()
        self.jobs_by_id: dict[JobId, StoredJob] = {}
        self.results = ResultRepository(store)
        self._items_by_id: OrderedDict[JobId, tuple[BatchItem, ...]] = OrderedDict()
        self._n_cached_bytes_by_id: dict[JobId, int] = {}
        self._created_ids: set[JobId] = set()
        self._creations_by_id: dict[JobId, asyncio.Event] = {}
        self._observers: list[Callable[[JobId], None]] = []

    def subscribe(self, observer: Callable[[JobId], None]) -> None:
        """Call ``observer`` with the job's id whenever a job is added or changed."""
        self._observers.append(observer)

    def open_jobs(self) -> Iterator[StoredJob]:
        """Yield the jobs that have items to run."""
        return (job for job in list(self.jobs_by_id.values()) if job.is_open)

    # Changes from the store

    def replace_all(self, objects: tuple[PlatformObject, ...]) -> None:
        """Replace the known jobs by all jobs in the store."""
        names = {stored.name for stored in objects}
        for job_id in self.jobs_by_id.keys() - names:
            self._evict(job_id)
        for stored in objects:
            self.apply_object(stored)

    def apply_change(self, change: ObjectChange) -> None:
        """Apply one change of a job, or its removal."""
        if change.is_removed:
            self._evict(change.object.name)
        else:
            self.apply_object(change.object)

    def apply_object(self, stored: PlatformObject) -> StoredJob | None:
        """Record a job as read from the store; return the latest known state.

        An object older than the known state is ignored. Returns None for a malformed
        object.
        """
        known = self.jobs_by_id.get(stored.name)
        if known is not None and known.revision >= stored.revision:
            return known
        try:
            record = decode_record(stored.name, stored.content)
            job = StoredJob(record, decode_status(stored.status), stored.revision)
        except MalformedError as error:
            extra = {"job": stored.name, "error": repr(error)}
            logger.error("malformed job object", extra=extra)
            return None
        self.jobs_by_id[stored.name] = job
        for observer in self._observers:
            observer(stored.name)
        return job

    def _evict(self, job_id: JobId) -> None:
        self.jobs_by_id.pop(job_id, None)
        self.results.evict(job_id)
        self._drop_cached(job_id)
        self._created_ids.discard(job_id)

    # Jobs

    async def find(self, job_id: JobId) -> StoredJob | None:
        """Return a job, reading it from the store when it is not cached.

        Returns None when there is no such job.

        Raises
        ------
        PlatformUnavailableError
            When the store can't be reached, or the job's object is malformed.
        """
        known = self.jobs_by_id.get(job_id)
        if known is not None:
            return known
        stored = await self._store.get(JOBS_KIND, job_id)
        if stored is None:
            return None
        job = self.apply_object(stored)
        if job is None:
            raise PlatformUnavailableError(f"job {job_id} is malformed")
        return job

    async def refresh(self, job_id: JobId) -> None:
        """Refresh a job from the store.

        Raises
        ------
        PlatformUnavailableError
            When the store did not respond.
        """
        stored = await self._store.get(JOBS_KIND, job_id)
        if stored is not None:
            self.apply_object(stored)

    async def accept(
        self, record: JobRecord, items: tuple[BatchItem, ...]
    ) -> StoredJob:
        """Store a job and return it, or the job already stored under its id.

        Items that do not fit into the job's object are written first, in parts.

        Raises
        ------
        JobTooLargeError
            When no objects of the store can hold the job.
        PlatformUnavailableError
            When the job was not written.
        PlatformUnknownError
            When it may have been written.
        """
        check_sizes(record, items)
        parts = split_items(items)
        if len(parts) == 1:
            content = encode_record(record, items)
        else:
            record = record._replace(n_parts=len(parts))
            for index, part in enumerate(parts):
                await self._write_part(f"{record.job_id}.{index}", part)
            content = encode_record(record, ())
        self._creations_by_id[record.job_id] = has_ended = asyncio.Event()
        try:
            stored = await self._store.create(JOBS_KIND, record.job_id, content)
            self._created_ids.add(record.job_id)
            self._cache_items(record.job_id, items)
        except ObjectConflictError as error:
            if error.current is None:
                raise PlatformUnavailableError(str(error)) from None
            stored = error.current
        finally:
            has_ended.set()
            self._creations_by_id.pop(record.job_id, None)
        job = self.apply_object(stored)
        if job is None:
            raise PlatformUnknownError(f"job {record.job_id} is malformed")
        return job

    async def _write_part(self, name: str, items: tuple[BatchItem, ...]) -> None:
        try:
            await self._store.create(BODIES_KIND, name, encode_items(items))
        except ObjectConflictError:
            logger.info("part of a job already exists", extra={"part": name})

    async def items(self, job_id: JobId) -> tuple[BatchItem, ...]:
        """Return the items of a job, from the cache or the store.

        Raises
        ------
        PlatformUnavailableError
            When the store did not respond, or the job or a part of it does not exist.
        """
        known = self._items_by_id.get(job_id)
        if known is not None:
            return known
        stored = await self._store.get(JOBS_KIND, job_id)
        if stored is None:
            raise PlatformUnavailableError(f"job {job_id} does not exist")
        try:
            n_parts = decode_record(job_id, stored.content).n_parts
            items = decode_items(stored.content["items"])
            for index in range(n_parts):
                part = await self._store.get(BODIES_KIND, f"{job_id}.{index}")
                if part is None:
                    raise PlatformUnavailableError(
                        f"part {index} of job {job_id} does not exist"
                    )
                items += decode_items(part.content)
        except MalformedError as error:
            raise PlatformUnavailableError(f"job {job_id}: {error}") from None
        self._cache_items(job_id, items)
        return items

    def _cache_items(self, job_id: JobId, items: tuple[BatchItem, ...]) -> None:
        self._drop_cached(job_id)
        self._items_by_id[job_id] = items
        self._n_cached_bytes_by_id[job_id] = n_bytes = items_bytes(items)
        self.memory.cached.change(n_bytes)
        while self._items_by_id and (
            len(self._items_by_id) > MAX_JOBS_WITH_CACHED_ITEMS
            or not self.memory.cached.has_room()
        ):
            self._drop_cached(next(iter(self._items_by_id)))

    def _drop_cached(self, job_id: JobId) -> None:
        self._items_by_id.pop(job_id, None)
        self.memory.cached.change(-self._n_cached_bytes_by_id.pop(job_id, 0))

    async def update_status(self, job_id: JobId, **changes: object) -> StoredJob | None:
        """Update fields of a job's status; return None if there is no such job.

        The write is conditional on the known revision and repeated after a conflict.

        Raises
        ------
        PlatformUnavailableError, PlatformUnknownError
            When the change was not, or may not have been, written.
        """
        job = await self.find(job_id)
        while job is not None:
            new_status = job.status._replace(**changes)  # type: ignore[arg-type]
            if new_status == job.status:
                return job
            try:
                stored = await self._store.set_status(
                    JOBS_KIND, job_id, encode_status(new_status), revision=job.revision
                )
            except ObjectConflictError as error:
                if error.current is None:
                    return None
                stored = error.current
            job = self.apply_object(stored)
        return None

    async def pop_created(self, job_id: JobId) -> bool:
        """Return whether this host created the job and it can have no results yet.

        True at most once for each job. The store may tell of a job before it answers
        to its creation, which is waited for.
        """
        creation = self._creations_by_id.get(job_id)
        if creation is not None:
            await creation.wait()
        is_created = job_id in self._created_ids
        self._created_ids.discard(job_id)
        return is_created

    async def delete(self, job: StoredJob) -> None:
        """Delete a job with its parts and results.

        The job's own object goes last, so that a failed deletion can be repeated.
        """
        job_id = job.record.job_id
        for index in range(job.record.n_parts):
            await self._store.delete(BODIES_KIND, f"{job_id}.{index}")
        await self.results.delete(job_id)
        await self._store.delete(JOBS_KIND, job_id)
        self._evict(job_id)
