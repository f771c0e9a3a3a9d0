"""Stateful property test: items go on at runners of changing software versions.

The model knows which version each process has and when its entry comes, which may be
late. It assumes that an entry comes within ``MAX_LATENESS_S``, before an item that its
process worked on ends, and before its process ends or is unlisted. The host's clock may
be wrong.
"""

from __future__ import annotations

from typing import NamedTuple

from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    rule,
)

from damaskjunction.batch import BatchItem
from damaskjunction.core import (
    Address,
    EntryHost,
    ManualTimers,
    RequestError,
    Runner,
    WorkClass,
)
from damaskjunction.gateway.jobs.item_progress import ItemProgress
from damaskjunction.gateway.jobs.owed_items import OwedItem
from damaskjunction.gateway.runners.runner_responses import (
    RunnerFailedError,
)
from damaskjunction.gateway.slots.queue_waits import MAX_WAIT_S
from damaskjunction.gateway.state import ServingState
from damaskjunction.http import RawEvent, ReceiveBudget
from damaskjunction.node import HostView
from damaskjunction.platform import ObjectChange, PlatformObject
from damaskjunction.routing import (
    GrantSlot,
    LeavingRunners,
    RevokeSlot,
    RunnerVersions,
    SlotPool,
    SlotTicket,
)

SERVICE = "llm"
VERSIONS = ("v1", "v2", "")
RUNNERS = ("r0", "r1", "r2")
ITEMS = ("i0", "i1")
N_EVENTS = 6
N_SLOTS = 2
N_STEPS = 40
STEP_S = 0.5
FINAL_ROUNDS = 60
FAR_S = 1e9
MAX_LATENESS_S = 4.0
CLOCK_STEP_S = 1000.0

names = st.sampled_from(RUNNERS)
versions = st.sampled_from(VERSIONS)
items = st.sampled_from(ITEMS)


class ModelProcess(NamedTuple):
    version: str
    born_ms: int


class ModelItem:
    def __init__(self, progress):
        self.progress = progress
        self.asked_at_s: float | None = None
        self.wait_limit_s = FAR_S
        self.runner: Runner | None = None
        self.process: ModelProcess | None = None
        self.text: list[str] | None = None


class ItemVersionMachine(RuleBasedStateMachine):
    progress_type: type[ItemProgress] = ItemProgress
    is_checked_when_whole = True

    def __init__(self):
        super().__init__()
        self.timers = ManualTimers(start_s=100.0)
        self.true_offset_s = self.timers.wall() - self.timers.now()
        address = Address("127.0.0.1", 1)
        host = EntryHost("h0", "", "z1", address, address, address)
        view = HostView(host)
        self.state = ServingState(view, self.timers, {}, LeavingRunners())
        self.pool = SlotPool()
        self.revision = 0
        self.n_fillers = 0
        self.fillers_by_runner = {name: [] for name in RUNNERS}
        self.processes = {
            name: ModelProcess("v1", self.wall_ms(-60.0)) for name in RUNNERS
        }
        self.items = {name: ModelItem(self.new_progress(name)) for name in ITEMS}
        for name in RUNNERS:
            self.write_entry(name)

    def wall_ms(self, offset_s=0.0):
        return int((self.timers.now() + self.true_offset_s + offset_s) * 1000)

    def new_progress(self, name):
        item = BatchItem(name, "/night/x", {}, b"", 1)
        owed = OwedItem(name, "j1", self.timers)
        return self.progress_type(
            item, owed, self.state, self.timers, budget=ReceiveBudget()
        )

    def write_entry(self, name, is_removed=False):
        process = self.processes[name]
        entry = {
            "Service": SERVICE,
            "Addr": "127.0.0.1:1",
            "Zone": "z1",
            "Slots": N_SLOTS,
            "State": "ready",
            "Version": process.version,
            "born": process.born_ms,
        }
        self.revision += 1
        stored = PlatformObject("servers", name, self.revision, entry)
        self.state.apply_runner_change(ObjectChange(stored, is_removed))
        listed = self.listed
        slots = {name: runner.slots for name, runner in listed.items()}
        known = RunnerVersions({n: r.version for n, r in listed.items()})
        self.apply_effects(self.pool.set_runners(slots, self.timers.now(), known))

    @property
    def listed(self):
        return self.state.view.fleet.runners_by_id

    def deliver_all(self):
        for name in list(self.listed):
            self.write_entry(name)

    # Attempts

    def ask(self, name):
        item = self.items[name]
        if item.text is not None or item.asked_at_s is not None or item.runner:
            return
        runners = self.state.runners_of(SERVICE)
        version = item.progress.version_to_keep(SERVICE, runners)
        item.asked_at_s = self.timers.now()
        item.wait_limit_s = item.progress.slot_wait_limit_s(version)
        if not version:
            item.wait_limit_s = MAX_WAIT_S  # the client of slots asks again then
        ticket = SlotTicket(
            name,
            WorkClass.BATCH,
            (),
            tuple(item.progress.excluded_runners),
            FAR_S,
            FAR_S,
            software_version=version,
        )
        self.apply_effects(self.pool.submit(ticket, self.timers.now()))

    def apply_effects(self, effects):
        for effect in effects:
            if effect.request_id not in ITEMS:
                continue
            item = self.items[effect.request_id]
            if isinstance(effect, GrantSlot):
                item.asked_at_s = None
                self.begin_attempt(effect.request_id, effect.runner_id)
            elif isinstance(effect, RevokeSlot):
                self.end_attempt(effect.request_id)
            else:
                item.asked_at_s = None

    def begin_attempt(self, name, runner_id):
        item = self.items[name]
        item.progress.excluded_runners.clear()
        runner = self.listed[runner_id]
        try:
            item.progress.version.check(runner)
        except RunnerFailedError:
            self.release(name)
            return
        except RequestError as error:
            item.progress.begin_afresh(error.reason)
            self.release(name)
            return
        item.runner, item.process = runner, self.processes[runner_id]

    def end_attempt(self, name):
        item = self.items[name]
        item.progress.end_attempt()
        item.runner = item.process = None
        self.release(name)

    def release(self, name):
        self.apply_effects(self.pool.release(name, self.timers.now()))

    def write(self, name, count):
        item = self.items[name]
        for _ in range(count):
            if item.runner is None:
                return
            number = (item.progress.last_event_id or 0) + 1
            event = RawEvent(b"", number, f"{number} of {item.process.version}")
            item.progress.add_event(event, item.runner)
            if number == N_EVENTS:
                self.finish(name)

    def finish(self, name):
        self.deliver_all()
        item = self.items[name]
        if item.runner is None:
            return
        try:
            if self.is_checked_when_whole:
                item.progress.version.check_joined()
        except RequestError as error:
            item.progress.begin_afresh(error.reason)
            self.end_attempt(name)
            return
        item.text = list(item.progress.texts)
        item.runner = item.process = None
        self.release(name)
        numbers = [text.partition(" of ")[0] for text in item.text]
        assert numbers == [str(n) for n in range(1, N_EVENTS + 1)], item.text
        found = {text.partition(" of ")[2] for text in item.text}
        assert len(found) == 1, f"{name} holds {item.text}"

    # Rules

    @rule(name=items, count=st.integers(1, N_EVENTS))
    def run_item(self, name, count):
        self.ask(name)
        self.write(name, count)

    @rule(name=items)
    def break_off(self, name):
        item = self.items[name]
        if item.runner is not None:
            item.progress.excluded_runners.add(item.runner.runner_id)
            self.end_attempt(name)

    @rule(name=items)
    def revoke(self, name):
        if self.items[name].runner is not None:
            self.end_attempt(name)

    @rule(name=items)
    def take_over_elsewhere(self, name):
        item = self.items[name]
        if item.text is None:
            self.release(name)
            self.items[name] = ModelItem(self.new_progress(name))

    @rule(name=names, version=versions, is_listed=st.booleans())
    def restart_runner(self, name, version, is_listed):
        if name in self.listed:
            self.deliver(name)
        self.timers.advance(STEP_S)
        self.processes[name] = ModelProcess(version, self.wall_ms())
        for item_name, item in self.items.items():
            if item.runner is not None and item.runner.runner_id == name:
                self.break_off(item_name)
        if is_listed:
            self.write_entry(name)

    @rule(name=names, version=versions, item=items, count=st.integers(1, N_EVENTS))
    def restart_with_late_entry(self, name, version, item, count):
        self.restart_runner(name, version, False)
        self.run_item(item, count)
        self.break_off(item)
        self.run_item(item, 1)

    @rule(name=names)
    def deliver(self, name):
        self.write_entry(name)

    @rule(name=names)
    def unlist(self, name):
        if name in self.listed:
            self.write_entry(name)
        self.write_entry(name, is_removed=True)

    @rule(name=names)
    def fill(self, name):
        for _ in range(N_SLOTS):
            self.n_fillers += 1
            ticket = SlotTicket(
                f"q{self.n_fillers}", WorkClass.ONLINE, (), (), FAR_S, FAR_S
            )
            self.pool.adopt(ticket, name, self.timers.now())
            self.fillers_by_runner[name].append(ticket.request_id)

    @rule(n_steps=st.integers(1, 12))
    def advance_time(self, n_steps):
        for _ in range(n_steps):
            self.timers.advance(STEP_S)
            self.deliver_overdue()
            self.end_long_waits()
            self.apply_effects(self.pool.expire(self.timers.now()))

    def deliver_overdue(self):
        for name, runner in list(self.listed.items()):
            born_ms = self.processes[name].born_ms
            is_due = self.wall_ms(-MAX_LATENESS_S) >= born_ms
            if is_due and runner.born_ms != born_ms:
                self.write_entry(name)

    @rule(direction=st.sampled_from((-1, 1)))
    def step_clock(self, direction):
        self.timers._wall_offset_s += direction * CLOCK_STEP_S

    def end_long_waits(self):
        for name, item in self.items.items():
            if item.asked_at_s is None:
                continue
            if self.timers.now() - item.asked_at_s >= item.wait_limit_s:
                item.asked_at_s = None
                item.progress.end_slot_wait()
                self.release(name)

    def teardown(self):
        """Check that items end while one runner has room, whatever its version."""
        for filler in self.fillers_by_runner["r2"]:
            self.apply_effects(self.pool.release(filler, self.timers.now()))
        self.restart_runner("r2", "v2", True)
        for _ in range(FINAL_ROUNDS):
            self.advance_time(1)
            for name in ITEMS:
                self.ask(name)
                self.write(name, 1)
        unfinished = [name for name, item in self.items.items() if item.text is None]
        assert not unfinished, f"{unfinished} did not end"
