"""Steps on slots and asks that follow their home."""

from __future__ import annotations

import asyncio
from itertools import pairwise

from behave import given, then, when
from fake_homes import SlotRig
from fleet_helpers import run
from hypothesis import given as draw
from hypothesis import strategies as st
from random_runs import repeatable
from simulated_time import SimulatedLoop

NAMES = ("a", "b", "c")
END_TIMEOUT_S = 4.0
POLL_S = 0.005
CLOCK_STEP_S = 0.1  # of the manual clock, by which hosts are suspected, in each poll


@given('a client of slots and the homes "{names}"')
def make_rig(context, names):
    async def make():
        return SlotRig(names.split(","))

    context.rig = run(context, make())


@given('a slot held at "{name}"')
def hold_slot(context, name):
    context.rig.view.set_home(name)
    ask_for_slot(context)
    check_held_alone(context, name)


@when("a slot is asked for")
def ask_for_slot(context):
    async def ask():
        context.rig.ask()
        await context.rig.settle()

    run(context, ask())


@when('"{name}" answers late and is the home')
def set_late_home(context, name):
    context.rig.homes.answers[name].clear()
    set_home(context, name)


@when('"{name}" answers each ask after {delay_s:g} s and is the home')
def set_slow_home(context, name, delay_s):
    context.rig.homes.answer_delay_s = delay_s
    set_home(context, name)


@when('"{name}" queues asks and is the home')
def set_queueing_home(context, name):
    context.rig.homes.grants[name].clear()
    set_home(context, name)


@when('"{name}" queues asks late and is the home')
def set_late_queueing_home(context, name):
    context.rig.homes.answers[name].clear()
    set_queueing_home(context, name)


@when('"{name}" is the home')
def set_home(context, name):
    async def work():
        context.rig.view.set_home(name)
        await context.rig.settle()

    run(context, work())


@when('"{name}" answers')
def answer(context, name):
    async def work():
        context.rig.homes.answers[name].set()
        await context.rig.settle()

    run(context, work())


@when("the slot is closed")
def close_slot(context):
    async def work():
        await context.rig.asks[0].result().close()
        await context.rig.settle()

    run(context, work())


@then("no home has a call open")
def check_no_call(context):
    assert not context.rig.homes.open_calls, open_places(context.rig)


@then('the slot is held at "{name}" alone')
def check_held_alone(context, name):
    run(context, wait_until_held(context.rig, name))


@then('the slot is held at "{name}" alone within {limit_s:g} s')
def check_held_soon(context, name, limit_s):
    work = wait_until_held(context.rig, name)
    run(context, asyncio.wait_for(work, limit_s))


def open_places(rig):
    return sorted((call.ask.request_id, call.host_id) for call in rig.homes.open_calls)


async def wait_until_held(rig, name):
    """Return once each open slot is held at a home, and no call is open but these."""

    def is_held():
        expected = sorted((s.ask.request_id, name) for s in rig.held_slots())
        is_granted = all(task.done() for task in rig.asks)
        return is_granted and open_places(rig) == expected

    async with asyncio.timeout(END_TIMEOUT_S):
        while not is_held():
            rig.timers.advance(CLOCK_STEP_S)
            await asyncio.sleep(POLL_S)


async def apply(rig, operation, name):
    """Do one thing that was drawn."""
    homes = rig.homes
    actions = {
        "home": lambda: rig.view.set_home(name),
        "ask": rig.ask,
        "late": homes.answers[name].clear,
        "queue": homes.grants[name].clear,
        "work": lambda: (homes.answers[name].set(), homes.grants[name].set()),
        "lose": lambda: homes.lose_calls(name),
    }
    if operation in actions:
        actions[operation]()
    elif operation == "close" and rig.held_slots():
        await rig.held_slots()[0].close()
    elif operation == "settle":
        await rig.settle()


async def play(rig, operations):
    """Do what was drawn; then all homes work, and the last one drawn is the home."""
    home = NAMES[0]
    for operation, name in operations:
        home = name if operation == "home" else home
        await apply(rig, operation, name)
    for name in NAMES:
        if name != home:
            rig.homes.answers[name].set()  # the asks that wait there stay queued
    rig.homes.answers[home].set()
    rig.homes.grants[home].set()
    rig.view.set_home(home)
    await wait_until_held(rig, home)
    for slot in rig.held_slots():
        await slot.close()
    await rig.settle()
    assert not rig.homes.open_calls, open_places(rig)


@then("{count:d} random runs end with each open slot held at the home alone")
def check_random_runs(context, count):
    kinds = ("home", "ask", "late", "queue", "work", "lose", "close", "settle")
    operation = st.tuples(st.sampled_from(kinds), st.sampled_from(NAMES))

    @repeatable(count)
    @draw(st.lists(operation, min_size=4, max_size=24))
    def check(operations):
        async def work():
            rig = SlotRig(NAMES)
            rig.view.set_home(NAMES[0])
            await play(rig, [("ask", NAMES[0]), ("settle", NAMES[0]), *operations])

        run(context, work())

    check()


@then(
    "of {count:d} asks made together at a home without a free slot, none is repeated "
    "within {apart_s:g} s of another in {duration_s:g} s"
)
def check_asks_apart(context, count, apart_s, duration_s):
    async def work():
        rig = SlotRig(NAMES)
        home = NAMES[0]
        rig.view.set_home(home)
        rig.homes.grants[home].clear()
        for _ in range(count):
            rig.ask()
        await asyncio.sleep(duration_s)
        for ask in rig.asks:
            ask.cancel()
        return rig.homes.asked_at_s

    with asyncio.Runner(loop_factory=SimulatedLoop) as runner:
        times = sorted(runner.run(work())[count:])
    assert len(times) >= count, times
    intervals = [later - earlier for earlier, later in pairwise(times)]
    assert min(intervals) > apart_s, times
