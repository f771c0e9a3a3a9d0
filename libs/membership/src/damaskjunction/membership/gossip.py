"""Gossip: the contents of datagrams, and what is sent to random hosts per tick.

Updates and document revisions are gossiped a bounded number of times each and within a
byte budget.
"""

from __future__ import annotations

import random

from damaskjunction.core import HostId
from damaskjunction.membership.member_table import MemberTable
from damaskjunction.membership.types import (
    Datagram,
    DatagramKind,
    DocumentRevision,
    Effect,
    Health,
    Member,
    MemberUpdate,
    Send,
    Timing,
    estimate_bytes,
    update_of,
    without_addresses,
)
from damaskjunction.membership.update_queue import UpdateQueue, Urgency

RUMOUR_BYTES_PER_DATAGRAM = 800
DATAGRAM_OVERHEAD_BYTES = 150  # estimated size of a datagram without its updates
DOCUMENT_GOSSIP_ROUNDS = 4  # ticks with gossip after a change
MAX_REFILL_S = 1.0


class Gossiper:
    """Makes datagrams and gossips queued updates within a byte budget.

    Parameters
    ----------
    member_table : MemberTable
        The hosts to gossip to.
    rng : random.Random
        Random number generator for the choice of hosts.
    timing : Timing
        Byte budget and number of hosts per tick.
    """

    def __init__(
        self, member_table: MemberTable, rng: random.Random, timing: Timing
    ) -> None:
        self.documents: tuple[DocumentRevision, ...] = ()
        self._member_table = member_table
        self._rng = rng
        self._timing = timing
        self._updates = UpdateQueue()
        self._document_rounds_left = 0
        self._budget_bytes = timing.gossip_burst_bytes

    def add(self, update: MemberUpdate) -> None:
        """Enqueue an update to gossip."""
        self._updates.add(update)

    def add_change(self, before: Member | None, member: Member) -> None:
        """Enqueue an update about a member whose gossiped properties changed."""
        if before is None or _gossiped_state(before) != _gossiped_state(member):
            self._updates.add(_make_gossip_update(member))

    def set_documents(self, documents: tuple[DocumentRevision, ...]) -> None:
        """Set the document revisions to gossip from now on."""
        if documents != self.documents:
            self.documents = documents
            self._document_rounds_left = DOCUMENT_GOSSIP_ROUNDS

    def refill(self, elapsed_s: float) -> None:
        """Refill the byte budget, by that of ``MAX_REFILL_S`` at most."""
        refill = min(elapsed_s, MAX_REFILL_S) * self._timing.gossip_bytes_per_s
        limit = self._timing.gossip_burst_bytes
        self._budget_bytes = min(limit, self._budget_bytes + refill)

    def refill_fully(self) -> None:
        """Refill the byte budget to its limit."""
        self._budget_bytes = self._timing.gossip_burst_bytes

    def sample_members(self, count: int, *, without: HostId = "") -> list[Member]:
        """Return up to ``count`` random hosts that are not dead."""
        others = [
            member
            for member in self._member_table.members_by_id.values()
            if not member.is_dead and member.host.host_id != without
        ]
        return self._rng.sample(others, min(count, len(others)))

    def make_datagram(
        self,
        own: Member,
        kind: DatagramKind,
        sequence: int,
        target: HostId,
        priority_updates: tuple[MemberUpdate, ...] = (),
        *,
        least_urgent: Urgency = Urgency.START,
    ) -> Datagram:
        """Return a datagram from ``own`` that carries queued updates."""
        n_members = len(self._member_table.members_by_id)
        others = self._updates.take(
            n_members, RUMOUR_BYTES_PER_DATAGRAM, least_urgent=least_urgent
        )
        updates = (update_of(own), *priority_updates, *others)
        return Datagram(kind, sequence, target, self.documents, updates)

    def gossip(self, own: Member) -> list[Effect]:
        """Send queued updates and document revisions to random hosts.

        The less of the byte budget is left, the more urgent an update has to be.
        """
        least_urgent = self._least_urgent_allowed()
        if not (self._updates.has_pending(least_urgent) or self._document_rounds_left):
            return []
        self._document_rounds_left = max(0, self._document_rounds_left - 1)
        effects: list[Effect] = []
        for member in self.sample_members(self._timing.fan_out):
            host_id = member.host.host_id
            datagram = self.make_datagram(
                own, DatagramKind.GOSSIP, 0, host_id, least_urgent=least_urgent
            )
            self._budget_bytes -= DATAGRAM_OVERHEAD_BYTES + estimate_bytes(
                datagram.updates
            )
            effects.append(Send(member.host.probe, datagram))
        return effects

    def _least_urgent_allowed(self) -> Urgency:
        """Return the lowest urgency that the remaining byte budget allows."""
        if self._budget_bytes < 0:
            return Urgency.LEAVING
        if self._budget_bytes < self._timing.gossip_burst_bytes / 2:
            return Urgency.JUDGEMENT
        return Urgency.START


def _gossiped_state(member: Member) -> tuple[object, ...]:
    """Return the properties of a member whose changes are gossiped."""
    return member.incarnation, member.state, member.health


def _make_gossip_update(member: Member) -> MemberUpdate:
    """Return the update to gossip, in short form if peers should know the host."""
    update = update_of(member)
    return update if member.health is Health.OK else without_addresses(update)
