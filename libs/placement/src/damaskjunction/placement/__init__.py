"""Placement decisions: the region lease, plans and orders to runners.

The holder of a region's lease makes the region's plan, which assigns engines to
services, and sends orders. An engine is a runner that serves a model; an order tells it
which model, version and adapters to load.
"""

from damaskjunction.placement.demand import DemandEstimator
from damaskjunction.placement.documents import (
    GroupDocument,
    PlanDocument,
    plan_from_document,
    plan_to_document,
)
from damaskjunction.placement.lease import (
    LeaseAction,
    LeaseTiming,
    ReadLease,
    RegionLease,
    WriteLease,
)
from damaskjunction.placement.orders import (
    OrderAction,
    OrderLimits,
    OrderScheduler,
    ReadBack,
    SendOrder,
)
from damaskjunction.placement.planner import make_plan, min_ready_runners
from damaskjunction.placement.states import STALE_AFTER_S, RunnerStatusTracker
from damaskjunction.placement.summary import (
    ServiceState,
    ServiceSummary,
    summarize_services,
)
from damaskjunction.placement.targets import (
    PlanInput,
    find_target_services,
    in_dependency_order,
)
from damaskjunction.placement.types import (
    ReportDigest,
    RunnerState,
    RunnerStatus,
    ServiceLoad,
    assignment_order_key,
    assignment_state,
    order_key,
    status_digest,
)

__all__ = [
    "STALE_AFTER_S",
    "DemandEstimator",
    "GroupDocument",
    "LeaseAction",
    "LeaseTiming",
    "OrderAction",
    "OrderLimits",
    "OrderScheduler",
    "PlanDocument",
    "PlanInput",
    "ReadBack",
    "ReadLease",
    "RegionLease",
    "ReportDigest",
    "RunnerState",
    "RunnerStatus",
    "RunnerStatusTracker",
    "SendOrder",
    "ServiceLoad",
    "ServiceState",
    "ServiceSummary",
    "WriteLease",
    "assignment_order_key",
    "assignment_state",
    "find_target_services",
    "in_dependency_order",
    "make_plan",
    "min_ready_runners",
    "order_key",
    "plan_from_document",
    "plan_to_document",
    "status_digest",
    "summarize_services",
]
