"""Steps on items whose runners are silent."""

from __future__ import annotations

import asyncio

from behave import given, then, when
from fleet_helpers import run
from platform_fleet import ENGINE

from damaskjunction.standins import Mode

STALL_S = 0.5


@given('engines "{names}" that can stand still')
def add_engines(context, names):
    for name in names.split(","):
        run(context, context.platform.add_proxied_runner(name, ENGINE))


def n_running(context):
    return sum(runner.n_running for runner in context.platform.runners.values())


async def stand_still(context, names, silence_s, count):
    """Let engines stand still while a number of items run."""
    proxies = [context.platform.runner_proxies[name] for name in names]
    await context.platform.wait_for(lambda: n_running(context) == count)
    for proxy in proxies:
        proxy.set_mode(Mode.PAUSED)
    await asyncio.sleep(silence_s)
    for proxy in proxies:
        proxy.set_mode(Mode.PASS)


@when(
    "all engines stand still for {silence_s:g} s while {count:d} items of the job run"
)
def let_all_stand_still(context, silence_s, count):
    names = list(context.platform.runner_proxies)
    run(context, stand_still(context, names, silence_s, count))


@when("all engines stand still for good while {count:d} items of the job run")
def let_all_stop(context, count):
    async def work():
        await context.platform.wait_for(lambda: n_running(context) == count)
        for proxy in context.platform.runner_proxies.values():
            proxy.set_mode(Mode.PAUSED)

    run(context, work())


@when("the engine that runs the item stands still for good")
def let_present_one_stop(context):
    platform = context.platform
    stopped = context.__dict__.setdefault("stopped", set())

    def running():
        runners = platform.runners.items()
        return [name for name, r in runners if r.n_running and name not in stopped]

    async def work():
        await platform.wait_for(running)
        (name,) = running()
        stopped.add(name)
        platform.runner_proxies[name].set_mode(Mode.PAUSED)

    run(context, work())


@when("{count:d} slots are held or asked for")
def wait_for_asks(context, count):
    work = context.platform.wait_for(lambda: n_held_or_asked(context) >= count)
    run(context, work)


@when('engine "{name}" stands still for good while {count:d} items of the job run')
def let_one_stand_still(context, name, count):
    async def work():
        await context.platform.wait_for(lambda: n_running(context) == count)
        context.platform.runner_proxies[name].set_mode(Mode.PAUSED)

    run(context, work())


@when(
    'the connections of engine "{name}" are dead without an end, new ones go on while '
    "{count:d} items of the job run"
)
def silence_connections(context, name, count):
    async def work():
        await context.platform.wait_for(lambda: n_running(context) == count)
        context.platform.runner_proxies[name].set_mode(Mode.SILENT_OLD)

    run(context, work())


@when(
    'the connections of engine "{name}" are dead for its items only while {count:d} '
    "items of the job run"
)
def silence_items(context, name, count):
    async def work():
        runner = context.platform.runners[name]
        runner.faults["silent_after"] = 2
        await context.platform.wait_for(lambda: n_running(context) == count)
        await asyncio.sleep(STALL_S)
        runner.faults["silent_after"] = 0

    run(context, work())


def n_held_or_asked(context):
    pools = [
        pool
        for host in context.platform.hosts.values()
        for pool in host.dump.to_document()["slots"].values()
    ]
    return sum(pool["n_batch"] + pool["n_batch_waiting"] for pool in pools)


@then("no slot is held")
def check_slots_released(context):
    """Check the pools of all hosts: a slot may be released right after the result."""
    work = context.platform.wait_for(lambda: n_held_or_asked(context) == 0)
    run(context, work)
