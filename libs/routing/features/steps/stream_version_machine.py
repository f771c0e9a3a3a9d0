"""Stateful property test: hosts begin streams and callers take them up elsewhere.

The model knows which version wrote each stream. Hosts see entries and records late and
are killed, any of them may act as the home, and versions come and go.
"""

from __future__ import annotations

from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    rule,
)
from machine_runs import run_deterministic

from damaskjunction.core import Address, Runner, ServiceKind
from damaskjunction.routing import (
    OriginMemory,
    VersionLedger,
    VersionRecord,
    origin_of,
    proven_version,
)

SERVICE = "llm"
VERSIONS = ("v1", "v2", "v3")
HOSTS = ("h0", "h1", "h2")
N_STEPS = 40
SEEDS = (None, 1, 2, 3)  # None: the draws that the name of the machine gives
STEP_S = 0.5
STREAM_LIFE_S = 5.0
MAX_LAG_S = 2.0
RETENTION_S = 2.0 * STREAM_LIFE_S + MAX_LAG_S

hosts = st.sampled_from(HOSTS)
versions = st.sampled_from(VERSIONS)


class UnannouncedLedger(VersionLedger):
    """Injected fault: a version begins streams before the record names it."""

    def may_begin(self, version):
        return version in self.listed


class HastyLedger(VersionLedger):
    """Injected fault: a version is dropped as soon as it is closed."""

    def _closed_to_keep(self, record, now_s, retention_s):
        return []


class ModelHost:
    def __init__(self, ledger_type):
        self.ledger = ledger_type()
        self.memory = OriginMemory()
        self.listed_late_s = self.record_late_s = 0.0


class StreamVersionMachine(RuleBasedStateMachine):
    ledger_type: type[VersionLedger] = VersionLedger

    def __init__(self):
        super().__init__()
        self.now_s = 100.0
        self.n_streams = 0
        self.listed = frozenset()
        self.record: VersionRecord | None = None
        self.revision = 1
        self.streams = {}
        self.hosts = {name: ModelHost(self.ledger_type) for name in HOSTS}

    @rule(version=versions)
    def list_version(self, version):
        self.listed |= {version}

    @rule(version=versions)
    def unlist_version(self, version):
        self.listed -= {version}

    @rule(name=hosts)
    def deliver_listed(self, name):
        host = self.hosts[name]
        host.listed_late_s = 0.0
        was_mixed = host.ledger.is_mixed
        host.ledger.observe_listed(self.listed)
        self.tell_peers_if_mixed(name, was_mixed)

    @rule(name=hosts)
    def deliver_record(self, name):
        host = self.hosts[name]
        host.record_late_s = 0.0
        was_mixed = host.ledger.is_mixed
        host.ledger.observe_record(self.record, self.revision)
        self.tell_peers_if_mixed(name, was_mixed)

    def tell_peers_if_mixed(self, name, was_mixed):
        host = self.hosts[name]
        if host.ledger.is_mixed and not was_mixed:
            for origin in host.memory.of_service(SERVICE, self.now_s):
                self.tell_peers(origin)

    def tell_peers(self, origin):
        for peer in self.hosts.values():
            peer.memory.record(origin, self.now_s)

    @rule(name=hosts)
    def kill_host(self, name):
        self.hosts[name] = ModelHost(self.ledger_type)

    @rule(name=hosts, version=versions)
    def take_up_all_after_kill(self, name, version):
        self.list_version(version)
        self.deliver_listed(name)
        self.begin_stream(name, version)
        for host_name in HOSTS:
            self.kill_host(host_name)
            self.deliver_listed(host_name)
        for position in range(len(self.streams)):
            self.take_up_stream(name, position)

    @rule(name=hosts)
    def review(self, name):
        ledger = self.hosts[name].ledger
        desired = ledger.review(self.now_s, RETENTION_S)
        if desired is None:
            return
        if self.record is None or ledger.revision == self.revision:
            self.record, self.revision = desired, self.revision + 1
        ledger.observe_record(self.record, self.revision)

    @rule(name=hosts, version=versions, n_steps=st.integers(1, 30))
    def replace_version(self, name, version, n_steps):
        """Release one version in place of all others, and then begin its streams."""
        old_versions = self.listed
        self.listed |= {version}
        self.advance_time(name, n_steps % 5 + 1)
        for host_name in HOSTS:
            for old_version in sorted(old_versions):
                self.begin_stream(host_name, old_version)
        self.listed = frozenset({version})
        self.advance_time(name, n_steps % 7 + 1)

    @rule(name=hosts, n_steps=st.integers(1, 40))
    def advance_time(self, name, n_steps):
        for _ in range(n_steps):
            self.now_s += STEP_S
            for host_name, host in self.hosts.items():
                host.listed_late_s += STEP_S
                host.record_late_s += STEP_S
                if host.listed_late_s >= MAX_LAG_S:
                    self.deliver_listed(host_name)
                if host.record_late_s >= MAX_LAG_S:
                    self.deliver_record(host_name)
            self.review(name)

    @rule(name=hosts, version=versions)
    def begin_stream(self, name, version):
        host = self.hosts[name]
        if version not in host.ledger.listed or not host.ledger.may_begin(version):
            return
        self.n_streams += 1
        runner = Runner(
            f"r-{version}",
            "",
            "",
            Address("127.0.0.1", 1),
            ServiceKind.PLAIN,
            SERVICE,
            version=version,
        )
        origin = origin_of(f"s{self.n_streams}", runner)
        self.streams[origin.request_id] = (version, self.now_s)
        host.memory.record(origin, self.now_s)
        if host.ledger.is_mixed:
            self.tell_peers(origin)

    @rule(name=hosts, position=st.integers(0, 20))
    def take_up_stream(self, name, position):
        live = [
            request_id
            for request_id, (_, began_at_s) in self.streams.items()
            if self.now_s - began_at_s <= STREAM_LIFE_S
        ]
        if not live:
            return
        request_id = live[position % len(live)]
        found = self.version_of(name, request_id)
        truth = self.streams[request_id][0]
        assert found in (None, truth), f"{request_id} of {truth} goes on at {found}"
        is_known = any(
            host.memory.find(request_id, self.now_s) for host in self.hosts.values()
        )
        assert found or not is_known, f"{request_id} is known but refused"

    def version_of(self, name, request_id):
        for host in (self.hosts[name], *self.hosts.values()):
            origin = host.memory.find(request_id, self.now_s)
            if origin is not None:
                return proven_version(origin, (), self.now_s)
        return self.version_of_record(name)

    def version_of_record(self, name):
        return self.record.sole_version if self.record is not None else None


class UnannouncedMachine(StreamVersionMachine):
    ledger_type = UnannouncedLedger


class HastyMachine(StreamVersionMachine):
    ledger_type = HastyLedger


class SoleListedMachine(StreamVersionMachine):
    """Injected fault: the only version that is listed now is taken as proof."""

    def version_of_record(self, name):
        listed = self.hosts[name].ledger.listed
        return next(iter(listed)) if len(listed) == 1 else None


MACHINE_TYPES = {
    "none": StreamVersionMachine,
    "a version begins streams unannounced": UnannouncedMachine,
    "a version is dropped when it is closed": HastyMachine,
    "the only version listed is taken as proof": SoleListedMachine,
}


def run_machine(fault, n_examples):
    run_deterministic(MACHINE_TYPES[fault], n_examples, N_STEPS, SEEDS)
