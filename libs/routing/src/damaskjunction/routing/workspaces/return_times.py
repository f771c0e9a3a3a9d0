"""When callers whose requests were refused are to come back."""

from __future__ import annotations

import zlib

from damaskjunction.core import RequestId, WorkspaceName
from damaskjunction.core.units import MINUTE_S

MAX_AHEAD_S = MINUTE_S
MAX_WORKSPACES = 1024  # with times in the past, beside those with times to come
HASH_RANGE = 1 << 32


class ReturnTimes:
    """Books a time for each refused request, so that they don't return together.

    The times of a workspace follow each other at the pace at which it is served.
    """

    def __init__(self) -> None:
        self._next_at_by_workspace: dict[WorkspaceName, float] = {}

    def book(
        self,
        request_id: RequestId,
        workspace: WorkspaceName,
        wait_s: float,
        pace_s: float,
        now_s: float,
    ) -> float:
        """Return in how many seconds a refused request is to come again.

        Parameters
        ----------
        request_id : str
            The request; it spreads requests that other homes refuse meanwhile.
        workspace : str
            Workspace of the caller.
        wait_s : float
            Seconds before which it can't be served.
        pace_s : float
            Seconds between two requests that the workspace is served.
        now_s : float
            The current time in seconds.
        """
        booked_s = self._next_at_by_workspace.get(workspace, now_s)
        return_at_s = min(max(now_s + wait_s, booked_s), now_s + MAX_AHEAD_S)
        self._next_at_by_workspace[workspace] = return_at_s + pace_s
        if len(self._next_at_by_workspace) > MAX_WORKSPACES:
            self._forget_past(now_s)
        spread = zlib.crc32(request_id.encode()) / HASH_RANGE
        return return_at_s - now_s + spread * pace_s

    def _forget_past(self, now_s: float) -> None:
        self._next_at_by_workspace = {
            workspace: at_s
            for workspace, at_s in self._next_at_by_workspace.items()
            if at_s > now_s
        }
