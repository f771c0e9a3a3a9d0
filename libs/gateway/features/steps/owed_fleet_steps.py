"""Steps on random runs of a simulated fleet that owes items."""

from __future__ import annotations

import asyncio
import math
from unittest import mock

from behave import given, then
from hypothesis import HealthCheck, Phase, settings
from hypothesis import given as draw
from hypothesis import strategies as st
from simulated_fleet import ITEMS_PER_JOB, SimulatedFleet, SimulatedLoop
from simulated_runners import RUN_S, SLOTS

from damaskjunction.batch import TakeoverWatch, takeovers
from damaskjunction.gateway import job_worker, owed_items, queue_waits
from damaskjunction.gateway.slot_home import REPORT_POLL_PERIOD_S, SlotHome
from damaskjunction.routing.slots import FAILURE_EJECTION

HOSTS = ("a", "b", "c")
RUNNERS = ("r1", "r2")
STEP_S = 0.3
# A takeover by the last candidate, after its start; a wait in a queue; an ejection.
PLACING_S = (
    job_worker.FIRST_CHECK_DELAY_S
    + takeovers.MISSING_TIMEOUT_S
    + takeovers.CANDIDATE_DELAY_S * (len(HOSTS) - 1)
    + takeovers.RETRY_PERIOD_S
    + queue_waits.MAX_WAIT_S
    + FAILURE_EJECTION.limit_s
)
MAX_OPERATIONS = 30
# All items one after another, at two thirds of one runner's slots.
WORK_S = MAX_OPERATIONS * ITEMS_PER_JOB * RUN_S / (SLOTS - 1)
POLL_S = 0.1

names = st.sampled_from(HOSTS)
runners = st.sampled_from(RUNNERS)
operations = st.one_of(
    st.tuples(st.just("submit"), names),
    st.tuples(st.just("submit"), names),
    st.tuples(st.just("show"), names, st.sets(names)),
    st.tuples(st.sampled_from(["kill", "start", "reset", "mute", "hear"]), names),
    st.tuples(st.sampled_from(["cut off", "reach store"]), names),
    st.tuples(st.sampled_from(["break", "mend"]), runners),
    st.tuples(st.sampled_from(["load", "load", "unload"])),
    st.tuples(st.sampled_from(["store away", "store back"])),
    st.tuples(st.sampled_from(["answers lost", "answers come"])),
    st.tuples(st.just("wait"), st.integers(1, 12)),
)


async def apply(fleet, operation, *args):
    """Do one thing that was drawn."""
    name = args[0] if args else ""
    actions = {
        "submit": lambda: fleet.submit(name),
        "kill": lambda: fleet.kill(name),
        "start": lambda: fleet.start(name),
        "wait": lambda: asyncio.sleep(name * STEP_S),
        "load": lambda: load_and_wait(fleet, SLOTS),
        "unload": lambda: load_and_wait(fleet, 0),
    }
    if operation in actions:
        await actions[operation]()
    else:
        change(fleet, operation, *args)


def change(fleet, operation, *args):
    """Do one thing that takes no time."""
    name = args[0] if args else ""
    if operation == "show":
        fleet.show(*args)
    elif operation == "reset":
        fleet.reset(name)
    elif operation in ("cut off", "reach store"):
        set_store_way(fleet.hosts_by_id.get(name), operation == "cut off")
    elif operation in ("break", "mend"):
        fleet.runners_by_id[name].is_broken = operation == "break"
    elif operation in ("store away", "store back"):
        set_store(fleet, operation == "store away")
    elif operation in ("answers lost", "answers come"):
        fleet.store.loses_answers = operation == "answers lost"
    elif operation == "mute":
        fleet.heard_by_id[name].clear()
    else:
        assert operation == "hear", operation
        fleet.heard_by_id[name].set()


async def load_and_wait(fleet, n_foreign):
    """Load all runners, and let the homes read their reports."""
    load(fleet, n_foreign)
    await asyncio.sleep(REPORT_POLL_PERIOD_S + STEP_S)


def load(fleet, n_foreign):
    """Let all runners have requests of other hosts."""
    for runner in fleet.runners_by_id.values():
        runner.n_foreign = n_foreign


def set_store_way(host, is_cut):
    if host is not None:
        host.store.is_cut = is_cut
        host.learn_jobs()


def set_store(fleet, is_away):
    fleet.store.is_away = is_away
    for host in fleet.hosts_by_id.values():
        host.learn_jobs()


async def isolate(fleet, name):
    """Cut a host that runs on off from the others and from the store."""
    fleet.heard_by_id[name].clear()
    set_store_way(fleet.hosts_by_id.get(name), True)


async def calm(fleet, living, isolated, sound_runner):
    """End all faults, but for the hosts that are lost and the other runner."""
    for name in set(HOSTS) - living:
        await (isolate(fleet, name) if name in isolated else fleet.kill(name))
    set_store(fleet, False)
    fleet.store.loses_answers = False
    for name in sorted(living):
        fleet.heard_by_id[name].set()
        await fleet.start(name)
        set_store_way(fleet.hosts_by_id[name], False)
    for name in living:
        fleet.show(name, living)
    load(fleet, 0)
    fleet.runners_by_id[sound_runner].is_broken = False


async def play(drawn, living, isolated, sound_runner):
    """Do what was drawn; return the jobs that are owed too long after it."""
    fleet = SimulatedFleet(HOSTS, RUNNERS)
    for name in HOSTS:
        await fleet.start(name)
    for operation in drawn:
        await apply(fleet, *operation)
    await calm(fleet, living, isolated, sound_runner)
    try:
        return await find_owed(fleet)
    finally:
        for name in HOSTS:
            await fleet.kill(name)


async def find_owed(fleet):
    """Return what is still owed after the time in which all is to be listed."""
    for _ in range(int((PLACING_S + WORK_S) / POLL_S)):
        if not fleet.owed_jobs():
            fleet.check_results()
            return {}
        await asyncio.sleep(POLL_S)
    return {
        name: (fleet.owed_jobs(), host.worker.owed_items.to_document())
        for name, host in fleet.hosts_by_id.items()
    }


def run_randomly(count):
    @settings(
        max_examples=count,
        deadline=None,
        derandomize=True,
        database=None,
        phases=[Phase.generate],
        suppress_health_check=list(HealthCheck),
    )
    @draw(
        st.lists(operations, min_size=6, max_size=MAX_OPERATIONS),
        st.sets(names, min_size=1),
        st.sets(names),
        runners,
    )
    def check(drawn, living, isolated, sound_runner):
        work = play([("submit", "a"), *drawn], living, isolated, sound_runner)
        with asyncio.Runner(loop_factory=SimulatedLoop) as runner:
            owed = runner.run(work)
        assert not owed, (owed, drawn, living, isolated, sound_runner)

    check()


ENDLESS_WAITS = (
    (queue_waits, "MAX_WAIT_S", math.inf),
    (queue_waits.QueueWaits, "end_misplaced", lambda *args: None),
)
NO_WATCHDOG = ((owed_items, "MAX_TIME_S_BY_STATE", {}),)
FAULTS = {
    "asks stay in the queue of a lost home": ENDLESS_WAITS,
    "asks stay there and no stuck item is taken up again": ENDLESS_WAITS + NO_WATCHDOG,
    "slots are never given back": ((SlotHome, "release", lambda *args: None),),
    "jobs are never taken over": ((TakeoverWatch, "is_due", lambda *args: False),),
}


@given("the fault that {fault}")
def inject(context, fault):
    for patch in [mock.patch.object(*target) for target in FAULTS[fault]]:
        patch.start()
        context.add_cleanup(patch.stop)


@then("after {count:d} random runs each accepted item is listed in time")
def check_runs(context, count):
    run_randomly(count)


@then("{count:d} random runs find an item left lying")
def check_fault_found(context, count):
    try:
        run_randomly(count)
    except AssertionError:
        return
    raise AssertionError("the injected fault was not found")
