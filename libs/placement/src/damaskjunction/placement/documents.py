"""JSON documents of plans."""

from __future__ import annotations

from typing import TypedDict

from damaskjunction.core import Assignment, Plan, Revision


class AssignmentDocument(TypedDict):
    """What one engine is wanted to serve."""

    runner_id: str
    service: str
    model: str
    version: str
    adapters: list[str]
    role: str


class PlanDocument(TypedDict):
    """What runs where in one region."""

    configuration_revision: int
    assignments: list[AssignmentDocument]


def from_plan(plan: Plan) -> PlanDocument:
    """Return the document that describes a plan."""
    return {
        "configuration_revision": plan.configuration_revision,
        "assignments": [
            {
                "runner_id": assignment.runner_id,
                "service": assignment.service,
                "model": assignment.model,
                "version": assignment.version,
                "adapters": list(assignment.adapters),
                "role": assignment.role,
            }
            for assignment in plan.assignments_by_runner.values()
        ],
    }


def to_plan(document: PlanDocument, revision: Revision) -> Plan:
    """Return the plan that a document describes."""
    assignments = (
        Assignment(
            entry["runner_id"],
            entry["service"],
            entry["model"],
            entry["version"],
            tuple(entry["adapters"]),
            entry["role"],
        )
        for entry in document["assignments"]
    )
    return Plan(
        revision,
        document["configuration_revision"],
        {assignment.runner_id: assignment for assignment in assignments},
    )
