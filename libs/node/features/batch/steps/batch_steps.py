"""Steps for batch jobs under faults."""

from __future__ import annotations

import asyncio
import json

from behave import given, then, when

from damaskjunction.lab.batch_rig import AUTHORIZATION, BatchRig, count_wrong
from damaskjunction.standins import CRASH_MARK
from damaskjunction.standins.scenarios import run

SEED = 7
DONE_TIMEOUT_S = 60.0


@given("a fleet with leases of {lease_s:d} s")
def start(context, lease_s):
    context.rig = BatchRig("small", {"lease_s": lease_s}, seed=SEED)
    context.deployed = context.rig.deployed
    run(context, context.rig.start())


@given("an accepted job of {n_items:d} items")
def submit(context, n_items):
    context.job = run(context, context.rig.submit("night", n_items))


@given("a job of {n_items:d} items whose host is killed after the acknowledgement")
def submit_and_kill(context, n_items):
    host = context.rig.hosts[0]
    context.job = run(context, context.rig.submit("night", n_items, host=host))
    run(context, context.rig.fleet.kill(host))
    context.killed = host


@given("the platform loses the responses to the next {count:d} writes")
def lose_answers(context, count):
    run(context, context.rig.set_faults("platform", lose_answers=count))


@given("an accepted job of {n_items:d} items and one that crashes engines")
def submit_crashing(context, n_items):
    prompts = [f"item {number}" for number in range(n_items)] + [CRASH_MARK]
    lines = [json.dumps({"prompt": prompt, "max_tokens": 4}) for prompt in prompts]
    target = "/v1/jobs?service=caddie-llm&key=crash"
    body = "\n".join(lines).encode()
    context.answer = run(context, context.rig.call("POST", target, body=body))
    assert context.answer.status == 201, context.answer
    context.n_good = n_items


@when("a chunk is done")
def wait_for_chunk(context):
    rig = context.rig

    async def is_done():
        return (await rig.state_of(context.job))["n_done"] > 0

    run(context, rig.fleet.wait_for(is_done, "a chunk is done", DONE_TIMEOUT_S))


@when("items are in flight")
def wait_for_items(context):
    rig = context.rig

    async def has_runs():
        runs = [(await rig.engine_runs(engine))[0] for engine in rig.engines]
        return min(runs) > 0

    run(context, rig.fleet.wait_for(has_runs, "items are in flight"))


@when("the first engine is killed and restarted")
def restart_engine(context):
    engine = context.rig.engines[0]
    run(context, context.rig.fleet.kill(engine))
    run(context, context.rig.fleet.restart(engine))


@when("the job is submitted again to another host")
def resend(context):
    job = context.job
    other = context.rig.hosts[1]
    target = f"/v1/jobs?service=caddie-llm&key={job.key}"
    context.answer = run(
        context, context.rig.call("POST", target, host=other, body=job.body)
    )


@then("the existing job is returned and no second one is created")
def check_found(context):
    assert context.answer.status == 200, context.answer
    assert context.answer.to_json()["job_id"] == context.job.job_id
    answer = run(
        context, context.rig.call("GET", "/v1/jobs", host=context.rig.hosts[1])
    )
    assert len(answer.to_json()["jobs"]) == 1, answer


@then('a different body under its key is refused with "{reason}"')
def check_other_body(context, reason):
    target = f"/v1/jobs?service=caddie-llm&key={context.job.key}"
    body = context.job.body.replace(b"cart 1", b"cart one")
    answer = run(context, context.rig.call("POST", target, body=body))
    assert answer.status == 409, answer
    assert answer.to_json()["error"]["reason"] == reason, answer


async def find_holder(rig):
    """Return a host that holds a chunk, and the chunk's name."""
    for host in rig.hosts:
        dump = (await rig.fleet.call(host, "GET", "/v1/dump")).to_json()
        for name in dump["batch"]["chunks"]:
            return host, name
    return None


def wait_for_holder(context):
    found = []

    async def is_held():
        holder = await find_holder(context.rig)
        found.append(holder)
        return holder is not None

    run(context, context.rig.fleet.wait_for(is_held, "a chunk is held"))
    return found[-1]


@when("a host that holds a chunk is frozen until another host takes it over")
def freeze_holder(context):
    rig = context.rig
    host, chunk = wait_for_holder(context)
    rig.fleet.freeze(host)
    others = [name for name in rig.hosts if name != host]

    async def is_taken_over():
        for name in others:
            page = (await rig.fleet.call(name, "GET", "/metrics")).body.decode()
            if "batch_takeovers_total" in page:
                return True
        return False

    run(context, rig.fleet.wait_for(is_taken_over, f"{chunk} is taken over"))
    rig.fleet.thaw(host)


@when("a host that holds a chunk is stopped")
def stop_holder(context):
    host, _ = wait_for_holder(context)
    assert run(context, context.rig.fleet.stop(host)) == 0


@when("the platform becomes unavailable")
def stop_platform(context):
    run(context, context.rig.set_faults("platform", down=1))


@then('a new job is refused with "{reason}"')
def check_refused(context, reason):
    rig = context.rig
    answer = run(
        context,
        rig.fleet.call(
            rig.hosts[0],
            "POST",
            "/v1/jobs?service=caddie-llm&key=other",
            body=b'{"prompt": "x"}',
            headers=AUTHORIZATION,
        ),
    )
    assert answer.status == 503, answer
    assert answer.to_json()["error"]["reason"] == reason, answer


@when("the platform is available again after {duration_s:d} s")
def start_platform(context, duration_s):
    run(context, asyncio.sleep(duration_s))
    run(context, context.rig.set_faults("platform", down=0))


@then("the job completes with the right result for each item")
def check_results(context):
    rig, job = context.rig, context.job
    assert run(context, rig.wait_until_done([job], DONE_TIMEOUT_S)), (
        "the job did not complete"
    )
    results = run(context, rig.read_results(job))
    assert count_wrong(job, results) == (0, 0)
    assert rig.n_changed == 0


@when("the job is cancelled through a host that is killed, then through another")
def cancel_twice(context):
    rig = context.rig
    host, _ = wait_for_holder(context)
    target = f"/v1/jobs/{context.job.job_id}"

    async def cancel():
        asking = asyncio.ensure_future(rig.call("DELETE", target, host=host))
        await asyncio.sleep(0.02)
        await rig.fleet.kill(host)
        answer = await asking
        while answer.status == 202:
            answer = await rig.call("DELETE", target)
        return answer

    answer = run(context, cancel())
    assert answer.status == 200, answer
    assert answer.to_json()["state"] == "cancelled", answer


@then("no further item starts")
def check_no_starts(context):
    rig = context.rig

    async def count_runs():
        return [(await rig.engine_runs(engine))[0] for engine in rig.engines]

    before = run(context, count_runs())
    run(context, asyncio.sleep(3.0))
    assert run(context, count_runs()) == before


@then("the results stored so far can be read")
def check_partial(context):
    results = run(context, context.rig.read_results(context.job))
    assert count_wrong(context.job, results)[1] == 0
    assert results, "no results are stored"


@then("the job completes with a typed error for that item while engines restart")
def check_error(context):
    rig = context.rig
    job_id = context.answer.to_json()["job_id"]

    async def is_complete():
        for engine in rig.engines:
            if not rig.fleet.is_running(engine):
                await rig.fleet.restart(engine)
        state = (await rig.call("GET", f"/v1/jobs/{job_id}")).to_json()
        return state["state"] == "complete"

    run(context, rig.fleet.wait_for(is_complete, "the job is complete", DONE_TIMEOUT_S))
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
        answer = run(context, rig.call("PUT", target, host=host, body=body))
        assert answer.status == 201, answer
    context.job = job


@when("the job is submitted with its {n_parts:d} parts")
def submit_parts(context, n_parts):
    target = f"/v1/jobs?service=caddie-llm&key={context.job.key}&parts={n_parts}"
    answer = run(context, context.rig.call("POST", target))
    assert answer.status == 201, answer
    context.job = context.job._replace(job_id=answer.to_json()["job_id"])


@when("a job with invalid lines {first:d} and {second:d} is submitted")
def submit_wrong(context, first, second):
    lines = ['{"prompt": "x"}'] * 5
    lines[first - 1] = "no json"
    lines[second - 1] = '{"max_tokens": 3}'
    target = "/v1/jobs?service=caddie-llm&key=wrong"
    body = "\n".join(lines).encode()
    context.answer = run(context, context.rig.call("POST", target, body=body))


@then("the job is refused with findings at lines {first:d} and {second:d}")
def check_findings(context, first, second):
    assert context.answer.status == 422, context.answer
    findings = context.answer.to_json()["error"]["findings"]
    assert [finding.split(":")[1] for finding in findings] == [
        str(first),
        str(second),
    ], findings
