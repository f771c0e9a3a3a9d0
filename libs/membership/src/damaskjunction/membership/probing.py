"""Probes of other hosts: whom to probe next, and which probes are pending.

Hosts are probed in an order that is reshuffled each round. A probe that got no
acknowledgement in time is repeated through other hosts before it fails.
"""

from __future__ import annotations

import random
from typing import NamedTuple

from damaskjunction.core import Address, HostId
from damaskjunction.membership.member_table import MemberTable
from damaskjunction.membership.types import Member

DEAD_PROBE_INTERVAL = 5  # every fifth probe lets a dead host refute its death
RELAY_TIMEOUT_S = 2.0


class PendingProbe(NamedTuple):
    """A pending probe; ``is_indirect`` once it was repeated through other hosts."""

    target: HostId
    indirect_at_s: float
    fails_at_s: float
    is_indirect: bool = False


class RelayedProbe(NamedTuple):
    """A probe performed on behalf of another host, which gets the acknowledgement."""

    address: Address
    sequence: int
    ends_at_s: float


class DueProbe(NamedTuple):
    """A probe without an acknowledgement: it has failed, or is due to be repeated."""

    sequence: int
    target: HostId
    has_failed: bool


class ProbeSchedule:
    """Chooses targets and keeps the pending probes by sequence number.

    Parameters
    ----------
    member_table : MemberTable
        The hosts to probe.
    rng : random.Random
        Random number generator for the order of targets.
    """

    def __init__(self, member_table: MemberTable, rng: random.Random) -> None:
        self._member_table = member_table
        self._rng = rng
        self._probes_by_sequence: dict[int, PendingProbe] = {}
        self._relays_by_sequence: dict[int, RelayedProbe] = {}
        self._probe_order: list[HostId] = []
        self._sequence = 0
        self._n_probes = 0

    def next_target(self) -> Member | None:
        """Return the host to probe next, or None if there is no other host."""
        self._n_probes += 1
        members_by_id = self._member_table.members_by_id
        if self._n_probes % DEAD_PROBE_INTERVAL == 0:
            dead = [member for member in members_by_id.values() if member.is_dead]
            if dead:
                return self._rng.choice(dead)
        for _ in range(2):
            while self._probe_order:
                member = members_by_id.get(self._probe_order.pop())
                if member is not None and not member.is_dead:
                    return member
            self._probe_order = [
                member.host.host_id for member in self._member_table.non_dead_members()
            ]
            self._rng.shuffle(self._probe_order)
        return None

    def begin(self, probe: PendingProbe) -> int:
        """Record a probe and return its sequence number."""
        self._sequence += 1
        self._probes_by_sequence[self._sequence] = probe
        return self._sequence

    def begin_relay(self, address: Address, sequence: int, now_s: float) -> int:
        """Record a probe for the host at an address and return its sequence number."""
        self._sequence += 1
        relayed = RelayedProbe(address, sequence, now_s + RELAY_TIMEOUT_S)
        self._relays_by_sequence[self._sequence] = relayed
        return self._sequence

    def end(self, sequence: int) -> PendingProbe | None:
        """Remove and return a probe, or None if it is not pending."""
        return self._probes_by_sequence.pop(sequence, None)

    def end_relay(self, sequence: int) -> RelayedProbe | None:
        """Remove and return a relayed probe, or None if it is not pending."""
        return self._relays_by_sequence.pop(sequence, None)

    def clear(self) -> None:
        """Forget the pending probes, but not the relayed ones."""
        self._probes_by_sequence.clear()

    def take_due(self, now_s: float) -> list[DueProbe]:
        """Return the probes that failed, now removed, and those due to be repeated.

        Relayed probes that timed out are removed.
        """
        due = []
        for sequence, probe in list(self._probes_by_sequence.items()):
            if now_s >= probe.fails_at_s:
                del self._probes_by_sequence[sequence]
                due.append(DueProbe(sequence, probe.target, has_failed=True))
            elif now_s >= probe.indirect_at_s and not probe.is_indirect:
                self._probes_by_sequence[sequence] = probe._replace(is_indirect=True)
                due.append(DueProbe(sequence, probe.target, has_failed=False))
        for sequence, relayed in list(self._relays_by_sequence.items()):
            if now_s >= relayed.ends_at_s:
                del self._relays_by_sequence[sequence]
        return due
