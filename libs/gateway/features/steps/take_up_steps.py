"""Steps of the feature on streams that callers take up, many or without a name."""

from __future__ import annotations

import asyncio

from behave import then, when
from fleet_helpers import run
from platform_fleet import event_ids
from stream_version_steps import await_hosts, versions_of

from damaskjunction.routing import OriginMemory

BEGIN_S = 0.6


@when('host "{name}" knows nothing of the stream, and no host answers its asks')
def silence_peers(context, name):
    async def wait(host, request_id):
        await asyncio.Event().wait()

    keeper = context.platform.hosts[name]._origin_keeper
    keeper._ask = wait
    keeper._told = OriginMemory()


@when('the caller takes the stream up at "{host}" as "{request_id}" without naming it')
def take_up_unnamed(context, host, request_id):
    context.take_up_id = request_id
    known = event_ids(b"".join(answer.body for answer in context.answers))
    headers = {"Last-Event-Id": str(known[-1])}
    began_at_s = context.platform.timers.now()
    call = context.platform.call(
        host, "POST", "/alert/1", headers=headers, request_id=request_id
    )
    context.answers.append(run(context, call))
    context.took_s = context.platform.timers.now() - began_at_s


@when('{count:d} callers begin streams at "{host}", which is killed')
def begin_many(context, count, host):
    async def work():
        platform = context.platform
        calls = [
            platform.call(host, "POST", "/alert/1", request_id=f"q{number}")
            for number in range(count)
        ]
        answers = asyncio.gather(*calls)
        await asyncio.sleep(BEGIN_S)
        await platform.kill_host(host)
        context.firsts = await answers

    run(context, work())
    assert all(event_ids(answer.body) for answer in context.firsts), context.firsts


@when('{count:d} callers begin streams at "{host}", and all hosts die and come back')
def begin_many_and_kill_all(context, count, host):
    async def work():
        platform = context.platform
        calls = [
            platform.call(host, "POST", "/alert/1", request_id=f"q{number}")
            for number in range(count)
        ]
        answers = asyncio.gather(*calls)
        await asyncio.sleep(BEGIN_S)
        names = list(platform.hosts)
        for name in names:
            await platform.kill_host(name)
        context.firsts = await answers
        for name in names:
            await platform.start_host(name)
        await await_hosts(context)

    run(context, work())
    assert all(event_ids(answer.body) for answer in context.firsts), context.firsts


@when("the callers take their streams up at once elsewhere beside {count:d} new ones")
def take_up_many(context, count):
    platform = context.platform
    hosts = list(platform.hosts)

    def take_up(number, first):
        known = event_ids(first.body)
        headers = {"Last-Event-Id": str(known[-1]), "Resumes": f"q{number}"}
        return platform.call(
            hosts[number % len(hosts)],
            "POST",
            "/alert/1",
            headers=headers,
            request_id=f"t{number}",
        )

    async def work():
        calls = [take_up(number, first) for number, first in enumerate(context.firsts)]
        new = [
            platform.call(
                hosts[number % len(hosts)], "POST", "/alert/1", request_id=f"n{number}"
            )
            for number in range(count)
        ]
        answers = await asyncio.gather(*calls, *new)
        context.rests, context.new = answers[: len(calls)], answers[len(calls) :]

    run(context, work())


@then("at least half as many taken up streams as new ones are complete, of one version")
def check_share(context):
    n_complete = 0
    for first, rest in zip(context.firsts, context.rests, strict=True):
        body = first.body + (rest.body if rest.status == 200 else b"")
        assert len(versions_of(body)) == 1, body
        ids = event_ids(body)
        assert ids == list(range(1, len(ids) + 1)), ids
        n_complete += len(ids) == context.n_events
    n_new = sum(answer.status == 200 and answer.is_complete for answer in context.new)
    assert n_new, context.new
    assert 2 * n_complete >= n_new, (n_complete, n_new)
