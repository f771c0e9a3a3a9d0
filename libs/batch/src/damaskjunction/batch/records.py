"""Records and results of batch jobs whose items are complete requests.

These jobs are not split into chunks: the host that owns a job runs all its items.

A job is accepted by writing its record, which never changes afterwards. Results are
stored in segments, which are append-only lists, so that the position of a result never
changes. They are unrelated to the upload segments of ``SegmentDocument``. Clients see
only results that are already stored.
"""

from __future__ import annotations

import json
from collections.abc import Iterable, Mapping, Sequence
from typing import NamedTuple

from damaskjunction.core import HostId, JobId, WorkspaceName

SEGMENT_BYTES = 600_000  # estimated size above which a new results segment is started
RESULT_OVERHEAD_BYTES = 40  # of each result's JSON, beside its id and text


class BatchItem(NamedTuple):
    """A request to a runner; ``n_tokens`` counts prompt and output tokens."""

    item_id: str
    path: str
    headers: Mapping[str, str]
    body: bytes
    n_tokens: int


class JobRecord(NamedTuple):
    """Immutable part of an accepted job.

    ``host`` is the Host header of the submission, which is also sent with the items.
    ``sent_at_s`` is the Unix time at which the submission was processed, from which the
    completion target counts. ``tokens`` lists the number of tokens of each item.
    ``n_parts`` is the number of additional objects that store the items, or 0 if the
    items are stored with the record. ``owner`` is the host that accepted the job and
    runs its items until another host takes over. ``workspace`` is that of the key that
    it was submitted with, empty without one.
    """

    job_id: JobId
    route_name: str
    host: str
    sent_at_s: float
    item_ids: tuple[str, ...]
    tokens: tuple[int, ...]
    n_parts: int
    owner: HostId
    workspace: WorkspaceName = ""

    @property
    def n_tokens(self) -> int:
        """Total number of tokens of all items."""
        return sum(self.tokens)


class JobStatus(NamedTuple):
    """Mutable part of an accepted job.

    ``is_ended`` is true once the client has deleted the job, ``is_done`` once the
    results of all items are stored. ``owner`` is the host that took the job over from
    the host that accepted it, or empty if there was no takeover.
    """

    is_ended: bool = False
    is_done: bool = False
    owner: HostId = ""


class ItemResult(NamedTuple):
    """Result of an item; ``text`` is empty unless the output is complete."""

    item_id: str
    is_whole: bool
    text: str


def merge_results(
    stored: Sequence[ItemResult], finished: Iterable[ItemResult]
) -> tuple[ItemResult, ...]:
    """Append finished results to the stored ones, skipping duplicate item ids."""
    listed = {result.item_id for result in stored}
    added = []
    for result in finished:
        if result.item_id not in listed:
            listed.add(result.item_id)
            added.append(result)
    return (*stored, *added)


def take_page(results: Iterable[ItemResult], limit_bytes: int) -> list[ItemResult]:
    """Return the leading results that fit into ``limit_bytes``, but at least one."""
    page: list[ItemResult] = []
    size = 0
    for result in results:
        size += estimate_stored_bytes((result,))
        if page and size > limit_bytes:
            break
        page.append(result)
    return page


def estimate_stored_bytes(results: Iterable[ItemResult]) -> int:
    """Estimate the size of results as JSON, in which other than ASCII is escaped."""
    return sum(
        len(json.dumps(result.text))
        + len(json.dumps(result.item_id))
        + RESULT_OVERHEAD_BYTES
        for result in results
    )
