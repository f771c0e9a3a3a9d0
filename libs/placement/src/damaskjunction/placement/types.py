"""States of runners, exchanged between their home hosts and the planner."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from enum import StrEnum
from typing import NamedTuple

from damaskjunction.core import (
    Assignment,
    Plan,
    RunnerId,
    ServiceName,
    stable_hash,
)

DIGEST_RANGE = 1 << 62


class RunnerState(StrEnum):
    """State of an engine with regard to its order.

    ``UNREACHABLE`` runners answered no probe; ``LOST`` ones have not done so for long
    enough to be replaced. ``UNKNOWN`` means that there is no recent report.
    """

    UNKNOWN = "unknown"
    EMPTY = "empty"
    LOADING = "loading"
    READY = "ready"
    FAILED = "failed"
    UNREACHABLE = "unreachable"
    LOST = "lost"


class RunnerStatus(NamedTuple):
    """State of one engine, as read from it.

    ``loaded`` is the ``order_key`` of the order that the engine holds, ``fence`` the
    highest fencing token it has accepted, ``checks_fence`` whether it rejects orders
    with a lower one, and ``in_flight`` the number of requests that it runs.
    """

    runner_id: RunnerId
    state: RunnerState
    loaded: str = ""
    fence: int = 0
    checks_fence: bool = True
    in_flight: int = 0
    reason: str = ""


class ServiceLoad(NamedTuple):
    """Number of online requests of one service in flight at one host."""

    service_name: ServiceName
    in_flight: int


class ReportDigest(NamedTuple):
    """Ends a host's report of its runners' states and identifies its content.

    The states are not sent again to a reader that already has a report with the same
    digest.
    """

    digest: int


def status_digest(statuses: Iterable[RunnerStatus]) -> int:
    """Return a positive 63-bit digest, equal for equal states in any order.

    0 is reserved for the absence of a report.
    """
    texts = sorted("|".join(map(str, status)) for status in statuses)
    return 1 + stable_hash(*texts) % DIGEST_RANGE


def order_key(
    model: str, version: str, adapters: tuple[str, ...] = (), role: str = "serve"
) -> str:
    """Return a string that identifies an order, empty when there is no model."""
    return f"{model}@{version}[{','.join(sorted(adapters))}]/{role}" if model else ""


def assignment_order_key(assignment: Assignment) -> str:
    """Return the ``order_key`` of the order that an assignment requires."""
    return order_key(
        assignment.model, assignment.version, assignment.adapters, assignment.role
    )


def assignment_state(
    assignment: Assignment, status: RunnerStatus | None
) -> RunnerState:
    """Return the state of an engine with regard to its assignment.

    An engine that holds another order counts as ``EMPTY``.
    """
    if status is None:
        return RunnerState.UNKNOWN
    if status.state in (
        RunnerState.UNKNOWN,
        RunnerState.UNREACHABLE,
        RunnerState.LOST,
    ):
        return status.state
    if status.loaded != assignment_order_key(assignment):
        return RunnerState.EMPTY
    return status.state


def ready_runners(
    previous: Plan,
    assignments_by_runner: Mapping[RunnerId, Assignment],
    statuses_by_runner: Mapping[RunnerId, RunnerStatus],
) -> frozenset[RunnerId]:
    """Return the runners that serve their assignment.

    A runner of unknown state keeps its readiness from the previous plan if its
    assignment is the same, so that a new lease holder starts from the last known state.
    """
    return frozenset(
        runner_id
        for runner_id, assignment in assignments_by_runner.items()
        if _is_ready(previous, assignment, statuses_by_runner.get(runner_id))
    )


def _is_ready(
    previous: Plan, assignment: Assignment, status: RunnerStatus | None
) -> bool:
    state = assignment_state(assignment, status)
    if state is not RunnerState.UNKNOWN:
        return state is RunnerState.READY
    runner_id = assignment.runner_id
    was_ready = runner_id in previous.ready_runners
    return was_ready and previous.assignments_by_runner.get(runner_id) == assignment
