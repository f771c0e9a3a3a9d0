"""Steps of the feature of orders, with separate processes."""

from __future__ import annotations

import asyncio

from behave import given, then

from damaskjunction.core import ServiceKind
from damaskjunction.standins import DeployedFleet, deployments
from damaskjunction.standins.scenarios import run

DEPLOYMENT = "idle-engines"


async def read_json(context, name, target):
    response = await context.deployed.fleet.call(name, "GET", target)
    return response.to_json()


async def read_engines(context, target):
    engines = [
        runner.runner_id
        for runner in context.deployed.runners_by_id.values()
        if runner.kind is ServiceKind.ENGINE
    ]
    return [await read_json(context, engine, target) for engine in engines]


@given("a fleet whose weight store supports {count:d} load at a time")
def start_slow_store(context, count):
    deployment = deployments.get(DEPLOYMENT)
    limits = {"weight_store_gb_per_s": 1, "load_window_s": count}
    limited = {**deployment.configuration, "placement": limits}
    context.deployed = DeployedFleet(deployment._replace(configuration=limited))

    async def start():
        await context.deployed.start()
        faults = {"weights_gb_per_s": 1}
        await context.deployed.fleet.call(
            "platform", "PUT", "/test/faults", document=faults
        )
        assert (await context.deployed.apply_configuration()).status == 200

    run(context, start())


@then(
    "{count:d} engines become ready within {duration_s:d} s,"
    " with at most {limit:d} loading at a time"
)
def check_loads(context, count, duration_s, limit):
    n_loading_samples = []

    async def are_ready():
        states = [
            document["state"] for document in await read_engines(context, "/v1/order")
        ]
        n_loading_samples.append(states.count("loading"))
        return states.count("ready") == count

    fleet = context.deployed.fleet
    run(context, fleet.wait_for(are_ready, f"{count} engines are ready", duration_s))
    assert max(n_loading_samples) == limit, n_loading_samples


@then("for {duration_s:d} s no engine receives an order and the plan is not written")
def check_idle(context, duration_s):
    before = run(context, read_orders(context))
    run(context, asyncio.sleep(duration_s))
    after = run(context, read_orders(context))
    assert before == after, (before, after)


async def read_orders(context):
    """Return the orders of all engines and how often the plan was written."""
    orders = await read_engines(context, "/test/orders")
    counts = await read_json(context, "platform", "/test/counts")
    return orders, counts.get("PUT plan", 0)


@then(
    "for {duration_s:d} s, with {which} still for {still_s:g} s of them, no engine "
    "is changed"
)
def check_still(context, duration_s, which, still_s):
    async def act():
        fleet = context.deployed.fleet
        names = [
            runner.runner_id
            for runner in context.deployed.runners_by_id.values()
            if runner.kind is ServiceKind.ENGINE
        ]
        if which == "one ready engine":
            orders = await read_engines(context, "/v1/order")
            states = [document["state"] for document in orders]
            names = [names[states.index("ready")]]
        for name in names:
            fleet.freeze(name)
        await asyncio.sleep(still_s)
        for name in names:
            fleet.resume(name)
        await asyncio.sleep(duration_s - still_s)

    async def count_changes():
        orders, _ = await read_orders(context)
        return [sum(o["is_change"] for o in engine["orders"]) for engine in orders]

    before = run(context, count_changes())
    run(context, act())
    after = run(context, count_changes())
    assert before == after, (before, after)
