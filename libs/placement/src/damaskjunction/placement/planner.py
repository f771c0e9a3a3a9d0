"""What runs where: a pure function of the text, the inventory and the last plan."""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence

from damaskjunction.core import (
    Assignment,
    Configuration,
    HostState,
    Plan,
    Runner,
    RunnerId,
    ServiceKind,
    ServiceSpec,
)


def make_plan(
    configuration: Configuration, runners: Sequence[Runner], previous: Plan
) -> Plan:
    """Return the plan for a region.

    An engine keeps its service where it can; free engines go to the services that lack
    most, dependencies first.
    """
    engines = {
        runner.runner_id: runner
        for runner in runners
        if runner.kind is ServiceKind.ENGINE and runner.state is HostState.LIVE
    }
    services = [
        service
        for service in in_dependency_order(configuration.services_by_name)
        if service.kind is ServiceKind.ENGINE
    ]
    assignments = _kept(services, engines, previous, configuration)
    free = sorted(engines.keys() - assignments.keys())
    for service in services:
        n_held = sum(a.service == service.name for a in assignments.values())
        while free and n_held < service.max_runners:
            runner_id = free.pop(0)
            assignments[runner_id] = _assign(runner_id, service, configuration)
            n_held += 1
    return Plan(
        configuration_revision=configuration.revision,
        assignments_by_runner=assignments,
    )


def in_dependency_order(
    services_by_name: Mapping[str, ServiceSpec],
) -> Iterable[ServiceSpec]:
    """Return services so that each comes after those it depends on."""
    ordered: dict[str, ServiceSpec] = {}

    def visit(name: str) -> None:
        if name in ordered:
            return
        service = services_by_name[name]
        for other in service.depends_on:
            visit(other)
        ordered[name] = service

    for name in sorted(services_by_name):
        visit(name)
    return ordered.values()


def _kept(
    services: Sequence[ServiceSpec],
    engines: Mapping[RunnerId, Runner],
    previous: Plan,
    configuration: Configuration,
) -> dict[RunnerId, Assignment]:
    kept: dict[RunnerId, Assignment] = {}
    for service in services:
        held = [
            assignment.runner_id
            for assignment in previous.assignments_by_runner.values()
            if assignment.service == service.name and assignment.runner_id in engines
        ]
        for runner_id in sorted(held)[: service.max_runners]:
            kept[runner_id] = _assign(runner_id, service, configuration)
    return kept


def _assign(
    runner_id: RunnerId, service: ServiceSpec, configuration: Configuration
) -> Assignment:
    model = configuration.models_by_name[service.model]
    return Assignment(
        runner_id, service.name, model.name, model.version, model.adapters
    )
