"""Summaries of services for operators."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Mapping, Sequence
from enum import StrEnum
from typing import NamedTuple

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


class ServiceState(StrEnum):
    """How far a service is from its configuration.

    ``PENDING``: no runner is assigned yet. ``LOADING``: assigned runners are not ready
    yet or serve an outdated version. ``DEGRADED``: fewer than ``min_runners`` are ready
    because some failed or there are too few. ``FAILED``: all assigned runners failed.
    """

    PENDING = "pending"
    LOADING = "loading"
    READY = "ready"
    FAILED = "failed"
    DEGRADED = "degraded"


class ServiceSummary(NamedTuple):
    """Runners of one service in one region by state, and why some are missing.

    ``n_outdated`` of the assigned ones are on another version than the configured one.
    """

    name: ServiceName
    kind: ServiceKind
    state: ServiceState
    min_runners: int
    max_runners: int
    n_assigned: int = 0
    n_ready: int = 0
    n_loading: int = 0
    n_failed: int = 0
    n_outdated: int = 0
    note: str = ""
    failures_by_runner: Mapping[RunnerId, str] = EMPTY


def summarize_services(
    configuration: Configuration, plan: Plan, runners: Sequence[Runner]
) -> list[ServiceSummary]:
    """Return a summary of each service, sorted by name."""
    assignments_by_service: dict[ServiceName, list[Assignment]] = defaultdict(list)
    for assignment in plan.assignments_by_runner.values():
        assignments_by_service[assignment.service].append(assignment)
    summaries = []
    for name, service in sorted(configuration.services_by_name.items()):
        if service.kind is ServiceKind.PLAIN:
            summaries.append(_summarize_plain(service, runners))
        else:
            assigned = assignments_by_service[name]
            summaries.append(_summarize_engines(service, assigned, configuration, plan))
    return summaries


def _summarize_plain(service: ServiceSpec, runners: Sequence[Runner]) -> ServiceSummary:
    n_ready = sum(
        runner.service == service.name and runner.state is HostState.LIVE
        for runner in runners
    )
    has_too_few = n_ready < service.min_runners
    note = f"too few runners: {n_ready} of {service.min_runners}" if has_too_few else ""
    return ServiceSummary(
        service.name,
        service.kind,
        ServiceState.DEGRADED if has_too_few else ServiceState.READY,
        service.min_runners,
        service.max_runners,
        n_assigned=n_ready,
        n_ready=n_ready,
        note=note,
    )


def _summarize_engines(
    service: ServiceSpec,
    assigned: Sequence[Assignment],
    configuration: Configuration,
    plan: Plan,
) -> ServiceSummary:
    failures = {
        assignment.runner_id: plan.failures_by_runner[assignment.runner_id]
        for assignment in assigned
        if assignment.runner_id in plan.failures_by_runner
    }
    n_ready = sum(a.runner_id in plan.ready_runners for a in assigned)
    version = configuration.models_by_name[service.model].version
    summary = ServiceSummary(
        service.name,
        service.kind,
        ServiceState.PENDING,
        service.min_runners,
        service.max_runners,
        n_assigned=len(assigned),
        n_ready=n_ready,
        n_loading=len(assigned) - n_ready - len(failures),
        n_failed=len(failures),
        n_outdated=sum(assignment.version != version for assignment in assigned),
        note=plan.notes_by_service.get(service.name, ""),
        failures_by_runner=failures,
    )
    return summary._replace(state=_service_state(summary))


def _service_state(summary: ServiceSummary) -> ServiceState:
    if summary.n_ready >= summary.min_runners and summary.n_outdated == 0:
        return ServiceState.READY
    if summary.n_loading or summary.n_outdated:
        return ServiceState.LOADING
    if summary.n_failed:
        return ServiceState.DEGRADED if summary.n_ready else ServiceState.FAILED
    return ServiceState.DEGRADED if summary.n_assigned else ServiceState.PENDING
