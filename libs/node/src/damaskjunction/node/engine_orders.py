"""Orders to engines and what they answer, over HTTP."""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any, TypedDict

from damaskjunction.core import (
    Assignment,
    DamaskjunctionError,
    Revision,
    Runner,
)
from damaskjunction.http import (
    BrokenResponseError,
    ClientResponse,
    ConnectFailedError,
    HttpClient,
)
from damaskjunction.placement import RunnerState, RunnerStatus, order_key

ORDER_PATH = "/v1/order"
INFO_PATH = "/v1/info"
LOAD_PATH = "/v1/load"
TIMEOUT_S = 1.5
HTTP_CONFLICT = 409
HTTP_OK = 200


class OrderDocument(TypedDict):
    """What an engine is ordered to serve."""

    model: str
    version: str
    adapters: list[str]
    role: str
    weights_gb: float


class StaleFenceError(DamaskjunctionError):
    """An engine has taken an order with a higher fencing number."""


class OrderFailedError(DamaskjunctionError):
    """An order may not have arrived."""


def to_order(assignment: Assignment, weights_gb: float) -> OrderDocument:
    """Return the document of an order."""
    return {
        "model": assignment.model,
        "version": assignment.version,
        "adapters": list(assignment.adapters),
        "role": assignment.role,
        "weights_gb": weights_gb,
    }


async def send_order(
    client: HttpClient,
    runner: Runner,
    order: OrderDocument,
    *,
    fence: Revision,
    before_send: Callable[[], None],
) -> RunnerStatus:
    """Send an order and return the engine's state.

    Raises
    ------
    StaleFenceError
        When the engine refuses the fencing number.
    OrderFailedError
        When there is no answer.
    """
    body = json.dumps({"fence": fence, "order": order}).encode()
    try:
        response = await client.send(
            runner.address,
            "PUT",
            ORDER_PATH,
            body=body,
            stall_s=TIMEOUT_S,
            before_send=before_send,
        )
        document = await _read(response)
    except (ConnectFailedError, BrokenResponseError, ValueError) as error:
        raise OrderFailedError(f"{runner.runner_id}: {error}") from None
    if response.status == HTTP_CONFLICT:
        raise StaleFenceError(f"{runner.runner_id} has a higher fence than {fence}")
    if response.status != HTTP_OK:
        raise OrderFailedError(f"{runner.runner_id} answered {response.status}")
    return to_status(runner, document)


async def read_order(client: HttpClient, runner: Runner) -> RunnerStatus:
    """Return an engine's state; one that does not answer is unreachable."""
    try:
        document = await _get(client, runner, ORDER_PATH)
        return to_status(runner, document)
    except (ConnectFailedError, BrokenResponseError, ValueError) as error:
        reason = f"no answer: {error}"
        return RunnerStatus(runner.runner_id, RunnerState.UNREACHABLE, reason=reason)


async def read_checks_fence(client: HttpClient, runner: Runner) -> bool | None:
    """Return whether an engine refuses old fencing numbers, None without an answer."""
    try:
        document = await _get(client, runner, INFO_PATH)
        return bool(document.get("checks_fence", False))
    except (ConnectFailedError, BrokenResponseError, ValueError):
        return None


async def read_in_flight(client: HttpClient, runner: Runner) -> int | None:
    """Return how many requests an engine runs, None without an answer."""
    try:
        document = await _get(client, runner, LOAD_PATH)
        return int(document.get("running", 0))
    except (ConnectFailedError, BrokenResponseError, ValueError):
        return None


def to_status(runner: Runner, document: dict[str, Any]) -> RunnerStatus:
    """Return the state that an engine's answer tells.

    Raises
    ------
    ValueError
        When the answer is no order's state.
    """
    order = document.get("order", {})
    try:
        return RunnerStatus(
            runner.runner_id,
            RunnerState(document["state"]),
            order_key(
                str(order.get("model", "")),
                str(order.get("version", "")),
                tuple(order.get("adapters", ())),
                str(order.get("role", "serve")),
            ),
            int(document.get("fence", 0)),
            reason=str(document.get("reason", "")),
        )
    except (KeyError, AttributeError, TypeError) as error:
        raise ValueError(f"no order's state: {error!r}") from None


async def _get(client: HttpClient, runner: Runner, path: str) -> dict[str, Any]:
    response = await client.send(runner.address, "GET", path, stall_s=TIMEOUT_S)
    document = await _read(response)
    if response.status != HTTP_OK:
        raise ValueError(f"answered {response.status}")
    return document


async def _read(response: ClientResponse) -> dict[str, Any]:
    document = json.loads(await response.read())
    if not isinstance(document, dict):
        raise ValueError("the answer is no JSON object")
    return document
