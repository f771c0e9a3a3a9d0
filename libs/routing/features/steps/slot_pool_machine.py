"""Stateful property test: requests ask a slot pool for slots and release them."""

from __future__ import annotations

from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
)
from machine_runs import run_deterministic

from damaskjunction.core import WorkClass
from damaskjunction.routing import (
    GrantSlot,
    RefuseSlot,
    RevokeSlot,
    SlotPool,
    SlotTicket,
)

N_STEPS = 60
SLOTS_BY_RUNNER = {"a": 2, "b": 3}
MAX_WAIT_S = 2.0


class UncountedSlotPool(SlotPool):
    """Injected fault: some held slots are not counted as used."""

    def _record_held(self, ticket, runner_id, now_s):
        super()._record_held(ticket, runner_id, now_s)
        if ticket.request_id.endswith("7"):
            self._held.used_by_runner[runner_id] -= 1


class BatchFirstPool(SlotPool):
    """Injected fault: batch requests are served before waiting online requests."""

    def _grant_online(self, free_by_runner, now_s):
        if len(self._waiting_batch) > 1:
            return []
        return super()._grant_online(free_by_runner, now_s)


class SlotPoolMachine(RuleBasedStateMachine):
    pool_type: type[SlotPool] = SlotPool

    def __init__(self):
        super().__init__()
        self.now_s = 100.0
        self.n_requested = 0
        self.pool = self.pool_type()
        self.class_by_id = {}
        self.waiting = set()
        self.runner_by_id = {}
        self.revoked = set()
        self.apply_effects(self.pool.set_runners(SLOTS_BY_RUNNER, self.now_s))

    def apply_effects(self, effects):
        for effect in effects:
            request_id = effect.request_id
            match effect:
                case GrantSlot(_, runner_id):
                    assert request_id in self.waiting, (
                        "granted a request that does not wait"
                    )
                    self.waiting.discard(request_id)
                    self.runner_by_id[request_id] = runner_id
                case RefuseSlot():
                    assert request_id in self.waiting, (
                        "refused a request that does not wait"
                    )
                    assert effect.retry_after_s > 0
                    self.waiting.discard(request_id)
                case RevokeSlot():
                    assert request_id in self.runner_by_id, (
                        "revoked a request that holds no slot"
                    )
                    assert self.class_by_id[request_id] is WorkClass.BATCH
                    assert request_id not in self.revoked, "revoked the same slot twice"
                    self.revoked.add(request_id)

    @rule(
        work_class=st.sampled_from(WorkClass),
        is_repeated=st.booleans(),
        workspace=st.sampled_from(("", "a", "b")),
    )
    def request_slot(self, work_class, is_repeated, workspace):
        if work_class not in (WorkClass.ONLINE, WorkClass.BATCH):
            return
        self.n_requested += 1
        request_id = f"r{self.n_requested}"
        self.class_by_id[request_id] = work_class
        self.waiting.add(request_id)
        due_s = self.now_s + MAX_WAIT_S
        ticket = SlotTicket(
            request_id,
            work_class,
            (),
            (),
            due_s,
            due_s,
            due_s - 1.0,
            is_repeated,
            workspace=workspace,
        )
        self.apply_effects(self.pool.submit(ticket, self.now_s))

    @rule(position=st.integers(0, 20))
    def release_slot(self, position):
        held = sorted(self.runner_by_id)
        if held:
            request_id = held[position % len(held)]
            del self.runner_by_id[request_id]
            self.revoked.discard(request_id)
            self.apply_effects(self.pool.release(request_id, self.now_s))

    @rule(position=st.integers(0, 20))
    def cancel(self, position):
        waiting = sorted(self.waiting)
        if waiting:
            request_id = waiting[position % len(waiting)]
            self.waiting.discard(request_id)
            self.apply_effects(self.pool.release(request_id, self.now_s))

    @rule(duration_s=st.floats(0.01, 1.0))
    def advance_time(self, duration_s):
        self.now_s += duration_s
        self.apply_effects(self.pool.expire(self.now_s))

    @invariant()
    def no_runner_exceeds_its_slots(self):
        for runner_id, slots in SLOTS_BY_RUNNER.items():
            n_held = sum(name == runner_id for name in self.runner_by_id.values())
            assert n_held <= slots, f"{n_held} slots held at {runner_id}"

    @invariant()
    def no_online_waits_while_slots_are_free(self):
        n_free = sum(SLOTS_BY_RUNNER.values()) - len(self.runner_by_id)
        online = {r for r in self.waiting if self.class_by_id[r] is WorkClass.ONLINE}
        assert not (online and n_free), f"{online} wait while {n_free} slots are free"

    @invariant()
    def enough_batch_slots_are_revoked(self):
        n_online = sum(self.class_by_id[r] is WorkClass.ONLINE for r in self.waiting)
        n_batch = len(self.runner_by_id) - sum(
            self.class_by_id[r] is WorkClass.ONLINE for r in self.runner_by_id
        )
        assert len(self.revoked) >= min(n_online, n_batch), (
            "too few batch slots are revoked"
        )


class UncountedSlotMachine(SlotPoolMachine):
    pool_type = UncountedSlotPool


class BatchFirstMachine(SlotPoolMachine):
    pool_type = BatchFirstPool


MACHINE_TYPES = {
    "none": SlotPoolMachine,
    "a held slot is not counted": UncountedSlotMachine,
    "batch goes before online": BatchFirstMachine,
}


def run_machine(fault, n_examples):
    run_deterministic(MACHINE_TYPES[fault], n_examples, N_STEPS)
