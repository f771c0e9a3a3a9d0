"""Steps for runners that stand still for a while as whole processes."""

from __future__ import annotations

import asyncio
import itertools
from collections import Counter

from behave import given, then, when
from delivery_steps import call_service
from streams import PROMPT, Stream, engines, nth_host_id, run_counts

from damaskjunction.routing import home_of
from damaskjunction.standins.scenarios import assert_complete, run

SENT_AFTER_S = 0.2


@given("streams with a deadline of {deadline_s:g} s")
def set_deadline(context, deadline_s):
    context.stream_options = {"deadline_s": deadline_s}


def make_streams(context, n_streams, n_tokens, without=""):
    """Start streams through all hosts but one in turn."""
    hosts = [host_id for host_id in context.deployed.hosts_by_id if host_id != without]
    context.prompt, context.n_tokens = PROMPT, n_tokens
    options = context.stream_options if "stream_options" in context else {}
    return [
        Stream(context.deployed, host_id, PROMPT, n_tokens, **options)
        for host_id in itertools.islice(itertools.cycle(hosts), n_streams)
    ]


async def stand_still(context, names, duration_s):
    fleet = context.deployed.fleet
    for name in names:
        fleet.freeze(name)
    await asyncio.sleep(duration_s)
    for name in names:
        fleet.resume(name)


async def finish_streams(context, streams):
    await asyncio.gather(*(stream.task for stream in streams))
    context.streams = streams
    context.answers = [stream.task.result() for stream in streams]
    context.latencies_s = [stream.latency_s for stream in streams]


@when(
    "{n_streams:d} streams of {n_tokens:d} tokens run and, after {count:d}, {which} "
    "engine stands still for {still_s:g} s"
)
def still_streams(context, n_streams, n_tokens, count, **still):
    which, still_s = still["which"], still["still_s"]

    async def act():
        streams = make_streams(context, n_streams, n_tokens)
        await asyncio.gather(*(stream.wait_for_events(count) for stream in streams[:6]))
        names = [runner.runner_id for runner in engines(context.deployed)]
        if which == "one":
            names = [await streams[0].runner_id()]
        stillness = asyncio.ensure_future(stand_still(context, names, still_s))
        await finish_streams(context, streams)
        stillness.cancel()
        for name in names:
            context.deployed.fleet.resume(name)

    run(context, act())


@when(
    "{n_streams:d} streams of {n_tokens:d} tokens run through other hosts and, after "
    "{count:d}, a home stands still for {still_s:g} s"
)
def still_home(context, n_streams, n_tokens, count, still_s):
    async def act():
        hosts = context.deployed.hosts_by_id.values()
        home = home_of(engines(context.deployed)[0], hosts).host_id
        streams = make_streams(context, n_streams, n_tokens, without=home)
        await asyncio.gather(*(stream.wait_for_events(count) for stream in streams[:4]))
        await stand_still(context, [home], still_s)
        await finish_streams(context, streams)

    run(context, act())


@when(
    "{n_streams:d} streams of {n_tokens:d} tokens are asked for while every engine "
    "stands still for {still_s:g} s"
)
def ask_in_silence(context, n_streams, n_tokens, still_s):
    async def act():
        names = [runner.runner_id for runner in engines(context.deployed)]
        stillness = asyncio.ensure_future(stand_still(context, names, still_s))
        await asyncio.sleep(SENT_AFTER_S)
        streams = make_streams(context, n_streams, n_tokens)
        await finish_streams(context, streams)
        await stillness

    run(context, act())


@when(
    '"{path}" is called {count:d} times and, after {after_s:g} s, "{name}" stands '
    "still for {still_s:g} s"
)
def still_calls(context, path, count, **still):
    after_s, name, still_s = still["after_s"], still["name"], still["still_s"]

    async def act():
        calls = [
            asyncio.ensure_future(
                call_service(context, path, "one", nth_host_id(context, 1 + n % 3))
            )
            for n in range(count)
        ]
        await asyncio.sleep(after_s)
        await stand_still(context, [name], still_s)
        return await asyncio.gather(*calls)

    context.answers = run(context, act())


@then("no engine ran a stream twice")
def check_single_runs(context):
    async def read():
        counts = Counter()
        for runner in engines(context.deployed):
            for name, count in (
                await run_counts(context.deployed, runner.runner_id)
            ).items():
                counts[name.partition(".")[0]] += count
        return counts

    counts = run(context, read())
    streams = [stream for stream in context.streams if stream.request_id]
    expected = {stream.request_id: 1 for stream in streams}
    found = {request_id: counts[request_id] for request_id in expected}
    assert found == expected, sorted(found.values())


@then("every answer that has begun is complete")
def check_begun(context):
    begun = [answer for answer in context.answers if answer.status == 200]
    assert begun
    for answer in begun:
        assert_complete(answer, context.prompt, context.n_tokens)


@then("no stream took longer than {bound_s:g} s")
def check_durations(context, bound_s):
    assert max(context.latencies_s) <= bound_s, f"{max(context.latencies_s):.2f} s"
