"""Helpers for behave features: one event loop and one fleet per scenario."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Coroutine
from typing import Any, TypeVar

from damaskjunction.standins.deployed_fleet import DeployedFleet
from damaskjunction.standins.deployment import CALLER_KEY, deployments
from damaskjunction.standins.engine import token_text
from damaskjunction.standins.fleet import BufferedResponse, parse_events

T = TypeVar("T")

AUTHORIZATION = {"Authorization": f"Bearer {CALLER_KEY}"}
STEP_TIMEOUT_S = 120.0


def before_scenario(context: Any, scenario: Any) -> None:
    """Create the scenario's event loop."""
    context.asyncio_runner = asyncio.Runner()
    context.deployed = None


def after_scenario(context: Any, scenario: Any) -> None:
    """Close the fleet and the event loop; print the logs if the scenario failed."""
    if context.deployed is not None:
        if scenario.status.has_failed():
            print_logs(context.deployed)
        run(context, context.deployed.close())
    context.asyncio_runner.close()


def run(context: Any, coroutine: Coroutine[Any, Any, T]) -> T:
    """Run a coroutine on the scenario's event loop and return its result.

    Raises
    ------
    TimeoutError
        When it takes longer than ``STEP_TIMEOUT_S``.
    """

    async def with_timeout() -> T:
        async with asyncio.timeout(STEP_TIMEOUT_S):
            return await coroutine

    result: T = context.asyncio_runner.run(with_timeout())
    return result


def start_fleet(
    context: Any, name: str, *engine_arguments: str, proxied: tuple[str, ...] = ()
) -> DeployedFleet:
    """Start a deployment, apply its configuration and wait until it serves.

    ``after_scenario`` closes it.
    """
    deployed = DeployedFleet(deployments.get(name), engine_arguments, proxied)
    context.deployed = deployed
    run(context, start_and_configure(deployed))
    return deployed


async def start_and_configure(deployed: DeployedFleet) -> None:
    """Start a fleet, apply its configuration and wait until it serves."""
    await deployed.start()
    response = await deployed.apply_configuration()
    assert response.status == 200, response
    await deployed.wait_until_serving(response.to_json()["revision"])


def print_logs(deployed: DeployedFleet) -> None:
    """Print the last 10 log lines of each process of a fleet."""
    for path in sorted(deployed.fleet.folder.glob("*.log")):
        lines = path.read_text(errors="replace").splitlines()[-10:]
        print("\n".join((f"--- {path.name}", *lines)))


async def generate(
    deployed: DeployedFleet, host: str, prompt: str, n_tokens: int, **extra: Any
) -> BufferedResponse:
    """Send a request for caddie-llm to a host and return the complete response.

    ``extra`` has additional keys of the request's document.
    """
    document = {"prompt": prompt, "max_tokens": n_tokens, **extra}
    return await deployed.fleet.call(
        host,
        "POST",
        "/v1/services/caddie-llm/generate",
        document=document,
        headers=AUTHORIZATION,
    )


def assert_complete(response: BufferedResponse, prompt: str, n_tokens: int) -> None:
    """Check that a response has each token once, in order, and then the end event."""
    assert response.status == 200, response
    events = parse_events(response.body)
    assert events, "the response has no events"
    assert events[-1].name == "end", events[-1]
    texts = [json.loads(event.data)["text"] for event in events[:-1]]
    expected = [token_text(prompt, position) for position in range(n_tokens)]
    assert texts == expected, f"got {texts}, expected {expected}"
