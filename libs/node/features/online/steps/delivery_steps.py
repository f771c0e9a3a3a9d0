"""Steps for faults of runners, hosts and connections while calls are in flight."""

from __future__ import annotations

import asyncio

from behave import given, then, when
from streams import (
    PROMPT,
    Stream,
    engines,
    nth_host_id,
    run_counts,
    start_stream_off_home,
)

from damaskjunction.routing import home_of
from damaskjunction.standins import Mode, parse_events
from damaskjunction.standins.scenarios import (
    AUTHORIZATION,
    assert_complete,
    generate,
    run,
    start_fleet,
)


@given('a running "{name}" fleet behind proxies before "{names}"')
def start_proxied(context, name, names):
    start_fleet(context, name, proxied=tuple(names.split(",")))


@given('the next response of "{name}" is lost')
def lose_response(context, name):
    set_faults(context, name, {"lose_answers": 1})


@given('each call to "{name}" takes {duration_s:f} s')
def slow_down(context, name, duration_s):
    set_faults(context, name, {"slow_s": duration_s})


@given("the platform is unavailable")
def stop_platform(context):
    set_faults(context, "platform", {"down": 1})


@when("the platform is available again")
def resume_platform(context):
    set_faults(context, "platform", {"down": 0})


def set_faults(context, name, document):
    fleet = context.deployed.fleet
    run(context, fleet.call(name, "PUT", "/test/faults", document=document))


@when("{n_tokens:d} tokens are requested, and its runner is killed after {count:d}")
def kill_runner(context, n_tokens, count):
    async def act():
        deployed = context.deployed
        stream = Stream(deployed, nth_host_id(context, 1), PROMPT, n_tokens)
        await stream.wait_for_events(count)
        await deployed.fleet.kill(await stream.runner_id())
        return await stream.task

    context.prompt, context.n_tokens = PROMPT, n_tokens
    context.answers = [run(context, act())]


@when(
    "{n_tokens:d} tokens are requested through another host, and the home is killed "
    "after {count:d}"
)
def kill_home(context, n_tokens, count):
    async def act():
        stream, home_id = await start_stream_off_home(context, n_tokens, count)
        await context.deployed.fleet.kill(home_id)
        return await stream.task

    context.prompt, context.n_tokens = PROMPT, n_tokens
    context.answers = [run(context, act())]


@when(
    "{n_tokens:d} tokens are requested through another host, and the caller "
    "disconnects after {count:d}"
)
def disconnect_caller(context, n_tokens, count):
    async def act():
        stream, _ = await start_stream_off_home(context, n_tokens, count)
        stream.task.cancel()
        await asyncio.gather(stream.task, return_exceptions=True)

    run(context, act())


@then("no runner has a request within {bound_s:d} s")
def check_idle(context, bound_s):
    fleet = context.deployed.fleet

    async def is_idle():
        loads = [
            await fleet.call(runner.runner_id, "GET", "/v1/load")
            for runner in engines(context.deployed)
        ]
        return all(load.to_json()["running"] == 0 for load in loads)

    run(context, fleet.wait_for(is_idle, "the runners are idle", bound_s))


def call_service(context, path, body, host_id, key=""):
    headers = {**AUTHORIZATION, **({"Idempotency-Key": key} if key else {})}
    target = f"/v1/services/fleet-api/call{path}"
    return context.deployed.fleet.call(
        host_id, "POST", target, body=body.encode(), headers=headers
    )


@when('"{path}" of "fleet-api" is called with "{body}" through host {number:d}')
def call_through(context, path, body, number):
    call = call_service(context, path, body, nth_host_id(context, number))
    context.answers = [run(context, call)]


@when(
    '"{path}" of "fleet-api" is called with key "{key}" and "{body}" '
    "through host {number:d}"
)
def call_with_key(context, path, key, body, number):
    call = call_service(context, path, body, nth_host_id(context, number), key)
    context.answers = [run(context, call)]


@when('"{path}" with key "{key}" is called through all hosts concurrently')
def call_concurrently(context, path, key):
    async def act():
        calls = (
            call_service(context, path, "together", host_id, key)
            for host_id in context.deployed.hosts_by_id
        )
        return await asyncio.gather(*calls)

    context.answers = run(context, act())


@then('the call returns "{body}"')
def check_call(context, body):
    answer = context.answers[-1]
    assert answer.status == 200, answer
    assert answer.to_json()["body"] == body, answer


@then("the call has status {status:d}")
def check_status(context, status):
    assert context.answers[-1].status == status, context.answers[-1]


@then('the caller receives "{outcome}" with status {status:d}')
def check_outcome(context, outcome, status):
    answer = context.answers[-1]
    assert answer.status == status, answer
    assert answer.to_json()["error"]["outcome"] == outcome, answer


@then('"{name}" has run {count:d} call')
@then('"{name}" has run {count:d} calls')
def check_runs(context, name, count):
    counts = run(context, run_counts(context.deployed, name))
    assert sum(counts.values()) == count, counts


@when(
    "{n_tokens:d} tokens are requested, and connections to runners stall "
    "after {count:d}"
)
def stall_runners(context, n_tokens, count):
    async def act():
        deployed = context.deployed
        stream = Stream(deployed, nth_host_id(context, 1), PROMPT, n_tokens)
        await stream.wait_for_events(count)
        for runner in engines(deployed):
            await deployed.set_mode(runner.runner_id, Mode.SILENT_OLD)
        return await stream.task

    context.prompt, context.n_tokens = PROMPT, n_tokens
    context.answers = [run(context, act())]


@then("every answer is complete within {bound_s:f} s")
def check_latency(context, bound_s):
    for answer in context.answers:
        assert_complete(answer, context.prompt, context.n_tokens)
    slowest_s = max(context.latencies_s)
    assert slowest_s <= bound_s, f"{slowest_s:.2f} s"


@then("the answer is complete")
def check_complete(context):
    assert_complete(context.answers[-1], context.prompt, context.n_tokens)


@when('the proxy before the home of each runner is set to "{mode}"')
def set_home_modes(context, mode):
    deployed = context.deployed
    hosts = deployed.hosts_by_id.values()
    homes = {home_of(runner, hosts).host_id for runner in engines(deployed)}
    for host_id in sorted(homes)[:1]:
        run(context, deployed.set_mode(host_id, Mode(mode)))


@when(
    "host {number:d} is killed and restarted, and gets a request as soon as it responds"
)
def request_after_restart(context, number):
    async def act():
        fleet = context.deployed.fleet
        host_id = nth_host_id(context, number)
        await fleet.kill(host_id)
        await fleet.restart(host_id)
        await fleet.wait_until_responding([host_id])
        return await generate(context.deployed, host_id, PROMPT, 20)

    context.prompt, context.n_tokens = PROMPT, 20
    context.answers = [run(context, act())]


@when(
    "{n_tokens:d} tokens are requested through host {number:d} and, after {count:d}, "
    'it leaves by "{way}"'
)
def leave_fleet(context, n_tokens, number, count, way):
    async def act():
        deployed = context.deployed
        host_id = nth_host_id(context, number)
        context.stream = Stream(deployed, host_id, PROMPT, n_tokens)
        await context.stream.wait_for_events(count)
        context.leaving = host_id
        context.leaving_since_s = deployed.fleet.timers.now()
        if way == "SIGTERM":
            deployed.fleet.terminate(host_id)
        else:
            await deployed.mark_leaving(host_id)

    run(context, act())


@then("no host lists its address within {bound_s:d} s")
def check_addresses(context, bound_s):
    deployed = context.deployed
    leaving = deployed.hosts_by_id[context.leaving]

    async def is_unlisted():
        for host_id in deployed.hosts_by_id:
            response = await deployed.fleet.call(host_id, "GET", "/v1/addresses")
            if str(leaving.caller) in response.to_json()["addresses"]:
                return False
        return True

    run(
        context,
        deployed.fleet.wait_for(is_unlisted, "no host lists its address", bound_s),
    )


@when('{n_tokens:d} tokens for "{prompt}" are requested through host {number:d}')
def generate_through(context, prompt, n_tokens, number):
    call = generate(context.deployed, nth_host_id(context, number), prompt, n_tokens)
    context.prompt, context.n_tokens = prompt, n_tokens
    context.answers = [run(context, call)]


@then("the stream of {n_tokens:d} tokens is complete")
def check_stream(context, n_tokens):
    async def act():
        return await context.stream.task

    answer = run(context, act())
    assert_complete(answer, PROMPT, n_tokens)
    assert parse_events(answer.body)[-1].name == "end"


@then("host {number:d} has exited with code {code:d}")
def check_exit(context, number, code):
    fleet = context.deployed.fleet
    ended = run(context, fleet.wait(nth_host_id(context, number)))
    assert ended == code, ended
