"""Runner protocols: send a forwarded request and yield the messages of its answer."""

from __future__ import annotations

import json
import logging
from collections.abc import AsyncGenerator, Awaitable, Callable
from contextlib import aclosing
from typing import Any, TypeAlias

from damaskjunction.core import (
    SHAPE_ERRORS,
    Outcome,
    Registry,
    RequestError,
    Runner,
    parse_json,
    read_integer,
    read_text,
)
from damaskjunction.core.units import KIB, MIB
from damaskjunction.http import (
    BrokenResponseError,
    ClientResponse,
    ConnectFailedError,
    Event,
    EventParser,
    HttpClient,
)
from damaskjunction.node.runners.silence import (
    AnswerMessage,
    SilenceLimits,
    tell_silence,
)
from damaskjunction.routing import (
    Forward,
    PlainAnswer,
    StreamEnd,
    Token,
)

logger = logging.getLogger(__name__)

ENGINE_LIMITS = SilenceLimits(first_s=2.75, next_s=1.75)
PLAIN_LIMITS = SilenceLimits(first_s=4.75, next_s=4.75)
MAX_ANSWER_BYTES = 8 * MIB
MAX_REPORT_BYTES = 256 * KIB
MAX_TOKENS = 2**31 - 1  # as messages to other hosts can hold
NOT_STARTED_STATUSES = frozenset((404, 405, 409, 429, 503))
CONTROL_STALL_S = 1.0


class RunnerStream:
    """One request sent to a runner, which its home can abort.

    Parameters
    ----------
    stream_id : str
        Identifies the request at the runner; differs each time the request is sent.
    """

    def __init__(self, stream_id: str) -> None:
        self.stream_id = stream_id
        self.is_aborted = False
        self.is_sent = False
        self._response: ClientResponse | None = None

    def attach(self, response: ClientResponse) -> None:
        """Set the response that ``abort`` closes.

        Raises
        ------
        RequestError
            When the request has been aborted already.
        """
        self._response = response
        if self.is_aborted:
            response.close()
            raise RequestError(Outcome.RAN, "broken_off")

    def abort(self) -> None:
        """Close the connection; reading the response then raises an error."""
        self.is_aborted = True
        if self._response is not None:
            self._response.close()


RunnerProtocol: TypeAlias = Callable[
    [HttpClient, Runner, Forward, RunnerStream], AsyncGenerator[AnswerMessage, None]
]
StreamCancel: TypeAlias = Callable[[HttpClient, Runner, str], Awaitable[None]]
LoadReport: TypeAlias = Callable[[HttpClient, Runner], Awaitable[int]]
RunnerCheck: TypeAlias = Callable[[HttpClient, Runner], Awaitable[None]]

runner_protocols: Registry[RunnerProtocol] = Registry("runner protocol")
stream_cancels: Registry[StreamCancel] = Registry("stream cancel")
load_reports: Registry[LoadReport] = Registry("load report")
runner_checks: Registry[RunnerCheck] = Registry("runner check")
silence_limits: Registry[SilenceLimits] = Registry("silence limits")
silence_limits.register("engine")(ENGINE_LIMITS)
silence_limits.register("plain")(PLAIN_LIMITS)


async def read_answer(
    client: HttpClient, runner: Runner, forward: Forward, stream: RunnerStream
) -> AsyncGenerator[AnswerMessage, None]:
    """Yield the messages of an answer; of a request that may move, silences too.

    Raises
    ------
    RequestError
        When the answer is incomplete.
    """
    protocol = runner_protocols.get(runner.kind.value)
    async with aclosing(protocol(client, runner, forward, stream)) as messages:
        answer = messages
        if _keeps_request(forward):
            limits = silence_limits.get(runner.kind.value)
            answer = tell_silence(messages, forward.attempt, limits)
        async with aclosing(answer):
            async for message in answer:
                yield message


def _keeps_request(forward: Forward) -> bool:
    """Return whether a silent runner keeps a request until another one takes over."""
    return forward.idempotent and forward.accepts_silence and not forward.alone


async def _send_request(
    client: HttpClient,
    runner: Runner,
    forward: Forward,
    body: bytes,
    stream: RunnerStream,
    *,
    stall_s: float,
) -> ClientResponse:
    """Send a request to a runner.

    A request that is not idempotent, or that is suspected to crash runners, uses a new
    connection. An idle connection may be dead already, and it would then be unknown
    whether the request reached the runner.

    Raises
    ------
    RequestError
        ``NOT_RUN`` when nothing was sent, ``UNKNOWN`` when there was no response.
    """
    headers = {"Content-Type": forward.content_type, "Request-Id": forward.request_id}
    if stream.is_aborted:
        raise RequestError(Outcome.NOT_RUN, "broken_off")
    stream.is_sent = True
    try:
        response = await client.send(
            runner.address,
            "POST",
            forward.path,
            headers=headers,
            body=body,
            stall_s=stall_s,
            new_connection=forward.alone or not forward.idempotent,
        )
    except ConnectFailedError as error:
        stream.is_sent = False
        raise RequestError(Outcome.NOT_RUN, "runner_unreachable", str(error)) from None
    except BrokenResponseError as error:
        raise RequestError(Outcome.UNKNOWN, "runner_lost", str(error)) from None
    stream.attach(response)
    return response


@runner_protocols.register("engine")
async def stream_from_engine(
    client: HttpClient, runner: Runner, forward: Forward, stream: RunnerStream
) -> AsyncGenerator[AnswerMessage, None]:
    """Yield the tokens of an engine's answer and its end-of-stream message.

    A silent engine keeps its request until the deadline if the request may move.

    Raises
    ------
    RequestError
        When the answer is incomplete.
    """
    document = json.loads(forward.body)
    document["stream_id"] = stream.stream_id
    document["from_token"] = forward.from_token
    body = json.dumps(document).encode()
    stall_s = token_stall_s = forward.deadline_s
    if not _keeps_request(forward):
        stall_s = min(ENGINE_LIMITS.first_s, stall_s)
        token_stall_s = ENGINE_LIMITS.next_s
    response = await _send_request(
        client, runner, forward, body, stream, stall_s=stall_s
    )
    if response.status != 200:
        response.close()
        raise _refusal_error(response.status)
    is_ended = False
    async with aclosing(_read_events(response, stall_s, token_stall_s)) as events:
        async for event in events:
            is_ended = is_ended or event.name == "end"
            yield _message_from_event(event, forward.attempt)
    if not is_ended:
        detail = "the stream ended without an end event"
        raise RequestError(Outcome.UNKNOWN, "stream_cut", detail)


async def _read_events(
    response: ClientResponse, first_stall_s: float, stall_s: float
) -> AsyncGenerator[Event, None]:
    """Yield the events of a stream; the first has a stall timeout of its own."""
    parser = EventParser()
    response.set_stall_timeout(first_stall_s)
    try:
        async with aclosing(response.chunks()) as chunks:
            async for data in chunks:
                response.set_stall_timeout(stall_s)
                events = parser.feed(data)
                response.keep(parser.n_buffered)
                for event in events:
                    yield event
    except BrokenResponseError as error:
        raise RequestError(Outcome.UNKNOWN, "runner_lost", str(error)) from None
    finally:
        response.close()


def _refusal_error(status: int) -> RequestError:
    is_started = status not in NOT_STARTED_STATUSES
    outcome = Outcome.RAN if is_started else Outcome.NOT_RUN
    return RequestError(
        outcome, "runner_refused", f"the engine responded with status {status}"
    )


def _message_from_event(event: Event, attempt: int) -> AnswerMessage:
    try:
        document: Any = parse_json(event.data.encode())
        if event.name == "end":
            return StreamEnd(attempt, read_integer(document["n"], most=MAX_TOKENS))
        position = read_integer(document["index"], most=MAX_TOKENS)
        return Token(attempt, position, read_text(document["text"]))
    except SHAPE_ERRORS as error:
        detail = f"malformed event {event!r:.200} from the engine: {error!r:.200}"
        raise RequestError(Outcome.RAN, "bad_answer", detail) from None


@runner_protocols.register("plain")
async def call_plain_service(
    client: HttpClient, runner: Runner, forward: Forward, stream: RunnerStream
) -> AsyncGenerator[AnswerMessage, None]:
    """Yield the response of a plain service as one message.

    An idempotent call that may not move fails after some seconds without data, early
    enough to be retried. Any other call may take until its deadline.

    Raises
    ------
    RequestError
        When the answer is incomplete.
    """
    stall_s = forward.deadline_s
    if forward.idempotent and not _keeps_request(forward):
        stall_s = min(PLAIN_LIMITS.first_s, stall_s)
    response = await _send_request(
        client, runner, forward, forward.body, stream, stall_s=stall_s
    )
    try:
        body = await response.read(MAX_ANSWER_BYTES)
    except BrokenResponseError as error:
        raise RequestError(Outcome.UNKNOWN, "runner_lost", str(error)) from None
    content_type = response.headers.get("content-type", "application/octet-stream")
    yield PlainAnswer(forward.attempt, response.status, content_type, body)


@stream_cancels.register("engine")
async def cancel_at_engine(client: HttpClient, runner: Runner, stream_id: str) -> None:
    """Cancel a stream at an engine.

    A failure is logged and not raised, since an unreachable engine runs no stream.
    """
    try:
        response = await client.send(
            runner.address,
            "DELETE",
            f"/v1/streams/{stream_id}",
            stall_s=CONTROL_STALL_S,
        )
        await response.read(MAX_REPORT_BYTES)
    except (ConnectFailedError, BrokenResponseError) as error:
        details = {"runner": runner.runner_id, "error": str(error)}
        logger.info("stream cancellation failed", extra=details)


@stream_cancels.register("plain")
async def ignore_plain_cancel(
    client: HttpClient, runner: Runner, stream_id: str
) -> None:
    """Do nothing, since a plain service cannot cancel a call."""


@load_reports.register("engine")
async def read_engine_load(client: HttpClient, runner: Runner) -> int:
    """Return the number of running streams that an engine reports.

    The reported number lags behind the actual one.

    Raises
    ------
    RequestError
        When the engine sends no valid report.
    """
    return await _read_load(client, runner)


async def _read_load(
    client: HttpClient, runner: Runner, *, new_connection: bool = False
) -> int:
    try:
        response = await client.send(
            runner.address,
            "GET",
            "/v1/load",
            stall_s=CONTROL_STALL_S,
            new_connection=new_connection,
        )
        document = parse_json(await response.read(MAX_REPORT_BYTES))
        return read_integer(document["running"], least=0)
    except (ConnectFailedError, BrokenResponseError, *SHAPE_ERRORS) as error:
        raise RequestError(Outcome.NOT_RUN, "no_report", str(error)) from None


@runner_checks.register("engine")
async def check_engine(client: HttpClient, runner: Runner) -> None:
    """Check that the process of an engine answers, on a new connection.

    Raises
    ------
    RequestError
        ``NOT_RUN`` when it does not.
    """
    await _read_load(client, runner, new_connection=True)


@runner_checks.register("plain")
async def skip_plain_check(client: HttpClient, runner: Runner) -> None:
    """Do nothing, since a plain service has no report to ask for."""
