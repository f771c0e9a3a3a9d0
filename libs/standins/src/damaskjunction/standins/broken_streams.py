"""Answer scripts of runners that break off a stream and take it up wrongly.

Each breaks a new stream off after ``BROKEN_AFTER`` events, and answers a take-up with
what does not continue it.
"""

from __future__ import annotations

import asyncio
import functools
from collections.abc import Callable

from damaskjunction.core import Registry, RequestId
from damaskjunction.standins.raw_runner import (
    AnswerScript,
    RawRunnerStandin,
    answer_scripts,
    unframed_head,
    write_events,
)

wrong_take_ups: Registry[AnswerScript] = Registry("wrong answer to a take-up")

BROKEN_AFTER = 4
FAILURE_STATUS = 500


def _register(
    name: str, *, status: int = 200, is_wrong: bool = True
) -> Callable[[AnswerScript], AnswerScript]:
    """Return a decorator that registers a script with its answer to a take-up.

    ``status`` is that of the answer. One that a sound runner may give as well, after
    the last event, is not among ``wrong_take_ups``.
    """

    def decorate(take_up: AnswerScript) -> AnswerScript:
        if is_wrong:
            wrong_take_ups.register(name)(take_up)
        script = functools.partial(_answer, take_up, status)
        answer_scripts.register(name)(script)
        return take_up

    return decorate


async def _answer(
    take_up: AnswerScript,
    take_up_status: int,
    runner: RawRunnerStandin,
    writer: asyncio.StreamWriter,
    request_id: RequestId,
) -> None:
    request = runner.request_of(writer)
    runner.record_run(request)
    status = 0
    try:
        if request.last_event_id:
            await take_up(runner, writer, request_id)
            status = take_up_status
        else:
            await _write_broken_stream(runner, writer, request_id)
    finally:
        runner.record_end(request, status)


async def _write_broken_stream(
    runner: RawRunnerStandin, writer: asyncio.StreamWriter, request_id: RequestId
) -> None:
    n_bytes = 1000  # more than is written, so that the end comes too early
    head = _encode_head(200, "text/event-stream", request_id, n_bytes)
    await runner.write(writer, head)
    await write_events(runner, writer, last=BROKEN_AFTER)


def _encode_head(
    status: int, content_type: str, request_id: RequestId, n_bytes: int
) -> bytes:
    return (
        f"HTTP/1.1 {status} -\r\nContent-Type: {content_type}\r\n"
        f"X-Request-Id: {request_id}\r\nX-Response-Stamp: {request_id}\r\n"
        f"Content-Length: {n_bytes}\r\n\r\n"
    ).encode()


def _answer_in_full(
    status: int, content_type: str, request_id: RequestId, body: str
) -> bytes:
    head = _encode_head(status, content_type, request_id, len(body))
    return head + body.encode()


@_register("an error", status=FAILURE_STATUS)
async def answer_error(
    runner: RawRunnerStandin, writer: asyncio.StreamWriter, request_id: RequestId
) -> None:
    """Write status 500 with a text that looks like an event."""
    body = "id: 5\ndata: failed\n\n"
    await runner.write(
        writer,
        _answer_in_full(FAILURE_STATUS, "text/event-stream", request_id, body),
    )


@_register("an error's text with status 200")
async def answer_error_as_success(
    runner: RawRunnerStandin, writer: asyncio.StreamWriter, request_id: RequestId
) -> None:
    """Write status 200 with a document that is no stream."""
    body = '{"Error":"failed"}\n\n'
    await runner.write(
        writer, _answer_in_full(200, "application/json", request_id, body)
    )


@_register("an empty document with status 200")
async def answer_empty_document(
    runner: RawRunnerStandin, writer: asyncio.StreamWriter, request_id: RequestId
) -> None:
    """Write status 200 without a body, not as a stream."""
    await runner.write(writer, _answer_in_full(200, "text/plain", request_id, ""))


@_register("the stream from its start")
async def answer_from_start(
    runner: RawRunnerStandin, writer: asyncio.StreamWriter, request_id: RequestId
) -> None:
    """Write a whole stream."""
    await runner.write(writer, unframed_head(request_id))
    await write_events(runner, writer)


@_register("the stream after a gap")
async def answer_after_gap(
    runner: RawRunnerStandin, writer: asyncio.StreamWriter, request_id: RequestId
) -> None:
    """Write a stream that begins one event too late."""
    await runner.write(writer, unframed_head(request_id))
    await write_events(runner, writer, BROKEN_AFTER + 2)


@_register("the stream less one event")
async def answer_with_gap(
    runner: RawRunnerStandin, writer: asyncio.StreamWriter, request_id: RequestId
) -> None:
    """Write a stream that begins well and skips an event."""
    await runner.write(writer, unframed_head(request_id))
    await write_events(runner, writer, BROKEN_AFTER + 1, BROKEN_AFTER + 2)
    await write_events(runner, writer, BROKEN_AFTER + 4)


@_register("an event without an id")
async def answer_event_without_id(
    runner: RawRunnerStandin, writer: asyncio.StreamWriter, request_id: RequestId
) -> None:
    """Write an error's text as an event, and end the stream."""
    await runner.write(writer, unframed_head(request_id))
    await runner.write(writer, b"event: error\ndata: failed\n\n")


@_register("an error's head within an event")
async def answer_head_within_event(
    runner: RawRunnerStandin, writer: asyncio.StreamWriter, request_id: RequestId
) -> None:
    """Write the next answer into the bytes of an event that is not ended."""
    await runner.write(writer, unframed_head(request_id))
    await runner.write(writer, f"id: {BROKEN_AFTER + 1}\ndata: tok".encode())
    body = "failed\n\n"
    await runner.write(writer, _answer_in_full(500, "text/plain", request_id, body))


@_register("half an event")
async def answer_half_event(
    runner: RawRunnerStandin, writer: asyncio.StreamWriter, request_id: RequestId
) -> None:
    """Write a stream that ends within an event."""
    await runner.write(writer, unframed_head(request_id))
    await runner.write(writer, f"id: {BROKEN_AFTER + 1}\ndata: tok".encode())


@_register("nothing", is_wrong=False)
async def answer_nothing(
    runner: RawRunnerStandin, writer: asyncio.StreamWriter, request_id: RequestId
) -> None:
    """Write a stream without events, as if only the end had been lost."""
    await runner.write(writer, unframed_head(request_id))


@answer_scripts.register("a new stream without events")
async def answer_new_stream_without_events(
    runner: RawRunnerStandin, writer: asyncio.StreamWriter, request_id: RequestId
) -> None:
    """Write no event of a new stream either."""
    await answer_nothing(runner, writer, request_id)
