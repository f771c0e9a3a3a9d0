"""Steps on routes that change while items wait, on a simulated clock."""

from __future__ import annotations

import asyncio

from behave import given, then, when
from simulated_fleet import SimulatedFleet
from simulated_host import ITEMS_PER_JOB, ROUTE
from simulated_runners import SLOTS
from simulated_time import SimulatedLoop

from damaskjunction.gateway.jobs.owed_items import ItemState
from damaskjunction.routing import WeightedService

RUNNER = "r1"
DELAY_S = 0.1  # of answers
SETTLING_S = 1.5  # until a new home grants, and has read the runner's report


async def configure(context, routes):
    """Put routes in force at all hosts."""
    context.fleet.configure(routes)


def pools(context):
    """Return the slots of the runner's service as each host counts them."""
    hosts = context.fleet.hosts_by_id.values()
    return [pool for h in hosts for pool in h.home.to_document().values()]


async def states(context):
    """Return the states of the owed items of all hosts."""
    hosts = context.fleet.hosts_by_id.values()
    documents = [h.worker.owed_items.to_document() for h in hosts]
    return [item["state"] for document in documents for item in document.values()]


@given("a simulated fleet of {count:d} hosts and 1 runner")
def make_fleet(context, count):
    context.runner = asyncio.Runner(loop_factory=SimulatedLoop)
    names = [f"h{number}" for number in range(count)]

    async def start():
        context.fleet = SimulatedFleet(names, [RUNNER])
        for name in names:
            await context.fleet.start(name)
        for name in names:
            context.fleet.show(name, names)
        await asyncio.sleep(SETTLING_S)

    async def stop():
        for name in names:
            await context.fleet.kill(name)

    context.runner.run(start())
    context.add_cleanup(context.runner.close)
    context.add_cleanup(lambda: context.runner.run(stop()))


@given("the batch route leads to a service without runners")
def lead_elsewhere(context):
    route = ROUTE._replace(services=(WeightedService("former", 1),))
    context.runner.run(configure(context, [route]))


@given("the runner is full")
def fill_runner(context):
    """Fill the runner; the home, which polls it from the first job on, learns that."""

    async def work():
        await context.fleet.submit("h0")
        await asyncio.sleep(2 * SETTLING_S)
        assert not context.fleet.owed_jobs()
        context.fleet.runners_by_id[RUNNER].n_foreign = SLOTS
        await asyncio.sleep(SETTLING_S)

    context.runner.run(work())


async def submit_away_from_home(context):
    """Submit a job to a host that is not the home of the slots; return the home."""
    home_id = next(iter(context.fleet.hosts_by_id.values())).home_id()
    owner_id = next(name for name in context.fleet.hosts_by_id if name != home_id)
    await context.fleet.submit(owner_id)
    return home_id


async def check_waiting(context):
    found = await states(context)
    assert found == [ItemState.WAITING_FOR_SLOT] * ITEMS_PER_JOB, found


@when("a job is submitted and its items wait for slots")
def submit(context):
    async def work():
        await submit_away_from_home(context)
        await asyncio.sleep(SETTLING_S)
        await check_waiting(context)

    context.runner.run(work())


@when("a job is submitted and the home's answers to its asks are late")
def submit_before_late_answers(context):
    async def work():
        home_id = await submit_away_from_home(context)
        context.late_answers = context.fleet.heard_by_id[home_id]
        context.late_answers.clear()
        await asyncio.sleep(DELAY_S)
        await check_waiting(context)

    context.runner.run(work())


@when("the home's answers arrive")
def let_answers_arrive(context):
    async def work():
        context.late_answers.set()

    context.runner.run(work())


@when("the batch route leads to the service of the runner")
def lead_to_runner(context):
    context.runner.run(configure(context, [ROUTE]))


@when("the batch route is removed")
def remove_route(context):
    context.runner.run(configure(context, []))


@then("the items of the job are listed within {limit_s:g} s")
def check_listed(context, limit_s):
    context.runner.run(asyncio.sleep(limit_s))
    assert not context.fleet.owed_jobs()
    context.fleet.check_results()


@then("no item waits for a slot after {delay_s:g} s")
def check_no_wait(context, delay_s):
    context.runner.run(asyncio.sleep(delay_s))
    assert not any(pool["n_batch_waiting"] for pool in pools(context)), pools(context)


@then("the items of the job wait for their route")
def check_states(context):
    found = context.runner.run(states(context))
    assert found == [ItemState.NO_ROUTE] * ITEMS_PER_JOB, found
