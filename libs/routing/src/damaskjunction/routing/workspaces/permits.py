"""Asks for the permission to send a request of a workspace, and the replies."""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple

from damaskjunction.core import HostId, WorkspaceName

MAX_HOPS = 6
MAX_UNSETTLED = 3


class PermitAsk(NamedTuple):
    """Asks whether a request of a workspace may be sent to a runner.

    ``unsettled`` are hosts that should count for the workspace but have joined too
    lately: the receiver counts in their place. ``n_hops`` hosts have passed the ask
    on. ``n_uncounted`` requests have been sent without asking since the last ask.
    """

    workspace: WorkspaceName
    unsettled: tuple[HostId, ...] = ()
    n_hops: int = 0
    n_uncounted: int = 0


class PermitReply(NamedTuple):
    """Whether the request may be sent: ``reason`` is empty then."""

    reason: str
    retry_after_s: float = 0.0


GRANTED = PermitReply("")
OVER_LIMIT = "over_limit"  # the workspace has used its limit
UNCERTAIN_LIMIT = "limit_uncertain"  # the host that knows can't be reached


class CounterPlace(NamedTuple):
    """The place of a host among those that may count for a workspace.

    ``is_home`` tells whether the host comes first as far as it knows, but for the
    unsettled hosts of an ask, ``has_next`` whether another one comes after it, and
    ``share`` the fraction of the fleet that it may count for. The hosts that it knows
    are the same since ``since_s``.
    """

    is_home: bool
    has_next: bool
    is_settled: bool
    share: float
    since_s: float

    def is_acting(self, ask: PermitAsk) -> bool:
        """Return whether the host counts with the whole limit of the workspace.

        When all hosts have just started, the fourth one does, or the last.
        """
        is_last = bool(ask.unsettled) and not self.has_next
        is_late = is_last or len(ask.unsettled) >= MAX_UNSETTLED
        return self.is_home and (self.is_settled or is_late)


class AskStep(StrEnum):
    """What a host does with an ask."""

    COUNT = "count"
    PASS_TO_HOME = "pass_to_home"
    PASS_TO_NEXT = "pass_to_next"


def next_step(ask: PermitAsk, place: CounterPlace) -> AskStep:
    """Return what a host does with an ask: count it, or pass it on.

    A host that has just joined or woken passes asks to the next one, which has counted
    before it, until all hosts agree on it.
    """
    if ask.n_hops >= MAX_HOPS or place.is_acting(ask):
        return AskStep.COUNT
    return AskStep.PASS_TO_NEXT if place.is_home else AskStep.PASS_TO_HOME


def passed_ask(ask: PermitAsk, step: AskStep, own_id: HostId) -> PermitAsk:
    """Return an ask as this host passes it on."""
    unsettled = ask.unsettled
    if step is AskStep.PASS_TO_NEXT:
        unsettled = (*unsettled, own_id)
    return ask._replace(n_hops=ask.n_hops + 1, unsettled=unsettled)
