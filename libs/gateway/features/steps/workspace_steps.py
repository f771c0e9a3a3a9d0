"""Steps of the feature on workspaces and their keys."""

from __future__ import annotations

import asyncio

from behave import given, then, when
from fleet_helpers import clear_stream_faults, received, run
from platform_fleet import ENGINE, PLAIN, ROUTES, make_configuration, make_route

from damaskjunction.standins import key_headers, make_workspace

POLL_S = 0.05
PUBLIC_ROUTES = [
    make_route("open", "/open/", "idempotent", PLAIN, Public=True),
    make_route("open-night", "/open-night/", "batch", ENGINE, Public=True),
]
KEY_HEADER, WORKSPACE_HEADER = "authorization", "x-tenant"


def put_workspaces(context, version, keys_by_name):
    workspaces = [make_workspace(name, *keys) for name, keys in keys_by_name.items()]
    routes = [*ROUTES, *PUBLIC_ROUTES]
    document = make_configuration(version, routes, workspaces=workspaces)
    context.platform.store.put("config", "main", document)
    context.changed_at_s = context.platform.timers.now()


def wait_for_version(context, version):
    hosts = context.platform.hosts.values()

    def is_active():
        return all(host.state.table.version == version for host in hosts)

    run(context, context.platform.wait_for(is_active))


@given(
    'the workspaces "{first}" with keys "{keys}" and "{second}" with keys "{others}"'
)
def make_workspaces(context, first, keys, second, others):
    context.keys_by_name = {first: keys.split(","), second: others.split(",")}
    put_workspaces(context, 2, context.keys_by_name)
    wait_for_version(context, 2)


@given("the operator removes all workspaces")
def remove_workspaces(context):
    put_workspaces(context, 3, {})
    wait_for_version(context, 3)


def parse_headers(text):
    return dict(line.split(": ") for line in text.split("; "))


@when('a caller requests "{path}" at "{host}" with "{headers}"')
def request_with(context, path, host, headers):
    call = context.platform.call(
        host, "POST", path, headers=parse_headers(headers), request_id="q1"
    )
    context.reply = run(context, call)


@then('"{host}" counts {count:d} refusals for "{reason}"')
def check_count(context, host, count, reason):
    line = f'refusals{{reason="{reason}"}} {count}'
    text = context.platform.hosts[host].metrics.to_text()
    assert (line in text.splitlines()) == bool(count), text


def assert_told(runner, request_id, workspace):
    headers = runner.headers_by_request[request_id]
    assert KEY_HEADER not in headers, headers
    assert headers.get(WORKSPACE_HEADER, "") == workspace, headers


@then('runner "{name}" is told no workspace for "{request_id}", and no key')
def check_told_none(context, name, request_id):
    assert_told(context.platform.runners[name], request_id, "")


@then(
    'runner "{name}" is told the workspace "{workspace}" for "{request_id}", and no key'
)
def check_told(context, name, workspace, request_id):
    assert_told(context.platform.runners[name], request_id, workspace)


@then('each runner was told the workspace "{workspace}" for "{request_id}", and no key')
def check_all_told(context, workspace, request_id):
    for runner in context.platform.runners.values():
        assert_told(runner, request_id, workspace)


@then('runner "{name}" got "{request_id}" with the headers "{headers}"')
def check_headers(context, name, request_id, headers):
    found = context.platform.runners[name].headers_by_request[request_id]
    expected = {k.lower(): v for k, v in parse_headers(headers).items()}
    assert {k: found.get(k) for k in expected} == expected, found


@when('a caller with key "{key}" requests "{path}" and engines recover after a break')
def request_broken(context, key, path):
    platform = context.platform

    async def work():
        call = platform.call("h0", "POST", path, headers=key_headers(key))
        reply = asyncio.ensure_future(call)
        await platform.wait_for(lambda: received(context, "r1"))
        await platform.wait_for(
            lambda: any(runner.n_running for runner in platform.runners.values())
        )
        for runner in platform.runners.values():
            if not runner.recorded_runs:
                runner.faults["break_after"] = 0
        return await reply

    context.reply = run(context, work())
    clear_stream_faults(context)


@when(
    'a caller with key "{key}" requests "{path}" and the operator takes "{lost}" away'
)
def request_and_take_away(context, key, path, lost):
    platform = context.platform

    async def work():
        call = platform.call("h0", "POST", path, headers=key_headers(key))
        context.call = asyncio.ensure_future(call)
        await platform.wait_for(lambda: received(context, "r1"))

    run(context, work())
    remaining_by_name = {
        name: [other for other in keys if other != lost]
        for name, keys in context.keys_by_name.items()
    }
    put_workspaces(context, 3, remaining_by_name)


@then(
    'each host answers the key "{key}" with {status:d} within {limit_s:g} s of the '
    "change"
)
def wait_for_status(context, key, status, limit_s):
    platform = context.platform

    async def wait(host):
        headers = key_headers(key)
        while platform.timers.now() < context.changed_at_s + limit_s:
            reply = await platform.call(host, "POST", "/look/1", headers=headers)
            if reply.status == status:
                return
            await asyncio.sleep(POLL_S)
        raise AssertionError((host, reply))

    async def work():
        await asyncio.gather(*map(wait, platform.hosts))

    run(context, work())
    if not hasattr(context, "reply"):
        context.reply = run(context, context.call)


@then('the answer names the request "{request_id}"')
def check_answered(context, request_id):
    assert context.reply.headers["x-request-id"] == request_id, context.reply
