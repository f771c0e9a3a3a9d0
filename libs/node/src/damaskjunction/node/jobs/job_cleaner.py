"""Deletes jobs past their retention and abandoned uploads."""

from __future__ import annotations

import asyncio
import logging

from damaskjunction.batch import (
    JobDocument,
    chunk_name,
    decode,
    find_chunk,
    is_abandoned,
    is_expired,
)
from damaskjunction.core import PlatformError, Revision, Timers, rendezvous_order
from damaskjunction.node.documents import (
    CHUNK_KIND,
    ITEMS_KIND,
    JOB_KIND,
    RESULTS_KIND,
    SEGMENT_KIND,
    UPLOAD_KIND,
)
from damaskjunction.node.jobs.job_store import JobStore
from damaskjunction.node.jobs.job_submission import segment_name
from damaskjunction.node.state import HostView
from damaskjunction.node.tasks import cancel_tasks
from damaskjunction.platform import StoredObject

logger = logging.getLogger(__name__)

MAX_CLEANUP_INTERVAL_S = 600.0
CLEANUPS_PER_RETENTION = 10
DELETE_INTERVAL_S = 0.02
CLEANER_KEY = "cleaner"


class JobCleaner:
    """Deletes expired jobs and abandoned uploads, on one host of the fleet at a time.

    Parameters
    ----------
    view : HostView
        Live hosts and the retention period.
    store : JobStore
        Stored jobs.
    timers : Timers
        The process's timer service.
    """

    def __init__(self, view: HostView, store: JobStore, timers: Timers) -> None:
        self._view = view
        self._store = store
        self._timers = timers
        self._observed_markers_by_name: dict[str, tuple[Revision, float]] = {}
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start the periodic cleanup."""
        self._task = asyncio.ensure_future(self._run_cleanups())

    async def close(self) -> None:
        """Stop the periodic cleanup."""
        if self._task is not None:
            await cancel_tasks([self._task])

    async def _run_cleanups(self) -> None:
        while True:
            retention_s = self._view.configuration.batch.retention_s
            interval_s = retention_s / CLEANUPS_PER_RETENTION
            await asyncio.sleep(min(MAX_CLEANUP_INTERVAL_S, interval_s))
            if not self._is_cleaner():
                continue
            try:
                await self._delete_expired(retention_s)
                await self._delete_abandoned()
            except PlatformError as error:
                logger.warning(
                    "cleanup of jobs and uploads failed", extra={"error": str(error)}
                )

    def _is_cleaner(self) -> bool:
        hosts = [(host.host_id, 1.0) for host in self._view.serving_hosts()]
        return rendezvous_order(CLEANER_KEY, hosts)[:1] == [self._view.own.host_id]

    async def _delete_expired(self, retention_s: float) -> None:
        async for stored in self._store.list_kind(JOB_KIND):
            job: JobDocument = decode(stored.value)
            if is_expired(job, retention_s, self._timers.wall()):
                await self._delete_job(job, stored)

    async def _delete_job(self, job: JobDocument, stored: StoredObject) -> None:
        """Delete a job, its record last, so that an interrupted deletion is resumed."""
        job_id = job["job_id"]
        for number in range(job["n_chunks"]):
            await self._delete(ITEMS_KIND, find_chunk(job, number).items_name)
            name = chunk_name(job_id, number)
            chunk = await self._store.get(CHUNK_KIND, name)
            if chunk is None:
                continue
            for results_name in decode(chunk.value)["parts"]:
                await self._delete(RESULTS_KIND, results_name)
            await self._store.delete(CHUNK_KIND, name, chunk.version)
        for part_number in range(len(job["segments"])):
            await self._delete(SEGMENT_KIND, segment_name(job_id, part_number))
        await self._store.delete(JOB_KIND, job_id, stored.version)
        logger.info("job deleted", extra={"job": job_id})

    async def _delete(self, kind: str, name: str) -> None:
        await asyncio.sleep(DELETE_INTERVAL_S)
        stored = await self._store.get(kind, name)
        if stored is not None:
            await self._store.delete(kind, name, stored.version)

    async def _delete_abandoned(self) -> None:
        """Delete uploads whose markers have not changed for a long time."""
        observed_markers = self._observed_markers_by_name
        now_s = self._timers.now()
        markers = {s.name: s async for s in self._store.list_kind(UPLOAD_KIND)}
        for name in observed_markers.keys() - markers.keys():
            del observed_markers[name]
        for name, stored in markers.items():
            previous = observed_markers.get(name)
            if previous is None or previous[0] != stored.version:
                observed_markers[name] = (stored.version, now_s)
            elif is_abandoned(previous[1], now_s):
                await self._delete_upload(stored)

    async def _delete_upload(self, marker: StoredObject) -> None:
        """Delete an upload that no job uses.

        The marker is deleted first, so that no job can be accepted with the upload.
        """
        await self._store.delete(UPLOAD_KIND, marker.name, marker.version)
        if await self._store.get(UPLOAD_KIND, marker.name) is not None:
            return
        # The name of an upload is its job's id, a dot and a random suffix.
        job = await self._store.get_job(marker.name.partition(".")[0])
        uploads = (
            [] if job is None else [segment["upload"] for segment in job["segments"]]
        )
        if marker.name in uploads:
            return
        prefix = f"{marker.name}."
        async for stored in self._store.list_kind(ITEMS_KIND, prefix=prefix):
            await asyncio.sleep(DELETE_INTERVAL_S)
            await self._store.delete(ITEMS_KIND, stored.name, stored.version)
