"""Flows of the matrix: requests of a user in steps, and the guarantees asserted."""

from __future__ import annotations

import asyncio
import json
from typing import Any

import yaml

from damaskjunction.http import BrokenResponseError, ConnectFailedError
from damaskjunction.lab.matrix.cell import CellContext, Flow, flows
from damaskjunction.standins import (
    CALLER_KEY,
    BufferedResponse,
    parse_events,
    token_text,
)

AUTHORIZATION = {"Authorization": f"Bearer {CALLER_KEY}"}
N_CALLS = 6
N_TOKENS = 40
N_PICKUPS = 6
N_ITEMS = 60
ITEM_TOKENS = 8
RECOVERY_TIMEOUT_S = 40.0
ACTIVE_TIMEOUT_S = 20.0
STEP_DELAY_S = 0.3  # until requests are in flight, or a job runs
FAULT_DURATION_S = 1.5
RETRY_INTERVAL_S = 0.5
DEADLINE_S = 20.0


def is_complete_response(
    response: BufferedResponse, prompt: str, n_tokens: int
) -> bool:
    """Return whether a response has each token once, in order, and its end event."""
    if response.status != 200:
        return False
    events = parse_events(response.body)
    texts = [json.loads(event.data).get("text") for event in events[:-1]]
    expected = [token_text(prompt, position) for position in range(n_tokens)]
    return bool(events) and events[-1].name == "end" and texts == expected


def reports_outcome(response: BufferedResponse) -> bool:
    """Return whether a failed or aborted response reports a valid outcome."""
    outcomes = ("not_run", "ran", "unknown")
    if response.status != 200:
        return bool(response.to_json()["error"].get("outcome") in outcomes)
    events = parse_events(response.body)
    return bool(
        events
        and events[-1].name == "error"
        and json.loads(events[-1].data)["outcome"] in outcomes
    )


async def _generate(context: CellContext, prompt: str) -> BufferedResponse:
    document = {
        "prompt": prompt,
        "max_tokens": N_TOKENS,
        "deadline_s": DEADLINE_S,
    }
    return await context.fleet.call(
        context.entry,
        "POST",
        "/v1/services/caddie-llm/generate",
        document=document,
        headers=AUTHORIZATION,
    )


async def _run_calls(context: CellContext) -> None:
    """Send requests that stream their responses.

    Each response is complete or reports its outcome; after the faults are reverted, the
    responses to new requests are complete.
    """
    await context.reach("before")
    prompts = [f"rule {number}" for number in range(N_CALLS)]
    calls = [asyncio.ensure_future(_generate(context, prompt)) for prompt in prompts]
    await asyncio.sleep(STEP_DELAY_S)
    await context.reach("streaming")
    responses = await asyncio.gather(*calls)
    await context.revert()
    for prompt, response in zip(prompts, responses, strict=True):
        complete = is_complete_response(response, prompt, N_TOKENS)
        assert complete or reports_outcome(response), f"{prompt}: {response}"
    await _wait_for_complete_responses(context)


async def _wait_for_complete_responses(context: CellContext) -> None:
    async def is_serving() -> bool:
        responses = await asyncio.gather(
            *(_generate(context, f"again {number}") for number in range(N_CALLS))
        )
        return all(
            is_complete_response(response, f"again {number}", N_TOKENS)
            for number, response in enumerate(responses)
        )

    await context.fleet.wait_for(
        is_serving, "responses are complete", RECOVERY_TIMEOUT_S
    )


async def _run_pickups(context: CellContext) -> None:
    """Send requests that must not be repeated.

    Each runs once if it succeeds, and never if its outcome is ``not_run``.
    """
    plain_runner = next(
        runner_id
        for runner_id, runner in context.deployed.runners_by_id.items()
        if runner.service
    )
    # The calls must still be in flight at the step "sent".
    slow = {"slow_s": 2 * STEP_DELAY_S}
    await context.fleet.call(plain_runner, "PUT", "/test/faults", document=slow)
    await context.reach("before")
    calls = [
        asyncio.ensure_future(_pickup(context, number)) for number in range(N_PICKUPS)
    ]
    await asyncio.sleep(STEP_DELAY_S)
    await context.reach("sent")
    responses = await asyncio.gather(*calls)
    await context.revert()
    response = await context.fleet.call(plain_runner, "GET", "/test/runs")
    bodies: dict[str, int] = response.to_json()["runs_by_body"]
    for number, call_response in enumerate(responses):
        n_runs = bodies.get(f"pickup {number}", 0)
        assert n_runs <= 1, f"pickup {number} ran {n_runs} times"
        if call_response.status == 200:
            assert n_runs == 1, f"pickup {number} succeeded and ran {n_runs} times"
        elif call_response.to_json()["error"].get("outcome") == "not_run":
            assert n_runs == 0, f"pickup {number} was reported as not run, and ran"


async def _pickup(context: CellContext, number: int) -> BufferedResponse:
    return await context.fleet.call(
        context.entry,
        "POST",
        "/v1/services/fleet-api/call/pickup",
        body=f"pickup {number}".encode(),
        headers={**AUTHORIZATION, "Idempotency-Key": f"pickup-{number}"},
    )


def _items(seed: int) -> list[dict[str, Any]]:
    return [
        {"prompt": f"cart {number} of {seed}", "max_tokens": ITEM_TOKENS}
        for number in range(N_ITEMS)
    ]


async def _submit(context: CellContext, lines: bytes) -> dict[str, Any]:
    """Submit with the same key until accepted, as a client that retries would.

    The faults are reverted after the first failed attempt.
    """
    target = "/v1/jobs?service=caddie-llm&key=matrix"
    retry_until_s = context.fleet.timers.now() + RECOVERY_TIMEOUT_S
    while context.fleet.timers.now() < retry_until_s:
        try:
            response = await context.fleet.call(
                context.entry, "POST", target, body=lines, headers=AUTHORIZATION
            )
        except (ConnectFailedError, BrokenResponseError):
            response = None
        if response is not None and response.status in (200, 201):
            document: dict[str, Any] = response.to_json()
            return document
        await asyncio.sleep(RETRY_INTERVAL_S)
        await context.revert()
    raise AssertionError(f"the job was not accepted: {response}")


async def _run_job(context: CellContext) -> None:
    """Submit a job; it completes with each item once in spite of the faults."""
    items = _items(context.cell.seed)
    lines = "\n".join(json.dumps(item) for item in items).encode()
    await context.reach("before")
    job = await _submit(context, lines)
    await context.reach("accepted")
    await asyncio.sleep(STEP_DELAY_S)
    await context.reach("running")
    await asyncio.sleep(FAULT_DURATION_S)
    await context.revert()
    again = await _submit(context, lines)
    assert again["job_id"] == job["job_id"], "the repeated submission made another job"
    target = f"/v1/jobs/{job['job_id']}"

    async def is_complete() -> bool:
        response = await context.fleet.call(
            context.entry, "GET", target, headers=AUTHORIZATION
        )
        return bool(
            response.status == 200
            and response.to_json()["state"] in ("complete", "done")
        )

    await context.fleet.wait_for(is_complete, "the job is complete", RECOVERY_TIMEOUT_S)
    await _check_results(context, target, items)


async def _check_results(
    context: CellContext, target: str, items: list[dict[str, Any]]
) -> None:
    results: list[dict[str, Any]] = []
    after = -1
    while True:
        page = await context.fleet.call(
            context.entry,
            "GET",
            f"{target}/results?after={after}",
            headers=AUTHORIZATION,
        )
        document = page.to_json()
        results += document["results"]
        if document["is_end"] or not document["results"]:
            break
        after = document["after"]
    indexes = [result["index"] for result in results]
    assert indexes == list(range(N_ITEMS)), f"items in the results: {indexes}"
    for result, item in zip(results, items, strict=True):
        tokens = (token_text(item["prompt"], n) for n in range(ITEM_TOKENS))
        assert result.get("text") == "".join(tokens), result


async def _apply_configuration(
    context: CellContext, document: dict[str, Any]
) -> int | None:
    """Apply a configuration; return its revision, None if not reported as accepted."""
    text = yaml.safe_dump(document, sort_keys=False)
    newest = await context.fleet.call(context.entry, "GET", "/v1/configuration")
    if newest.status != 200:
        return None
    headers = {"If-Match": newest.headers["revision"]}
    response = await context.fleet.call(
        context.entry,
        "PUT",
        "/v1/configuration",
        body=text.encode(),
        headers=headers,
    )
    return int(response.to_json()["revision"]) if response.status == 200 else None


async def _run_configuration(context: CellContext) -> None:
    """Change the configuration; once accepted it stays and is active at all hosts."""
    document = dict(context.deployed.deployment.configuration)
    document["batch"] = {**document.get("batch", {}), "max_tries": 5}
    revision = await _apply_in_fault(context, document)
    await _wait_until_active(context, revision)


async def _apply_in_fault(context: CellContext, document: dict[str, Any]) -> int:
    """Apply a configuration beside the cell's fault, or after it; return its revision.

    Its stages are "before" and "accepted".
    """
    await context.reach("before")
    revision = await _apply_configuration(context, document)
    await context.reach("accepted")
    await asyncio.sleep(FAULT_DURATION_S)
    await context.revert()
    if revision is None:
        return await _retry_apply(context, document)
    return revision


async def _retry_apply(context: CellContext, document: dict[str, Any]) -> int:
    retry_until_s = context.fleet.timers.now() + RECOVERY_TIMEOUT_S
    while context.fleet.timers.now() < retry_until_s:
        revision = await _apply_configuration(context, document)
        if revision is not None:
            return revision
        await asyncio.sleep(RETRY_INTERVAL_S)
    raise AssertionError("the configuration was not accepted after the fault ended")


async def _wait_until_active(context: CellContext, revision: int) -> None:
    for host_id in context.deployed.hosts_by_id:

        async def is_active(host_id: str = host_id) -> bool:
            response = await context.fleet.call(host_id, "GET", "/v1/dump")
            return bool(
                response.to_json()["host"]["configuration_revision"] >= revision
            )

        what = f"revision {revision} is active at {host_id}"
        await context.fleet.wait_for(is_active, what, ACTIVE_TIMEOUT_S)


async def _run_roll_out(context: CellContext) -> None:
    """Roll out a version; each engine loads it, then responses are complete."""
    document = dict(context.deployed.deployment.configuration)
    document["models"] = {"caddie": {"version": "v2", "weights_gb": 1}}
    await _apply_in_fault(context, document)
    for runner_id, runner in context.deployed.runners_by_id.items():
        if runner.service:
            continue

        async def is_rolled_out(name: str = runner_id) -> bool:
            response = await context.fleet.call(name, "GET", "/v1/order")
            state = response.to_json()
            return bool(
                state["state"] == "ready" and state["order"].get("version") == "v2"
            )

        await context.fleet.wait_for(
            is_rolled_out, f"{runner_id} has v2", RECOVERY_TIMEOUT_S
        )
    await _wait_for_complete_responses(context)


async def _run_drain(context: CellContext) -> None:
    """Stop the host that callers use.

    Requests in flight complete or report their outcome, and without a fault all
    complete; afterwards another host serves requests. The step ``announced`` follows
    the request to stop.
    """
    await context.reach("before")
    prompts = [f"drain {number}" for number in range(N_CALLS)]
    calls = [asyncio.ensure_future(_generate(context, prompt)) for prompt in prompts]
    await asyncio.sleep(STEP_DELAY_S)
    stopping = asyncio.ensure_future(context.fleet.stop(context.entry))
    await context.reach("announced")
    responses = await asyncio.gather(*calls)
    await context.revert()
    assert await stopping == 0, "the host did not exit with code 0"
    for prompt, response in zip(prompts, responses, strict=True):
        complete = is_complete_response(response, prompt, N_TOKENS)
        assert complete or reports_outcome(response), f"{prompt}: {response}"
        if context.cell.faults == ("none",):
            assert complete, f"{prompt}: {response}"
    others = sorted(context.deployed.hosts_by_id.keys() - {context.entry})
    context.entry = next(name for name in others if context.fleet.is_running(name))
    await _wait_for_complete_responses(context)


flows.register("call")(Flow(("before", "streaming"), _run_calls))
flows.register("pickup")(Flow(("before", "sent"), _run_pickups))
flows.register("job")(Flow(("before", "accepted", "running"), _run_job))
flows.register("configuration")(Flow(("before", "accepted"), _run_configuration))
flows.register("roll_out")(Flow(("before", "accepted"), _run_roll_out))
flows.register("drain")(Flow(("before", "announced"), _run_drain))
