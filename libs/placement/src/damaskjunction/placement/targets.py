"""Computes the target service of each engine, which may take several plans to reach.

Engines are allocated in three passes: up to each service's ``min_runners``, up to what
its online load requires, and up to its ``max_runners``. Within a pass the service with
the lowest fill ratio goes first; ties go to the one earlier in dependency order.
"""

from __future__ import annotations

import heapq
from collections import defaultdict
from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import NamedTuple, TypeAlias

from damaskjunction.core import (
    Assignment,
    Configuration,
    HostState,
    Plan,
    Runner,
    RunnerId,
    ServiceKind,
    ServiceName,
    ServiceSpec,
)
from damaskjunction.core.types import EMPTY
from damaskjunction.placement.allocation import EngineAllocation
from damaskjunction.placement.types import (
    RunnerState,
    RunnerStatus,
    assignment_order_key,
    assignment_state,
)

RunnerCount: TypeAlias = Callable[[ServiceSpec], int]


class PlanInput(NamedTuple):
    """Input from which a region's plan is made.

    ``required_by_service`` holds the number of runners that online load requires.
    """

    configuration: Configuration
    runners: Sequence[Runner]
    previous: Plan
    statuses_by_runner: Mapping[RunnerId, RunnerStatus] = EMPTY
    required_by_service: Mapping[ServiceName, int] = EMPTY


def make_assignment(
    runner_id: RunnerId, service: ServiceSpec, configuration: Configuration
) -> Assignment:
    """Return the assignment of an engine to a service, with its configured model."""
    model = configuration.models_by_name[service.model]
    return Assignment(
        runner_id, service.name, model.name, model.version, model.adapters
    )


def in_dependency_order(
    services_by_name: Mapping[str, ServiceSpec],
) -> Iterable[ServiceSpec]:
    """Return services in topological order, each after its dependencies."""
    ordered: dict[str, ServiceSpec] = {}
    stack = sorted(services_by_name, reverse=True)
    while stack:
        name = stack[-1]
        service = services_by_name[name]
        missing = [other for other in service.depends_on if other not in ordered]
        if name in ordered or not missing:
            ordered.setdefault(name, service)
            stack.pop()
        else:
            stack += reversed(missing)
    return ordered.values()


def find_target_services(plan_input: PlanInput) -> dict[RunnerId, ServiceName]:
    """Return the target service of each engine by id, moving as few as possible."""
    search = _TargetSearch(plan_input)
    search.keep_current()
    search.fill(lambda service: service.min_runners)
    search.fill(search.required_for_load)
    search.fill(lambda service: service.max_runners, may_reclaim=False)
    search.retry_failed()
    search.spread()
    return search.allocation.service_by_runner


class _Shortfall(NamedTuple):
    """A service short of engines: its fill ratio and position in dependency order."""

    fill_ratio: float
    position: int


class _TargetSearch:
    """Allocates engines to services, pass by pass."""

    def __init__(self, plan_input: PlanInput) -> None:
        self._input = plan_input
        self._services = [
            service
            for service in in_dependency_order(
                plan_input.configuration.services_by_name
            )
            if service.kind is ServiceKind.ENGINE
        ]
        self._service_by_order_key = {
            assignment_order_key(
                make_assignment("", service, plan_input.configuration)
            ): service
            for service in reversed(self._services)
        }
        self._position_by_service = {
            service.name: position for position, service in enumerate(self._services)
        }
        self._runners_by_id = {
            runner.runner_id: runner
            for runner in plan_input.runners
            if _is_usable(runner, plan_input.statuses_by_runner)
        }
        self.allocation = EngineAllocation(
            [service.name for service in self._services],
            self._runners_by_id,
            plan_input.previous.ready_runners,
        )
        self._faulty_by_service: dict[ServiceName, list[RunnerId]] = defaultdict(list)

    def required_for_load(self, service: ServiceSpec) -> int:
        """Return the runners that a service's load requires, within its bounds."""
        required = self._input.required_by_service.get(service.name, 0)
        return min(max(service.min_runners, required), service.max_runners)

    def keep_current(self) -> None:
        """Keep engines on their current service, up to its ``max_runners``.

        The other engines, except failed ones, are adopted by services or become free.
        """
        held: dict[ServiceName, list[Assignment]] = defaultdict(list)
        for assignment in self._input.previous.assignments_by_runner.values():
            if assignment.runner_id in self._runners_by_id:
                held[assignment.service].append(assignment)
        for service in self._services:
            self._keep_service(service, held[service.name])
        failed = {
            runner_id
            for runner_id, status in self._input.statuses_by_runner.items()
            if status.state is RunnerState.FAILED
        }
        excluded = self.allocation.service_by_runner.keys() | failed
        for runner_id in sorted(self._runners_by_id.keys() - excluded, reverse=True):
            self._adopt(runner_id)

    def _adopt(self, runner_id: RunnerId) -> None:
        """Allocate an engine to a service whose order it already holds, else free it.

        After the plan was lost, this restores it from the orders that engines hold.
        """
        status = self._input.statuses_by_runner.get(runner_id)
        service = self._service_by_order_key.get(status.loaded) if status else None
        if service is None or self.allocation.count(service.name) >= (
            service.max_runners
        ):
            self.allocation.add_free(runner_id)
        else:
            self.allocation.allocate(runner_id, service.name)

    def _keep_service(self, service: ServiceSpec, held: list[Assignment]) -> None:
        """Keep the best of a service's engines and set aside those at fault.

        An engine that failed an order which another engine serves is at fault itself.
        One that failed an order which no engine serves is kept, since a replacement
        would fail too.
        """
        target_key = assignment_order_key(
            make_assignment("", service, self._input.configuration)
        )
        states = {
            assignment.runner_id: assignment_state(
                assignment, self._input.statuses_by_runner.get(assignment.runner_id)
            )
            for assignment in held
        }
        served_keys = {
            assignment_order_key(assignment)
            for assignment in held
            if states[assignment.runner_id] is RunnerState.READY
        }

        def sort_key(assignment: Assignment) -> tuple[bool, bool, RunnerId]:
            state = states[assignment.runner_id]
            is_outdated = assignment_order_key(assignment) != target_key
            return is_outdated, state is not RunnerState.READY, assignment.runner_id

        n_kept = 0
        for assignment in sorted(held, key=sort_key):
            is_failed = states[assignment.runner_id] is RunnerState.FAILED
            if is_failed and assignment_order_key(assignment) in served_keys:
                self._faulty_by_service[service.name].append(assignment.runner_id)
            elif n_kept < service.max_runners:
                self.allocation.allocate(assignment.runner_id, service.name)
                n_kept += 1

    def retry_failed(self) -> None:
        """Allocate failed engines again to services that got no replacement."""
        for service in self._services:
            for runner_id in self._faulty_by_service[service.name]:
                if self.allocation.count(service.name) < service.max_runners:
                    self.allocation.allocate(runner_id, service.name)

    def fill(self, needed: RunnerCount, *, may_reclaim: bool = True) -> None:
        """Allocate engines to services that have fewer than ``needed`` returns.

        If ``may_reclaim`` and no engine is free, one is taken from a service that has
        more than ``needed`` returns for it.
        """
        shortfalls = [
            self._shortfall(service, needed)
            for service in self._services
            if self.allocation.count(service.name) < needed(service)
        ]
        heapq.heapify(shortfalls)
        while shortfalls:
            service = self._services[heapq.heappop(shortfalls).position]
            runner_id = self.allocation.pop_free(service.name)
            if runner_id is None and may_reclaim:
                runner_id = self._reclaim_surplus(service, needed)
            if runner_id is None:
                continue
            self.allocation.allocate(runner_id, service.name)
            if self.allocation.count(service.name) < needed(service):
                heapq.heappush(shortfalls, self._shortfall(service, needed))

    def _shortfall(self, service: ServiceSpec, needed: RunnerCount) -> _Shortfall:
        held = self.allocation.count(service.name)
        return _Shortfall(
            held / needed(service), self._position_by_service[service.name]
        )

    def spread(self) -> None:
        """Swap engines until services span ``min_data_centres``, where possible."""
        for service in self._services:
            centres = self.allocation.centres(service.name)
            while len(centres) < service.min_data_centres:
                if max(centres.values(), default=0) < 2:
                    break
                released = self.allocation.choose_to_release(service.name)
                replacement = self.allocation.find_free_elsewhere(
                    service.name
                ) or self._find_swap_elsewhere(service)
                if not replacement:
                    break
                self.allocation.swap(released, replacement)
                centres = self.allocation.centres(service.name)

    def _find_swap_elsewhere(self, service: ServiceSpec) -> RunnerId:
        """Return an engine of another service in a data centre new to this one.

        The other service must keep its own spread without that engine. The result is
        empty if there is none.
        """
        centres = self.allocation.centres(service.name)
        for runner_id, name in sorted(self.allocation.service_by_runner.items()):
            centre = self.allocation.centre_of(runner_id)
            if name == service.name or centres[centre]:
                continue
            others = self.allocation.centres(name)
            min_centres = self._input.configuration.services_by_name[
                name
            ].min_data_centres
            if others[centre] > 1 or len(others) > min_centres:
                return runner_id
        return ""

    def _reclaim_surplus(
        self, service: ServiceSpec, needed: RunnerCount
    ) -> RunnerId | None:
        """Release and return an engine of the service with the largest surplus."""

        def surplus(other: ServiceSpec) -> tuple[int, int]:
            n_held = self.allocation.count(other.name)
            return n_held - self.required_for_load(other), n_held - needed(other)

        others = [
            other
            for other in self._services
            if other is not service
            and self.allocation.count(other.name) > needed(other)
        ]
        if not others:
            return None
        runner_id = self.allocation.choose_to_release(max(others, key=surplus).name)
        self.allocation.release(runner_id)
        return runner_id


def _is_usable(
    runner: Runner, statuses_by_runner: Mapping[RunnerId, RunnerStatus]
) -> bool:
    if runner.kind is not ServiceKind.ENGINE or runner.state is not HostState.LIVE:
        return False
    status = statuses_by_runner.get(runner.runner_id)
    return status is None or status.state is not RunnerState.LOST
