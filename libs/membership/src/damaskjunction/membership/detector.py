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

from damaskjunction.core import Address, EntryHost, HostId, HostState, Revision
from damaskjunction.membership.gossip import Gossiper
from damaskjunction.membership.local_health import LocalHealth
from damaskjunction.membership.member_table import MemberTable
from damaskjunction.membership.merging import refute_update
from damaskjunction.membership.probing import PendingProbe, ProbeSchedule
from damaskjunction.membership.report_schedule import ReportSchedule
from damaskjunction.membership.suspicions import SuspicionTable
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
    update_of,
    without_addresses,
)

MAX_DATAGRAM_BYTES = 1400


class FailureDetector:
    """Detects failures of other hosts and gossips about changes.

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
        self._timing = timing
        self._health = LocalHealth(timing)
        self._probes = ProbeSchedule(self.member_table, rng)
        self._gossiper = Gossiper(self.member_table, rng, timing)
        self._suspicions = SuspicionTable(timing.suspicion_timeout_s)
        self._reports = ReportSchedule(timing.report_period_s)
        self._probe_at_s = 0.0
        self._is_changed = False

    @property
    def awareness(self) -> int:
        """The local health score, see ``LocalHealth``."""
        return self._health.awareness

    def tick(self, now_s: float) -> list[Effect]:
        """Advance probes, suspicions and gossip; call it every ``timing.tick_s``."""
        effects: list[Effect] = []
        self._handle_pause(now_s)
        self._check_probes(now_s, effects)
        self._check_suspicions(now_s, effects)
        if now_s >= self._probe_at_s:
            self._probe_at_s = now_s + self._timing.probe_period_s
            self._probe_next(now_s, effects)
        effects += self._gossiper.gossip(self.own)
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
        self._health.record_datagram(now_s)
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
        self._gossiper.set_documents(documents)

    def announce(self, documents: tuple[DocumentRevision, ...]) -> list[Effect]:
        """Gossip the document revisions of this host now and on the next ticks."""
        self._gossiper.set_documents(documents)
        return self._gossiper.gossip(self.own)

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
            self._reports.restart(now_s)
        if is_starting and state is MemberState.ALIVE:
            self._gossiper.add(update_of(own))

    def leave(self) -> list[Effect]:
        """Gossip that this host is leaving, with a refilled byte budget."""
        self.own = self.own._replace(state=MemberState.LEAVING)
        self._gossiper.add(update_of(self.own))
        self._gossiper.refill_fully()
        return self._gossiper.gossip(self.own)

    def member_updates(self) -> list[MemberUpdate]:
        """Return an update about every known host, this one first."""
        others = self.member_table.members_by_id.values()
        return [update_of(member) for member in (self.own, *others)]

    def is_isolated(self, now_s: float) -> bool:
        """Return whether no datagrams arrive, so that suspicions must not expire."""
        n_peers = len(self.member_table.non_dead_members())
        return self._health.is_isolated(n_peers, now_s)

    def _finish(self, effects: list[Effect]) -> list[Effect]:
        if self._is_changed:
            self._is_changed = False
            effects.append(MembersChanged())
        return effects

    # Pauses and suspicions

    def _handle_pause(self, now_s: float) -> None:
        """Refill the byte budget, and reset probes and suspicions after a pause.

        A host that was suspended missed acknowledgements itself, so the silence of
        others during the pause is no sign of failure.
        """
        elapsed_s = self._health.begin_tick(now_s)
        self._gossiper.refill(elapsed_s)
        if not self._health.is_pause(elapsed_s):
            return
        self._health.record_pause()
        self._probes.clear()
        self._suspicions.restart(now_s, self.awareness)

    def _check_suspicions(self, now_s: float, effects: list[Effect]) -> None:
        """Probe suspects once more; declare dead those whose suspicion expired."""
        if not self._suspicions or self.is_isolated(now_s):
            return
        for due in self._suspicions.take_due(now_s):
            member = self.member_table.members_by_id.get(due.host_id)
            if due.has_expired:
                self._set_health(due.host_id, Health.DEAD, now_s)
            elif member is not None:
                effects.append(self._ping(member, 0))

    # Probes

    def _probe_next(self, now_s: float, effects: list[Effect]) -> None:
        target = self._probes.next_target()
        if target is None:
            return
        timeout_factor = self._health.timeout_factor
        indirect_at_s = now_s + self._timing.ack_timeout_s * timeout_factor
        fails_at_s = now_s + self._timing.probe_period_s * timeout_factor
        probe = PendingProbe(target.host.host_id, indirect_at_s, fails_at_s)
        effects.append(self._ping(target, self._probes.begin(probe)))

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
        for due in self._probes.take_due(now_s):
            if due.has_failed:
                self._fail_probe(due.target, now_s)
            else:
                self._probe_indirectly(due.target, due.sequence, effects)

    def _probe_indirectly(
        self, target: HostId, sequence: int, effects: list[Effect]
    ) -> None:
        """Repeat a probe that timed out, directly and through other hosts."""
        member = self.member_table.members_by_id.get(target)
        if member is not None:
            effects.append(self._ping(member, sequence))
        n_relays = self._timing.n_indirect_probes
        for relay in self._gossiper.sample_members(n_relays, without=target):
            datagram = self._make_datagram(DatagramKind.PROBE_REQUEST, sequence, target)
            effects.append(Send(relay.host.probe, datagram))

    def _fail_probe(self, target: HostId, now_s: float) -> None:
        member = self.member_table.members_by_id.get(target)
        if member is None or member.is_dead:
            return
        self._health.record_failed_probe()
        self._set_health(target, Health.SUSPECT, now_s)

    def _set_health(self, host_id: HostId, health: Health, now_s: float) -> None:
        member = self.member_table.members_by_id.get(host_id)
        if member is None:
            self._suspicions.end(host_id)
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
        relayed = self._probes.end_relay(datagram.sequence)
        if relayed is not None:
            ack = self._make_datagram(
                DatagramKind.ACK, relayed.sequence, datagram.target
            )
            effects.append(Send(relayed.address, ack))
            return
        probe = self._probes.end(datagram.sequence)
        if probe is None:
            return
        self._health.record_acknowledged_probe()
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
        sequence = self._probes.begin_relay(address, datagram.sequence, now_s)
        effects.append(self._ping(target, sequence))

    # Updates

    def _apply_update(self, update: MemberUpdate, now_s: float) -> None:
        if update.host_id == self.own.host.host_id:
            refuted = refute_update(self.own, update)
            if refuted is not None:
                self.own = refuted
                self._gossiper.add(update_of(refuted))
            return
        before = self.member_table.members_by_id.get(update.host_id)
        is_changed = self.member_table.merge(update, now_s)
        if is_changed is None:
            return
        member = self.member_table.members_by_id[update.host_id]
        self._is_changed |= is_changed
        self._gossiper.add_change(before, member)
        if member.health is not Health.SUSPECT:
            self._suspicions.end(update.host_id)
        else:
            self._suspicions.begin(update.host_id, now_s, self.awareness)

    def _make_datagram(
        self,
        kind: DatagramKind,
        sequence: int,
        target: HostId,
        priority_updates: tuple[MemberUpdate, ...] = (),
    ) -> Datagram:
        return self._gossiper.make_datagram(
            self.own, kind, sequence, target, priority_updates
        )

    def _report_revisions(self, now_s: float, effects: list[Effect]) -> None:
        """Report the active revisions to the watchers of the data centre."""
        if not self._reports.take_due(now_s):
            return
        for member in self.watchers(self.own.host.data_centre):
            if member.host.host_id != self.own.host.host_id:
                datagram = self._make_datagram(
                    DatagramKind.GOSSIP, 0, member.host.host_id
                )
                effects.append(Send(member.host.probe, datagram))

    def watchers(self, data_centre: str) -> list[Member]:
        """Return the members that watch the platform for a data centre."""
        return self.member_table.watchers(self.own, data_centre)

    def fleet_hosts(self) -> list[EntryHost]:
        """Return the hosts that serve or drain, including this one, sorted by id."""
        is_leaving = self.own.is_leaving
        state = HostState.LEAVING if is_leaving else HostState.LIVE
        own = self.own.host._replace(state=state)
        return sorted((own, *self.member_table.started_hosts()))
