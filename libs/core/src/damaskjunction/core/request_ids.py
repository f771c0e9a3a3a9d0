"""Ids under which one request asks for further slots."""

from __future__ import annotations

import re

from damaskjunction.core.types import RequestId

_STANDBY_ID = re.compile(r"(.+)~[0-9]+", re.DOTALL)


def standby_request_id(request_id: RequestId, number: int) -> RequestId:
    """Return the id of a request's ask for a slot beside the one that it holds."""
    return f"{request_id}~{number}"


def is_standby_request_id(request_id: RequestId) -> bool:
    """Return whether an id is that of an ask for a further slot."""
    return _STANDBY_ID.fullmatch(request_id) is not None


def original_request_id(request_id: RequestId) -> RequestId:
    """Return the id of the request that asks under an id."""
    match = _STANDBY_ID.fullmatch(request_id)
    return request_id if match is None else match[1]
