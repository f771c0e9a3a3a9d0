"""Queue of updates to gossip, each transmitted a bounded number of times."""

from __future__ import annotations

import math
from enum import IntEnum
from typing import NamedTuple

from damaskjunction.core import HostId
from damaskjunction.membership.types import (
    Health,
    MemberState,
    MemberUpdate,
    estimate_bytes,
    is_refutation,
)

TRANSMIT_FACTOR = 4
MAX_START_TRANSMITS = 3


class Urgency(IntEnum):
    """Priority of updates under a byte budget; lower values are sent first.

    ``JUDGEMENT`` covers suspicions, deaths and refutations, and ``START`` the rest,
    such as the start of a host.
    """

    LEAVING = 0
    JUDGEMENT = 1
    START = 2


class _QueuedUpdate(NamedTuple):
    """A queued update and the number of its transmissions."""

    update: MemberUpdate
    urgency: Urgency
    n_transmits: int

    @property
    def rank(self) -> tuple[int, int]:
        """Sort key: most urgent first, then least transmitted."""
        return self.urgency, self.n_transmits


class UpdateQueue:
    """Holds the newest update about each host; urgent, less transmitted ones go first.

    The number of transmissions grows with the logarithm of the number of members, by
    ``TRANSMIT_FACTOR``; for ``START`` updates it is ``MAX_START_TRANSMITS``.
    """

    def __init__(self) -> None:
        self._queued_by_host: dict[HostId, _QueuedUpdate] = {}

    def __len__(self) -> int:
        return len(self._queued_by_host)

    def add(self, update: MemberUpdate) -> None:
        """Enqueue an update, replacing an older one about the same host."""
        queued = _QueuedUpdate(update, urgency_of(update), 0)
        self._queued_by_host[update.host_id] = queued

    def has_pending(self, urgency: Urgency) -> bool:
        """Return whether an update of at least this urgency is queued."""
        queued = self._queued_by_host.values()
        return any(entry.urgency <= urgency for entry in queued)

    def take(
        self, n_members: int, max_bytes: int, *, least_urgent: Urgency = Urgency.START
    ) -> tuple[MemberUpdate, ...]:
        """Return the updates for one datagram and count their transmission.

        At most ``max_bytes`` bytes of updates are returned, none less urgent than
        ``least_urgent``. An update leaves the queue after its last transmission.
        """
        max_transmits = TRANSMIT_FACTOR * math.ceil(math.log10(n_members + 1))
        chosen: list[MemberUpdate] = []
        n_bytes = 0
        for entry in sorted(self._queued_by_host.values(), key=lambda e: e.rank):
            n_bytes += estimate_bytes((entry.update,))
            if n_bytes > max_bytes or entry.urgency > least_urgent:
                break
            chosen.append(entry.update)
            is_start = entry.urgency is Urgency.START
            self._count_transmit(
                entry, MAX_START_TRANSMITS if is_start else max_transmits
            )
        return tuple(chosen)

    def _count_transmit(self, entry: _QueuedUpdate, max_transmits: int) -> None:
        host_id = entry.update.host_id
        if entry.n_transmits + 1 >= max_transmits:
            del self._queued_by_host[host_id]
        else:
            transmitted = entry._replace(n_transmits=entry.n_transmits + 1)
            self._queued_by_host[host_id] = transmitted


def urgency_of(update: MemberUpdate) -> Urgency:
    """Return the urgency of an update."""
    if update.state is MemberState.LEAVING:
        return Urgency.LEAVING
    if update.health is not Health.OK or is_refutation(update.incarnation):
        return Urgency.JUDGEMENT
    return Urgency.START
