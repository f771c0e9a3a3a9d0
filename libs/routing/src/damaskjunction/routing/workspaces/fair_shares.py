"""Fair shares of the slots of a service between workspaces, by recent demand.

A workspace's share is at least its equal part of ``EQUAL_FRACTION`` of the slots. Above
that it is in proportion to what the workspace usually demands, as far as there are
slots (max-min fairness with a floor): neither do many small workspaces starve a large
one, nor the reverse. What a workspace demands above its share while slots are short
does not become usual.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from enum import IntEnum
from typing import NamedTuple, TypedDict

from damaskjunction.core import WorkspaceName
from damaskjunction.core.types import EMPTY
from damaskjunction.routing.workspaces.decayed_sum import DecayedSum

DEMAND_WINDOW_S = 1.0  # time constant of the recent demand
USUAL_WINDOW_S = 30.0  # time constant of the usual demand
BURST_S = 2.0  # for so long, a workspace that was idle may have twice its share
N_DEVIATIONS = 2.0  # of a demand that equals its share, which it seldom exceeds
SHARED_FRACTION = 0.95  # of the slots; the rest is for demand that varies
EQUAL_FRACTION = 0.75  # of the slots, which go equally to all that want so many
MAX_LOAD_AHEAD = 0.95  # of the slots, with requests that overtake others
MAX_UNKNOWN_FRACTION = 0.5  # of the slots, kept for requests without a workspace
HOLD_SMOOTHING = 0.1  # weight of a new sample in a workspace's mean hold time
NEGLIGIBLE_SLOTS = 0.001  # of usual demand, below which a workspace is forgotten
N_SEARCH_STEPS = 30
N_IN_DOCUMENT = 8
UNKNOWN: WorkspaceName = ""


class Standing(IntEnum):
    """How a request stands to the share of its workspace when it comes.

    The workspace wants no more than its share; or it does, and the request is one of
    those that the share allows; or the share is used up.
    """

    WITHIN = 0
    ALLOWED = 1
    OVER = 2


class Demand(NamedTuple):
    """What a workspace wants, in slots.

    ``floor`` is its equal part of the slots that are shared equally, and ``usual`` its
    usual demand times its weight.
    """

    recent: float
    usual: float
    floor: float


class ShareDocument(TypedDict):
    """Demand and share of a workspace, in slots, for the dump.

    ``share`` is None while there are slots for all. ``n_over`` counts the requests that
    came when the share was used up.
    """

    workspace: WorkspaceName
    demand: float
    usual: float
    share: float | None
    n_over: int


def fair_level(n_slots: float, demands: list[Demand]) -> float:
    """Return the multiple of its usual demand that each workspace may have at most.

    It is infinite if there are slots for all. Each workspace may have its floor, too.
    """
    if sum(demand.recent for demand in demands) <= n_slots:
        return math.inf
    low, high = 0.0, 1.0
    while _n_shared_out(high, demands) < n_slots and high < 1 << N_SEARCH_STEPS:
        low, high = high, 2.0 * high
    for _ in range(N_SEARCH_STEPS):
        middle = (low + high) / 2
        if _n_shared_out(middle, demands) < n_slots:
            low = middle
        else:
            high = middle
    return low


def _n_shared_out(level: float, demands: list[Demand]) -> float:
    return sum(min(d.recent, max(d.floor, level * d.usual)) for d in demands)


class WorkspaceUse:
    """What one workspace demands, and what is left of its share.

    ``budget_s`` is in slot-seconds, as of ``budget_at_s``.
    """

    def __init__(self) -> None:
        self.demand = DecayedSum(DEMAND_WINDOW_S)
        self.usual = DecayedSum(USUAL_WINDOW_S)
        self.mean_hold_s: float | None = None
        self.share = math.inf
        self.budget_s = 0.0
        self.budget_at_s = -math.inf
        self.n_over = 0


class FairShares:
    """Tells how requests stand to the share of their workspace.

    All are within it while there are slots for all, or one workspace alone. Those
    without a workspace always are, and their demand, up to half the slots, comes first.
    """

    def __init__(self) -> None:
        self._weights_by_workspace: Mapping[WorkspaceName, float] = EMPTY
        self._use_by_workspace: dict[WorkspaceName, WorkspaceUse] = {}
        self._load_within = 0.0
        self._updated_at_s = -math.inf

    def set_weights(self, weights_by_workspace: Mapping[WorkspaceName, float]) -> None:
        """Set the weights under contention; a workspace that is not named has 1."""
        self._weights_by_workspace = weights_by_workspace

    def record_hold(self, workspace: WorkspaceName, hold_s: float) -> None:
        """Record for how long a request of a workspace has held a slot."""
        use = self._use_by_workspace.get(workspace)
        if use is None:
            return
        mean_s = hold_s if use.mean_hold_s is None else use.mean_hold_s
        use.mean_hold_s = mean_s + HOLD_SMOOTHING * (hold_s - mean_s)

    def take(
        self,
        workspace: WorkspaceName,
        mean_hold_s: float,
        now_s: float,
        *,
        is_new: bool = True,
    ) -> Standing:
        """Count a request and return how it stands to its workspace's share.

        Parameters
        ----------
        workspace : str
            The workspace of the request.
        mean_hold_s : float
            Mean time in seconds for which requests of all workspaces hold a slot.
        now_s : float
            The current time in seconds.
        is_new : bool, optional
            Whether it adds to the demand, as a repeated request does not.
        """
        use = self._use_by_workspace.get(workspace)
        if use is None:
            use = self._use_by_workspace[workspace] = WorkspaceUse()
        hold_s = mean_hold_s if use.mean_hold_s is None else use.mean_hold_s
        if is_new:
            use.demand.add(hold_s, now_s)
        standing = _standing(use, hold_s, now_s, is_new=is_new)
        if is_new and standing is not Standing.OVER:
            use.usual.add(hold_s, now_s)
        use.n_over += standing is Standing.OVER
        return standing

    def update(self, n_slots: float, now_s: float) -> None:
        """Work out the shares of so many slots."""
        self._updated_at_s = now_s
        self._forget_idle(now_s)
        known = {w: u for w, u in self._use_by_workspace.items() if w != UNKNOWN}
        n_left = SHARED_FRACTION * n_slots - self._n_for_unknown(n_slots, now_s)
        total_weight = sum(self._weight(workspace) for workspace in known)
        demands = [
            Demand(
                use.demand.per_second(now_s),
                use.usual.per_second(now_s) * self._weight(workspace),
                EQUAL_FRACTION * n_left * self._weight(workspace) / total_weight,
            )
            for workspace, use in known.items()
        ]
        level = fair_level(n_left, demands) if len(demands) > 1 else math.inf
        n_within = self._n_for_unknown(n_slots, now_s)
        for use, demand in zip(known.values(), demands, strict=True):
            is_short = math.isfinite(level)
            share = max(demand.floor, level * demand.usual) if is_short else math.inf
            _set_share(use, share, now_s)
            is_within = demand.recent <= _usual_peak(share, use.mean_hold_s or 0.0)
            n_within += demand.recent if is_within else 0.0
        self._load_within = min(MAX_LOAD_AHEAD, n_within / n_slots) if n_slots else 0.0

    def stretch(self, standing: Standing) -> float:
        """Return the factor on the wait of a request for those that overtake it."""
        load_by_standing = {
            Standing.WITHIN: 0.0,
            Standing.ALLOWED: self._load_within,
            Standing.OVER: MAX_LOAD_AHEAD,
        }
        return 1.0 / (1.0 - load_by_standing[standing])

    def excess(self, workspace: WorkspaceName) -> float:
        """Return the slots that a workspace wants above its share, by its weight."""
        use = self._use_by_workspace.get(workspace)
        if use is None or math.isinf(use.share):
            return 0.0
        n_wanted = use.demand.per_second(self._updated_at_s)
        return (n_wanted - use.share) / self._weight(workspace)

    def share(self, workspace: WorkspaceName) -> float:
        """Return the slots that a workspace may take; infinite if there are enough."""
        use = self._use_by_workspace.get(workspace)
        return use.share if use is not None else math.inf

    def to_document(self) -> list[ShareDocument]:
        """Return the workspaces with the largest demand, for the dump.

        The figures are those of the last update.
        """
        now_s = self._updated_at_s
        if math.isinf(now_s):
            return []
        shares = [
            ShareDocument(
                workspace=workspace,
                demand=round(use.demand.per_second(now_s), 2),
                usual=round(use.usual.per_second(now_s), 2),
                share=round(use.share, 2) if math.isfinite(use.share) else None,
                n_over=use.n_over,
            )
            for workspace, use in self._use_by_workspace.items()
            if workspace != UNKNOWN
        ]
        shares.sort(key=lambda share: share["demand"], reverse=True)
        return shares[:N_IN_DOCUMENT]

    def _weight(self, workspace: WorkspaceName) -> float:
        return self._weights_by_workspace.get(workspace, 1.0)

    def _forget_idle(self, now_s: float) -> None:
        for workspace, use in list(self._use_by_workspace.items()):
            n_usual = use.usual.per_second(now_s)
            if max(n_usual, use.demand.per_second(now_s)) < NEGLIGIBLE_SLOTS:
                del self._use_by_workspace[workspace]

    def _n_for_unknown(self, n_slots: float, now_s: float) -> float:
        use = self._use_by_workspace.get(UNKNOWN)
        demand = use.demand.per_second(now_s) if use is not None else 0.0
        return min(demand, MAX_UNKNOWN_FRACTION * n_slots)


def _standing(
    use: WorkspaceUse, hold_s: float, now_s: float, *, is_new: bool
) -> Standing:
    """Take a request from the share, and return how it stands to it.

    While slots are short, a repeated request goes behind the new ones of others.
    """
    if math.isinf(use.share):
        return Standing.WITHIN
    limit = _usual_peak(use.share, hold_s) if is_new else use.share
    is_above = use.demand.per_second(now_s) > limit
    if is_above and not is_new:
        return Standing.OVER
    if not _take_from_budget(use, hold_s, now_s):
        return Standing.OVER
    return Standing.ALLOWED if is_above or not is_new else Standing.WITHIN


def _usual_peak(share: float, hold_s: float) -> float:
    """Return what a demand of ``share`` slots, of requests that come at random, peaks.

    Without it a workspace of few requests would be above its share by chance.
    """
    return share + N_DEVIATIONS * math.sqrt(share * hold_s / (2.0 * DEMAND_WINDOW_S))


def _set_share(use: WorkspaceUse, share: float, now_s: float) -> None:
    if math.isinf(use.share) and math.isfinite(share):
        use.budget_s = BURST_S * share
    else:
        _refill_budget(use, now_s)
    use.share = share
    use.budget_at_s = now_s


def _refill_budget(use: WorkspaceUse, now_s: float) -> None:
    """Add what the share has given since, up to ``BURST_S`` of it."""
    if math.isfinite(use.share):
        refilled_s = use.budget_s + use.share * (now_s - use.budget_at_s)
        use.budget_s = min(BURST_S * use.share, refilled_s)
    use.budget_at_s = now_s


def _take_from_budget(use: WorkspaceUse, hold_s: float, now_s: float) -> bool:
    """Take a request's slot-seconds from what is left of a share, if anything is."""
    _refill_budget(use, now_s)
    if use.budget_s <= 0.0:
        return False
    use.budget_s -= hold_s
    return True
