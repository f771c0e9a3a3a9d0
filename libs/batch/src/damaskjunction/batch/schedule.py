"""Job scheduling: earliest deadline first with fair sharing among workspaces."""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from typing import NamedTuple, TypeAlias

from damaskjunction.batch.documents import JobDocument
from damaskjunction.core import Registry, WorkspaceName

FAIRNESS_SLACK_ITEMS = 400.0  # items divided by the share of the workspace
DECAY_FACTOR = 0.999  # per call of FairShareLedger.add, not per unit of time


class JobOrderInput(NamedTuple):
    """Inputs to the scheduling order of jobs.

    ``served_by_workspace`` maps each workspace to its recently served items, divided by
    its share.
    """

    jobs: Sequence[JobDocument]
    served_by_workspace: Mapping[WorkspaceName, float]


JobOrder: TypeAlias = Callable[[JobOrderInput], Sequence[JobDocument]]

job_orders: Registry[JobOrder] = Registry("job order")


def _deadline_sort_key(job: JobDocument) -> tuple[float, str]:
    return job["deadline_at"], job["job_id"]


@job_orders.register("earliest_deadline")
def order_by_deadline(inputs: JobOrderInput) -> Sequence[JobDocument]:
    """Sort jobs by deadline only."""
    return sorted(inputs.jobs, key=_deadline_sort_key)


@job_orders.register("fair_deadline")
def order_by_fair_deadline(inputs: JobOrderInput) -> Sequence[JobDocument]:
    """Sort jobs by deadline, placing those of over-served workspaces last.

    A workspace is over-served if its served items, divided by its share, exceed those
    of the least served workspace with pending jobs by more than
    ``FAIRNESS_SLACK_ITEMS``; otherwise only the deadline decides.
    """
    served = inputs.served_by_workspace
    pending = {job["workspace"] for job in inputs.jobs}
    min_served = min((served.get(name, 0.0) for name in pending), default=0.0)

    def key(job: JobDocument) -> tuple[bool, float, str]:
        excess = served.get(job["workspace"], 0.0) - min_served
        return excess > FAIRNESS_SLACK_ITEMS, *_deadline_sort_key(job)

    return sorted(inputs.jobs, key=key)


class FairShareLedger:
    """Served items per workspace, divided by its share, with exponential decay.

    Items count as served when a host starts on their chunk.
    """

    def __init__(self) -> None:
        self.served_by_workspace: dict[WorkspaceName, float] = {}

    def add(self, workspace: WorkspaceName, n_items: float, share: float) -> None:
        """Decay the earlier counts and add the items started for a workspace."""
        served = self.served_by_workspace
        for name in list(served):
            served[name] *= DECAY_FACTOR
        served[workspace] = served.get(workspace, 0.0) + n_items / share
