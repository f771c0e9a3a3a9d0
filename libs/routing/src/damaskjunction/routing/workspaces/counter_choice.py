"""The hosts that a host asks to count for a workspace, in order."""

from __future__ import annotations

import math
from collections.abc import Collection, Iterator, Sequence
from itertools import islice

from damaskjunction.core import HostId
from damaskjunction.routing.workspaces.permits import PermitAsk

SILENT_S = 1.5
# A host of a former build refuses asks; a new one may take its place.
UNABLE_S = 10.0
MAX_ASKED = 6  # within ``ASK_LIMIT_S``
ASK_LIMIT_S = 0.24  # then a host decides alone


class CounterChoice:
    """Leaves out hosts that lately did not answer, or refused since they can't count.

    ``changed_at_s`` is when one was last found that can't count.
    """

    def __init__(self) -> None:
        self._silent_until_by_id: dict[HostId, float] = {}
        self._unable_until_by_id: dict[HostId, float] = {}
        self.changed_at_s = -math.inf

    def mark_silent(self, host_id: HostId, now_s: float) -> None:
        """Leave out a host that did not answer, for ``SILENT_S``."""
        self._silent_until_by_id[host_id] = now_s + SILENT_S

    def mark_unable(self, host_id: HostId, now_s: float) -> None:
        """Leave out a host that does not know what to do with an ask."""
        if self._unable_until_by_id.get(host_id, 0.0) <= now_s:
            self.changed_at_s = now_s
        self._unable_until_by_id[host_id] = now_s + UNABLE_S

    def retain_hosts(self, host_ids: Collection[HostId]) -> None:
        """Forget what was found of hosts but these; they may start another build."""
        for until_by_id in (self._silent_until_by_id, self._unable_until_by_id):
            for host_id in until_by_id.keys() - set(host_ids):
                del until_by_id[host_id]

    def home_of(
        self, ranked: Sequence[HostId], unsettled: Collection[HostId], now_s: float
    ) -> HostId:
        """Return the first host that can count, empty if there is none."""
        able = self._able(ranked, now_s)
        return next((name for name in able if name not in unsettled), "")

    def candidates(self, ranked: Sequence[HostId], now_s: float) -> list[HostId]:
        """Return the hosts to ask, in order, ``MAX_ASKED`` at most."""
        silent_until_by_id = self._silent_until_by_id
        heard = (
            name
            for name in self._able(ranked, now_s)
            if silent_until_by_id.get(name, 0.0) <= now_s
        )
        return list(islice(heard, MAX_ASKED))

    def target(self, ranked: Sequence[HostId], ask: PermitAsk, now_s: float) -> HostId:
        """Return the host to pass an ask to, empty if it is silent."""
        home = self.home_of(ranked, ask.unsettled, now_s)
        is_silent = self._silent_until_by_id.get(home, 0.0) > now_s
        return "" if is_silent else home

    def _able(self, ranked: Sequence[HostId], now_s: float) -> Iterator[HostId]:
        unable_until_by_id = self._unable_until_by_id
        return (name for name in ranked if unable_until_by_id.get(name, 0.0) <= now_s)
