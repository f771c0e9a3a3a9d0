"""Shared or exclusive access of requests to a runner."""

from __future__ import annotations

from collections import OrderedDict
from typing import NamedTuple

from damaskjunction.core import RequestId


class GrantAccess(NamedTuple):
    """Effect: the request has access to the runner and may go on to admission."""

    request_id: RequestId


class SharedExclusiveLock:
    """Shared or exclusive access to a runner, in order of arrival.

    Requests share the runner until one asks for exclusive access, as a suspect does.
    That one gets access when all others have left; later requests wait until it has
    left.
    """

    def __init__(self) -> None:
        self._holders: set[RequestId] = set()
        self._exclusive_holder: RequestId | None = None
        self._waiting: OrderedDict[RequestId, bool] = OrderedDict()

    @property
    def exclusive_holder(self) -> RequestId | None:
        """The request that has exclusive access to the runner, if any."""
        return self._exclusive_holder

    @property
    def is_idle(self) -> bool:
        """Whether no request has access or waits for it."""
        return not self._holders and not self._waiting

    def acquire(self, request_id: RequestId, *, exclusive: bool) -> list[GrantAccess]:
        """Queue a request; return the requests that get access now."""
        self._waiting[request_id] = exclusive
        return self._grant_waiting()

    def release(self, request_id: RequestId) -> list[GrantAccess]:
        """Remove an ended or cancelled request; return those that get access."""
        self._waiting.pop(request_id, None)
        self._holders.discard(request_id)
        if self._exclusive_holder == request_id:
            self._exclusive_holder = None
        return self._grant_waiting()

    def _grant_waiting(self) -> list[GrantAccess]:
        granted: list[GrantAccess] = []
        while self._waiting and self._exclusive_holder is None:
            request_id, exclusive = next(iter(self._waiting.items()))
            if exclusive and self._holders:
                break
            del self._waiting[request_id]
            self._holders.add(request_id)
            if exclusive:
                self._exclusive_holder = request_id
            granted.append(GrantAccess(request_id))
        return granted
