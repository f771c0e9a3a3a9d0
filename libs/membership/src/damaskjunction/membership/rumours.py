"""Rumours waiting to be told, each a bounded number of times."""

from __future__ import annotations

import math
from typing import NamedTuple

from damaskjunction.core import HostId
from damaskjunction.membership.types import Rumour, estimate_bytes

RETRANSMIT_FACTOR = 4


class _Waiting(NamedTuple):
    """A rumour and how often it was told."""

    rumour: Rumour
    n_told: int


class RumourQueue:
    """The newest rumour of each host; those told least often go first."""

    def __init__(self) -> None:
        self._waiting_by_host: dict[HostId, _Waiting] = {}

    def __len__(self) -> int:
        return len(self._waiting_by_host)

    def add(self, rumour: Rumour) -> None:
        """Tell a rumour from now on, in place of an older one of the same host."""
        self._waiting_by_host[rumour.host_id] = _Waiting(rumour, 0)

    def take(self, n_members: int, max_bytes: int) -> tuple[Rumour, ...]:
        """Return rumours for one datagram and count them as told."""
        limit = RETRANSMIT_FACTOR * math.ceil(math.log10(n_members + 1))
        chosen: list[Rumour] = []
        n_bytes = 0
        order = sorted(self._waiting_by_host.values(), key=lambda entry: entry.n_told)
        for rumour, n_told in order:
            n_bytes += estimate_bytes((rumour,))
            if n_bytes > max_bytes:
                break
            chosen.append(rumour)
            self._count(rumour, n_told + 1, limit)
        return tuple(chosen)

    def _count(self, rumour: Rumour, n_told: int, limit: int) -> None:
        if n_told >= limit:
            del self._waiting_by_host[rumour.host_id]
        else:
            self._waiting_by_host[rumour.host_id] = _Waiting(rumour, n_told)
