"""Which engine is allocated to which service, and which engines are free."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Collection, Iterable, Mapping

from damaskjunction.core import DataCentre, Runner, RunnerId, ServiceName


class EngineAllocation:
    """Engines by service and free engines by data centre.

    Parameters
    ----------
    services : iterable of str
        Names of the services.
    runners_by_id : mapping
        The engines that may be allocated.
    ready_runners : collection of str
        Engines that serve a model; others are released first.
    """

    def __init__(
        self,
        services: Iterable[ServiceName],
        runners_by_id: Mapping[RunnerId, Runner],
        ready_runners: Collection[RunnerId],
    ) -> None:
        self._runners_by_id = runners_by_id
        self._ready_runners = ready_runners
        self.service_by_runner: dict[RunnerId, ServiceName] = {}
        self._runners_by_service: dict[ServiceName, set[RunnerId]] = {}
        self._centres_by_service: dict[ServiceName, Counter[DataCentre]] = {}
        for service in services:
            self._runners_by_service[service] = set()
            self._centres_by_service[service] = Counter()
        self._free_by_centre: dict[DataCentre, list[RunnerId]] = defaultdict(list)

    def count(self, service: ServiceName) -> int:
        """Return the number of a service's engines."""
        return len(self._runners_by_service[service])

    def centres(self, service: ServiceName) -> Counter[DataCentre]:
        """Return how many engines a service has in each data centre."""
        # Unary plus omits data centres in which the service has no engine.
        return +self._centres_by_service[service]

    def centre_of(self, runner_id: RunnerId) -> DataCentre:
        """Return the data centre of an engine."""
        return self._runners_by_id[runner_id].data_centre

    def allocate(self, runner_id: RunnerId, service: ServiceName) -> None:
        """Allocate an engine that has no service."""
        self.service_by_runner[runner_id] = service
        self._runners_by_service[service].add(runner_id)
        centre = self.centre_of(runner_id)
        self._centres_by_service[service][centre] += 1

    def release(self, runner_id: RunnerId) -> None:
        """Take an engine from its service, without making it a free one."""
        service = self.service_by_runner.pop(runner_id)
        self._runners_by_service[service].discard(runner_id)
        centre = self.centre_of(runner_id)
        self._centres_by_service[service][centre] -= 1

    def add_free(self, runner_id: RunnerId) -> None:
        """Make an engine without a service a free one."""
        centre = self.centre_of(runner_id)
        self._free_by_centre[centre].append(runner_id)

    def pop_free(self, service: ServiceName) -> RunnerId | None:
        """Remove and return a free engine, None if there is none.

        It is in the data centre where the service has the fewest engines.
        """
        centres = [centre for centre, free in self._free_by_centre.items() if free]
        if not centres:
            return None
        held = self._centres_by_service[service]
        centre = min(
            centres,
            key=lambda name: (held[name], -len(self._free_by_centre[name]), name),
        )
        return self._free_by_centre[centre].pop()

    def choose_to_release(self, service: ServiceName) -> RunnerId:
        """Return the engine that a service releases.

        It is in the data centre with most of the service's engines, and preferably not
        ready.
        """
        centres = self._centres_by_service[service]
        ready = self._ready_runners

        def sort_key(runner_id: RunnerId) -> tuple[int, bool, RunnerId]:
            centre = self.centre_of(runner_id)
            return -centres[centre], runner_id in ready, runner_id

        return min(self._runners_by_service[service], key=sort_key)

    def find_free_elsewhere(self, service: ServiceName) -> RunnerId:
        """Return a free engine in a data centre new to the service, empty if none."""
        centres = self._centres_by_service[service]
        for centre, free in sorted(self._free_by_centre.items()):
            if free and not centres[centre]:
                return free[-1]
        return ""

    def swap(self, released: RunnerId, replacement: RunnerId) -> None:
        """Swap the services of two engines; ``replacement`` may be a free one."""
        service = self.service_by_runner[released]
        other = self.service_by_runner.get(replacement)
        self.release(released)
        if other is None:
            centre = self.centre_of(replacement)
            self._free_by_centre[centre].remove(replacement)
            self.add_free(released)
        else:
            self.release(replacement)
            self.allocate(released, other)
        self.allocate(replacement, service)
