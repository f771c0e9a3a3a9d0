"""Uploads of job items, stored chunk by chunk as they arrive."""

from __future__ import annotations

import uuid

from damaskjunction.batch import (
    ItemReader,
    ItemsDocument,
    JobDocument,
    SegmentDocument,
    UploadDocument,
    items_name,
)
from damaskjunction.core import ConflictError, JobId, PlatformError, WorkspaceName
from damaskjunction.http import BodyReader
from damaskjunction.node.documents import ITEMS_KIND, UPLOAD_KIND
from damaskjunction.node.jobs.job_store import JobStore


class Upload:
    """Stores the items of one request body.

    An upload of several chunks has a marker object until its job is accepted. The
    cleaner finds abandoned uploads by their markers and deletes them.

    Parameters
    ----------
    store : JobStore
        Stores the chunks.
    job_id : str
        The job that the items belong to.
    workspace : str
        The workspace of the job.
    """

    def __init__(
        self, store: JobStore, job_id: JobId, workspace: WorkspaceName
    ) -> None:
        self._store = store
        self._workspace = workspace
        self.job_id = job_id
        self.name = f"{job_id}.{uuid.uuid4().hex[:16]}"
        self._versions_by_name: dict[str, int] = {}

    async def store(self, body: BodyReader) -> SegmentDocument:
        """Validate and store a body; return the segment that describes its items.

        Raises
        ------
        FindingsError
            When lines are invalid.
        PlatformError
            When a chunk could not be stored.
        """
        reader = ItemReader("items")
        async for data in body.chunks():
            for chunk in reader.feed(data):
                await self._store_chunk(chunk)
        for chunk in reader.finish():
            await self._store_chunk(chunk)
        return reader.to_segment(self.name)

    async def discard(self) -> None:
        """Delete what was stored; the cleaner finds what remains by its marker."""
        try:
            for name, version in self._versions_by_name.items():
                await self._store.delete(ITEMS_KIND, name, version)
            await delete_marker(self._store, self.name)
        except PlatformError:
            return

    async def _store_chunk(self, chunk: ItemsDocument) -> None:
        number = len(self._versions_by_name)
        if number == 1:
            marker: UploadDocument = {
                "workspace": self._workspace,
                "upload": self.name,
            }
            await self._store.put(UPLOAD_KIND, self.name, marker)
        name = items_name(self.name, number)
        version = await self._store.put(ITEMS_KIND, name, chunk)
        self._versions_by_name[name] = version


async def digest_body(body: BodyReader) -> SegmentDocument:
    """Return the segment that describes a body, without storing the items.

    Used for a repeated submission, whose items are stored already.

    Raises
    ------
    FindingsError
        When lines are invalid.
    """
    reader = ItemReader("items")
    async for data in body.chunks():
        for _ in reader.feed(data):
            pass
    for _ in reader.finish():
        pass
    return reader.to_segment("")


async def renew_markers(store: JobStore, segments: list[SegmentDocument]) -> None:
    """Renew the markers of a job's uploads before the job is accepted.

    Otherwise the cleaner could delete an old upload as abandoned in the meantime.

    Raises
    ------
    ConflictError
        When a marker has already been deleted.
    """
    for segment in segments:
        if not _has_marker(segment):
            continue
        stored = await store.get(UPLOAD_KIND, segment["upload"])
        if stored is None:
            raise ConflictError(0, b"", "")
        marker = {"workspace": "", "upload": segment["upload"]}
        await store.put(
            UPLOAD_KIND, segment["upload"], marker, expected_version=stored.version
        )


async def delete_marker(store: JobStore, name: str) -> None:
    """Delete the marker of an upload."""
    stored = await store.get(UPLOAD_KIND, name)
    if stored is not None:
        await store.delete(UPLOAD_KIND, name, stored.version)


async def delete_markers(store: JobStore, job: JobDocument) -> None:
    """Delete the markers of the uploads of an accepted job."""
    try:
        for segment in job["segments"]:
            if _has_marker(segment):
                await delete_marker(store, segment["upload"])
    except PlatformError:
        return  # the cleaner deletes the remaining markers


def _has_marker(segment: SegmentDocument) -> bool:
    return len(segment["chunk_items"]) > 1
