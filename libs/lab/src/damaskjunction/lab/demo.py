"""Demo: a small fleet on loopback that serves one request of each kind."""

from __future__ import annotations

import json

from damaskjunction.standins import (
    CALLER_KEY,
    DeployedFleet,
    deployments,
    parse_events,
    token_text,
)

N_ITEMS = 200
PROMPT = "May I move a loose impediment in a bunker?"
AUTHORIZATION = {"Authorization": f"Bearer {CALLER_KEY}"}


async def run_demo() -> None:
    """Start the fleet, make one request of each kind and print the results."""
    deployed = DeployedFleet(deployments.get("lima"))
    try:
        await deployed.start()
        print(
            f"started {len(deployed.hosts_by_id)} hosts, "
            f"{len(deployed.runners_by_id)} runners and the platform stand-in"
        )
        await _apply(deployed)
        await _generate(deployed)
        await _call_plain(deployed)
        await _run_job(deployed)
    finally:
        await deployed.close()
    print("stopped")


async def _apply(deployed: DeployedFleet) -> None:
    response = await deployed.apply_configuration()
    revision = response.to_json()["revision"]
    await deployed.wait_until_serving(revision)
    print(f"revision {revision} is active on every host, all engines are ready")


async def _generate(deployed: DeployedFleet) -> None:
    first = next(iter(deployed.hosts_by_id))
    response = await deployed.fleet.call(first, "GET", "/v1/addresses")
    print(f"entry addresses: {', '.join(response.to_json()['addresses'])}")
    response = await deployed.fleet.call(
        first,
        "POST",
        "/v1/services/caddie-llm/generate",
        document={"prompt": PROMPT, "max_tokens": 12},
        headers=AUTHORIZATION,
    )
    events = parse_events(response.body)
    texts = [json.loads(event.data)["text"] for event in events[:-1]]
    expected = [token_text(PROMPT, position) for position in range(12)]
    is_complete = texts == expected and events[-1].name == "end"
    print(f"caddie-llm returned {len(texts)} tokens, complete: {is_complete}")


async def _call_plain(deployed: DeployedFleet) -> None:
    last = list(deployed.hosts_by_id)[-1]
    response = await deployed.fleet.call(
        last,
        "POST",
        "/v1/services/fleet-api/call/battery/7",
        document={"cart": 7},
        headers=AUTHORIZATION,
    )
    print(
        f"fleet-api returned status {response.status}: {response.body.decode().strip()}"
    )


async def _run_job(deployed: DeployedFleet) -> None:
    host = list(deployed.hosts_by_id)[1]
    lines = [
        json.dumps({"prompt": f"faults of cart {number}", "max_tokens": 8})
        for number in range(N_ITEMS)
    ]
    response = await deployed.fleet.call(
        host,
        "POST",
        "/v1/jobs?service=caddie-llm&key=night-1",
        body="\n".join(lines).encode(),
        headers=AUTHORIZATION,
    )
    job = response.to_json()
    print(f"job {job['job_id']} accepted with {job['n_items']} items")

    async def is_complete() -> bool:
        target = f"/v1/jobs/{job['job_id']}"
        response = await deployed.fleet.call(host, "GET", target, headers=AUTHORIZATION)
        return bool(response.to_json()["state"] == "complete")

    await deployed.fleet.wait_for(is_complete, "the job is complete", 60.0)
    target = f"/v1/jobs/{job['job_id']}/results"
    response = await deployed.fleet.call(host, "GET", target, headers=AUTHORIZATION)
    results = response.to_json()["results"]
    n_succeeded = sum("text" in result for result in results)
    print(f"job complete: {len(results)} results read, {n_succeeded} without error")
