"""Stateful property test of hosts that claim, commit and cancel one chunk.

Writes to the platform are delayed, duplicated or lost, responses are lost, and hosts
pause for arbitrary durations while their clocks advance.
"""

from __future__ import annotations

import itertools
from typing import NamedTuple

from hypothesis import HealthCheck, Phase, seed, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from damaskjunction.batch import (
    Chunk,
    ChunkClaim,
    ChunkState,
    ChunkWrite,
    LeaseTracker,
    may_claim,
)

LEASE_S = 10.0
N_STEPS = 30
SEEDS = (1, 2, 3)  # the draws of one depend on constants all over the sources
HOST_NAMES = ("a", "b")
hosts = st.sampled_from(HOST_NAMES)
# "answered" is listed twice to make it the most frequent outcome.
delivery_outcomes = st.sampled_from(
    ["answered", "answered", "response lost", "late", "twice"]
)


class StoredChunk(NamedTuple):
    chunk: Chunk
    operation_id: str


class Host:
    """Local state of one host, with its outstanding reads and writes."""

    def __init__(self):
        self.lease_tracker = LeaseTracker()
        self.claim = None
        self.job_read = None
        self.is_job_state_recorded = False
        self.is_stop_requested = False


class ClaimMachine(RuleBasedStateMachine):
    """The true state of the platform, and hosts behind an unreliable network."""

    injected_fault = ""

    def __init__(self):
        super().__init__()
        self.now_s = 0.0
        self.operation_ids = (f"op-{n}" for n in itertools.count())
        self.stored = StoredChunk(Chunk("job.00000"), "")
        self.versions = itertools.count(1)
        self.hosts = {name: Host() for name in HOST_NAMES}
        self.delayed_writes = []
        self.results_by_part = {}
        self.committed = None
        self.is_cancelled = False
        self.cancelled_at_s = None
        self.holders = None
        self.is_cancel_acknowledged = False

    def apply(self, write: ChunkWrite):
        """Apply a conditional update; return the new version, None on a conflict."""
        if self.stored.operation_id == write.operation_id:
            return self.stored.chunk.version
        if self.stored.chunk.version != write.expected_version:
            return None
        was_done = self.stored.chunk.state is ChunkState.DONE
        chunk = write.chunk._replace(version=next(self.versions))
        self.stored = StoredChunk(chunk, write.operation_id)
        if was_done:
            raise AssertionError("a completed chunk was modified")
        return chunk.version

    def results(self):
        return [self.results_by_part[name] for name in self.stored.chunk.parts]

    def deliver_response(self, host: Host, version):
        write = host.claim.pending
        is_commit = write.chunk.state is ChunkState.DONE
        if version is not None:
            host.claim.record_success(write, version)
        elif self.injected_fault == "unconditional commit" and is_commit:
            self.apply(write._replace(expected_version=self.stored.chunk.version))
            host.claim.record_conflict()
        else:
            host.claim.record_conflict()
        if host.claim.is_lost or host.claim.chunk.state is not ChunkState.CLAIMED:
            host.claim = None

    def claim_without_pending_write(self, name):
        claim = self.hosts[name].claim
        return claim if claim is not None and claim.pending is None else None

    @rule(duration_s=st.sampled_from([1.0, 11.0]))
    def pass_time(self, duration_s):
        """Advance all clocks by less or more than a lease.

        Hosts without a claim first observe the chunk.
        """
        for host in self.hosts.values():
            if host.claim is None:
                host.lease_tracker.observe(self.stored.chunk, self.now_s)
        self.now_s += duration_s

    @rule(name=hosts, delivery_outcome=delivery_outcomes)
    def make_progress(self, name, delivery_outcome):
        """Run the next step of one host; the hosts not selected are paused."""
        host = self.hosts[name]
        if host.claim is None:
            self.try_claim(name, host, delivery_outcome)
        elif host.claim.pending is not None:
            self.send(host, delivery_outcome)
        elif host.job_read is None:
            host.job_read = (not self.is_cancelled, self.now_s)
        elif not host.is_job_state_recorded:
            self.record_job_state(host)
        elif host.claim.may_start(self.now_s):
            assert not self.is_cancel_acknowledged, (
                "an item started after the cancellation"
            )

    def try_claim(self, name, host, delivery_outcome):
        host.lease_tracker.observe(self.stored.chunk, self.now_s)
        if may_claim(self.stored.chunk, host.lease_tracker, LEASE_S, self.now_s):
            host.claim = ChunkClaim(
                self.stored.chunk, name, LEASE_S, lambda: next(self.operation_ids)
            )
            host.claim.claim(self.now_s)
            host.job_read = None
            host.is_job_state_recorded = False
            host.is_stop_requested = False
            self.send(host, delivery_outcome)

    def send(self, host, delivery_outcome):
        """Send the pending write; a late write is applied after any delay or never."""
        if delivery_outcome == "late":
            self.delayed_writes.append(host.claim.pending)
            return
        version = self.apply(host.claim.pending)
        if delivery_outcome == "twice":
            self.delayed_writes.append(host.claim.pending)
        if delivery_outcome != "response lost":
            self.deliver_response(host, version)

    def record_job_state(self, host):
        is_open, read_at_s = host.job_read
        if self.injected_fault == "job record is not checked":
            is_open = True
        host.claim.record_job_state(is_open and not host.is_stop_requested, read_at_s)
        host.is_job_state_recorded = True

    @precondition(lambda self: self.delayed_writes)
    @rule(position=st.integers(0, 9))
    def apply_delayed_write(self, position):
        self.apply(self.delayed_writes.pop(position % len(self.delayed_writes)))

    @rule(name=hosts, delivery_outcome=delivery_outcomes)
    def renew(self, name, delivery_outcome):
        claim = self.claim_without_pending_write(name)
        if claim is not None:
            claim.renew(self.now_s)
            self.hosts[name].job_read = None
            self.hosts[name].is_job_state_recorded = False
            self.send(self.hosts[name], delivery_outcome)

    @rule(name=hosts, is_whole=st.booleans(), delivery_outcome=delivery_outcomes)
    def end_claim(self, name, is_whole, delivery_outcome):
        claim = self.claim_without_pending_write(name)
        if claim is None:
            return
        content = (name, claim.chunk.epoch)
        assert self.results_by_part.setdefault(claim.part, content) == content
        finish = claim.commit if is_whole else claim.release
        finish(1, 0, self.now_s)
        self.send(self.hosts[name], delivery_outcome)

    @rule(name=hosts)
    def cancel(self, name):
        """Run the next cancellation step: mark, list holders, stop one, acknowledge."""
        if not self.is_cancelled:
            self.is_cancelled = True
            self.cancelled_at_s = self.now_s
        elif self.holders is None:
            chunk = self.stored.chunk
            is_held = chunk.state is ChunkState.CLAIMED
            self.holders = {chunk.holder} if is_held else set()
        elif name in self.holders:
            host = self.hosts[name]
            host.is_stop_requested = True
            if host.claim is not None:
                host.claim.stop()
            self.holders.discard(name)
        elif not self.holders or self.now_s - self.cancelled_at_s >= LEASE_S:
            self.is_cancel_acknowledged = True

    @invariant()
    def results_never_change(self):
        chunk = self.stored.chunk
        assert len(set(chunk.parts)) == len(chunk.parts), (
            "a result part is counted twice"
        )
        if chunk.state is ChunkState.DONE:
            if self.committed is None:
                self.committed = self.results()
            assert self.results() == self.committed


class UnconditionalCommitMachine(ClaimMachine):
    injected_fault = "unconditional commit"


class UncheckedJobRecordMachine(ClaimMachine):
    injected_fault = "job record is not checked"


MACHINES = {
    "none": ClaimMachine,
    "unconditional commit": UnconditionalCommitMachine,
    "job record is not checked": UncheckedJobRecordMachine,
}


def run_machine(injected_fault: str, n_examples: int) -> None:
    """Run the machine on examples, with an injected fault on those of several seeds."""
    machine = MACHINES[injected_fault]
    for number in SEEDS if injected_fault != "none" else SEEDS[:1]:
        seeded = seed(number)(type(machine.__name__, (machine,), {}))
        run_state_machine_as_test(
            seeded,
            settings=settings(
                max_examples=n_examples,
                stateful_step_count=N_STEPS,
                database=None,
                deadline=None,
                print_blob=False,
                phases=(Phase.generate,),
                suppress_health_check=list(HealthCheck),
            ),
        )
