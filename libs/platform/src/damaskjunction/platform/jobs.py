"""Batch jobs: requests of callers, and the objects that store jobs and results."""

from __future__ import annotations

import base64
import json
from collections.abc import Iterable, Mapping, Sequence
from typing import Any, NamedTuple
from urllib.parse import unquote

from damaskjunction.batch import (
    BatchItem,
    ItemResult,
    JobRecord,
    JobStatus,
    take_page,
)
from damaskjunction.core import (
    SHAPE_ERRORS,
    DamaskjunctionError,
    JobId,
    MalformedError,
    check_n_values,
    parse_digits,
    parse_json,
    read_bool,
    read_integer,
    read_list,
    read_number,
    read_object,
    read_text,
)
from damaskjunction.core.units import MILLISECOND_S
from damaskjunction.http import Request, Response
from damaskjunction.platform.header_values import (
    read_header_value,
    read_headers,
    read_target,
)
from damaskjunction.platform.requests import (
    REQUEST_ID_HEADER,
    CallerRequest,
    forwarded_headers,
)
from damaskjunction.platform.store_objects import PlatformObject

JOB_PATH_PREFIX = "/damaskjunction/lots/"
ITEM_PATH_PREFIX = "/damaskjunction/items/"
WAIT_MS_HEADER = "x-wait-ms"
# Of a job under JOB_PATH_PREFIX; jobs under /v1/jobs have a limit of their own.
MAX_JOB_ITEMS = 200
MAX_JOB_VALUES = 100 * MAX_JOB_ITEMS  # with all fields and headers of the items

JOBS_KIND = "batch-jobs"
BODIES_KIND = "batch-bodies"
RESULTS_KIND = "batch-results"
DISPLACED_RESULTS_KIND = "batch-results-displaced"
MAX_PAGE_BYTES = 900_000


class BadJobError(DamaskjunctionError):
    """A submitted job is malformed."""


class ResultsQuery(NamedTuple):
    """Caller's read of results from a position; long-polls for up to ``wait_s``."""

    job_id: JobId
    after: int
    wait_s: float


def decode_job(body: bytes) -> tuple[BatchItem, ...]:
    """Decode the items of a submitted job.

    Raises
    ------
    BadJobError
        If the body is malformed, or has no items or more than ``MAX_JOB_ITEMS``, or
        more than ``MAX_JOB_VALUES`` in all.
    """
    try:
        check_n_values(body, MAX_JOB_VALUES)
        entries = read_list(parse_json(body)["Items"])
        items = tuple(_decode_item(entry) for entry in entries)
        if len({item.item_id for item in items}) < len(items):
            raise MalformedError("two items have the same id")
    except SHAPE_ERRORS as error:
        raise BadJobError(f"malformed job: {error!r}") from None
    if not items or len(items) > MAX_JOB_ITEMS:
        raise BadJobError(
            f"a job must have 1 to {MAX_JOB_ITEMS} items, got {len(items)}"
        )
    return items


def _decode_item(entry: Mapping[str, Any]) -> BatchItem:
    return BatchItem(
        read_header_value(entry["Id"]),
        read_target(entry["Path"]),
        read_headers(entry["Headers"]),
        base64.b64decode(read_text(entry["Body"]), validate=True),
        read_integer(entry["Tokens"], least=0),
    )


def item_request(item: BatchItem, host: str) -> CallerRequest:
    """Return an item as a request that can be sent to a runner.

    A key among its headers is the caller's, see ``for_workspace``.
    """
    parts = item.headers.get("x-prompt-prefix", "").split(",")
    return CallerRequest(
        request_id=item.item_id,
        method="POST",
        target=item.path,
        path=item.path,
        host=host,
        deadline_s=None,
        shared_parts=tuple(part.partition(":")[0] for part in parts[:-1]),
        n_tokens=item.n_tokens,
        last_event_id=None,
        headers={**forwarded_headers(item.headers), REQUEST_ID_HEADER: item.item_id},
        body=item.body,
    )


class ItemQuery(NamedTuple):
    """Caller's read of the body of an item."""

    job_id: JobId
    item_id: str


def decode_job_id(path: str, prefix: str) -> JobId:
    """Return the id of the job in a path; it may be escaped there."""
    return unquote(path.removeprefix(prefix))


def decode_item_query(request: Request) -> ItemQuery:
    """Decode a read of an item's body."""
    job_id = decode_job_id(request.path, ITEM_PATH_PREFIX)
    return ItemQuery(job_id, request.query.get("Id", ""))


def decode_results_query(request: Request) -> ResultsQuery:
    """Decode a read of results; numbers that can't be parsed count as 0."""
    after = request.query.get("After", "0")
    wait = request.headers.get(WAIT_MS_HEADER, "0")
    return ResultsQuery(
        decode_job_id(request.path, JOB_PATH_PREFIX),
        parse_digits(after) or 0,
        (parse_digits(wait) or 0) * MILLISECOND_S,
    )


def results_response(total: int, after: int, results: Sequence[ItemResult]) -> Response:
    """Return a response with a page of results, which start at position ``after``.

    The page holds about ``MAX_PAGE_BYTES`` at most, but at least one result.
    """
    page = [_encode_result(result) for result in take_page(results, MAX_PAGE_BYTES)]
    document = {"Total": total, "Next": after + len(page), "Results": page}
    return Response(200, json.dumps(document).encode())


def _encode_result(result: ItemResult) -> dict[str, str]:
    state = "completed" if result.is_whole else "errored"
    return {"Id": result.item_id, "State": state, "Text": result.text}


# Objects in the store


def encode_items(items: Iterable[BatchItem]) -> list[dict[str, Any]]:
    """Encode items for storage."""
    return [
        {
            "id": item.item_id,
            "path": item.path,
            "headers": dict(item.headers),
            "body": base64.b64encode(item.body).decode(),
            "tokens": item.n_tokens,
        }
        for item in items
    ]


def decode_items(entries: Iterable[Mapping[str, Any]]) -> tuple[BatchItem, ...]:
    """Decode stored items.

    Raises
    ------
    MalformedError
        If one is malformed.
    """
    try:
        return tuple(
            BatchItem(
                read_header_value(entry["id"]),
                read_target(entry["path"]),
                read_headers(entry["headers"]),
                base64.b64decode(read_text(entry["body"])),
                read_integer(entry["tokens"]),
            )
            for entry in entries
        )
    except SHAPE_ERRORS as error:
        raise MalformedError(f"malformed items: {error!r}") from None


def encode_record(record: JobRecord, items: Sequence[BatchItem]) -> dict[str, Any]:
    """Encode a job for storage; ``items`` are the items stored in the same object."""
    return {
        "route": record.route_name,
        "host": record.host,
        "sent_at_s": record.sent_at_s,
        "item_ids": list(record.item_ids),
        "tokens": list(record.tokens),
        "n_parts": record.n_parts,
        "owner": record.owner,
        "items": encode_items(items),
        "workspace": record.workspace,
    }


def without_items(stored: PlatformObject) -> PlatformObject:
    """Return a stored job without its items; their ids stay."""
    if not isinstance(stored.content, Mapping):
        return stored
    return stored._replace(content={**stored.content, "items": []})


def decode_record(job_id: JobId, content: Mapping[str, Any]) -> JobRecord:
    """Decode a stored job, without the bodies of its items.

    Raises
    ------
    MalformedError
        If the content is malformed.
    """
    try:
        item_ids = tuple(map(read_header_value, read_list(content["item_ids"])))
        tokens = tuple(map(read_integer, read_list(content["tokens"])))
        if len(tokens) != len(item_ids):
            raise MalformedError("not as many token counts as items")
        return JobRecord(
            job_id,
            read_text(content["route"]),
            read_text(content["host"]),
            read_number(content["sent_at_s"]),
            item_ids,
            tokens,
            read_integer(content["n_parts"], least=0, most=len(item_ids)),
            read_text(content["owner"]),
            read_text(content.get("workspace", "")),
        )
    except SHAPE_ERRORS as error:
        raise MalformedError(f"malformed job: {error!r}") from None


def encode_status(status: JobStatus) -> dict[str, Any]:
    """Encode the mutable part of a job for storage."""
    return status._asdict()


def decode_status(status: Mapping[str, Any] | None) -> JobStatus:
    """Decode the mutable part of a job; the defaults apply if none is stored.

    Raises
    ------
    MalformedError
        If the status is malformed.
    """
    stored = read_object(status or {})
    return JobStatus(
        read_bool(stored.get("is_ended", False)),
        read_bool(stored.get("is_done", False)),
        read_text(stored.get("owner", "")),
    )


def encode_result_list(results: Iterable[ItemResult]) -> list[list[Any]]:
    """Encode results for storage, in order of position."""
    return [list(result) for result in results]


def decode_result_list(content: Any) -> tuple[ItemResult, ...]:
    """Decode stored results, in order of position.

    Raises
    ------
    MalformedError
        If they are malformed.
    """
    return tuple(map(_decode_result, read_list(content)))


def _decode_result(entry: Any) -> ItemResult:
    parts = read_list(entry)
    if len(parts) != len(ItemResult._fields):
        raise MalformedError(f"a result of {len(parts)} parts")
    item_id, is_whole, text = parts
    return ItemResult(read_text(item_id), read_bool(is_whole), read_text(text))
