"""JSON documents of stored jobs, chunks, results and budgets."""

from __future__ import annotations

import json
from typing import Any, NotRequired, TypedDict


class ItemDocument(TypedDict):
    """One line of an uploaded job."""

    prompt: str
    max_tokens: NotRequired[int]


class ItemErrorDocument(TypedDict):
    """Why an item has no answer, and after how many runs."""

    reason: str
    detail: str
    tries: int


class ResultDocument(TypedDict):
    """The result of one item: its answer, or why there is none."""

    index: int
    text: NotRequired[str]
    error: NotRequired[ItemErrorDocument]


class SegmentDocument(TypedDict):
    """Consecutive items of a job that were uploaded together.

    ``upload`` is the prefix of the names of the segment's item objects;
    ``chunk_items`` counts the items of each.
    """

    upload: str
    n_items: int
    chunk_items: list[int]
    digest: str


class JobDocument(TypedDict):
    """The record whose writing accepts a job."""

    job_id: str
    workspace: str
    service: str
    key: str
    n_items: int
    n_chunks: int
    digest: str
    segments: list[SegmentDocument]
    accepted_at: float
    deadline_at: float
    state: str
    finished_at: NotRequired[float]
    n_done: NotRequired[int]
    n_failed: NotRequired[int]


class ItemsDocument(TypedDict):
    """The items of one chunk; ``first`` counts within its segment."""

    first: int
    items: list[ItemDocument]


class ChunkDocument(TypedDict):
    """Claim and, at the end, outcome of one chunk.

    ``parts`` names the objects that hold the results so far.
    """

    state: str
    holder: str
    epoch: int
    parts: list[str]
    n_done: int
    n_failed: int


class UploadDocument(TypedDict):
    """An upload in progress, so that one that is given up can be deleted."""

    workspace: str
    upload: str


class UsageDocument(TypedDict):
    """Online usage of one host by billing minute, in units of the meter."""

    online_by_minute: dict[str, float]


class PeakDocument(TypedDict):
    """The highest online usage of any minute of a billing period."""

    online_peak: float


class PoolDocument(TypedDict):
    """What batch may take of one billing minute, and what is left of it."""

    ceiling: float
    online_forecast: float
    total: float
    left: float


def encode(document: object) -> bytes:
    """Return the bytes under which a document is stored."""
    return json.dumps(document, separators=(",", ":"), sort_keys=True).encode()


def decode(value: bytes) -> Any:
    """Return the document that bytes hold."""
    return json.loads(value)
