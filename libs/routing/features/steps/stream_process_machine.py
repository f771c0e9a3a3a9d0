"""Stateful property test: runners come back under their ids while entries are late.

The model knows which version each process has. Hosts get entries and records in any
order and late, are killed, and act as homes that choose runners by their own entries.
Streams break off, go on in one answer, or are taken up at any host.
"""

from __future__ import annotations

from typing import NamedTuple

from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    rule,
)
from machine_runs import run_deterministic

from damaskjunction.core import Address, Runner, ServiceKind
from damaskjunction.routing import (
    FormerEntries,
    OriginMemory,
    StreamFacts,
    StreamOrigin,
    StreamWriter,
    SupersededProcesses,
    VersionLedger,
    VersionRecord,
    origin_of,
    runner_denial,
    take_up_denial,
)

SERVICE = "llm"
VERSIONS = ("v1", "v2")
HOSTS = ("h0", "h1", "h2")
RUNNERS = ("r0", "r1", "r2")
N_STEPS = 50
STEP_S = 0.5
RETENTION_S = 1e6  # of closed versions: what becomes of them is another test's matter

hosts = st.sampled_from(HOSTS)
runners = st.sampled_from(RUNNERS)
versions = st.sampled_from(VERSIONS)
positions = st.integers(0, 20)


class ModelHost:
    def __init__(self):
        self.ledger = VersionLedger()
        self.memory = OriginMemory()
        self.entries = {}
        self.former = FormerEntries()
        self.superseded = SupersededProcesses()


class ModelWriter(NamedTuple):
    origin: StreamOrigin
    began_at_s: float


class ModelStream:
    """A stream; ``host`` serves it, and ``texts`` are the versions of its events."""

    def __init__(self, host):
        self.host = host
        self.writers = []
        self.texts = []


class StreamProcessMachine(RuleBasedStateMachine):
    are_new_streams_checked = True
    are_resumed_streams_checked = True
    is_record_checked = True

    def __init__(self):
        super().__init__()
        self.now_s = 100.0
        self.are_peers_told = True
        self.processes = {}
        self.store = {}
        self.record, self.revision = VersionRecord(("v1",)), 2
        self.hosts = {name: ModelHost() for name in HOSTS}
        self.streams = {}
        for name in RUNNERS:
            self.restart_runner(name, "v1", True)
        for name in HOSTS:
            self.deliver(name, True)
        self.review(HOSTS[0])
        self.advance_time()

    @rule(name=runners, version=versions, is_listed=st.booleans())
    def restart_runner(self, name, version, is_listed):
        self.now_s += STEP_S
        address = Address("127.0.0.1", 1 + RUNNERS.index(name))
        kind = ServiceKind.ENGINE
        born_ms = int(self.now_s * 1000)
        entry = Runner(name, "", "", address, kind, SERVICE)
        self.processes[name] = entry._replace(version=version, born_ms=born_ms)
        if is_listed:
            self.list_runner(name)

    @rule(name=runners)
    def list_runner(self, name):
        if name in self.processes:
            self.store[name] = self.processes[name]

    @rule(name=runners, is_listed=st.booleans())
    def end_runner(self, name, is_listed):
        self.processes.pop(name, None)
        if not is_listed:
            self.store.pop(name, None)

    @rule(name=hosts, has_record=st.booleans())
    def deliver(self, name, has_record):
        """Let a host know the entries, and perhaps the record, as they are now."""
        host = self.hosts[name]
        for runner_id, former in host.entries.items():
            current = self.store.get(runner_id)
            if current != former:
                host.former.record(former, current, self.now_s)
        host.entries = dict(self.store)
        was_mixed = host.ledger.is_mixed
        listed = frozenset(entry.version for entry in host.entries.values())
        host.ledger.observe_listed(listed)
        if has_record:
            host.ledger.observe_record(self.record, self.revision)
        if host.ledger.is_mixed and not was_mixed:
            for origin in host.memory.of_service(SERVICE, self.now_s):
                self.tell_peers(origin)

    @rule(name=hosts)
    def review(self, name):
        """Let any host write the record, as the home of the service does."""
        ledger = self.hosts[name].ledger
        desired = ledger.review(self.now_s, RETENTION_S)
        if desired is None:
            return
        if self.record is None or ledger.revision == self.revision:
            self.record, self.revision = desired, self.revision + 1
        ledger.observe_record(self.record, self.revision)

    @rule()
    def advance_time(self):
        self.now_s += STEP_S
        for name in HOSTS:
            self.deliver(name, True)
            self.review(name)

    @rule(name=hosts)
    def kill_host(self, name):
        self.hosts[name] = ModelHost()

    def tell_peers(self, origin):
        for peer in self.hosts.values() if self.are_peers_told else ():
            peer.memory.record(origin, self.now_s)

    @rule(name=hosts, runner=runners)
    def begin_stream(self, name, runner):
        stream = ModelStream(name)
        if self.write(stream, runner, f"s{len(self.streams)}"):
            self.streams[f"s{len(self.streams)}"] = stream

    @rule(name=hosts, runner=runners, version=versions, other=runners, host=hosts)
    def begin_unlisted_and_go_on(self, name, runner, version, other, host):
        """Begin at a process whose entry is late, and go on here and elsewhere."""
        self.restart_runner(runner, version, False)
        self.begin_stream(name, runner)
        self.processes.pop(runner)
        self.resume(len(self.streams) - 1, other)
        self.take_up(len(self.streams) - 1, host, other)

    @rule(name=hosts, runner=runners, version=versions, other=runners, host=hosts)
    def begin_released_and_die(self, name, runner, version, other, host):
        """Begin at a new version, and die before any other host is told."""
        self.restart_runner(runner, version, True)
        self.deliver(name, False)
        self.are_peers_told = False
        self.begin_stream(name, runner)
        self.are_peers_told = True
        self.kill_host(name)
        self.take_up(len(self.streams) - 1, host, other)

    @rule(position=positions, runner=runners)
    def resume(self, position, runner):
        """Go on with a stream in one answer, at the host that serves it."""
        if self.streams:
            request_id = list(self.streams)[position % len(self.streams)]
            self.write(self.streams[request_id], runner, request_id)

    @rule(position=positions, name=hosts, runner=runners)
    def take_up(self, position, name, runner):
        """Go on with a stream at any host, as its caller asks."""
        if not self.streams:
            return
        request_id = list(self.streams)[position % len(self.streams)]
        origin = self.find_origin(name, request_id)
        listed = self.hosts[name].entries.values()
        if take_up_denial(origin, [SERVICE], listed) is not None:
            return
        stream = self.streams[request_id]
        stream.host = name
        stream.writers = [ModelWriter(origin, self.now_s - origin.age_s)]
        self.write(stream, runner, request_id)

    def find_origin(self, name, request_id):
        host = self.hosts[name]
        origin = host.memory.find(request_id, self.now_s)
        if origin is None and not host.ledger.is_mixed and self.record is not None:
            version = self.record.sole_version
            if version is not None:
                return StreamOrigin(request_id, SERVICE, version, "", 0, 0.0)
        for peer in self.hosts.values():
            origin = origin or peer.memory.find(request_id, self.now_s)
        return origin

    def write(self, stream, runner_id, request_id):
        """Let a runner write an event, if the stream's host may send it there."""
        host = self.hosts[stream.host]
        entry = host.entries.get(runner_id)
        if entry is None or self.denial(stream, host, entry) is not None:
            return False
        process = self.processes.get(runner_id)
        is_new = not stream.writers
        is_checked = (
            self.are_new_streams_checked if is_new else self.are_resumed_streams_checked
        )
        if process is None or (is_checked and not self.is_listed(host, entry)):
            return False
        origin = origin_of(request_id, entry, is_proved=is_checked)
        stream.writers.append(ModelWriter(origin, self.now_s))
        if is_new:
            self.record_origin(host, origin)
        stream.texts.append(process.version)
        assert len(set(stream.texts)) == 1, f"{request_id} holds {stream.texts}"
        return True

    def is_listed(self, host, entry):
        """Return whether the process at the end of a connection is the one listed."""
        process = self.processes[entry.runner_id]
        is_known_later = host.superseded.has(entry)
        host.superseded.record_answer(entry, process.born_ms)
        is_listed = process.born_ms == entry.born_ms
        assert not (is_known_later and is_listed), entry
        return is_listed

    def record_origin(self, host, origin):
        host.memory.record(origin, self.now_s)
        if host.ledger.is_mixed:
            self.tell_peers(origin)

    def denial(self, stream, host, entry):
        facts = StreamFacts(
            [self.known(host, writer) for writer in stream.writers], self.now_s
        )
        is_announced = host.ledger.may_begin(entry.version)
        return runner_denial(
            facts, entry, is_announced=is_announced or not self.is_record_checked
        )

    def known(self, host, writer):
        origin, began_at_s = writer
        entries = host.former.since(origin.runner_id, began_at_s, self.now_s)
        listed = host.entries.get(origin.runner_id)
        origin = origin._replace(age_s=self.now_s - began_at_s)
        return StreamWriter(origin, entries if listed is None else [*entries, listed])

    def teardown(self):
        """Check that a proved stream goes on while a runner of its version serves."""
        name = HOSTS[0]
        self.restart_runner("r0", "v1", True)
        self.restart_runner("r1", "v2", True)
        for _ in range(8):
            self.advance_time()
        for runner, position in (("r0", 0), ("r1", 1)):
            request_id = f"last{position}"
            stream = self.streams[request_id] = ModelStream(name)
            assert self.write(stream, runner, request_id), f"no new stream at {runner}"
            self.restart_runner(runner, VERSIONS[1 - position], True)
            self.restart_runner("r2", VERSIONS[position], True)
            for _ in range(8):
                self.advance_time()
            origin = self.find_origin(HOSTS[1], request_id)
            stream.host = HOSTS[1]
            stream.writers = [ModelWriter(origin, self.now_s - origin.age_s)]
            assert self.write(stream, "r2", request_id), f"{request_id} is refused"
            self.restart_runner("r1", "v2", True)
            for _ in range(8):
                self.advance_time()


class UncheckedBeginMachine(StreamProcessMachine):
    are_new_streams_checked = False


class UncheckedResumeMachine(StreamProcessMachine):
    are_resumed_streams_checked = False


class UnannouncedMachine(StreamProcessMachine):
    is_record_checked = False


MACHINE_TYPES = {
    "none": StreamProcessMachine,
    "no process is asked for before a stream begins": UncheckedBeginMachine,
    "no process is asked for before a stream goes on": UncheckedResumeMachine,
    "the host that begins a stream looks at no record": UnannouncedMachine,
}


def run_machine(fault, n_examples):
    run_deterministic(MACHINE_TYPES[fault], n_examples, N_STEPS)
