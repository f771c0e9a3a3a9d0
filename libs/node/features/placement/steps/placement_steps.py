"""Steps of the features of placement and the lease, with separate processes."""

from __future__ import annotations

import asyncio
import copy

import yaml
from behave import given, then, when

from damaskjunction.core import ServiceKind
from damaskjunction.standins.scenarios import (
    assert_complete,
    generate,
    run,
    start_fleet,
)

N_TOKENS = 8
CALL_PAUSE_S = 0.1


def engines_of(context):
    runners = context.deployed.runners_by_id.values()
    return [r.runner_id for r in runners if r.kind is ServiceKind.ENGINE]


def available_hosts(context):
    away = getattr(context, "away", set())
    return [host for host in context.deployed.hosts_by_id if host not in away]


async def read_json(context, name, target):
    response = await context.deployed.fleet.call(name, "GET", target, stall_s=3.0)
    return response.to_json()


def wait_for(context, condition, description, timeout_s):
    run(context, context.deployed.fleet.wait_for(condition, description, timeout_s))


async def find_holders(context):
    found = []
    for host in available_hosts(context):
        document = await read_json(context, host, "/v1/dump")
        if document["placement"]["may_act"]:
            found.append(host)
    return found


async def read_service(context, name):
    """Return the summary of a service from the first host that is up."""
    document = await read_json(context, available_hosts(context)[0], "/v1/services")
    return {entry["name"]: entry for entry in document["services"]}[name]


@given('a running "{name}" fleet with engines that {mode} fencing tokens')
def start_with_mode(context, name, mode):
    start_fleet(context, name, *(("--ignore-fence",) if mode == "ignore" else ()))


@given("a host that holds the lease")
def find_holder(context):
    async def is_held():
        found = await find_holders(context)
        context.holder = found[0] if found else None
        return len(found) == 1

    wait_for(context, is_held, "one host holds the lease", 10.0)


@when("the holder is {change}")
def change_holder(context, change):
    fleet = context.deployed.fleet
    context.away = {context.holder}
    if change == "killed":
        run(context, fleet.kill(context.holder))
    elif change == "stopped":
        run(context, fleet.stop(context.holder))
    elif change == "frozen":
        fleet.freeze(context.holder)
    elif change == "resumed and an engine is restarted":
        fleet.resume(context.holder)
        context.away = set()
        restart_engine(context)


@then("another host holds the lease within {duration_s:d} s")
def check_taken_over(context, duration_s):
    async def is_held():
        return len(await find_holders(context)) == 1

    wait_for(context, is_held, "another host holds the lease", duration_s)


@then("no host holds the lease within {duration_s:d} s")
def check_unheld(context, duration_s):
    async def is_unheld():
        return not await find_holders(context)

    wait_for(context, is_unheld, "no host holds the lease", duration_s)


@when("an engine is restarted")
def restart_engine(context):
    fleet = context.deployed.fleet
    name = engines_of(context)[0]
    run(context, fleet.kill(name))
    run(context, fleet.restart(name))
    run(context, fleet.wait_until_responding([name]))


@when("the platform recovers")
def resume_platform(context):
    set_faults(context, "platform", down=0)


@when("the platform loses the responses to the next {count:d} writes")
def lose_responses(context, count):
    set_faults(context, "platform", lose_answers=count)


def set_faults(context, name, **faults):
    call = context.deployed.fleet.call(name, "PUT", "/test/faults", document=faults)
    run(context, call)


@then("every engine is ready within {duration_s:d} s")
def check_all_ready(context, duration_s):
    async def are_ready():
        found = [await read_json(context, e, "/v1/order") for e in engines_of(context)]
        return all(document["state"] == "ready" for document in found)

    wait_for(context, are_ready, "every engine is ready", duration_s)


@then('every engine serves "{version}" within {duration_s:d} s')
def check_versions(context, version, duration_s):
    async def are_changed():
        found = [await read_json(context, e, "/v1/order") for e in engines_of(context)]
        return all(
            document["state"] == "ready" and document["order"]["version"] == version
            for document in found
        )

    wait_for(context, are_changed, f"every engine serves {version}", duration_s)


def orders_by_engine(context):
    return {
        engine: run(context, read_json(context, engine, "/test/orders"))["orders"]
        for engine in engines_of(context)
    }


@then("no engine received a stale fencing token")
def check_no_stale(context):
    for engine, orders in orders_by_engine(context).items():
        assert not any(order["is_stale"] for order in orders), (engine, orders)


@then('no engine received a stale fencing token, or an order for "{old}" after "{new}"')
def check_nothing_stale(context, old, new):
    check_no_stale(context)
    for engine, orders in orders_by_engine(context).items():
        versions = [order["version"] for order in orders]
        later_versions = versions[versions.index(new) :] if new in versions else []
        assert old not in later_versions, (engine, orders)


@then("no engine receives an order for {duration_s:d} s")
def check_no_orders(context, duration_s):
    before = orders_by_engine(context)
    run(context, asyncio.sleep(duration_s))
    assert orders_by_engine(context) == before


@then("responses are complete through every host")
def check_responses(context):
    for host in available_hosts(context):
        response = run(
            context, generate(context.deployed, host, "Which ball?", N_TOKENS)
        )
        assert_complete(response, "Which ball?", N_TOKENS)


@given('"{name}" has {count:d} ready runners within {duration_s:d} s')
@then('"{name}" has {count:d} ready runners within {duration_s:d} s')
def check_ready(context, name, count, duration_s):
    async def is_reached():
        return (await read_service(context, name))["n_ready"] == count

    wait_for(context, is_reached, f"{name} has {count} ready runners", duration_s)


@then('"{name}" reports a failure')
def check_failure(context, name):
    async def is_reported():
        return bool((await read_service(context, name))["failures_by_runner"])

    wait_for(context, is_reported, f"{name} reports a failure", 5.0)


@then('"{name}" reports "{reason}" within {duration_s:d} s')
def check_reason(context, name, reason, duration_s):
    async def is_reported():
        service = await read_service(context, name)
        return reason in service["failures_by_runner"].values()

    wait_for(context, is_reported, f"{name} reports {reason!r}", duration_s)


@when("it is restarted")
def restart_killed(context):
    run(context, context.deployed.fleet.restart(context.engine))
    run(context, context.deployed.fleet.wait_until_responding([context.engine]))


@when("a ready engine is killed")
def kill_ready(context):
    async def find_ready_engine():
        for engine in engines_of(context):
            document = await read_json(context, engine, "/v1/order")
            if document["state"] == "ready":
                return engine
        raise AssertionError("no engine is ready")

    context.engine = run(context, find_ready_engine())
    context.orders = orders_by_engine(context)
    run(context, context.deployed.fleet.kill(context.engine))


@then("no other engine received an order")
def check_no_other_orders(context):
    orders = orders_by_engine(context)
    for engine, before in context.orders.items():
        if engine != context.engine:
            assert orders[engine] == before, (engine, orders[engine])


def configuration_with_version(context, version):
    text = copy.deepcopy(dict(context.deployed.deployment.configuration))
    (model,) = text["models"].values()
    model["version"] = version
    return yaml.safe_dump(text, sort_keys=False)


async def put_configuration(context, text):
    host = available_hosts(context)[0]
    response = await context.deployed.fleet.call(host, "GET", "/v1/configuration")
    headers = {"If-Match": response.headers["revision"]}
    return await context.deployed.fleet.call(
        host, "PUT", "/v1/configuration", body=text.encode(), headers=headers
    )


@when('version "{version}" of "{model}" is applied')
@when('version "{version}" of "{model}" is applied through a host that is not frozen')
def apply_version(context, version, model):
    response = run(
        context,
        put_configuration(context, configuration_with_version(context, version)),
    )
    assert response.status == 200, response


@when('version "{version}" of "{model}" is applied while calls are made')
def apply_under_load(context, version, model):
    context.is_loaded = True
    context.calls = []
    context.n_ready_samples = []
    loop = context.asyncio_runner.get_loop()
    context.load = loop.create_task(call_until_stopped(context))
    apply_version(context, version, model)


async def call_until_stopped(context):
    """Call through all hosts in turn until ``context.is_loaded`` is cleared."""
    n_calls = 0
    while context.is_loaded:
        for host in available_hosts(context):
            n_calls += 1
            prompt = f"question {n_calls}"
            call = generate(context.deployed, host, prompt, N_TOKENS)
            context.calls.append((prompt, asyncio.ensure_future(call)))
        service = await read_service(context, "caddie-llm")
        context.n_ready_samples.append(service["n_ready"])
        await asyncio.sleep(CALL_PAUSE_S)


@then('"{name}" serves "{version}" on {count:d} runners within {duration_s:d} s')
def check_rolled_out(context, name, version, count, duration_s):
    async def is_reached():
        service = await read_service(context, name)
        return service["n_ready"] == count and service["n_outdated"] == 0

    async def is_in_plan():
        document = await read_json(context, available_hosts(context)[0], "/v1/services")
        is_planned = document["planned_revision"] == document["configuration_revision"]
        return is_planned and await is_reached()

    wait_for(context, is_in_plan, f"{count} runners serve {version}", duration_s)


@then("every call got a complete response")
def check_calls(context):
    async def finish():
        context.is_loaded = False
        await context.load
        return [(prompt, await call) for prompt, call in context.calls]

    responses = run(context, finish())
    assert len(responses) > 20, len(responses)
    for prompt, response in responses:
        assert_complete(response, prompt, N_TOKENS)


@then('"{name}" never had fewer than {count:d} ready runners')
def check_never_below(context, name, count):
    assert min(context.n_ready_samples) >= count, context.n_ready_samples


@when("a configuration with {fault} is applied")
def apply_invalid(context, fault):
    context.revision = run(context, read_active_revision(context))
    text = copy.deepcopy(dict(context.deployed.deployment.configuration))
    if fault == "a cycle":
        text["services"]["fleet-api"]["depends_on"] = ["caddie-llm"]
    else:
        text["services"]["caddie-llm"]["model"] = "cadie"
    context.response = run(context, put_configuration(context, yaml.safe_dump(text)))


async def read_active_revision(context):
    document = await read_json(context, available_hosts(context)[0], "/v1/services")
    return document["configuration_revision"]


@then('it is rejected with "{finding}"')
def check_rejected(context, finding):
    assert context.response.status == 422, context.response
    findings = context.response.to_json()["error"]["findings"]
    assert any(finding in text for text in findings), findings


@then("the active revision is unchanged")
def check_revision(context):
    assert run(context, read_active_revision(context)) == context.revision
