"""The part of the fleet that a host sees, and whether it may rely on what it sees.

A part of the fleet that is cut off from the rest can't be told from one whose other
hosts have died. Each part counts for the share of the hosts that it sees, so that the
parts together keep the limit.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Collection
from typing import NamedTuple

from damaskjunction.core import HostId
from damaskjunction.core.units import MINUTE_S

SETTLE_S = 3.0  # after which all hosts see a host that has joined or woken
LOST_HOST_MEMORY_S = MINUTE_S
MAX_PAUSE_S = 1.0  # between two observations; more means that the process was frozen
MOST_OF_FLEET = 0.75
HALF_OF_FLEET = 0.5


class _ShareAt(NamedTuple):
    at_s: float
    share: float


class FleetShare:
    """The hosts that this host sees of those that it knows to be in the fleet.

    Parameters
    ----------
    own_id : str
        This host.
    now_s : float
        When the process started.
    """

    def __init__(self, own_id: HostId, now_s: float) -> None:
        self._own_id = own_id
        self._live_ids: frozenset[HostId] = frozenset((own_id,))
        self._lost_at_by_id: dict[HostId, float] = {}
        self._settles_at_s = now_s + SETTLE_S
        self._observed_at_s = now_s
        self._shares: deque[_ShareAt] = deque()
        self._changed_at_s = now_s
        self._unsettled_at_s = now_s

    @property
    def n_known(self) -> int:
        """Number of the hosts that are live, or were not long ago."""
        return len(self._live_ids) + len(self._lost_at_by_id)

    def observe(
        self,
        live_ids: Collection[HostId],
        leaving_ids: Collection[HostId],
        now_s: float,
    ) -> None:
        """Record the hosts seen now; to be called at least twice a second."""
        self._detect_pause(now_s)
        live = frozenset((self._own_id, *live_ids))
        if live != self._live_ids:
            for host_id in self._live_ids - live:
                self._lost_at_by_id[host_id] = now_s
            self._live_ids = live
            self.record_change(now_s)
        self._forget_lost(live.union(leaving_ids), now_s)
        self._record_share(len(live) / self.n_known, now_s)
        if not self.is_settled(now_s):
            self._unsettled_at_s = now_s

    def share(self, now_s: float) -> float:
        """Return the fraction of the fleet that this host may count for.

        A fraction that has risen is granted once it has lasted for ``SETTLE_S``.
        """
        self._drop_old_shares(now_s)
        return min((entry.share for entry in self._shares), default=1.0)

    def is_settled(self, now_s: float) -> bool:
        """Return whether this host has been one of most of the fleet for a while."""
        if now_s - self._observed_at_s > MAX_PAUSE_S or now_s < self._settles_at_s:
            return False
        is_back = bool(self._shares) and self._shares[-1].share >= MOST_OF_FLEET
        return not is_back or self.share(now_s) >= HALF_OF_FLEET

    def record_change(self, now_s: float) -> None:
        """Record that hosts are ranked anew as homes."""
        self._changed_at_s = now_s

    def counts_since_s(self) -> float:
        """Return when this host last settled or saw the live hosts change."""
        return max(self._changed_at_s, self._settles_at_s, self._unsettled_at_s)

    def _detect_pause(self, now_s: float) -> None:
        if now_s - self._observed_at_s > MAX_PAUSE_S:
            self._settles_at_s = now_s + SETTLE_S
        self._observed_at_s = now_s

    def _forget_lost(self, seen: Collection[HostId], now_s: float) -> None:
        """Forget lost hosts that are back, leave as planned or are lost for long."""
        for host_id, lost_at_s in list(self._lost_at_by_id.items()):
            if host_id in seen or now_s - lost_at_s > LOST_HOST_MEMORY_S:
                del self._lost_at_by_id[host_id]

    def _record_share(self, share: float, now_s: float) -> None:
        """Record a share; one is in force until the next has been recorded."""
        if not self._shares or self._shares[-1].share != share:
            if self._shares:
                self._shares[-1] = self._shares[-1]._replace(at_s=now_s)
            self._shares.append(_ShareAt(now_s, share))
        self._drop_old_shares(now_s)

    def _drop_old_shares(self, now_s: float) -> None:
        while len(self._shares) > 1 and now_s - self._shares[0].at_s > SETTLE_S:
            self._shares.popleft()
