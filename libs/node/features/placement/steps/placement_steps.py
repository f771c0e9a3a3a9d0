"""Steps of placement and the lease, on real processes."""

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


def awake_hosts(context):
    away = getattr(context, "away", set())
    return [host for host in context.deployed.hosts_by_id if host not in away]


async def read_json(context, name, target):
    answer = await context.deployed.fleet.call(name, "GET", target, stall_s=3.0)
    return answer.to_json()


def wait_for(context, condition, what, timeout_s):
    run(context, context.deployed.fleet.wait_for(condition, what, timeout_s))


async def holders(context):
    found = []
    for host in awake_hosts(context):
        document = await read_json(context, host, "/v1/dump")
        if document["placement"]["may_act"]:
            found.append(host)
    return found


async def service_of(context, name):
    """Return the service's summary as the first host that is up tells it."""
    document = await read_json(context, awake_hosts(context)[0], "/v1/services")
    return {entry["name"]: entry for entry in document["services"]}[name]


@given('a running "{name}" fleet with engines that {habit} fencing numbers')
def start_with_habit(context, name, habit):
    start_fleet(context, name, *(("--ignore-fence",) if habit == "ignore" else ()))


@given("a host that holds the lease")
def find_holder(context):
    async def is_held():
        found = await holders(context)
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
    elif change == "thawed and an engine is restarted":
        fleet.resume(context.holder)
        context.away = set()
        restart_engine(context)


@then("another host holds the lease within {duration_s:d} s")
def check_taken_over(context, duration_s):
    async def is_held():
        return len(await holders(context)) == 1

    wait_for(context, is_held, "another host holds the lease", duration_s)


@then("no host holds the lease within {duration_s:d} s")
def check_unheld(context, duration_s):
    async def is_unheld():
        return not await holders(context)

    wait_for(context, is_unheld, "no host holds the lease", duration_s)


@when("an engine is restarted")
def restart_engine(context):
    fleet = context.deployed.fleet
    name = engines_of(context)[0]
    run(context, fleet.kill(name))
    run(context, fleet.restart(name))
    run(context, fleet.wait_until_responding([name]))


@when("the platform is up")
def resume_platform(context):
    set_fault(context, "platform", down=0)


@when("the platform loses the answers of the next {count:d} writes")
def lose_answers(context, count):
    set_fault(context, "platform", lose_answers=count)


def set_fault(context, name, **faults):
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


@then("no engine got an order with an old fencing number")
def check_no_stale(context):
    for engine, orders in orders_by_engine(context).items():
        assert not any(order["is_stale"] for order in orders), (engine, orders)


@then('no engine got an order with an old fencing number, or of "{old}" after "{new}"')
def check_nothing_stale(context, old, new):
    check_no_stale(context)
    for engine, orders in orders_by_engine(context).items():
        versions = [order["version"] for order in orders]
        late = versions[versions.index(new) :] if new in versions else []
        assert old not in late, (engine, orders)


@then("no engine gets an order in {duration_s:d} s")
def check_no_orders(context, duration_s):
    before = orders_by_engine(context)
    run(context, asyncio.sleep(duration_s))
    assert orders_by_engine(context) == before


@then("answers are whole through every host")
def check_answers(context):
    for host in awake_hosts(context):
        answer = run(context, generate(context.deployed, host, "Which ball?", N_TOKENS))
        assert_complete(answer, "Which ball?", N_TOKENS)


@given('"{name}" has {count:d} ready runners within {duration_s:d} s')
@then('"{name}" has {count:d} ready runners within {duration_s:d} s')
def check_ready(context, name, count, duration_s):
    async def is_so():
        return (await service_of(context, name))["n_ready"] == count

    wait_for(context, is_so, f"{name} has {count} ready runners", duration_s)


@then('"{name}" tells a failure')
def check_failure(context, name):
    async def is_told():
        return bool((await service_of(context, name))["failures_by_runner"])

    wait_for(context, is_told, f"{name} tells a failure", 5.0)


@then('"{name}" tells "{reason}" within {duration_s:d} s')
def check_reason(context, name, reason, duration_s):
    async def is_told():
        service = await service_of(context, name)
        return reason in service["failures_by_runner"].values()

    wait_for(context, is_told, f"{name} tells {reason!r}", duration_s)


@when("it is started again")
def restart_killed(context):
    run(context, context.deployed.fleet.restart(context.engine))
    run(context, context.deployed.fleet.wait_until_responding([context.engine]))


@when("a ready engine is killed")
def kill_ready(context):
    async def first_ready():
        for engine in engines_of(context):
            document = await read_json(context, engine, "/v1/order")
            if document["state"] == "ready":
                return engine
        raise AssertionError("no engine is ready")

    context.engine = run(context, first_ready())
    context.orders = orders_by_engine(context)
    run(context, context.deployed.fleet.kill(context.engine))


@then("no other engine got an order")
def check_other_orders(context):
    orders = orders_by_engine(context)
    for engine, before in context.orders.items():
        if engine != context.engine:
            assert orders[engine] == before, (engine, orders[engine])


def text_with_version(context, version):
    text = copy.deepcopy(dict(context.deployed.deployment.configuration))
    (model,) = text["models"].values()
    model["version"] = version
    return yaml.safe_dump(text, sort_keys=False)


async def put_text(context, text):
    host = awake_hosts(context)[0]
    answer = await context.deployed.fleet.call(host, "GET", "/v1/configuration")
    headers = {"If-Match": answer.headers["revision"]}
    return await context.deployed.fleet.call(
        host, "PUT", "/v1/configuration", body=text.encode(), headers=headers
    )


@when('version "{version}" of "{model}" is applied')
@when('version "{version}" of "{model}" is applied through a host that is not frozen')
def apply_version(context, version, model):
    answer = run(context, put_text(context, text_with_version(context, version)))
    assert answer.status == 200, answer


@when('version "{version}" of "{model}" is applied while calls are made')
def apply_under_load(context, version, model):
    context.is_loaded = True
    context.calls = []
    context.n_ready_seen = []
    loop = context.asyncio_runner.get_loop()
    context.load = loop.create_task(call_on(context))
    apply_version(context, version, model)


async def call_on(context):
    """Make calls through all hosts in turn until the load is ended."""
    number = 0
    while context.is_loaded:
        for host in awake_hosts(context):
            number += 1
            prompt = f"question {number}"
            call = generate(context.deployed, host, prompt, N_TOKENS)
            context.calls.append((prompt, asyncio.ensure_future(call)))
        service = await service_of(context, "caddie-llm")
        context.n_ready_seen.append(service["n_ready"])
        await asyncio.sleep(CALL_PAUSE_S)


@then('"{name}" serves "{version}" on {count:d} runners within {duration_s:d} s')
def check_rolled_out(context, name, version, count, duration_s):
    async def is_so():
        service = await service_of(context, name)
        return service["n_ready"] == count and service["n_outdated"] == 0

    async def is_in_plan():
        document = await read_json(context, awake_hosts(context)[0], "/v1/services")
        is_planned = document["planned_revision"] == document["configuration_revision"]
        return is_planned and await is_so()

    wait_for(context, is_in_plan, f"{count} runners serve {version}", duration_s)


@then("every call was answered whole")
def check_calls(context):
    async def finish():
        context.is_loaded = False
        await context.load
        return [(prompt, await call) for prompt, call in context.calls]

    answers = run(context, finish())
    assert len(answers) > 20, len(answers)
    for prompt, answer in answers:
        assert_complete(answer, prompt, N_TOKENS)


@then('"{name}" never had fewer than {count:d} ready runners')
def check_never_below(context, name, count):
    assert min(context.n_ready_seen) >= count, context.n_ready_seen


@when("a text with {fault} is applied")
def apply_faulty(context, fault):
    context.revision = run(context, revision_in_force(context))
    text = copy.deepcopy(dict(context.deployed.deployment.configuration))
    if fault == "a cycle":
        text["services"]["fleet-api"]["depends_on"] = ["caddie-llm"]
    else:
        text["services"]["caddie-llm"]["model"] = "cadie"
    context.answer = run(context, put_text(context, yaml.safe_dump(text)))


async def revision_in_force(context):
    document = await read_json(context, awake_hosts(context)[0], "/v1/services")
    return document["configuration_revision"]


@then('it is refused with "{finding}"')
def check_refused(context, finding):
    assert context.answer.status == 422, context.answer
    findings = context.answer.to_json()["error"]["findings"]
    assert any(finding in text for text in findings), findings


@then("the revision in force is as before")
def check_revision(context):
    assert run(context, revision_in_force(context)) == context.revision
