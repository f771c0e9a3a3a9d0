"""Steps on random runs of a simulated fleet that owes items."""

from __future__ import annotations

import asyncio
import math
from typing import NamedTuple
from unittest import mock

from behave import given, then
from hypothesis import given as draw
from hypothesis import strategies as st
from random_runs import repeatable
from simulated_fleet import SimulatedFleet
from simulated_host import DRAIN_S, ITEMS_PER_JOB, ROUTE
from simulated_runners import RUN_S, SERVICE, SLOTS
from simulated_time import SimulatedLoop

from damaskjunction.batch import TakeoverWatch, takeovers
from damaskjunction.gateway.jobs import item_progress, job_worker, owed_items
from damaskjunction.gateway.jobs.placement_check import PlacementCheck
from damaskjunction.gateway.slots import queue_waits
from damaskjunction.gateway.slots.slot_client import SlotClient
from damaskjunction.gateway.slots.slot_home import REPORT_POLL_PERIOD_S, SlotHome
from damaskjunction.gateway.versions import version_registry
from damaskjunction.routing import (
    NO_LIMIT_PER_S,
    LeavingRunners,
    WeightedService,
)
from damaskjunction.routing.slots import slots
from damaskjunction.routing.slots.rate_limits import (
    BATCH_TOKENS,
    MIN_BURST,
    MIN_RATE_PER_S,
)
from damaskjunction.routing.slots.slots import FAILURE_EJECTION
from damaskjunction.routing.versions.version_ledger import VersionLedger

HOSTS = ("a", "b", "c")
RUNNERS = ("r1", "r2")
VERSIONS = ("v1", "v2")
LIMITS_PER_S = (0.1, 2.0, NO_LIMIT_PER_S)
STEP_S = 0.3
# A drain; a takeover by the last candidate, after its start; a wait in a queue; one for
# a version, after its record; an ejection; the tokens for a start at a runner that had
# a rate limit.
PLACING_S = (
    DRAIN_S
    + job_worker.FIRST_CHECK_DELAY_S
    + takeovers.MISSING_TIMEOUT_S
    + takeovers.CANDIDATE_DELAY_S * (len(HOSTS) - 1)
    + takeovers.RETRY_PERIOD_S
    + queue_waits.MAX_WAIT_S
    + item_progress.VERSION_WAIT_S
    + version_registry.REVIEW_PERIOD_S
    + FAILURE_EJECTION.limit_s
    + BATCH_TOKENS / MIN_RATE_PER_S
)
MIN_OPERATIONS = 10
MAX_OPERATIONS = 30
MAX_LAST_OPERATIONS = 6
N_JOBS = 1 + MAX_OPERATIONS + MAX_LAST_OPERATIONS
# All items one after another, at two thirds of one runner's slots.
WORK_S = N_JOBS * ITEMS_PER_JOB * RUN_S / (SLOTS - 1)
POLL_S = 0.1

ROUTES_BY_NAME = {
    "as at first": [ROUTE],
    "elsewhere": [ROUTE._replace(services=(WeightedService("former", 1),))],
    "gone": [],
}

names = st.sampled_from(HOSTS)
runners = st.sampled_from(RUNNERS)
manners_of_loss = st.sampled_from(["killed", "isolated", "draining"])
operations = st.one_of(
    st.tuples(st.just("submit"), names),
    st.tuples(st.just("submit"), names),
    st.tuples(st.just("show"), names, st.sets(names)),
    st.tuples(st.sampled_from(["kill", "start", "reset", "mute", "hear"]), names),
    st.tuples(st.sampled_from(["drain", "cut off", "reach store"]), names),
    st.tuples(st.just("restart"), runners, st.sampled_from(VERSIONS)),
    st.tuples(st.sampled_from(["break", "mend", "leave"]), runners),
    st.tuples(st.just("limit"), runners, st.sampled_from(LIMITS_PER_S)),
    st.tuples(st.sampled_from(["load", "load", "unload"])),
    st.tuples(st.sampled_from(["store away", "store back"])),
    st.tuples(st.sampled_from(["answers lost", "answers come"])),
    st.tuples(st.just("route"), st.sampled_from(sorted(ROUTES_BY_NAME))),
    st.tuples(st.just("lose power"), st.integers(1, 8)),
    st.tuples(st.just("wait"), st.integers(1, 12)),
)
last_operations = st.one_of(
    st.tuples(st.just("submit"), names),
    st.tuples(st.sampled_from(["load", "unload", "store back"])),
    st.tuples(st.just("wait"), st.integers(1, 4)),
)


@st.composite
def runs_of_operations(draw_from):
    """Draw operations; items wait or run, at any versions, when the last one ends."""
    versions = [
        ("restart", name, draw_from(st.sampled_from(VERSIONS))) for name in RUNNERS
    ]
    drawn = draw_from(
        st.lists(operations, min_size=MIN_OPERATIONS, max_size=MAX_OPERATIONS)
    )
    ends = draw_from(
        st.lists(last_operations, min_size=3, max_size=MAX_LAST_OPERATIONS)
    )
    return [*versions, ("submit", "a"), *drawn, *ends]


async def apply(fleet, operation, *args):
    """Do one thing that was drawn."""
    name = args[0] if args else ""
    actions = {
        "submit": lambda: fleet.submit(name),
        "kill": lambda: fleet.kill(name),
        "start": lambda: fleet.start(name),
        "wait": lambda: asyncio.sleep(name * STEP_S),
        "lose power": lambda: lose_power(fleet, name * STEP_S),
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
    if operation in ("show", "reset", "drain", "restart"):
        actions = {
            "show": fleet.show,
            "reset": fleet.reset,
            "drain": fleet.drain,
            "restart": fleet.restart_runner,
        }
        actions[operation](*args)
    elif operation in ("cut off", "reach store"):
        set_store_way(fleet.hosts_by_id.get(name), operation == "cut off")
    elif operation in ("break", "mend"):
        fleet.runners_by_id[name].is_broken = operation == "break"
    elif operation == "limit":
        fleet.runners_by_id[name].limit_per_s = args[1]
    elif operation == "leave":
        fleet.runners_by_id[name].is_leaving = True
    elif operation in ("store away", "store back"):
        fleet.set_store(operation == "store away")
    elif operation in ("answers lost", "answers come"):
        fleet.store.loses_answers = operation == "answers lost"
    elif operation == "route":
        fleet.configure(ROUTES_BY_NAME[name])
    elif operation == "mute":
        fleet.heard_by_id[name].clear()
    else:
        assert operation == "hear", operation
        fleet.heard_by_id[name].set()


async def load_and_wait(fleet, n_foreign):
    """Load all runners, and let the homes read their reports."""
    load(fleet, n_foreign)
    await asyncio.sleep(REPORT_POLL_PERIOD_S + STEP_S)


async def lose_power(fleet, duration_s):
    """End all hosts at once, and start them again together."""
    for name in HOSTS:
        await fleet.kill(name)
    await asyncio.sleep(duration_s)
    for name in HOSTS:
        await fleet.start(name)
    for name in HOSTS:
        fleet.show(name, HOSTS)


def load(fleet, n_foreign):
    """Let all runners have requests of other hosts."""
    for runner in fleet.runners_by_id.values():
        runner.n_foreign = n_foreign


def set_store_way(host, is_cut):
    if host is not None:
        host.store.is_cut = is_cut
        host.learn()


async def isolate(fleet, name):
    """Cut a host that runs on off from the others and from the store."""
    fleet.heard_by_id[name].clear()
    set_store_way(fleet.hosts_by_id.get(name), True)


async def lose(fleet, name, manner):
    """Lose a host in one of the ``manners_of_loss``."""
    if manner == "isolated":
        await isolate(fleet, name)
    elif manner == "draining":
        fleet.heard_by_id[name].set()
        fleet.drain(name)
    else:
        await fleet.kill(name)


class Outlook(NamedTuple):
    """What holds once the faults are over, in which each owed item is to be listed."""

    living: frozenset[str]
    losses_by_host: dict[str, str]  # of those that do not live
    sound_runner: str
    is_other_broken: bool  # else the other runner stays as it is


async def calm(fleet, outlook):
    """End all faults, but for the hosts that are lost and the other runner."""
    living = outlook.living
    if outlook.is_other_broken:
        for name in set(RUNNERS) - {outlook.sound_runner}:
            fleet.runners_by_id[name].is_broken = True
    for name in sorted(set(HOSTS) - living):
        await lose(fleet, name, outlook.losses_by_host[name])
    fleet.set_store(False)
    fleet.store.loses_answers = False
    for name in sorted(living):
        if fleet.drains(name):
            await fleet.kill(name)
        fleet.heard_by_id[name].set()
        await fleet.start(name)
        set_store_way(fleet.hosts_by_id[name], False)
    draining = {name for name in HOSTS if fleet.drains(name)}
    for name in living:
        fleet.show(name, living | draining)
    fleet.configure([ROUTE])
    load(fleet, 0)
    mend(fleet, outlook.sound_runner)


def mend(fleet, name):
    """Let a runner work again; one that leaves has to start again for that."""
    runner = fleet.runners_by_id[name]
    runner.is_broken = False
    runner.limit_per_s = NO_LIMIT_PER_S
    if runner.is_leaving:
        fleet.restart_runner(name, runner.version)


async def play(drawn, outlook):
    """Do what was drawn; return the jobs that are owed too long after it."""
    fleet = SimulatedFleet(HOSTS, RUNNERS)
    for name in HOSTS:
        await fleet.start(name)
    for operation in drawn:
        await apply(fleet, *operation)
    await calm(fleet, outlook)
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


outlooks = st.builds(
    Outlook,
    st.frozensets(names, min_size=1),
    st.fixed_dictionaries({name: manners_of_loss for name in HOSTS}),
    runners,
    st.booleans(),
)


def find_left_lying(count, outlooks=outlooks):
    """Return the first of random runs after which items are owed too long, if any.

    What a run finds does not always recur: it goes by the order of sets, too.
    """
    found = []

    @repeatable(count)
    @draw(runs_of_operations(), outlooks)
    def run_once(drawn, outlook):
        if found:
            return
        work = play(drawn, outlook)
        with asyncio.Runner(loop_factory=SimulatedLoop) as runner:
            owed = runner.run(work)
        if owed:
            found.append((owed, drawn, outlook))

    run_once()
    return found


def leave_out_for_ever(leaving, runners, now_s):
    """Return the runners whose id never said that it leaves: an injected fault."""
    return [r for r in runners if r.runner_id not in leaving._notices_by_id]


ENDLESS_WAITS = (
    (queue_waits, "MAX_WAIT_S", math.inf),
    (queue_waits.QueueWaits, "end_unwanted", lambda *args: None),
)
NO_WATCHDOG = (
    (owed_items, "MAX_TIME_S_BY_STATE", {}),
    (PlacementCheck, "_begin", lambda *args: None),
)
acquire = SlotClient.acquire
start_home = SlotHome.start


async def start_home_with_false_counts(home):
    """Start the home of one host with slots in use that nobody holds: a fault."""
    await start_home(home)
    if home._state.view.own.host_id == HOSTS[0]:
        pool = home._pool(SERVICE)
        pool._held.used_by_runner.update(dict.fromkeys(RUNNERS, SLOTS))


def acquire_for_ever(client, ask, on_ask, is_wanted):
    """Ask for what was wanted at first: an injected fault."""
    return acquire(client, ask, on_ask)


FALSE_COUNTS = ((SlotHome, "start", start_home_with_false_counts),)
FAULTS = {
    "a home counts slots that nobody holds": FALSE_COUNTS,
    "a home counts slots that nobody holds and no item is started over": (
        FALSE_COUNTS + NO_WATCHDOG
    ),
    "asks outlive their route": ((SlotClient, "acquire", acquire_for_ever),),
    "asks stay in the queue of a lost home": ENDLESS_WAITS,
    "asks stay there and no stuck item is taken up again": ENDLESS_WAITS + NO_WATCHDOG,
    "slots are never given back": ((SlotHome, "release", lambda *args: None),),
    "jobs are never taken over": ((TakeoverWatch, "is_due", lambda *args: False),),
    "items wait for their version without end": (
        (item_progress, "VERSION_WAIT_S", math.inf),
    ),
    "new software versions are never announced": (
        (VersionLedger, "review", lambda *args: None),
    ),
    "items wait for more than limited runners ever take": (
        (slots, "BATCH_TOKENS", MIN_BURST + 1.0),
    ),
    "runners that said they leave are left out for ever": (
        (LeavingRunners, "usable", leave_out_for_ever),
    ),
}


@given("the fault that {fault}")
def inject(context, fault):
    for patch in [mock.patch.object(*target) for target in FAULTS[fault]]:
        patch.start()
        context.add_cleanup(patch.stop)


@then("after {count:d} random runs each accepted item is listed in time")
def check_runs(context, count):
    found = find_left_lying(count)
    assert not found, found


@then(
    "after {count:d} random runs with another host each accepted item is listed in time"
)
def check_runs_with_others(context, count):
    lonely = frozenset(HOSTS[:1])
    found = find_left_lying(count, outlooks.filter(lambda o: o.living != lonely))
    assert not found, found


@then("{count:d} random runs find an item left lying")
def check_fault_found(context, count):
    assert find_left_lying(count), "the injected fault was not found"
