"""Which requests are in flight at one runner, and access of further ones to it."""

from __future__ import annotations

import asyncio

from damaskjunction.core import Outcome, RequestError, RequestId, WorkClass
from damaskjunction.routing import Forward, GrantAccess, SharedExclusiveLock


class InFlightRequest:
    """A request in flight at a runner, with the number of tokens of its answer."""

    def __init__(self, fingerprint: str, position: int, *, is_item: bool) -> None:
        self.fingerprint = fingerprint
        self.position = position
        self.is_item = is_item


class RunnerOccupancy:
    """Requests in flight at one runner, and shared or exclusive access to it."""

    def __init__(self) -> None:
        self._lock = SharedExclusiveLock()
        self.in_flight_by_id: dict[RequestId, InFlightRequest] = {}
        self.diagnosis: asyncio.Future[bool] | None = None
        self._granted_by_id: dict[RequestId, asyncio.Future[None]] = {}

    @property
    def is_exclusive(self) -> bool:
        """Whether one request in flight has exclusive use of the runner."""
        return (
            len(self.in_flight_by_id) == 1 and self._lock.exclusive_holder is not None
        )

    @property
    def is_idle(self) -> bool:
        """Whether nothing uses the runner and no diagnosis is in progress."""
        return self._lock.is_idle and self.diagnosis is None

    def furthest_items(self) -> dict[str, int]:
        """Return by fingerprint how many tokens items in flight have at most."""
        furthest: dict[str, int] = {}
        for item in self.in_flight_by_id.values():
            if item.is_item:
                known = furthest.get(item.fingerprint, item.position)
                furthest[item.fingerprint] = max(known, item.position)
        return furthest

    async def acquire(
        self, request_id: RequestId, *, exclusive: bool, timeout_s: float
    ) -> None:
        """Return when the request may go on to admission.

        Raises
        ------
        RequestError
            ``NOT_RUN`` when access was not granted within ``timeout_s``.
        """
        granted: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._granted_by_id[request_id] = granted
        self._apply(self._lock.acquire(request_id, exclusive=exclusive))
        try:
            async with asyncio.timeout(timeout_s):
                await granted
        except TimeoutError:
            detail = "a suspect request blocked access to the runner"
            raise RequestError(Outcome.NOT_RUN, "deadline", detail) from None

    def release(self, request_id: RequestId) -> None:
        """Remove a request and grant access to the requests that it blocked."""
        self._granted_by_id.pop(request_id, None)
        self.in_flight_by_id.pop(request_id, None)
        self._apply(self._lock.release(request_id))

    def _apply(self, effects: list[GrantAccess]) -> None:
        for effect in effects:
            granted = self._granted_by_id[effect.request_id]
            if not granted.done():
                granted.set_result(None)


class RunnerGuard:
    """Marks one request as in flight at its runner."""

    def __init__(
        self, occupancy: RunnerOccupancy, request_id: RequestId, forward: Forward
    ) -> None:
        self._in_flight_by_id = occupancy.in_flight_by_id
        self._request_id = request_id
        self._request = InFlightRequest(
            forward.fingerprint,
            forward.from_token,
            is_item=forward.work_class is WorkClass.BATCH,
        )

    def begin(self) -> None:
        """Record that the request is being sent to the runner."""
        self._in_flight_by_id[self._request_id] = self._request

    def end(self) -> None:
        """Record that the request is no longer in flight; it may begin again."""
        self._in_flight_by_id.pop(self._request_id, None)

    def record_position(self, position: int) -> None:
        """Record how many tokens of its answer the request has."""
        self._request.position = position
