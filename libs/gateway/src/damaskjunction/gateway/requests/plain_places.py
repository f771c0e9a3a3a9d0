"""A bound on the requests that wait for answers of plain runners."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from contextlib import AbstractContextManager, contextmanager

from damaskjunction.core import Outcome, RequestError, ServiceName

SERVICE_FRACTION = 0.5  # of all places, so that one service holds up no others
RETRY_AFTER_S = 0.5


class PlainPlaces:
    """Bounds the requests at plain runners, each of which has a connection of its own.

    It answers clients that send more requests than their runners answer: without it,
    each would cost the host a second file descriptor.

    Parameters
    ----------
    limit : int
        Requests that are at runners at once.
    """

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._n_by_service: Counter[ServiceName] = Counter()
        self.n_refused = 0

    @property
    def n_taken(self) -> int:
        """Number of requests at plain runners."""
        return self._n_by_service.total()

    def take(self, service: ServiceName) -> AbstractContextManager[None]:
        """Return a place to hold for the time of a request.

        Raises
        ------
        RequestError
            ``NOT_RUN`` when there is none.
        """
        n_of_service = self._n_by_service[service]
        is_full = n_of_service >= SERVICE_FRACTION * self._limit
        if is_full or self.n_taken >= self._limit:
            self.n_refused += 1
            detail = f"{n_of_service} requests of {service!r} wait for its runners"
            raise RequestError(
                Outcome.NOT_RUN, "overloaded", detail, retry_after_s=RETRY_AFTER_S
            )
        return self._hold(service)

    @contextmanager
    def _hold(self, service: ServiceName) -> Iterator[None]:
        self._n_by_service[service] += 1
        try:
            yield
        finally:
            self._n_by_service[service] -= 1
            if not self._n_by_service[service]:
                del self._n_by_service[service]
