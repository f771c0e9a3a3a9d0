"""Flows of the matrix: what a user does, step by step, and what must hold."""

from __future__ import annotations

import asyncio
import json
from typing import Any

import yaml

from damaskjunction.http import BrokenResponseError, ConnectFailedError
from damaskjunction.lab.matrix.situation import Flow, Situation, flows
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
RECOVERY_S = 40.0
IN_FORCE_S = 20.0
HOLD_S = 0.3
FAULT_LENGTH_S = 1.5
RESEND_S = 0.5
DEADLINE_S = 20.0


def is_whole(answer: BufferedResponse, prompt: str, n_tokens: int) -> bool:
    """Return whether an answer has each token once, in order, and its end mark."""
    if answer.status != 200:
        return False
    events = parse_events(answer.body)
    texts = [json.loads(event.data).get("text") for event in events[:-1]]
    expected = [token_text(prompt, position) for position in range(n_tokens)]
    return bool(events) and events[-1].name == "end" and texts == expected


def is_told(answer: BufferedResponse) -> bool:
    """Return whether an answer without its end says so, with a typed outcome."""
    outcomes = ("not_run", "ran", "unknown")
    if answer.status != 200:
        return bool(answer.to_json()["error"].get("outcome") in outcomes)
    events = parse_events(answer.body)
    return bool(
        events
        and events[-1].name == "error"
        and json.loads(events[-1].data)["outcome"] in outcomes
    )


async def _generate(situation: Situation, prompt: str) -> BufferedResponse:
    document = {
        "prompt": prompt,
        "max_tokens": N_TOKENS,
        "deadline_s": DEADLINE_S,
    }
    return await situation.fleet.call(
        situation.entry,
        "POST",
        "/v1/services/caddie-llm/generate",
        document=document,
        headers=AUTHORIZATION,
    )


async def _run_calls(situation: Situation) -> None:
    """Stream answers; each is whole or told, and new ones are whole afterwards."""
    await situation.reach("before")
    prompts = [f"rule {number}" for number in range(N_CALLS)]
    calls = [asyncio.ensure_future(_generate(situation, prompt)) for prompt in prompts]
    await asyncio.sleep(HOLD_S)
    await situation.reach("streaming")
    answers = await asyncio.gather(*calls)
    await situation.heal()
    for prompt, answer in zip(prompts, answers, strict=True):
        whole = is_whole(answer, prompt, N_TOKENS)
        assert whole or is_told(answer), f"{prompt}: {answer}"
    await _wait_for_whole_answers(situation)


async def _wait_for_whole_answers(situation: Situation) -> None:
    async def is_answering() -> bool:
        answers = await asyncio.gather(
            *(_generate(situation, f"again {number}") for number in range(N_CALLS))
        )
        return all(
            is_whole(answer, f"again {number}", N_TOKENS)
            for number, answer in enumerate(answers)
        )

    await situation.fleet.wait_for(is_answering, "answers are whole", RECOVERY_S)


async def _run_pickups(situation: Situation) -> None:
    """Call what may not run twice; each runs once if answered, never if not run."""
    service = next(
        name for name, r in situation.deployed.runners_by_id.items() if r.service
    )
    slow = {"slow_s": 2 * HOLD_S}
    await situation.fleet.call(service, "PUT", "/test/faults", document=slow)
    await situation.reach("before")
    calls = [
        asyncio.ensure_future(_pickup(situation, number)) for number in range(N_PICKUPS)
    ]
    await asyncio.sleep(HOLD_S)
    await situation.reach("sent")
    answers = await asyncio.gather(*calls)
    await situation.heal()
    answer = await situation.fleet.call(service, "GET", "/test/runs")
    bodies: dict[str, int] = answer.to_json()["runs_by_body"]
    for number, call_answer in enumerate(answers):
        n_runs = bodies.get(f"pickup {number}", 0)
        assert n_runs <= 1, f"pickup {number} ran {n_runs} times"
        if call_answer.status == 200:
            assert n_runs == 1, f"pickup {number} was answered and ran {n_runs} times"
        elif call_answer.to_json()["error"].get("outcome") == "not_run":
            assert n_runs == 0, f"pickup {number} was told not run, and ran"


async def _pickup(situation: Situation, number: int) -> BufferedResponse:
    return await situation.fleet.call(
        situation.entry,
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


async def _submit(situation: Situation, lines: bytes) -> dict[str, Any]:
    """Submit under one key until it is accepted, as a client that resends would."""
    target = "/v1/jobs?service=caddie-llm&key=matrix"
    end_s = situation.fleet.timers.now() + RECOVERY_S
    while situation.fleet.timers.now() < end_s:
        try:
            answer = await situation.fleet.call(
                situation.entry, "POST", target, body=lines, headers=AUTHORIZATION
            )
        except (ConnectFailedError, BrokenResponseError):
            answer = None
        if answer is not None and answer.status in (200, 201):
            document: dict[str, Any] = answer.to_json()
            return document
        await asyncio.sleep(RESEND_S)
        await situation.heal()
    raise AssertionError(f"the job was not accepted: {answer}")


async def _run_job(situation: Situation) -> None:
    """Submit a job; it completes with every item once, whatever happened."""
    items = _items(situation.cell.seed)
    lines = "\n".join(json.dumps(item) for item in items).encode()
    await situation.reach("before")
    job = await _submit(situation, lines)
    await situation.reach("accepted")
    await asyncio.sleep(HOLD_S)
    await situation.reach("running")
    await asyncio.sleep(FAULT_LENGTH_S)
    await situation.heal()
    again = await _submit(situation, lines)
    assert again["job_id"] == job["job_id"], "the resend made another job"
    target = f"/v1/jobs/{job['job_id']}"

    async def is_complete() -> bool:
        answer = await situation.fleet.call(
            situation.entry, "GET", target, headers=AUTHORIZATION
        )
        return bool(
            answer.status == 200 and answer.to_json()["state"] in ("complete", "done")
        )

    await situation.fleet.wait_for(is_complete, "the job is complete", RECOVERY_S)
    await _check_results(situation, target, items)


async def _check_results(
    situation: Situation, target: str, items: list[dict[str, Any]]
) -> None:
    results: list[dict[str, Any]] = []
    after = -1
    while True:
        page = await situation.fleet.call(
            situation.entry,
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


async def _change_text(situation: Situation, document: dict[str, Any]) -> int | None:
    """Apply a text; return its revision, None when it was not told accepted."""
    text = yaml.safe_dump(document, sort_keys=False)
    newest = await situation.fleet.call(situation.entry, "GET", "/v1/configuration")
    if newest.status != 200:
        return None
    headers = {"If-Match": newest.headers["revision"]}
    answer = await situation.fleet.call(
        situation.entry,
        "PUT",
        "/v1/configuration",
        body=text.encode(),
        headers=headers,
    )
    return int(answer.to_json()["revision"]) if answer.status == 200 else None


async def _run_configuration(situation: Situation) -> None:
    """Change the text; once accepted it is in force everywhere and stays."""
    document = dict(situation.deployed.deployment.configuration)
    document["batch"] = {**document.get("batch", {}), "max_tries": 5}
    await situation.reach("before")
    revision = await _change_text(situation, document)
    await situation.reach("accepted")
    await asyncio.sleep(FAULT_LENGTH_S)
    await situation.heal()
    if revision is None:
        revision = await _retry_change(situation, document)
    await _wait_in_force(situation, revision)


async def _retry_change(situation: Situation, document: dict[str, Any]) -> int:
    end_s = situation.fleet.timers.now() + RECOVERY_S
    while situation.fleet.timers.now() < end_s:
        revision = await _change_text(situation, document)
        if revision is not None:
            return revision
        await asyncio.sleep(RESEND_S)
    raise AssertionError("the text was not accepted after the fault ended")


async def _wait_in_force(situation: Situation, revision: int) -> None:
    for host_id in situation.deployed.hosts_by_id:

        async def in_force(host_id: str = host_id) -> bool:
            answer = await situation.fleet.call(host_id, "GET", "/v1/dump")
            return bool(answer.to_json()["host"]["configuration_revision"] >= revision)

        what = f"revision {revision} is in force at {host_id}"
        await situation.fleet.wait_for(in_force, what, IN_FORCE_S)


async def _run_roll_out(situation: Situation) -> None:
    """Roll out a version; every engine gets it and calls are answered afterwards."""
    document = dict(situation.deployed.deployment.configuration)
    document["models"] = {"caddie": {"version": "v2", "weights_gb": 1}}
    await situation.reach("before")
    revision = await _change_text(situation, document)
    await situation.reach("accepted")
    await asyncio.sleep(FAULT_LENGTH_S)
    await situation.heal()
    if revision is None:
        await _retry_change(situation, document)
    for runner_id, runner in situation.deployed.runners_by_id.items():
        if runner.service:
            continue

        async def is_rolled(name: str = runner_id) -> bool:
            answer = await situation.fleet.call(name, "GET", "/v1/order")
            state = answer.to_json()
            return bool(
                state["state"] == "ready" and state["order"].get("version") == "v2"
            )

        await situation.fleet.wait_for(is_rolled, f"{runner_id} has v2", RECOVERY_S)
    await _wait_for_whole_answers(situation)


async def _run_drain(situation: Situation) -> None:
    """Stop the host that callers use; what is in progress ends whole."""
    await situation.reach("before")
    prompts = [f"drain {number}" for number in range(N_CALLS)]
    calls = [asyncio.ensure_future(_generate(situation, prompt)) for prompt in prompts]
    await asyncio.sleep(HOLD_S)
    stopping = asyncio.ensure_future(situation.fleet.stop(situation.entry))
    await situation.reach("announced")
    answers = await asyncio.gather(*calls)
    await situation.heal()
    assert await stopping == 0, "the host did not stop in order"
    for prompt, answer in zip(prompts, answers, strict=True):
        whole = is_whole(answer, prompt, N_TOKENS)
        assert whole or is_told(answer), f"{prompt}: {answer}"
        if situation.cell.faults == ("none",):
            assert whole, f"{prompt}: {answer}"
    others = sorted(situation.deployed.hosts_by_id.keys() - {situation.entry})
    situation.entry = next(name for name in others if situation.fleet.is_running(name))
    await _wait_for_whole_answers(situation)


flows.register("call")(Flow(("before", "streaming"), _run_calls))
flows.register("pickup")(Flow(("before", "sent"), _run_pickups))
flows.register("job")(Flow(("before", "accepted", "running"), _run_job))
flows.register("configuration")(Flow(("before", "accepted"), _run_configuration))
flows.register("roll_out")(Flow(("before", "accepted"), _run_roll_out))
flows.register("drain")(Flow(("before", "announced"), _run_drain))
