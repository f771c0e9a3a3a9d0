"""HTTP client for the orders of engines: send an order, read back the state."""

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
STALL_TIMEOUT_S = 1.5
HTTP_CONFLICT = 409
HTTP_OK = 200


class OrderDocument(TypedDict):
    """The model that an engine is ordered to load, as JSON."""

    model: str
    version: str
    adapters: list[str]
    role: str
    weights_gb: float


class StaleFencingTokenError(DamaskjunctionError):
    """An engine has already accepted an order with a higher fencing token."""


class OrderFailedError(DamaskjunctionError):
    """An order failed, or it is unknown whether the engine received it."""


def order_to_document(assignment: Assignment, weights_gb: float) -> OrderDocument:
    """Convert an assignment to the JSON document of an order."""
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
    """Send an order and return the state that the engine reports.

    ``before_send`` is called right before the request is written and may raise to
    withhold the order.

    Raises
    ------
    StaleFencingTokenError
        When the engine rejects the fencing token.
    OrderFailedError
        When the engine does not respond, or responds with an error.
    ValueError
        When the response holds no valid order state.
    """
    body = json.dumps({"fence": fence, "order": order}).encode()
    try:
        response = await client.send(
            runner.address,
            "PUT",
            ORDER_PATH,
            body=body,
            stall_s=STALL_TIMEOUT_S,
            before_send=before_send,
        )
        document = await _read_json_object(response)
    except (ConnectFailedError, BrokenResponseError, ValueError) as error:
        raise OrderFailedError(f"{runner.runner_id}: {error}") from None
    if response.status == HTTP_CONFLICT:
        raise StaleFencingTokenError(
            f"{runner.runner_id} has a higher fencing token than {fence}"
        )
    if response.status != HTTP_OK:
        raise OrderFailedError(
            f"{runner.runner_id} responded with status {response.status}"
        )
    return status_from_document(runner, document)


async def read_status(client: HttpClient, runner: Runner) -> RunnerStatus:
    """Return an engine's state; UNREACHABLE when it does not respond."""
    try:
        document = await _get_json_object(client, runner, ORDER_PATH)
        return status_from_document(runner, document)
    except (ConnectFailedError, BrokenResponseError, ValueError) as error:
        reason = f"no response: {error}"
        return RunnerStatus(runner.runner_id, RunnerState.UNREACHABLE, reason=reason)


async def read_checks_fence(client: HttpClient, runner: Runner) -> bool | None:
    """Return whether an engine rejects old fencing tokens, None if not known."""
    try:
        document = await _get_json_object(client, runner, INFO_PATH)
        return bool(document.get("checks_fence", False))
    except (ConnectFailedError, BrokenResponseError, ValueError):
        return None


async def read_in_flight(client: HttpClient, runner: Runner) -> int | None:
    """Return the number of requests an engine runs, None if it does not respond."""
    try:
        document = await _get_json_object(client, runner, LOAD_PATH)
        return int(document.get("running", 0))
    except (ConnectFailedError, BrokenResponseError, ValueError):
        return None


def status_from_document(runner: Runner, document: dict[str, Any]) -> RunnerStatus:
    """Convert the JSON document of an engine's response to its state.

    Raises
    ------
    ValueError
        When the document is not a valid order state.
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
        raise ValueError(f"invalid order state: {error!r}") from None


async def _get_json_object(
    client: HttpClient, runner: Runner, path: str
) -> dict[str, Any]:
    response = await client.send(runner.address, "GET", path, stall_s=STALL_TIMEOUT_S)
    document = await _read_json_object(response)
    if response.status != HTTP_OK:
        raise ValueError(f"response status {response.status}")
    return document


async def _read_json_object(response: ClientResponse) -> dict[str, Any]:
    document = json.loads(await response.read())
    if not isinstance(document, dict):
        raise ValueError("the response is not a JSON object")
    return document
