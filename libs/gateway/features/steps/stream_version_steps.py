"""Steps of the features on the software versions of streams."""

from __future__ import annotations

import asyncio

from behave import given, then, when
from fleet_helpers import run
from platform_fleet import ENGINE, event_ids

SETTLE_S = 0.3


@given('engines "{names}" of version "{version}" with {n_events:d} events')
@given('engines "{names}" of version "" with {n_events:d} events')
def add_engines(context, names, n_events, version=""):
    for name in names.split(","):
        options = {"version": version, "n_events": n_events}
        run(context, context.platform.add_runner(name, ENGINE, **options))
    context.n_events = n_events


@when('a caller begins a stream of "{path}" at "{host}" as "{request_id}"')
def begin_stream(context, path, host, request_id):
    async def begin():
        call = context.platform.call(host, "POST", path, request_id=request_id)
        context.stream = asyncio.ensure_future(call)
        await context.platform.wait_for(lambda: running(context))
        await asyncio.sleep(SETTLE_S)

    run(context, begin())


def running(context):
    return [r for r in context.platform.runners.values() if r.n_running]


@when('engines "{names}" of version "{version}" join')
def join_engines(context, names, version):
    add_engines(context, names, context.n_events, version)
    run(context, asyncio.sleep(SETTLE_S))


@when("the stream's runner breaks it")
def break_stream(context):
    runner = running(context)[0]
    runner.faults["break_after"] = 1

    async def finish():
        context.reply = await context.stream

    run(context, finish())
    runner.faults["break_after"] = 0


def versions_of(body):
    lines = body.decode().split("\n")
    return {line.removeprefix("event: ") for line in lines if line.startswith("event")}


@then('the caller gets events of version "{version}" alone, {ending}')
@then("the caller gets events of no version, {ending}")
def check_versions(context, ending, version=""):
    reply, ids = context.reply, event_ids(context.reply.body)
    assert versions_of(reply.body) == ({version} if version else set()), reply
    is_whole = reply.is_complete and ids == list(range(1, context.n_events + 1))
    assert is_whole == (ending == "complete"), reply
    assert ids == list(range(1, len(ids) + 1)), ids
