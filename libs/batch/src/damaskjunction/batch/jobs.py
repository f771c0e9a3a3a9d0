"""Job ids, job records and the names of stored objects."""

from __future__ import annotations

import hashlib
import itertools
from enum import StrEnum
from typing import NamedTuple

from damaskjunction.batch.documents import JobDocument, SegmentDocument
from damaskjunction.core import DamaskjunctionError, JobId, ServiceName, WorkspaceName

MAX_JOB_ITEMS = 79_000  # the largest job that the system is designed for
JOB_ID_LENGTH = 24  # hexadecimal digits of a SHA-256 digest


class JobState(StrEnum):
    """Lifecycle state of a job record."""

    OPEN = "open"
    CANCELLED = "cancelled"
    COMPLETE = "complete"


class KeyInUseError(DamaskjunctionError):
    """The idempotency key already belongs to a job with a different body."""


class ChunkLocation(NamedTuple):
    """Items object of a chunk, and the job-wide index of its segment's first item."""

    items_name: str
    segment_offset: int


def derive_job_id(workspace: WorkspaceName, service: ServiceName, key: str) -> JobId:
    """Derive the job id from the workspace, the service and the idempotency key."""
    text = "\n".join((workspace, service, key))
    return hashlib.sha256(text.encode()).hexdigest()[:JOB_ID_LENGTH]


def combine_digests(segments: list[SegmentDocument]) -> str:
    """Return the digest of a job's body, combined over its segments."""
    if len(segments) == 1:
        return segments[0]["digest"]
    text = "\n".join(segment["digest"] for segment in segments)
    return hashlib.sha256(text.encode()).hexdigest()


def make_job(
    workspace: WorkspaceName,
    service: ServiceName,
    key: str,
    segments: list[SegmentDocument],
    *,
    accepted_at: float,
    deadline_s: float,
) -> JobDocument:
    """Return the record of a new job; ``accepted_at`` is in Unix seconds."""
    return {
        "job_id": derive_job_id(workspace, service, key),
        "workspace": workspace,
        "service": service,
        "key": key,
        "n_items": sum(segment["n_items"] for segment in segments),
        "n_chunks": sum(len(segment["chunk_items"]) for segment in segments),
        "digest": combine_digests(segments),
        "segments": segments,
        "accepted_at": accepted_at,
        "deadline_at": accepted_at + deadline_s,
        "state": JobState.OPEN.value,
    }


def check_resubmission(stored: JobDocument, digest: str) -> JobDocument:
    """Return the stored job if a repeated submission has the same body.

    Raises
    ------
    KeyInUseError
        If the digests differ.
    """
    if stored["digest"] != digest:
        raise KeyInUseError(
            f"job {stored['job_id']!r} was submitted with a different body"
        )
    return stored


def find_chunk(job: JobDocument, number: int) -> ChunkLocation:
    """Locate the items of a job's chunk.

    Raises
    ------
    IndexError
        If ``number`` is not a chunk of the job.
    """
    first = 0
    for segment in job["segments"]:
        n_chunks = len(segment["chunk_items"])
        if number < n_chunks:
            return ChunkLocation(items_name(segment["upload"], number), first)
        number -= n_chunks
        first += segment["n_items"]
    raise IndexError(f"job {job['job_id']!r} has no chunk {number}")


def chunk_end_indices(job: JobDocument) -> list[int]:
    """Return the exclusive end index of each chunk's items within the job."""
    counts = (count for segment in job["segments"] for count in segment["chunk_items"])
    return list(itertools.accumulate(counts))


def items_name(upload: str, number: int) -> str:
    """Return the name of the object that stores the items of an upload's chunk."""
    return f"{upload}.{number:05d}"


def chunk_name(job_id: JobId, number: int) -> str:
    """Return the name of the object that stores a job's chunk."""
    return f"{job_id}.{number:05d}"


def chunk_number(name: str) -> int:
    """Parse the chunk number from the name of a chunk object."""
    return int(name.rpartition(".")[2])


def part_name(name: str, epoch: int) -> str:
    """Return the name of the result object written under a claim of a chunk."""
    return f"{name}.{epoch:05d}"
