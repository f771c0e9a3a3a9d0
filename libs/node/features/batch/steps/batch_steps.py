"""Steps for batch jobs under faults."""

from __future__ import annotations

import asyncio
import json

from behave import given, then, when

from damaskjunction.lab.batch_rig import (
    AUTHORIZATION,
    BatchRig,
    count_missing_and_wrong,
)
from damaskjunction.standins import CRASH_MARK
from damaskjunction.standins.scenarios import run

SEED = 7
COMPLETION_TIMEOUT_S = 60.0


@given("a fleet with leases of {lease_s:d} s")
def start_fleet(context, lease_s):
    context.rig = BatchRig("small", {"lease_s": lease_s}, seed=SEED)
    context.deployed = context.rig.deployed
    run(context, context.rig.start())


@given("an accepted job of {n_items:d} items")
def submit_job(context, n_items):
    context.job = run(context, context.rig.submit("night", n_items))


@given("an accepted job of {n_items:d} item of {n_tokens:d} tokens")
@given("an accepted job of {n_items:d} items of {n_tokens:d} tokens")
def submit_long_items(context, n_items, n_tokens):
    submitted = context.rig.submit("night", n_items, n_tokens=n_tokens)
    context.job = run(context, submitted)


@given("a job of {n_items:d} items whose host is killed after the acknowledgement")
def submit_and_kill(context, n_items):
    host = context.rig.hosts[0]
    context.job = run(context, context.rig.submit("night", n_items, host=host))
    run(context, context.rig.fleet.kill(host))
    context.killed = host


@given("the platform loses the responses to the next {count:d} writes")
def lose_responses(context, count):
    run(context, context.rig.set_faults("platform", lose_answers=count))


@given("an accepted job of {n_items:d} items and one that crashes engines")
def submit_with_crashing_item(context, n_items):
    prompts = [f"item {number}" for number in range(n_items)] + [CRASH_MARK]
    lines = [json.dumps({"prompt": prompt, "max_tokens": 4}) for prompt in prompts]
    target = "/v1/jobs?service=caddie-llm&key=crash"
    body = "\n".join(lines).encode()
    context.response = run(context, context.rig.call("POST", target, body=body))
    assert context.response.status == 201, context.response
    context.n_good = n_items


@when("a chunk is done")
def wait_for_chunk(context):
    rig = context.rig

    async def has_done_chunk():
        return (await rig.job_status(context.job))["n_done"] > 0

    run(
        context,
        rig.fleet.wait_for(has_done_chunk, "a chunk is done", COMPLETION_TIMEOUT_S),
    )


@when("items are in flight")
def wait_for_items(context):
    rig = context.rig

    async def has_items_in_flight():
        runs = [(await rig.engine_runs(engine))[0] for engine in rig.engines]
        return min(runs) > 0

    run(context, rig.fleet.wait_for(has_items_in_flight, "items are in flight"))


@when("every engine stands still for {still_s:g} s")
def still_engines(context, still_s):
    rig = context.rig
    for engine in rig.engines:
        rig.fleet.freeze(engine)
    run(context, asyncio.sleep(still_s))
    for engine in rig.engines:
        rig.fleet.resume(engine)


@then("each of {count:d} items was sent to an engine once")
def check_item_runs(context, count):
    rig = context.rig

    async def read_attempts():
        attempts = set()
        for engine in rig.engines:
            document = (await rig.fleet.call(engine, "GET", "/test/runs")).to_json()
            # A preempted run goes on under its id with a further number.
            names = [name.split(".") for name in document["runs_by_id"]]
            attempts.update((name[0], name[1]) for name in names)
        return attempts

    attempts = run(context, read_attempts())
    assert len(attempts) == count, len(attempts)


@when("the first engine is killed and restarted")
def restart_engine(context):
    engine = context.rig.engines[0]
    run(context, context.rig.fleet.kill(engine))
    run(context, context.rig.fleet.restart(engine))


@when(
    "the engine of the item is killed and restarted {count:d} times, each after "
    "{n_tokens:d} tokens"
)
def restart_engines_of_item(context, count, n_tokens):
    fleet = context.rig.fleet

    async def act():
        for _ in range(count):
            engine = await wait_for_stream(context.rig, n_tokens)
            await fleet.kill(engine)
            await fleet.restart(engine)

    run(context, act())


async def wait_for_stream(rig, n_tokens):
    """Return the engine that has made so many tokens of the stream it runs."""
    n_before_by_engine = {}
    found = []

    async def is_streaming():
        for engine in rig.engines:
            runs = (await rig.fleet.call(engine, "GET", "/test/runs")).to_json()
            if not runs["n_streams"]:
                n_before_by_engine[engine] = runs["n_tokens"]
            elif runs["n_tokens"] >= n_before_by_engine.get(engine, 0) + n_tokens:
                found.append(engine)
        return bool(found)

    await rig.fleet.wait_for(is_streaming, "a stream is under way")
    return found[0]


@when("the job is submitted again to another host")
def resubmit(context):
    job = context.job
    other = context.rig.hosts[1]
    target = f"/v1/jobs?service=caddie-llm&key={job.key}"
    context.response = run(
        context, context.rig.call("POST", target, host=other, body=job.body)
    )


@then("the existing job is returned and no second one is created")
def check_not_duplicated(context):
    assert context.response.status == 200, context.response
    assert context.response.to_json()["job_id"] == context.job.job_id
    response = run(
        context, context.rig.call("GET", "/v1/jobs", host=context.rig.hosts[1])
    )
    assert len(response.to_json()["jobs"]) == 1, response


@then('a different body under its key is refused with "{reason}"')
def check_different_body(context, reason):
    target = f"/v1/jobs?service=caddie-llm&key={context.job.key}"
    body = context.job.body.replace(b"cart 1", b"cart one")
    response = run(context, context.rig.call("POST", target, body=body))
    assert response.status == 409, response
    assert response.to_json()["error"]["reason"] == reason, response


async def find_holder(rig):
    """Return a host that holds a chunk, and the chunk's name."""
    for host in rig.hosts:
        dump = (await rig.fleet.call(host, "GET", "/v1/dump")).to_json()
        for name in dump["batch"]["chunks"]:
            return host, name
    return None


def wait_for_holder(context):
    found = []

    async def has_holder():
        holder = await find_holder(context.rig)
        found.append(holder)
        return holder is not None

    run(context, context.rig.fleet.wait_for(has_holder, "a chunk is held"))
    return found[-1]


@when("a host that holds a chunk is frozen until another host takes it over")
def freeze_holder(context):
    rig = context.rig
    host, chunk = wait_for_holder(context)
    rig.fleet.freeze(host)
    others = [name for name in rig.hosts if name != host]

    async def is_taken_over():
        for name in others:
            metrics_text = (await rig.fleet.call(name, "GET", "/metrics")).body.decode()
            if "batch_takeovers_total" in metrics_text:
                return True
        return False

    run(context, rig.fleet.wait_for(is_taken_over, f"{chunk} is taken over"))
    rig.fleet.resume(host)


@when("a host that holds a chunk is stopped")
def stop_holder(context):
    host, _ = wait_for_holder(context)
    assert run(context, context.rig.fleet.stop(host)) == 0


@when("the platform becomes unavailable")
def make_platform_unavailable(context):
    run(context, context.rig.set_faults("platform", down=1))


@then('a new job is refused with "{reason}"')
def check_refused(context, reason):
    rig = context.rig
    response = run(
        context,
        rig.fleet.call(
            rig.hosts[0],
            "POST",
            "/v1/jobs?service=caddie-llm&key=other",
            body=b'{"prompt": "x"}',
            headers=AUTHORIZATION,
        ),
    )
    assert response.status == 503, response
    assert response.to_json()["error"]["reason"] == reason, response


@when("the platform is available again after {duration_s:d} s")
def make_platform_available(context, duration_s):
    run(context, asyncio.sleep(duration_s))
    run(context, context.rig.set_faults("platform", down=0))


@then("the job completes with the right result for each item")
def check_results(context):
    rig, job = context.rig, context.job
    assert run(context, rig.wait_until_complete([job], COMPLETION_TIMEOUT_S)), (
        "the job did not complete"
    )
    results = run(context, rig.read_results(job))
    assert count_missing_and_wrong(job, results) == (0, 0)
    assert rig.n_changed == 0


@when("the job is cancelled through a host that is killed, then through another")
def cancel_twice(context):
    rig = context.rig
    host, _ = wait_for_holder(context)
    target = f"/v1/jobs/{context.job.job_id}"

    async def cancel():
        first_request = asyncio.ensure_future(rig.call("DELETE", target, host=host))
        await asyncio.sleep(0.02)
        await rig.fleet.kill(host)
        response = await first_request
        while response.status == 202:
            response = await rig.call("DELETE", target)
        return response

    response = run(context, cancel())
    assert response.status == 200, response
    assert response.to_json()["state"] == "cancelled", response


@then("no further item starts")
def check_no_starts(context):
    rig = context.rig

    async def count_runs():
        return [(await rig.engine_runs(engine))[0] for engine in rig.engines]

    before = run(context, count_runs())
    run(context, asyncio.sleep(3.0))
    assert run(context, count_runs()) == before


@then("the results stored so far can be read")
def check_partial_results(context):
    results = run(context, context.rig.read_results(context.job))
    assert count_missing_and_wrong(context.job, results)[1] == 0
    assert results, "no results are stored"


@then("the job completes with a typed error for that item while engines restart")
def check_item_error(context):
    rig = context.rig
    job_id = context.response.to_json()["job_id"]

    async def is_complete():
        for engine in rig.engines:
            if not rig.fleet.is_running(engine):
                await rig.fleet.restart(engine)
        state = (await rig.call("GET", f"/v1/jobs/{job_id}")).to_json()
        return state["state"] == "complete"

    run(
        context,
        rig.fleet.wait_for(is_complete, "the job is complete", COMPLETION_TIMEOUT_S),
    )
    page = run(context, rig.call("GET", f"/v1/jobs/{job_id}/results")).to_json()
    texts = [result for result in page["results"] if "text" in result]
    errors = [result for result in page["results"] if "error" in result]
    assert len(texts) == context.n_good, page
    assert [error["index"] for error in errors] == [context.n_good], errors
    assert errors[0]["error"]["reason"], errors


@when("parts of {counts} items are uploaded through different hosts")
def upload_parts(context, counts):
    rig = context.rig
    sizes = [int(count) for count in counts.replace(" and", ",").split(",")]
    job = rig.make_job("parts", sum(sizes))
    lines = job.body.split(b"\n")
    for part, size in enumerate(sizes):
        body = b"\n".join(lines[:size])
        lines = lines[size:]
        target = f"/v1/jobs/parts/{part}?service=caddie-llm&key={job.key}"
        host = rig.hosts[part % len(rig.hosts)]
        response = run(context, rig.call("PUT", target, host=host, body=body))
        assert response.status == 201, response
    context.job = job


@when("the job is submitted with its {n_parts:d} parts")
def submit_parts(context, n_parts):
    target = f"/v1/jobs?service=caddie-llm&key={context.job.key}&parts={n_parts}"
    response = run(context, context.rig.call("POST", target))
    assert response.status == 201, response
    context.job = context.job._replace(job_id=response.to_json()["job_id"])


@when("a job with invalid lines {first:d} and {second:d} is submitted")
def submit_invalid(context, first, second):
    lines = ['{"prompt": "x"}'] * 5
    lines[first - 1] = "no json"
    lines[second - 1] = '{"max_tokens": 3}'
    target = "/v1/jobs?service=caddie-llm&key=wrong"
    body = "\n".join(lines).encode()
    context.response = run(context, context.rig.call("POST", target, body=body))


@then("the job is refused with findings at lines {first:d} and {second:d}")
def check_findings(context, first, second):
    assert context.response.status == 422, context.response
    findings = context.response.to_json()["error"]["findings"]
    assert [finding.split(":")[1] for finding in findings] == [
        str(first),
        str(second),
    ], findings
