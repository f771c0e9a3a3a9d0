"""JSON schemas of stored jobs, chunks, results and usage budgets."""

from __future__ import annotations

import json
from typing import Any, NotRequired, TypedDict


class ItemDocument(TypedDict):
    """One item of a job, a line of the JSON Lines upload."""

    prompt: str
    max_tokens: NotRequired[int]


class ItemErrorDocument(TypedDict):
    """Why an item failed; ``tries`` is the number of failed attempts."""

    reason: str
    detail: str
    tries: int


class ResultDocument(TypedDict):
    """The result of one item: either its output text or an error."""

    index: int
    text: NotRequired[str]
    error: NotRequired[ItemErrorDocument]


class SegmentDocument(TypedDict):
    """Consecutive items of a job that were uploaded in one request.

    ``upload`` is the name prefix of the segment's item objects; ``chunk_items`` lists
    the number of items in each of them. ``digest`` is the hexadecimal SHA-256 digest
    of the request body.
    """

    upload: str
    n_items: int
    chunk_items: list[int]
    digest: str


class JobDocument(TypedDict):
    """The job record; a job is accepted once this record is stored.

    ``key`` is the idempotency key of the submission and ``digest`` identifies its
    body. Times are in Unix seconds. ``n_done`` counts the items with an output,
    ``n_failed`` those that ended with an error.
    """

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
    """The items of one chunk; ``first`` is the first item's index in the segment."""

    first: int
    items: list[ItemDocument]


class ChunkDocument(TypedDict):
    """Claim and final outcome of one chunk.

    ``parts`` lists the names of the result objects written so far. ``n_done`` counts
    the items with an output, ``n_failed`` those that ended with an error.
    """

    state: str
    holder: str
    epoch: int
    parts: list[str]
    n_done: int
    n_failed: int


class UploadDocument(TypedDict):
    """An upload in progress, recorded so that it can be deleted if abandoned.

    ``upload`` is the name prefix of its item objects.
    """

    workspace: str
    upload: str


class UsageDocument(TypedDict):
    """Online usage of one host per billing minute, in units of the usage meter."""

    online_by_minute: dict[str, float]


class PeakDocument(TypedDict):
    """Highest online usage in any minute of a billing period.

    The unit is that of the usage meter.
    """

    online_peak: float


class PoolDocument(TypedDict):
    """Total and remaining batch budget of one billing minute.

    Amounts are in units of the usage meter. ``ceiling`` is the configured usage ceiling
    or, if there is none, the online peak.
    """

    ceiling: float
    online_forecast: float
    total: float
    left: float


def encode(document: object) -> bytes:
    """Serialize a document to compact JSON with sorted keys."""
    return json.dumps(document, separators=(",", ":"), sort_keys=True).encode()


def decode(value: bytes) -> Any:
    """Parse a document from JSON."""
    return json.loads(value)
