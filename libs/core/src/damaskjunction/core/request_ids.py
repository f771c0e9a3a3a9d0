"""Ids under which one request holds several slots at a time."""

from __future__ import annotations

from damaskjunction.core.types import RequestId

SEPARATOR = "~"


def standby_request_id(request_id: RequestId, number: int) -> RequestId:
    """Return the id of a request's ask for a further slot, numbered from 1."""
    return f"{request_id}{SEPARATOR}{number}"


def original_request_id(request_id: RequestId) -> RequestId:
    """Return the id of the request that asks under an id for a further slot."""
    return request_id.partition(SEPARATOR)[0]
