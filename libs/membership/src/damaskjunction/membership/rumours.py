"""Rumours waiting to be told, each a bounded number of times."""

from __future__ import annotations

import math
from enum import IntEnum
from typing import NamedTuple

from damaskjunction.core import HostId
from damaskjunction.membership.types import (
    Health,
    MemberState,
    Rumour,
    estimate_bytes,
    is_refutation,
)

TELLS_FACTOR = 4
TELLS_OF_START = 3


class Urgency(IntEnum):
    """Which rumours go first when bytes are short."""

    LEAVING = 0
    JUDGEMENT = 1
    START = 2


class _Waiting(NamedTuple):
    """A rumour and how often it was told."""

    rumour: Rumour
    urgency: Urgency
    n_told: int

    @property
    def rank(self) -> tuple[int, int]:
        """Key of the order in which rumours are told."""
        return self.urgency, self.n_told


class RumourQueue:
    """The newest rumour of each host; urgent ones and those told least go first."""

    def __init__(self) -> None:
        self._waiting_by_host: dict[HostId, _Waiting] = {}

    def __len__(self) -> int:
        return len(self._waiting_by_host)

    def add(self, rumour: Rumour) -> None:
        """Tell a rumour from now on, in place of an older one of the same host."""
        waiting = _Waiting(rumour, urgency_of(rumour), 0)
        self._waiting_by_host[rumour.host_id] = waiting

    def has_up_to(self, urgency: Urgency) -> bool:
        """Return whether a rumour waits that is at least so urgent."""
        waiting = self._waiting_by_host.values()
        return any(entry.urgency <= urgency for entry in waiting)

    def take(
        self, n_members: int, max_bytes: int, *, up_to: Urgency = Urgency.START
    ) -> tuple[Rumour, ...]:
        """Return rumours for one datagram and count them as told."""
        n_tells = TELLS_FACTOR * math.ceil(math.log10(n_members + 1))
        chosen: list[Rumour] = []
        n_bytes = 0
        for entry in sorted(self._waiting_by_host.values(), key=lambda e: e.rank):
            n_bytes += estimate_bytes((entry.rumour,))
            if n_bytes > max_bytes or entry.urgency > up_to:
                break
            chosen.append(entry.rumour)
            is_start = entry.urgency is Urgency.START
            self._count(entry, TELLS_OF_START if is_start else n_tells)
        return tuple(chosen)

    def _count(self, entry: _Waiting, n_tells: int) -> None:
        host_id = entry.rumour.host_id
        if entry.n_told + 1 >= n_tells:
            del self._waiting_by_host[host_id]
        else:
            told = entry._replace(n_told=entry.n_told + 1)
            self._waiting_by_host[host_id] = told


def urgency_of(rumour: Rumour) -> Urgency:
    """Return how urgent a rumour is."""
    if rumour.state is MemberState.LEAVING:
        return Urgency.LEAVING
    if rumour.health is not Health.OK or is_refutation(rumour.incarnation):
        return Urgency.JUDGEMENT
    return Urgency.START
