"""Decisions on what runs where and on orders to runners."""

from damaskjunction.placement.documents import (
    AssignmentDocument,
    PlanDocument,
    from_plan,
    to_plan,
)
from damaskjunction.placement.planner import in_dependency_order, make_plan

__all__ = [
    "AssignmentDocument",
    "PlanDocument",
    "from_plan",
    "in_dependency_order",
    "make_plan",
    "to_plan",
]
