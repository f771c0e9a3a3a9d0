"""Requests that a host has sent to runners without asking for a permit."""

from __future__ import annotations

from typing import NamedTuple

from damaskjunction.core import WorkspaceName


class _Uncounted(NamedTuple):
    n_requests: int
    last_at_s: float


class UncountedRequests:
    """Numbers of requests by workspace, to be told with the next ask for a permit.

    Parameters
    ----------
    window_s : float
        Seconds after which a request needs not be counted any more.
    """

    def __init__(self, window_s: float) -> None:
        self._window_s = window_s
        self._requests_by_workspace: dict[WorkspaceName, _Uncounted] = {}

    def record(
        self, workspace: WorkspaceName, now_s: float, n_requests: int = 1
    ) -> None:
        """Record that requests were sent; all are as young as the last."""
        if n_requests:
            n_requests += self.take(workspace, now_s)
            self._requests_by_workspace[workspace] = _Uncounted(n_requests, now_s)

    def take(self, workspace: WorkspaceName, now_s: float) -> int:
        """Return the number of requests since the last call."""
        found = self._requests_by_workspace.pop(workspace, None)
        if found is None or now_s - found.last_at_s > self._window_s:
            return 0
        return found.n_requests
