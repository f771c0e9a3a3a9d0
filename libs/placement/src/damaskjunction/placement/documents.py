"""Conversion of plans to and from JSON documents.

Runners with equal assignments are grouped, which keeps the document of a plan of 1,900
runners to a few tens of kilobytes.
"""

from __future__ import annotations

from typing import NotRequired, TypedDict

from damaskjunction.core import Assignment, Plan, Revision, RunnerId
from damaskjunction.core.types import EMPTY


class GroupDocument(TypedDict):
    """The engines of one region that share an assignment."""

    service: str
    model: str
    version: str
    adapters: list[str]
    role: str
    runners: list[str]


class PlanDocument(TypedDict):
    """The plan of one region: assignments by group, and runners not ready yet."""

    configuration_revision: int
    groups: list[GroupDocument]
    unready: NotRequired[list[str]]
    failures: NotRequired[dict[str, str]]
    notes: NotRequired[dict[str, str]]


def plan_to_document(plan: Plan) -> PlanDocument:
    """Convert a plan to its document."""
    runners_by_assignment: dict[Assignment, list[RunnerId]] = {}
    for runner_id, assignment in plan.assignments_by_runner.items():
        group = assignment._replace(runner_id="")
        runners_by_assignment.setdefault(group, []).append(runner_id)
    unready = plan.assignments_by_runner.keys() - plan.ready_runners
    return {
        "configuration_revision": plan.configuration_revision,
        "groups": [
            _group_to_document(assignment, runners)
            for assignment, runners in runners_by_assignment.items()
        ],
        "unready": sorted(unready),
        "failures": dict(plan.failures_by_runner),
        "notes": dict(plan.notes_by_service),
    }


def _group_to_document(
    assignment: Assignment, runners: list[RunnerId]
) -> GroupDocument:
    return {
        "service": assignment.service,
        "model": assignment.model,
        "version": assignment.version,
        "adapters": list(assignment.adapters),
        "role": assignment.role,
        "runners": sorted(runners),
    }


def plan_from_document(document: PlanDocument, revision: Revision) -> Plan:
    """Convert a document to the plan stored at ``revision``."""
    assignments = {
        runner_id: Assignment(
            runner_id,
            group["service"],
            group["model"],
            group["version"],
            tuple(group["adapters"]),
            group["role"],
        )
        for group in document["groups"]
        for runner_id in group["runners"]
    }
    return Plan(
        revision,
        document["configuration_revision"],
        dict(sorted(assignments.items())),
        ready_runners=frozenset(assignments.keys() - set(document.get("unready", ()))),
        failures_by_runner=document.get("failures", EMPTY),
        notes_by_service=document.get("notes", EMPTY),
    )
