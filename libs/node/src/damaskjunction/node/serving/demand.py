"""Demand of each service: the online requests in flight at this host."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager

from damaskjunction.core import ServiceName, WorkClass
from damaskjunction.placement import ServiceLoad


class DemandMeter:
    """Counts online requests in flight by service, as the entry role sees them."""

    def __init__(self) -> None:
        self._n_in_flight_by_service: Counter[ServiceName] = Counter()

    @contextmanager
    def track(self, service: ServiceName, work_class: WorkClass) -> Iterator[None]:
        """Count a request while it is in flight.

        Batch requests are not counted, since batch demand requires no runners.
        """
        if work_class is not WorkClass.ONLINE:
            yield
            return
        self._n_in_flight_by_service[service] += 1
        try:
            yield
        finally:
            self._n_in_flight_by_service[service] -= 1

    def loads(self) -> list[ServiceLoad]:
        """Return the load of each service that has requests in flight."""
        return [
            ServiceLoad(service, count)
            for service, count in sorted(self._n_in_flight_by_service.items())
            if count > 0
        ]
