"""Steps of the end-to-end feature."""

from __future__ import annotations

import json

from behave import then, when

from damaskjunction.standins.scenarios import (
    AUTHORIZATION,
    assert_complete,
    generate,
    run,
)


@when('{n_tokens:d} tokens for "{prompt}" are requested through each host')
def generate_through_each(context, prompt, n_tokens):
    context.prompt, context.n_tokens = prompt, n_tokens
    context.answers, context.latencies_s = [], []
    timers = context.deployed.fleet.timers
    for host in context.deployed.hosts_by_id:
        begin_s = timers.now()
        answer = run(context, generate(context.deployed, host, prompt, n_tokens))
        context.latencies_s.append(timers.now() - begin_s)
        context.answers.append(answer)


@then("every answer is complete")
def check_answers(context):
    for answer in context.answers:
        assert_complete(answer, context.prompt, context.n_tokens)


@when('"{path}" of "{service}" is called with "{body}" through each host')
def call(context, path, service, body):
    target = f"/v1/services/{service}/call{path}"
    context.answers = [
        run(
            context,
            context.deployed.fleet.call(
                host, "POST", target, body=body.encode(), headers=AUTHORIZATION
            ),
        )
        for host in context.deployed.hosts_by_id
    ]


@then('every call returns "{body}"')
def check_calls(context, body):
    for answer in context.answers:
        assert answer.status == 200, answer
        assert answer.to_json()["body"] == body, answer


@when("a job of {n_items:d} items is submitted through the first host")
def submit(context, n_items):
    context.prompts = [f"faults of cart {number}" for number in range(n_items)]
    lines = [json.dumps({"prompt": p, "max_tokens": 4}) for p in context.prompts]
    first = next(iter(context.deployed.hosts_by_id))
    response = run(
        context,
        context.deployed.fleet.call(
            first,
            "POST",
            "/v1/jobs?service=caddie-llm&key=night",
            body="\n".join(lines).encode(),
            headers=AUTHORIZATION,
        ),
    )
    assert response.status == 201, response
    context.job_id = response.to_json()["job_id"]


@then("the job completes with an answer for each item, read through the last host")
def check_job(context):
    last = list(context.deployed.hosts_by_id)[-1]
    fleet = context.deployed.fleet
    target = f"/v1/jobs/{context.job_id}"

    async def is_complete():
        response = await fleet.call(last, "GET", target, headers=AUTHORIZATION)
        return response.to_json()["state"] == "complete"

    run(context, fleet.wait_for(is_complete, "the job is complete"))
    response = run(
        context, fleet.call(last, "GET", f"{target}/results", headers=AUTHORIZATION)
    )
    results = response.to_json()["results"]
    assert [result["index"] for result in results] == list(range(len(context.prompts)))
    assert all(result.get("text") for result in results), results


@then('"{service}" gives a complete answer through each host')
def check_service(context, service):
    prompt, n_tokens = "Which one fits?", 8
    target = f"/v1/services/{service}/generate"
    document = {"prompt": prompt, "max_tokens": n_tokens}
    fleet = context.deployed.fleet
    for host in context.deployed.hosts_by_id:
        answer = run(
            context,
            fleet.call(host, "POST", target, document=document, headers=AUTHORIZATION),
        )
        assert_complete(answer, prompt, n_tokens)
