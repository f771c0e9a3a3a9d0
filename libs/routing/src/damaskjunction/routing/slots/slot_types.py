"""Requests to a slot pool and the effects it returns."""

from __future__ import annotations

from typing import NamedTuple, TypeAlias

from damaskjunction.core import (
    DataCentre,
    RequestId,
    RunnerId,
    WorkClass,
    WorkspaceName,
)

NO_RUNNER_LEFT = "runners_failed"  # why a request that excludes all got no slot
# Why a request got no slot that may get one later.
CAPACITY_REASONS = ("overloaded", NO_RUNNER_LEFT, "no_runner", "no_home")


class SlotTicket(NamedTuple):
    """A request for a slot.

    ``parts`` are the identifiers of the shareable parts of its prompt, in order, used
    for prefix-cache affinity. ``avoid`` are runners that must not be given the request.
    Times are on the ``Timers`` clock: the request must start by ``start_by_s``, and by
    ``goal_at_s`` to meet its latency goal; batch requests are served by earliest
    ``due_at_s``. ``is_repeated`` says that an earlier submission or attempt of it was
    refused or failed. Only runners of ``software_version`` may be given it, unless that
    is empty. ``workspace`` is that of its caller, and ``data_centre`` that of the host
    which asks; both are empty if unknown. ``is_only_attempt`` says that no other runner
    may have the request once this one has begun it.
    """

    request_id: RequestId
    work_class: WorkClass
    parts: tuple[str, ...]
    avoid: tuple[RunnerId, ...]
    start_by_s: float
    due_at_s: float
    goal_at_s: float = 0.0
    is_repeated: bool = False
    software_version: str = ""
    workspace: WorkspaceName = ""
    data_centre: DataCentre = ""
    is_only_attempt: bool = False


class HeldSlot(NamedTuple):
    """A slot held by a request since ``since_s``."""

    ticket: SlotTicket
    runner_id: RunnerId
    since_s: float


class GrantSlot(NamedTuple):
    """Effect: the request may be sent to the runner."""

    request_id: RequestId
    runner_id: RunnerId


class RevokeSlot(NamedTuple):
    """Effect: the host that holds the slot must cancel the request and release it."""

    request_id: RequestId


class RefuseSlot(NamedTuple):
    """Effect: the request gets no slot and may be retried after ``retry_after_s``."""

    request_id: RequestId
    reason: str
    retry_after_s: float


SlotEffect: TypeAlias = GrantSlot | RevokeSlot | RefuseSlot


class SlotCounts(NamedTuple):
    """Number of slots, and of held slots and waiting requests of each work class."""

    n_slots: int
    n_online: int
    n_batch: int
    n_online_waiting: int
    n_batch_waiting: int

    @property
    def n_requests(self) -> int:
        """Number of requests that hold a slot or wait for one."""
        n_held = self.n_online + self.n_batch
        return n_held + self.n_online_waiting + self.n_batch_waiting
