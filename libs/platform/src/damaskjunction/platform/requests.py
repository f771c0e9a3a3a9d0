"""Requests and responses of callers and runners, and the headers that they use."""

from __future__ import annotations

import json
import math
from collections.abc import Mapping
from enum import StrEnum
from typing import Any, NamedTuple

from damaskjunction.core import (
    SHAPE_ERRORS,
    Address,
    MalformedError,
    RequestId,
    RunnerId,
    parse_digits,
    parse_json,
    read_integer,
    read_number,
)
from damaskjunction.core.units import MILLISECOND_S
from damaskjunction.http import Request, Response

REPORT_PATH = "/damaskjunction/report"
READINESS_PATH = "/damaskjunction/readiness"
ADDRESSES_PATH = "/damaskjunction/resolve"
DATA_CENTRE_PARAMETER = "Zone"  # the data centre of the caller that asks for addresses
MAX_ADDRESSES = 64
MAX_REPORTED = 1_000_000

REQUEST_ID_HEADER = "x-request-id"
DEADLINE_HEADER = "x-deadline-ms"
PROMPT_PARTS_HEADER = "x-prompt-prefix"
TOKENS_HEADER = "x-token-usage"
LAST_EVENT_ID_HEADER = "last-event-id"
RESUMES_HEADER = "resumes"
EXPECTED_RUNNER_HEADER = "x-expect-instance"
RUNNER_ID_HEADER = "x-instance-id"
NOT_RUN_HEADER = "x-not-run"
RESPONSE_STAMP_HEADER = "x-response-stamp"
RETRY_AFTER_HEADER = "retry-after"
RATE_LIMIT_HEADER = "server-limit"
LEAVING_HEADER = "server-leaving"

_HOP_BY_HOP_HEADERS = frozenset(
    (
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "expect",
    )
)
_OVERRIDDEN_HEADERS = frozenset(
    (DEADLINE_HEADER, EXPECTED_RUNNER_HEADER, LAST_EVENT_ID_HEADER, "host")
)


class CallerRequest(NamedTuple):
    """Caller's request; ``deadline_s`` is its time budget, None if it sent none.

    ``target`` is the path with the query, as sent. ``shared_parts`` are the ids of the
    prompt prefixes that other requests may share; the last part of the prompt is not
    among them. ``n_tokens`` is the sum of the token counts that the caller stated.
    ``last_event_id`` is set when the caller takes up a stream after that event, and
    ``resumed_id`` is the id of the request that brought the stream's first event, empty
    if the caller names none. ``headers`` are those to forward.
    """

    request_id: RequestId
    method: str
    target: str
    path: str
    host: str
    deadline_s: float | None
    shared_parts: tuple[str, ...]
    n_tokens: int
    last_event_id: int | None
    headers: Mapping[str, str]
    body: bytes
    resumed_id: RequestId = ""


class RunnerResponseHead(NamedTuple):
    """Status and headers of a runner's response.

    ``is_misdirected`` is true if the address now belongs to another runner than the
    expected one (status 421), ``is_not_run`` if no work was done on the request: the
    runner reported so, or the request was misdirected. ``is_encoded`` means that the
    body has a content encoding, ``has_receipt`` that the response bears the receipt
    without which no success counts. ``keep_alive_s`` is the idle timeout that the
    runner announced. ``rate_limit_per_s`` is the number of requests a second that it
    takes from all hosts together, None without a limit. ``is_leaving`` means that the
    runner will stop soon. ``runner_id`` is empty if the runner does not name itself.
    ``headers`` are those to forward to the caller.
    """

    status: int
    is_not_run: bool
    is_misdirected: bool
    is_encoded: bool
    has_receipt: bool
    request_id: RequestId
    keep_alive_s: float | None
    rate_limit_per_s: float | None
    is_leaving: bool
    runner_id: RunnerId
    headers: Mapping[str, str]


class RunnerReport(NamedTuple):
    """Load that a runner reported; it is a fraction of a second old.

    ``born_ms`` is the Unix millisecond of its start, 0 if it states none.
    """

    n_running: int
    n_queued: int
    born_ms: int = 0


class Refusal(StrEnum):
    """Error responses that the system gives itself, in place of a runner."""

    NOT_RUN = "not_run"
    TOO_MUCH = "too_much"
    NO_ROUTE = "no_route"
    UNAUTHORIZED = "unauthorized"
    BAD_REQUEST = "bad_request"
    UNKNOWN = "unknown"
    TIMED_OUT = "timed_out"


_STATUS_BY_REFUSAL = {
    Refusal.NOT_RUN: 503,
    Refusal.TOO_MUCH: 429,
    Refusal.NO_ROUTE: 404,
    Refusal.UNAUTHORIZED: 401,
    Refusal.BAD_REQUEST: 400,
    Refusal.UNKNOWN: 502,
    Refusal.TIMED_OUT: 504,
}


def decode_request(request: Request, body: bytes) -> CallerRequest:
    """Decode a caller's request."""
    headers = request.headers
    parts = tuple(
        part.partition(":")[0]
        for part in headers.get(PROMPT_PARTS_HEADER, "").split(",")
    )
    return CallerRequest(
        request_id=request_id_of(headers),
        method=request.method,
        target=request.target,
        path=request.path,
        host=host_name(headers),
        deadline_s=_parse_milliseconds(headers.get(DEADLINE_HEADER)),
        shared_parts=parts[:-1],
        n_tokens=_count_tokens(headers.get(TOKENS_HEADER, "")),
        last_event_id=_parse_integer(headers.get(LAST_EVENT_ID_HEADER)),
        headers=forwarded_headers(headers),
        body=body,
        resumed_id=headers.get(RESUMES_HEADER, ""),
    )


def forwarded_headers(headers: Mapping[str, str]) -> dict[str, str]:
    """Return the headers of a request that a runner is to get as they are."""
    return {
        name: value
        for name, value in headers.items()
        if name not in _HOP_BY_HOP_HEADERS and name not in _OVERRIDDEN_HEADERS
    }


def request_id_of(headers: Mapping[str, str]) -> RequestId:
    """Return the id of a request, empty if it has none."""
    return headers.get(REQUEST_ID_HEADER, "")


def host_name(headers: Mapping[str, str]) -> str:
    """Return the Host header without the port, in lower case."""
    return headers.get("host", "").partition(":")[0].lower()


def runner_headers(
    request: CallerRequest,
    runner_id: RunnerId,
    *,
    remaining_s: float,
    last_event_id: int | None,
) -> dict[str, str]:
    """Return the headers of a request that is forwarded to a runner.

    ``remaining_s`` is the time until the caller's deadline, and ``last_event_id`` the
    event after which a stream resumes.
    """
    headers = {
        "Host": request.host,
        **request.headers,
        EXPECTED_RUNNER_HEADER: runner_id,
        DEADLINE_HEADER: str(max(1, int(remaining_s / MILLISECOND_S))),
    }
    if last_event_id is not None:
        headers[LAST_EVENT_ID_HEADER] = str(last_event_id)
    return headers


def decode_response_head(status: int, headers: Mapping[str, str]) -> RunnerResponseHead:
    """Decode the status and headers of a runner's response."""
    return RunnerResponseHead(
        status=status,
        is_not_run=NOT_RUN_HEADER in headers or status == 421,
        is_misdirected=status == 421,
        is_encoded="content-encoding" in headers,
        has_receipt=RESPONSE_STAMP_HEADER in headers,
        request_id=headers.get(REQUEST_ID_HEADER, ""),
        keep_alive_s=_parse_keep_alive(headers.get("keep-alive", "")),
        rate_limit_per_s=decode_rate_limit(headers),
        is_leaving=headers.get(LEAVING_HEADER, "").strip() == "1",
        runner_id=headers.get(RUNNER_ID_HEADER, ""),
        headers={
            name: value
            for name, value in headers.items()
            if name not in _HOP_BY_HOP_HEADERS and name != NOT_RUN_HEADER
        },
    )


def decode_rate_limit(headers: Mapping[str, str]) -> float | None:
    """Return the limit that a runner names, in requests a second.

    None if it names none, or no finite number.
    """
    try:
        limit_per_s = float(headers.get(RATE_LIMIT_HEADER, "nan"))
    except ValueError:
        return None
    return limit_per_s if math.isfinite(limit_per_s) and limit_per_s >= 0 else None


def decode_runner_report(status: int, body: bytes) -> RunnerReport | None:
    """Decode a runner's load report; returns None if the body is not one."""
    try:
        document = parse_json(body)
        return RunnerReport(
            read_integer(document["Running"], least=0, most=MAX_REPORTED),
            read_integer(document["Waiting"], least=0, most=MAX_REPORTED),
            read_start_time(document),
        )
    except SHAPE_ERRORS:
        return None


def read_start_time(document: Mapping[str, Any]) -> int:
    """Return the Unix millisecond of a runner's start, 0 if it states none."""
    try:
        return read_integer(document.get("born", 0), least=0)
    except MalformedError:
        return 0


def caller_response(head: RunnerResponseHead, body: bytes) -> Response:
    """Return a runner's complete response as the response to the caller."""
    return Response(head.status, body, None, head.headers)


def refusal_response(
    kind: Refusal,
    reason: str,
    *,
    request_id: RequestId = "",
    retry_after_s: float = 0.0,
) -> Response:
    """Return an error response; ``reason`` is a text for people and logs."""
    headers = {}
    if request_id:
        headers[REQUEST_ID_HEADER] = request_id
    if retry_after_s > 0:
        headers[RETRY_AFTER_HEADER] = f"{retry_after_s:.3f}"
    body = json.dumps({"Error": reason}).encode()
    return Response(_STATUS_BY_REFUSAL[kind], body, headers=headers)


def readiness_response(is_ready: bool) -> Response:
    """Return the response to the platform's readiness probe of this host."""
    return Response(200 if is_ready else 503)


def addresses_response(addresses: list[Address], ttl_s: float) -> Response:
    """Return the addresses that a caller may connect to, valid for ``ttl_s``.

    At most ``MAX_ADDRESSES`` addresses are listed.
    """
    document = {
        "Addresses": [str(address) for address in addresses[:MAX_ADDRESSES]],
        "TtlS": ttl_s,
    }
    return Response(200, json.dumps(document).encode())


def _parse_milliseconds(text: str | None) -> float | None:
    """Convert milliseconds to seconds; return None if absent or malformed."""
    try:
        return read_number(float(text)) * MILLISECOND_S if text else None
    except ValueError:
        return None


def _parse_integer(text: str | None) -> int | None:
    return parse_digits(text) if text else None


def _count_tokens(text: str) -> int:
    return sum(parse_digits(part.strip()) or 0 for part in text.split(","))


def _parse_keep_alive(text: str) -> float | None:
    for part in text.split(","):
        name, _, value = part.strip().partition("=")
        timeout_s = parse_digits(value) if name == "timeout" else None
        if timeout_s is not None:
            return float(timeout_s)
    return None
