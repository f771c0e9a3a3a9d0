"""The failure detector: probes, suspicion, refutation and gossip.

A SWIM-style protocol without input or output: it receives datagrams and the time, and
returns effects. One host is probed per probe period, in an order that is reshuffled
each round. If a direct probe times out, it is repeated through other hosts; if these
fail too, the host becomes suspect, and dead unless it refutes the suspicion with a
higher incarnation. Changes are gossiped to a few random hosts per tick, each a bounded
number of times and within a byte budget.
"""

from __future__ import annotations

import random
from collections.abc import Iterable
from typing import NamedTuple

from damaskjunction.core import Address, EntryHost, HostId, HostState, Revision
from damaskjunction.membership.member_table import (
    WATCHERS_PER_DATA_CENTRE,
    MemberTable,
    choose_watchers,
)
from damaskjunction.membership.types import (
    Datagram,
    DatagramKind,
    DocumentRevision,
    DocumentsAnnounced,
    Effect,
    Health,
    Member,
    MembersChanged,
    MemberState,
    MemberUpdate,
    Send,
    Timing,
    estimate_bytes,
    update_of,
    without_addresses,
)
from damaskjunction.membership.update_queue import UpdateQueue, Urgency

MAX_DATAGRAM_BYTES = 1400
RUMOUR_BYTES_PER_DATAGRAM = 800
DATAGRAM_OVERHEAD_BYTES = 150  # estimated size of a datagram without its updates
MAX_AWARENESS = 4
MIN_PEERS_FOR_ISOLATION = 3
DOCUMENT_GOSSIP_ROUNDS = 4  # ticks with gossip after a change
REPORT_DELAYS_S = (0.0, 0.4)  # after a change; then every report_period_s
DEAD_PROBE_INTERVAL = 5  # every fifth probe lets a dead host refute its death
RELAY_TIMEOUT_S = 2.0


class _Probe(NamedTuple):
    """A pending probe; ``is_indirect`` once it was repeated through other hosts."""

    target: HostId
    indirect_at_s: float
    fails_at_s: float
    is_indirect: bool = False


class _Suspicion(NamedTuple):
    """When a suspect is probed once more, and when it is declared dead."""

    reprobe_at_s: float
    ends_at_s: float
    is_reprobed: bool = False


class _RelayedProbe(NamedTuple):
    """A probe performed on behalf of another host, which gets the acknowledgement."""

    address: Address
    sequence: int
    ends_at_s: float


class FailureDetector:
    """Detects failures of other hosts and gossips about changes.

    ``awareness`` is the local health score: it rises with each failed probe, falls with
    each acknowledged one and is at its maximum after a pause, in which this process did
    not run. Timeouts grow by the factor ``1 + awareness``, because a host that misses
    acknowledgements may be slow itself.

    Parameters
    ----------
    own : EntryHost
        Entry of this host.
    incarnation : int
        Incarnation of this host, see ``first_incarnation``.
    rng : random.Random
        Random number generator.
    timing : Timing, optional
        Periods, timeouts and limits.
    """

    def __init__(
        self,
        own: EntryHost,
        incarnation: int,
        rng: random.Random,
        *,
        timing: Timing = Timing(),  # noqa: B008 - a NamedTuple is immutable
    ) -> None:
        self.own = Member(own, incarnation, MemberState.STARTING)
        self.member_table = MemberTable(own.host_id, timing)
        self.documents: tuple[DocumentRevision, ...] = ()
        self.awareness = 0
        self._timing = timing
        self._rng = rng
        self._updates = UpdateQueue()
        self._probes_by_sequence: dict[int, _Probe] = {}
        self._relays_by_sequence: dict[int, _RelayedProbe] = {}
        self._suspicions_by_id: dict[HostId, _Suspicion] = {}
        self._reports_at_s: list[float] = []
        self._probe_order: list[HostId] = []
        self._sequence = 0
        self._n_probes = 0
        self._document_rounds_left = 0
        self._budget_bytes = timing.gossip_burst_bytes
        self._ticked_at_s: float | None = None
        self._probe_at_s = 0.0
        self._received_at_s: float | None = None
        self._is_changed = False

    def tick(self, now_s: float) -> list[Effect]:
        """Advance probes, suspicions and gossip; call it every ``timing.tick_s``."""
        effects: list[Effect] = []
        self._handle_pause(now_s)
        self._check_probes(now_s, effects)
        self._check_suspicions(now_s, effects)
        if now_s >= self._probe_at_s:
            self._probe_at_s = now_s + self._timing.probe_period_s
            self._probe_next(now_s, effects)
        self._gossip(effects)
        self._report_revisions(now_s, effects)
        return self._finish(effects)

    def receive(
        self, datagram: Datagram, address: Address, now_s: float
    ) -> list[Effect]:
        """Handle a datagram received from an address."""
        if not datagram.updates:
            return []
        effects: list[Effect] = []
        sender = datagram.updates[0]
        self._received_at_s = now_s
        for update in datagram.updates:
            self._apply_update(update, now_s)
        match datagram.kind:
            case DatagramKind.PING:
                self._send_ack(datagram, sender, address, effects)
            case DatagramKind.ACK:
                self._handle_ack(datagram, now_s, effects)
            case DatagramKind.PROBE_REQUEST:
                self._relay_probe(datagram, address, now_s, effects)
        if datagram.documents:
            effects.append(DocumentsAnnounced(sender.host_id, datagram.documents))
        return self._finish(effects)

    def merge_member_list(
        self, updates: Iterable[MemberUpdate], now_s: float
    ) -> list[Effect]:
        """Merge the full member list of another host."""
        for update in updates:
            self._apply_update(update, now_s)
        return self._finish([])

    def apply_host_list(self, hosts: Iterable[EntryHost], now_s: float) -> list[Effect]:
        """Apply the platform's host list."""
        self._is_changed |= self.member_table.apply_host_list(hosts, now_s)
        return self._finish([])

    def set_documents(self, documents: tuple[DocumentRevision, ...]) -> None:
        """Set the document revisions that this host gossips from now on."""
        if documents != self.documents:
            self.documents = documents
            self._document_rounds_left = DOCUMENT_GOSSIP_ROUNDS

    def announce(self, documents: tuple[DocumentRevision, ...]) -> list[Effect]:
        """Gossip the document revisions of this host now and on the next ticks."""
        self.set_documents(documents)
        effects: list[Effect] = []
        self._gossip(effects)
        return effects

    def ping_addresses(self, addresses: Iterable[Address]) -> list[Effect]:
        """Ping addresses whose host ids are not known until they answer."""
        return [
            Send(address, self._make_datagram(DatagramKind.PING, 0, ""))
            for address in addresses
        ]

    def set_active_revisions(
        self, configuration: Revision, plan: Revision, now_s: float
    ) -> None:
        """Set the active revisions that this host reports from now on.

        A starting host becomes alive when it has its first configuration.
        """
        is_starting = self.own.state is MemberState.STARTING
        state = MemberState.ALIVE if configuration and is_starting else self.own.state
        own = self.own._replace(
            configuration_revision=configuration, plan_revision=plan, state=state
        )
        if own != self.own:
            self.own = own
            self._reports_at_s = [now_s + delay_s for delay_s in REPORT_DELAYS_S]
        if is_starting and state is MemberState.ALIVE:
            self._updates.add(update_of(own))

    def leave(self) -> list[Effect]:
        """Gossip that this host is leaving, with a refilled byte budget."""
        self.own = self.own._replace(state=MemberState.LEAVING)
        self._updates.add(update_of(self.own))
        self._budget_bytes = self._timing.gossip_burst_bytes
        effects: list[Effect] = []
        self._gossip(effects)
        return effects

    def member_updates(self) -> list[MemberUpdate]:
        """Return an update about every known host, this one first."""
        others = self.member_table.members_by_id.values()
        return [update_of(member) for member in (self.own, *others)]

    def is_isolated(self, now_s: float) -> bool:
        """Return whether no datagrams arrive, so that suspicions must not expire.

        False with fewer than ``MIN_PEERS_FOR_ISOLATION`` peers.
        """
        if len(self.member_table.non_dead_members()) < MIN_PEERS_FOR_ISOLATION:
            return False
        if self._received_at_s is None:
            return True
        return now_s - self._received_at_s > self._timing.isolation_timeout_s

    def _finish(self, effects: list[Effect]) -> list[Effect]:
        if self._is_changed:
            self._is_changed = False
            effects.append(MembersChanged())
        return effects

    # Pauses and suspicions

    def _handle_pause(self, now_s: float) -> None:
        """Refill the byte budget, and reset probes and suspicions after a pause.

        A host that was suspended missed acknowledgements itself, so the silence of
        others during the pause is no sign of failure. The refill is limited to that of
        one second.
        """
        last_s = self._ticked_at_s if self._ticked_at_s is not None else now_s
        self._ticked_at_s = now_s
        elapsed_s = now_s - last_s
        refill = min(elapsed_s, 1.0) * self._timing.gossip_bytes_per_s
        limit = self._timing.gossip_burst_bytes
        self._budget_bytes = min(limit, self._budget_bytes + refill)
        if elapsed_s <= self._timing.pause_threshold_s:
            return
        self.awareness = MAX_AWARENESS
        self._probes_by_sequence.clear()
        self._received_at_s = None
        for host_id in self._suspicions_by_id:
            self._suspicions_by_id[host_id] = self._make_suspicion(now_s)

    def _make_suspicion(self, now_s: float) -> _Suspicion:
        duration_s = self._timing.suspicion_timeout_s * (1 + self.awareness)
        return _Suspicion(now_s + duration_s / 2, now_s + duration_s)

    def _check_suspicions(self, now_s: float, effects: list[Effect]) -> None:
        """Probe suspects once more; declare dead those whose suspicion expired."""
        if not self._suspicions_by_id or self.is_isolated(now_s):
            return
        for host_id, suspicion in list(self._suspicions_by_id.items()):
            member = self.member_table.members_by_id.get(host_id)
            if now_s >= suspicion.ends_at_s:
                self._set_health(host_id, Health.DEAD, now_s)
            elif now_s >= suspicion.reprobe_at_s and not suspicion.is_reprobed:
                reprobed = suspicion._replace(is_reprobed=True)
                self._suspicions_by_id[host_id] = reprobed
                if member is not None:
                    effects.append(self._ping(member, 0))

    # Probes

    def _probe_next(self, now_s: float, effects: list[Effect]) -> None:
        target = self._next_target()
        if target is None:
            return
        timeout_factor = 1 + self.awareness
        indirect_at_s = now_s + self._timing.ack_timeout_s * timeout_factor
        fails_at_s = now_s + self._timing.probe_period_s * timeout_factor
        self._sequence += 1
        probe = _Probe(target.host.host_id, indirect_at_s, fails_at_s)
        self._probes_by_sequence[self._sequence] = probe
        effects.append(self._ping(target, self._sequence))

    def _next_target(self) -> Member | None:
        self._n_probes += 1
        if self._n_probes % DEAD_PROBE_INTERVAL == 0:
            dead = [m for m in self.member_table.members_by_id.values() if m.is_dead]
            if dead:
                return self._rng.choice(dead)
        for _ in range(2):
            while self._probe_order:
                member = self.member_table.members_by_id.get(self._probe_order.pop())
                if member is not None and not member.is_dead:
                    return member
            self._probe_order = [
                m.host.host_id for m in self.member_table.non_dead_members()
            ]
            self._rng.shuffle(self._probe_order)
        return None

    def _ping(self, target: Member, sequence: int) -> Send:
        """Return a ping; a suspect or dead target gets its own update, to refute it."""
        priority_updates: tuple[MemberUpdate, ...] = ()
        if target.health is not Health.OK:
            priority_updates = (without_addresses(update_of(target)),)
        datagram = self._make_datagram(
            DatagramKind.PING, sequence, target.host.host_id, priority_updates
        )
        return Send(target.host.probe, datagram)

    def _check_probes(self, now_s: float, effects: list[Effect]) -> None:
        for sequence, probe in list(self._probes_by_sequence.items()):
            if now_s >= probe.fails_at_s:
                del self._probes_by_sequence[sequence]
                self._fail_probe(probe, now_s)
            elif now_s >= probe.indirect_at_s and not probe.is_indirect:
                self._probes_by_sequence[sequence] = probe._replace(is_indirect=True)
                self._probe_indirectly(probe.target, sequence, effects)
        for sequence, relayed in list(self._relays_by_sequence.items()):
            if now_s >= relayed.ends_at_s:
                del self._relays_by_sequence[sequence]

    def _probe_indirectly(
        self, target: HostId, sequence: int, effects: list[Effect]
    ) -> None:
        """Repeat a probe that timed out, directly and through other hosts."""
        member = self.member_table.members_by_id.get(target)
        if member is not None:
            effects.append(self._ping(member, sequence))
        relays = self._sample_members(self._timing.n_indirect_probes, without=target)
        for relay in relays:
            datagram = self._make_datagram(DatagramKind.PROBE_REQUEST, sequence, target)
            effects.append(Send(relay.host.probe, datagram))

    def _fail_probe(self, probe: _Probe, now_s: float) -> None:
        member = self.member_table.members_by_id.get(probe.target)
        if member is None or member.is_dead:
            return
        self.awareness = min(MAX_AWARENESS, self.awareness + 1)
        self._set_health(probe.target, Health.SUSPECT, now_s)

    def _set_health(self, host_id: HostId, health: Health, now_s: float) -> None:
        member = self.member_table.members_by_id.get(host_id)
        if member is None:
            self._suspicions_by_id.pop(host_id, None)
        else:
            update = without_addresses(update_of(member))._replace(health=health)
            self._apply_update(update, now_s)

    def _send_ack(
        self,
        datagram: Datagram,
        sender: MemberUpdate,
        address: Address,
        effects: list[Effect],
    ) -> None:
        """Acknowledge a ping.

        A sender whose incarnation is below the known one, as after a restart with an
        earlier clock, gets the known update and refutes it with a higher incarnation.
        """
        known = self.member_table.members_by_id.get(sender.host_id)
        priority_updates: tuple[MemberUpdate, ...] = ()
        if known is not None and known.incarnation > sender.incarnation:
            priority_updates = (without_addresses(update_of(known)),)
        own_id = self.own.host.host_id
        ack = self._make_datagram(
            DatagramKind.ACK, datagram.sequence, own_id, priority_updates
        )
        effects.append(Send(address, ack))

    def _handle_ack(
        self, datagram: Datagram, now_s: float, effects: list[Effect]
    ) -> None:
        relayed = self._relays_by_sequence.pop(datagram.sequence, None)
        if relayed is not None:
            ack = self._make_datagram(
                DatagramKind.ACK, relayed.sequence, datagram.target
            )
            effects.append(Send(relayed.address, ack))
            return
        probe = self._probes_by_sequence.pop(datagram.sequence, None)
        if probe is None:
            return
        self.awareness = max(0, self.awareness - 1)
        if datagram.target != probe.target:
            # A new host answers at the address of the probed one.
            self._set_health(probe.target, Health.DEAD, now_s)

    def _relay_probe(
        self,
        datagram: Datagram,
        address: Address,
        now_s: float,
        effects: list[Effect],
    ) -> None:
        target = self.member_table.members_by_id.get(datagram.target)
        if target is None:
            return
        self._sequence += 1
        ends_at_s = now_s + RELAY_TIMEOUT_S
        relayed = _RelayedProbe(address, datagram.sequence, ends_at_s)
        self._relays_by_sequence[self._sequence] = relayed
        effects.append(self._ping(target, self._sequence))

    # Updates

    def _apply_update(self, update: MemberUpdate, now_s: float) -> None:
        if update.host_id == self.own.host.host_id:
            self._refute_update(update)
            return
        before = self.member_table.members_by_id.get(update.host_id)
        is_changed = self.member_table.merge(update, now_s)
        if is_changed is None:
            return
        member = self.member_table.members_by_id[update.host_id]
        self._is_changed |= is_changed
        if before is None or _gossiped_state(before) != _gossiped_state(member):
            self._updates.add(_make_gossip_update(member))
        if member.health is not Health.SUSPECT:
            self._suspicions_by_id.pop(update.host_id, None)
        elif update.host_id not in self._suspicions_by_id:
            self._suspicions_by_id[update.host_id] = self._make_suspicion(now_s)

    def _refute_update(self, update: MemberUpdate) -> None:
        """Refute an update of suspicion or death, or one of an earlier start.

        An earlier start has a higher incarnation if the clock was set back since. The
        new incarnation is above that of the update.
        """
        own = self.own
        is_from_other_start = update.incarnation > own.incarnation
        is_reported_unhealthy = (
            update.incarnation == own.incarnation and update.health is not Health.OK
        )
        if is_from_other_start or is_reported_unhealthy:
            self.own = own._replace(incarnation=update.incarnation + 1)
            self._updates.add(update_of(self.own))

    def _sample_members(self, count: int, *, without: HostId = "") -> list[Member]:
        others = [
            member
            for member in self.member_table.members_by_id.values()
            if not member.is_dead and member.host.host_id != without
        ]
        return self._rng.sample(others, min(count, len(others)))

    def _make_datagram(
        self,
        kind: DatagramKind,
        sequence: int,
        target: HostId,
        priority_updates: tuple[MemberUpdate, ...] = (),
        *,
        least_urgent: Urgency = Urgency.START,
    ) -> Datagram:
        n_members = len(self.member_table.members_by_id)
        others = self._updates.take(
            n_members, RUMOUR_BYTES_PER_DATAGRAM, least_urgent=least_urgent
        )
        updates = (update_of(self.own), *priority_updates, *others)
        return Datagram(kind, sequence, target, self.documents, updates)

    def _gossip(self, effects: list[Effect]) -> None:
        """Send queued updates and document revisions to random hosts.

        The less of the byte budget is left, the more urgent an update has to be.
        """
        least_urgent = self._least_urgent_allowed()
        if not (self._updates.has_pending(least_urgent) or self._document_rounds_left):
            return
        self._document_rounds_left = max(0, self._document_rounds_left - 1)
        for member in self._sample_members(self._timing.fan_out):
            datagram = self._make_datagram(
                DatagramKind.GOSSIP, 0, member.host.host_id, least_urgent=least_urgent
            )
            self._budget_bytes -= DATAGRAM_OVERHEAD_BYTES + estimate_bytes(
                datagram.updates
            )
            effects.append(Send(member.host.probe, datagram))

    def _least_urgent_allowed(self) -> Urgency:
        """Return the lowest urgency that the remaining byte budget allows."""
        if self._budget_bytes < 0:
            return Urgency.LEAVING
        if self._budget_bytes < self._timing.gossip_burst_bytes / 2:
            return Urgency.JUDGEMENT
        return Urgency.START

    def _report_revisions(self, now_s: float, effects: list[Effect]) -> None:
        """Report the active revisions to the watchers of the data centre."""
        if not self._reports_at_s or now_s < self._reports_at_s[0]:
            return
        del self._reports_at_s[0]
        if not self._reports_at_s:
            self._reports_at_s = [now_s + self._timing.report_period_s]
        for member in self.watchers(self.own.host.data_centre):
            if member.host.host_id != self.own.host.host_id:
                datagram = self._make_datagram(
                    DatagramKind.GOSSIP, 0, member.host.host_id
                )
                effects.append(Send(member.host.probe, datagram))

    def watchers(self, data_centre: str) -> list[Member]:
        """Return the members that watch the platform for a data centre."""
        members_by_id = {
            **self.member_table.members_by_id,
            self.own.host.host_id: self.own,
        }
        watcher_ids = choose_watchers(members_by_id.values(), data_centre)
        return [members_by_id[name] for name in watcher_ids[:WATCHERS_PER_DATA_CENTRE]]

    def fleet_hosts(self) -> list[EntryHost]:
        """Return the hosts that serve or drain, including this one, sorted by id."""
        is_leaving = self.own.is_leaving
        state = HostState.LEAVING if is_leaving else HostState.LIVE
        own = self.own.host._replace(state=state)
        return sorted((own, *self.member_table.started_hosts()))


def _gossiped_state(member: Member) -> tuple[object, ...]:
    """Return the properties of a member whose changes are gossiped."""
    return member.incarnation, member.state, member.health


def _make_gossip_update(member: Member) -> MemberUpdate:
    """Return the update to gossip, in short form if peers should know the host."""
    update = update_of(member)
    return update if member.health is Health.OK else without_addresses(update)
