"""Steps of the feature on planned stops of a host."""

from __future__ import annotations

import asyncio

from behave import given, then, when
from fleet_helpers import received, run
from platform_fleet import ENGINE, PLAIN

from damaskjunction.standins.runner import EVENT_INTERVAL_S

PATHS = ("/ask/", "/alert/", "/look/", "/order/")
LOAD_DEADLINE_S = 0.8


@given('an engine "{name}" whose streams take {duration_s:g} s')
def add_timed_engine(context, name, duration_s):
    n_events = round(duration_s / EVENT_INTERVAL_S)
    run(
        context,
        context.platform.add_runner(name, ENGINE, n_events=n_events, slots=8),
    )


@given('slow plain runner "{name}" that answers after {delay_s:g} s')
def add_slow_runner(context, name, delay_s):
    run(context, context.platform.add_runner(name, PLAIN, slots=8, delay_s=delay_s))


@when('host "{host}" begins to stop')
def begin_stop(context, host):
    async def work():
        context.leaving = asyncio.ensure_future(stop(context, host))

    run(context, work())


async def stop(context, host):
    """Drain and close a host, as its daemon does."""
    process = context.platform.hosts.pop(host)
    await process.drain()
    await process.close()


def call(context, path, deadline_s, host, request_id):
    return context.platform.call(
        host,
        "POST",
        path + request_id,
        headers={"X-Deadline-Ms": f"{deadline_s * 1000:.0f}"},
        request_id=request_id,
    )


@when(
    'a caller requests "{path}" with a deadline of {deadline_s:g} s at "{host}" '
    "{delay_s:g} s later"
)
def call_later(context, path, deadline_s, host, delay_s):
    async def work():
        await asyncio.sleep(delay_s)
        began_at_s = context.platform.timers.now()
        reply = await call(context, path, deadline_s, host, "q1")
        context.took_s = context.platform.timers.now() - began_at_s
        await context.leaving
        return reply

    context.reply = run(context, work())


@then("the caller gets a complete response with status {status:d}")
def check_complete(context, status):
    reply = context.reply
    assert (reply.status, reply.is_complete) == (status, True), reply


@then("the runners received nothing")
def check_nothing_received(context):
    assert not received(context, "q1")


@when(
    'host "{host}" begins to stop while callers send {rate:d} requests a second for '
    "{duration_s:g} s"
)
def stop_under_load(context, host, rate, duration_s):
    async def work():
        calls = {}
        for number in range(int(rate * duration_s)):
            path, request_id = PATHS[number % len(PATHS)], f"q{number}"
            coroutine = call(context, path, LOAD_DEADLINE_S, host, request_id)
            calls[request_id] = asyncio.ensure_future(coroutine)
            if number == rate // 2:
                context.leaving = asyncio.ensure_future(stop(context, host))
            await asyncio.sleep(1 / rate)
        await context.leaving
        return {name: await reply for name, reply in calls.items()}

    context.replies_by_id = run(context, work())


@then("no request at a runner was cut off from its caller")
def check_none_cut(context):
    replies_by_id = context.replies_by_id
    cut = [
        (name, reply)
        for name, reply in replies_by_id.items()
        if received(context, name) and not (reply.status and reply.is_complete)
    ]
    n_served = sum(reply.status == 200 for reply in replies_by_id.values())
    assert not cut, cut
    assert n_served > len(replies_by_id) / 4, n_served
