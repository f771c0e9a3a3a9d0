"""Steps of the feature on admission control at homes."""

from __future__ import annotations

import asyncio
import json

from behave import given, then, when

from damaskjunction.core import ServiceKind
from damaskjunction.lab.batch_load import BatchLoad, BatchSpec
from damaskjunction.node import cancel_tasks
from damaskjunction.routing import home_of
from damaskjunction.standins.scenarios import (
    AUTHORIZATION,
    assert_complete,
    generate,
    run,
)

BATCH_WAIT_S = 60.0


def engines(context):
    runners = context.deployed.runners_by_id.values()
    return [runner for runner in runners if runner.kind is ServiceKind.ENGINE]


@given(
    "the engines make no tokens for {count:d} online requests with a deadline of "
    "{deadline_s:g} s"
)
def occupy_engines(context, count, deadline_s):
    deployed = context.deployed
    hosts = list(deployed.hosts_by_id)

    async def are_occupied():
        runners = {runner.runner_id for runner in engines(context)}
        for host in hosts:
            dump = (await deployed.fleet.call(host, "GET", "/v1/dump")).to_json()
            for name, admission in dump["runners"].items():
                if admission["n_online_waiting"]:
                    runners.discard(name)
        return not runners

    async def act():
        for runner in engines(context):
            await deployed.fleet.call(
                runner.runner_id, "PUT", "/test/faults", document={"frozen": 1}
            )
        context.occupying = [
            asyncio.ensure_future(
                generate(
                    deployed,
                    hosts[number % len(hosts)],
                    f"occupying {number}",
                    16,
                    deadline_s=deadline_s,
                )
            )
            for number in range(count)
        ]
        await deployed.fleet.wait_for(are_occupied, "the engines are occupied")

    run(context, act())


@when("batch requests fill every runner")
def fill_runners(context):
    hosts = list(context.deployed.hosts_by_id.values())
    spec = BatchSpec("caddie-llm", "carritos")
    timers = context.deployed.fleet.timers
    batch = BatchLoad(timers, spec, lambda runner: home_of(runner, hosts))
    context.batch = batch

    async def start():
        batch.start(engines(context))
        await wait_for_items(context, 10)

    run(context, start())


async def wait_for_items(context, count):
    async def has_items():
        return context.batch.counts.n_items >= count

    fleet = context.deployed.fleet
    await fleet.wait_for(has_items, f"{count} batch answers", BATCH_WAIT_S)


@when("{count:d} online requests of {n_tokens:d} tokens are sent at once")
def send_at_once(context, count, n_tokens):
    send_requests(context, count, n_tokens)


@when(
    "{count:d} online requests of {n_tokens:d} tokens are sent at once "
    "with a deadline of {deadline_s:g} s"
)
def send_with_deadline(context, count, n_tokens, deadline_s):
    send_requests(context, count, n_tokens, deadline_s=deadline_s)


def send_requests(context, count, n_tokens, **extra):
    hosts = list(context.deployed.hosts_by_id)
    context.n_tokens = n_tokens
    context.prompts = [f"prompt {number}" for number in range(count)]

    async def send_all():
        return await asyncio.gather(
            *(
                generate(
                    context.deployed,
                    hosts[number % len(hosts)],
                    prompt,
                    n_tokens,
                    **extra,
                )
                for number, prompt in enumerate(context.prompts)
            )
        )

    context.answers = run(context, send_all())


@then("every online answer is complete")
def check_online(context):
    for prompt, answer in zip(context.prompts, context.answers, strict=True):
        assert_complete(answer, prompt, context.n_tokens)


@then("batch requests were preempted")
def check_preempted(context):
    async def read_metrics():
        fleet = context.deployed.fleet
        names = context.deployed.hosts_by_id
        return [(await fleet.call(n, "GET", "/metrics")).body.decode() for n in names]

    assert any(
        "admission_preempted_total" in text for text in run(context, read_metrics())
    )


@when("{count:d} more batch answers have been received")
def wait_for_more(context, count):
    target = context.batch.counts.n_items + count
    run(context, wait_for_items(context, target))
    run(context, context.batch.close())


@then("no batch token was lost, duplicated or wrong, and no batch request failed")
def check_batch(context):
    counts = context.batch.counts
    assert counts.n_wrong == 0, counts
    assert counts.n_errors == 0, counts


@then("some are refused as not run, with a retry-after time")
def check_refusals(context):
    failed = [answer for answer in context.answers if answer.status != 200]
    errors = [answer.to_json()["error"]["outcome"] for answer in failed]
    assert set(errors) <= {"not_run", "ran"}, errors
    context.n_refused = errors.count("not_run")
    assert context.n_refused
    for answer, outcome in zip(failed, errors, strict=True):
        if outcome == "not_run":
            assert float(answer.headers["retry-after"]) > 0, answer


@then("all are refused as not run, with a retry-after time")
def check_all_refused(context):
    run(context, cancel_tasks(context.occupying))
    check_refusals(context)
    assert context.n_refused == len(context.answers), context.answers


@then("the engines ran exactly the requests that were not refused")
def check_runs(context):
    request_ids = set()
    for runner in engines(context):
        call = context.deployed.fleet.call(runner.runner_id, "GET", "/test/runs")
        for stream_id in run(context, call).to_json()["runs_by_id"]:
            request_ids.add(stream_id.partition(".")[0])
    n_not_refused = len(context.answers) - context.n_refused
    assert len(request_ids) == n_not_refused, (len(request_ids), n_not_refused)


@when("{count:d} callers request {n_tokens:d} tokens and disconnect after the first")
def disconnect_callers(context, count, n_tokens):
    fleet = context.deployed.fleet

    async def read_first_chunk(host, number):
        document = {"prompt": f"prompt {number}", "max_tokens": n_tokens}
        response = await fleet.client.send(
            fleet.addresses_by_name[host],
            "POST",
            "/v1/services/caddie-llm/generate",
            headers=AUTHORIZATION,
            body=json.dumps(document).encode(),
        )
        assert response.status == 200, response.status
        async for _ in response.chunks():
            break
        response.close()

    async def send_all():
        hosts = list(context.deployed.hosts_by_id)
        calls = (read_first_chunk(hosts[n % len(hosts)], n) for n in range(count))
        await asyncio.gather(*calls)

    run(context, send_all())


@then("the engines run nothing")
def check_idle(context):
    fleet = context.deployed.fleet

    async def is_idle():
        loads = [
            await fleet.call(runner.runner_id, "GET", "/v1/load")
            for runner in engines(context)
        ]
        return all(load.to_json()["running"] == 0 for load in loads)

    run(context, fleet.wait_for(is_idle, "the engines run nothing"))
