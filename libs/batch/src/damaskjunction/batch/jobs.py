"""Batch jobs: identity, chunks and the documents that are stored."""

from __future__ import annotations

import hashlib
from collections.abc import Iterator, Sequence
from typing import NamedTuple, NotRequired, TypedDict

from damaskjunction.core import JobId, ServiceName, WorkspaceName

MAX_JOB_ITEMS = 79_000
CHUNK_ITEMS = 200


class ItemDocument(TypedDict):
    """One line of an uploaded job."""

    prompt: str
    max_tokens: NotRequired[int]


class ResultDocument(TypedDict):
    """The result of one item: its answer, or why there is none."""

    index: int
    text: NotRequired[str]
    error: NotRequired[str]


class JobDocument(TypedDict):
    """The record whose writing accepts a job."""

    job_id: str
    workspace: str
    service: str
    key: str
    n_items: int
    n_chunks: int
    digest: str
    deadline_at: float
    cancelled: bool


class Chunk(NamedTuple):
    """Consecutive items of a job."""

    number: int
    first_item: int
    items: tuple[ItemDocument, ...]


def job_id_of(workspace: WorkspaceName, service: ServiceName, key: str) -> JobId:
    """Return the id of the job that a workspace submits under ``key``."""
    text = "\n".join((workspace, service, key))
    return hashlib.sha256(text.encode()).hexdigest()[:24]


def split_items(items: Sequence[ItemDocument]) -> Iterator[Chunk]:
    """Yield the chunks of a job."""
    for number, first in enumerate(range(0, len(items), CHUNK_ITEMS)):
        yield Chunk(number, first, tuple(items[first : first + CHUNK_ITEMS]))


def chunk_name(job_id: JobId, number: int) -> str:
    """Return the name under which a chunk of a job is stored."""
    return f"{job_id}.{number:05d}"
