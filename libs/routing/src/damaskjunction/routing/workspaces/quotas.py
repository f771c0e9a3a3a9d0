"""What a workspace may send through all hosts together, and how exactly that holds."""

from __future__ import annotations

from typing import NamedTuple

from damaskjunction.core import WorkspaceSpec

DEFAULT_WINDOW_S = 5.0
DEFAULT_OVER_FRACTION = 0.1
DEFAULT_SLACK_REQUESTS = 20.0


class QuotaBounds(NamedTuple):
    """How far the requests of a workspace may exceed its limit.

    In any ``window_s`` seconds they may exceed it by the fraction ``over`` and by
    ``slack`` requests more.
    """

    window_s: float = DEFAULT_WINDOW_S
    over: float = DEFAULT_OVER_FRACTION
    slack: float = DEFAULT_SLACK_REQUESTS


class Quota(NamedTuple):
    """The limit of a workspace, and the requests by which it may be exceeded.

    In any ``window_s`` seconds they are ``over``, a fraction of the limit, and
    ``slack``, which is the same for all workspaces.
    """

    rate_per_s: float
    burst: float
    over: float
    slack: float
    window_s: float

    @property
    def tolerance(self) -> float:
        """The requests by which the limit may be exceeded in a window."""
        return self.over + self.slack

    @property
    def max_in_window(self) -> float:
        """The most requests that all hosts together may send in a window."""
        return self.rate_per_s * self.window_s + self.burst + self.tolerance


def quota_of(workspace: WorkspaceSpec, bounds: QuotaBounds) -> Quota | None:
    """Return the quota of a workspace, None if it has no limit."""
    rate_per_s, burst = workspace.requests_per_s, workspace.burst
    if rate_per_s <= 0:
        return None
    over = bounds.over * (rate_per_s * bounds.window_s + burst)
    return Quota(rate_per_s, burst, over, bounds.slack, bounds.window_s)
