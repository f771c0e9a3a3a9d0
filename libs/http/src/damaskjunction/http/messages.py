"""Requests, responses, errors and limits of the HTTP server and client."""

from __future__ import annotations

import json
from collections.abc import AsyncIterator, Callable, Mapping
from typing import Any, NamedTuple

from damaskjunction.core import (
    DamaskjunctionError,
    Outcome,
    RequestError,
    check_n_values,
)
from damaskjunction.core.types import EMPTY
from damaskjunction.core.units import KIB, MIB

JSON_TYPE = "application/json"
EVENT_STREAM_TYPE = "text/event-stream"
MAX_DOCUMENT_VALUES = 20_000  # of a request's document


class HttpLimits(NamedTuple):
    """Limits that keep a single peer from exhausting the process's resources.

    Sizes are in bytes, times in seconds. A stall timeout is the longest time without
    progress in reading a body or in writing a response. A body that takes longer than
    ``body_grace_s`` has to come with ``min_body_bytes_per_s`` on the whole.
    """

    header_bytes: int = 16 * KIB
    n_headers: int = 64
    body_bytes: int = 64 * MIB
    n_connections: int = 4096
    header_timeout_s: float = 10.0
    body_stall_timeout_s: float = 30.0
    keep_alive_timeout_s: float = 75.0
    write_stall_timeout_s: float = 30.0
    body_grace_s: float = 60.0
    min_body_bytes_per_s: float = 1.0 * KIB

    def body_timeout_s(self, n_received: int) -> float:
        """Return the time in which the next byte of a body has to come."""
        return self.body_grace_s + n_received / self.min_body_bytes_per_s


class HttpError(DamaskjunctionError):
    """An error that the server returns as a response with a JSON error body.

    Parameters
    ----------
    status : int
        HTTP status code of the response.
    reason : str
        Short machine-readable error code.
    detail : str
        Human-readable explanation.
    **extra
        Additional fields of the error body.
    """

    def __init__(
        self, status: int, reason: str, detail: str = "", **extra: object
    ) -> None:
        super().__init__(f"{status} {reason}: {detail}")
        self.status = status
        self.reason = reason
        self.detail = detail
        self.extra = extra


class ConnectFailedError(DamaskjunctionError):
    """The connection could not be opened; no byte of the request was sent."""


class PeerUnknownError(ConnectFailedError):
    """The peer of a connection did not identify itself; no request was sent."""


class PeerSilentError(PeerUnknownError):
    """The peer of a connection did not answer in time; no request was sent."""


class OtherPeerError(ConnectFailedError):
    """The peer of a connection is not the expected one; no request was sent."""


class BrokenResponseError(DamaskjunctionError):
    """The request was sent, at least in part, but no complete response arrived."""


class StalledResponseError(BrokenResponseError):
    """The peer sent no data within the stall timeout."""


class BodyReader:
    """A request body, streamed at the pace at which the handler reads it.

    Parameters
    ----------
    chunks : AsyncIterator of bytes
        The body as it arrives.
    limit_bytes : int
        Maximum size of the body in bytes.
    keep : callable, optional
        Takes how many bytes of the body are kept so far, and raises if too many are;
        it is called with ``is_whole`` when they are the complete body.
    """

    def __init__(
        self,
        chunks: AsyncIterator[bytes],
        limit_bytes: int,
        keep: Callable[[int, bool], None] | None = None,
    ) -> None:
        self._chunks = chunks
        self._limit_bytes = limit_bytes
        self._keep = keep

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body in chunks as they arrive.

        Raises
        ------
        HttpError
            With status 413, when the body exceeds the limit.
        """
        size = 0
        async for chunk in self._chunks:
            size += len(chunk)
            if size > self._limit_bytes:
                detail = f"the body is larger than {self._limit_bytes} bytes"
                raise HttpError(413, "body_too_large", detail)
            yield chunk

    async def read(self) -> bytes:
        """Return the complete body.

        Raises
        ------
        HttpError
            With status 413, when the body exceeds the limit, or 503, when there is no
            room for it.
        """
        body = bytearray()
        async for chunk in self.chunks():
            body += chunk
            self._count(len(body))
        self._count(len(body), is_whole=True)
        return bytes(body)

    def _count(self, n_kept: int, *, is_whole: bool = False) -> None:
        if self._keep is not None:
            self._keep(n_kept, is_whole)


class Request(NamedTuple):
    """A request as passed to a handler; header names are lower-case.

    ``target`` is the request target, path and query, as it was received.
    """

    method: str
    path: str
    query: Mapping[str, str]
    headers: Mapping[str, str]
    body: BodyReader
    target: str = ""


class Response(NamedTuple):
    """A response; an asynchronous iterator as body is streamed.

    If ``content_type`` is None, ``headers`` may hold the content type.
    """

    status: int = 200
    body: bytes | AsyncIterator[bytes] = b""
    content_type: str | None = JSON_TYPE
    headers: Mapping[str, str] = EMPTY


def to_json_response(
    document: object, *, status: int = 200, headers: Mapping[str, str] = EMPTY
) -> Response:
    """Return a response with ``document`` serialized as JSON."""
    body = json.dumps(document, separators=(",", ":")).encode() + b"\n"
    return Response(status, body, JSON_TYPE, headers)


async def read_json(request: Request) -> Any:
    """Return the request body parsed as JSON.

    Raises
    ------
    HttpError
        With status 400 and the line and column of the error, when the body is not
        JSON or holds more than ``MAX_DOCUMENT_VALUES``.
    """
    body = await request.body.read()
    try:
        check_n_values(body, MAX_DOCUMENT_VALUES)
        return json.loads(body)
    except (ValueError, RecursionError) as error:
        place = {
            "line": getattr(error, "lineno", 0),
            "column": getattr(error, "colno", 0),
        }
        raise HttpError(400, "not_json", str(error), place=place) from None


def error_response(error: HttpError) -> Response:
    """Return the response for ``error``; ``retry_after_s`` is a header, too."""
    document = {"reason": error.reason, "detail": error.detail, **error.extra}
    headers = {}
    if "retry_after_s" in error.extra:
        headers["Retry-After"] = str(error.extra["retry_after_s"])
    return to_json_response({"error": document}, status=error.status, headers=headers)


STATUS_BY_OUTCOME: Mapping[Outcome, int] = {
    Outcome.NOT_RUN: 503,
    Outcome.RAN: 502,
    Outcome.UNKNOWN: 504,
}


def request_error_document(error: RequestError) -> dict[str, object]:
    """Return the error body's fields for a request without a complete response."""
    return {
        "outcome": error.outcome.value,
        "reason": error.reason,
        "detail": error.detail,
        "retry_after_s": error.retry_after_s,
    }


def request_error_response(error: RequestError) -> Response:
    """Return the error response for a request without a complete response."""
    headers = {}
    if error.retry_after_s > 0:
        headers["Retry-After"] = str(max(1, round(error.retry_after_s)))
    document = {"error": request_error_document(error)}
    status = STATUS_BY_OUTCOME[error.outcome]
    return to_json_response(document, status=status, headers=headers)
