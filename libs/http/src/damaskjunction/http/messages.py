"""Messages of the HTTP server and client, and the limits they keep."""

from __future__ import annotations

import json
from collections.abc import AsyncIterator, Mapping
from typing import Any, NamedTuple

from damaskjunction.core import DamaskjunctionError, Outcome, RequestError
from damaskjunction.core.types import EMPTY
from damaskjunction.core.units import KIB, MIB

JSON_TYPE = "application/json"
EVENT_STREAM_TYPE = "text/event-stream"


class HttpLimits(NamedTuple):
    """Limits that keep one peer from exhausting a process.

    Sizes are in bytes, times in seconds.
    """

    header_bytes: int = 16 * KIB
    n_headers: int = 64
    body_bytes: int = 64 * MIB
    n_connections: int = 4096
    header_timeout_s: float = 10.0
    body_stall_s: float = 30.0
    keep_alive_s: float = 75.0
    write_stall_s: float = 30.0


class HttpError(DamaskjunctionError):
    """A request that the server answers with an error body.

    Parameters
    ----------
    status : int
        HTTP status of the answer.
    reason : str
        Short machine-readable reason.
    detail : str
        One sentence for a person.
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
    """No connection could be made; no byte of the request was sent."""


class BrokenResponseError(DamaskjunctionError):
    """The request was sent, at least in part, and no whole response came."""


class StalledResponseError(BrokenResponseError):
    """The peer sent no byte for so long that the connection was given up."""


class BodyReader:
    """The body of a request, read at the pace of its handler.

    Parameters
    ----------
    chunks : AsyncIterator of bytes
        The body as it comes in.
    limit_bytes : int
        Most bytes that the body may have.
    """

    def __init__(self, chunks: AsyncIterator[bytes], limit_bytes: int) -> None:
        self._chunks = chunks
        self._limit_bytes = limit_bytes

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body piece by piece.

        Raises
        ------
        HttpError
            With status 413, when the body is larger than the limit.
        """
        size = 0
        async for chunk in self._chunks:
            size += len(chunk)
            if size > self._limit_bytes:
                detail = f"the body is larger than {self._limit_bytes} bytes"
                raise HttpError(413, "body_too_large", detail)
            yield chunk

    async def read(self) -> bytes:
        """Return the whole body.

        Raises
        ------
        HttpError
            With status 413, when the body is larger than the limit.
        """
        return b"".join([chunk async for chunk in self.chunks()])


class Request(NamedTuple):
    """A request as a handler sees it; header names are in lower case.

    ``target`` is path and query as they were sent.
    """

    method: str
    path: str
    query: Mapping[str, str]
    headers: Mapping[str, str]
    body: BodyReader
    target: str = ""


class Response(NamedTuple):
    """A response; an iterator as body is sent as it yields.

    Without a ``content_type`` the type, if any, is among the headers.
    """

    status: int = 200
    body: bytes | AsyncIterator[bytes] = b""
    content_type: str | None = JSON_TYPE
    headers: Mapping[str, str] = EMPTY


def to_json_response(
    document: object, *, status: int = 200, headers: Mapping[str, str] = EMPTY
) -> Response:
    """Return a response whose body is ``document`` as JSON."""
    body = json.dumps(document, separators=(",", ":")).encode() + b"\n"
    return Response(status, body, JSON_TYPE, headers)


async def read_json(request: Request) -> Any:
    """Return the request's body read as JSON.

    Raises
    ------
    HttpError
        With status 400 and the place, when the body is not JSON.
    """
    body = await request.body.read()
    try:
        return json.loads(body)
    except (ValueError, RecursionError) as error:
        place = {
            "line": getattr(error, "lineno", 0),
            "column": getattr(error, "colno", 0),
        }
        raise HttpError(400, "not_json", str(error), place=place) from None


def error_response(error: HttpError) -> Response:
    """Return the response that tells of ``error``."""
    document = {"reason": error.reason, "detail": error.detail, **error.extra}
    return to_json_response({"error": document}, status=error.status)


STATUS_BY_OUTCOME: Mapping[Outcome, int] = {
    Outcome.NOT_RUN: 503,
    Outcome.RAN: 502,
    Outcome.UNKNOWN: 504,
}


def request_error_document(error: RequestError) -> dict[str, object]:
    """Return the error body's fields of a request without a whole answer."""
    return {
        "outcome": error.outcome.value,
        "reason": error.reason,
        "detail": error.detail,
        "retry_after_s": error.retry_after_s,
    }


def request_error_response(error: RequestError) -> Response:
    """Return the response that tells of a request without a whole answer."""
    headers = {}
    if error.retry_after_s > 0:
        headers["Retry-After"] = str(max(1, round(error.retry_after_s)))
    document = {"error": request_error_document(error)}
    status = STATUS_BY_OUTCOME[error.outcome]
    return to_json_response(document, status=status, headers=headers)
