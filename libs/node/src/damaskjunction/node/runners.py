"""Protocols of backend servers: from a forwarded request to messages of its answer."""

from __future__ import annotations

import json
from collections.abc import AsyncIterator, Callable
from typing import TypeAlias

from damaskjunction.core import Outcome, Registry, RequestError, Runner
from damaskjunction.http import (
    BrokenResponseError,
    ClientResponse,
    ConnectFailedError,
    Event,
    EventParser,
    HttpClient,
)
from damaskjunction.routing import Forward, PlainAnswer, StreamEnd, Token

AnswerMessage: TypeAlias = Token | StreamEnd | PlainAnswer
RunnerProtocol: TypeAlias = Callable[
    [HttpClient, Runner, Forward], AsyncIterator[AnswerMessage]
]

runner_protocols: Registry[RunnerProtocol] = Registry("runner protocol")

STALL_S = 5.0


async def _post(
    client: HttpClient, runner: Runner, forward: Forward, body: bytes
) -> ClientResponse:
    """Send a request to a runner.

    Raises
    ------
    RequestError
        ``NOT_RUN`` when no byte was sent, ``UNKNOWN`` when the answer is missing.
    """
    headers = {"Content-Type": forward.content_type, "Request-Id": forward.request_id}
    try:
        return await client.send(
            runner.address,
            "POST",
            forward.path,
            headers=headers,
            body=body,
            stall_s=min(STALL_S, forward.deadline_s),
            fresh=not forward.idempotent,
        )
    except ConnectFailedError as error:
        raise RequestError(Outcome.NOT_RUN, "runner_unreachable", str(error)) from None
    except BrokenResponseError as error:
        raise RequestError(Outcome.UNKNOWN, "runner_lost", str(error)) from None


@runner_protocols.register("engine")
async def stream_from_engine(
    client: HttpClient, runner: Runner, forward: Forward
) -> AsyncIterator[AnswerMessage]:
    """Yield the tokens of an engine's answer and its end mark.

    Raises
    ------
    RequestError
        When the answer is not whole.
    """
    document = json.loads(forward.body)
    document["stream_id"] = f"{forward.request_id}.{forward.attempt}"
    document["from_token"] = forward.from_token
    response = await _post(client, runner, forward, json.dumps(document).encode())
    if response.status != 200:
        response.close()
        detail = f"the engine answered {response.status}"
        raise RequestError(Outcome.NOT_RUN, "runner_refused", detail)
    parser = EventParser()
    try:
        async for data in response.chunks():
            for event in parser.feed(data):
                yield _to_message(event, forward.attempt)
                if event.name == "end":
                    return
    except BrokenResponseError as error:
        raise RequestError(Outcome.UNKNOWN, "runner_lost", str(error)) from None
    finally:
        response.close()
    raise RequestError(Outcome.UNKNOWN, "stream_cut", "the stream has no end mark")


def _to_message(event: Event, attempt: int) -> AnswerMessage:
    document = json.loads(event.data)
    if event.name == "end":
        return StreamEnd(attempt, document["n"])
    return Token(attempt, document["index"], document["text"])


@runner_protocols.register("plain")
async def call_plain_service(
    client: HttpClient, runner: Runner, forward: Forward
) -> AsyncIterator[AnswerMessage]:
    """Yield the whole answer of a plain service.

    Raises
    ------
    RequestError
        When the answer is not whole.
    """
    response = await _post(client, runner, forward, forward.body)
    try:
        body = await response.read()
    except BrokenResponseError as error:
        raise RequestError(Outcome.UNKNOWN, "runner_lost", str(error)) from None
    content_type = response.headers.get("content-type", "application/octet-stream")
    yield PlainAnswer(forward.attempt, response.status, content_type, body)
