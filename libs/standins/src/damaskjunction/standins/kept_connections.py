"""Answer scripts of faulty runners that keep their connections.

Most refuse the first request of a connection and name a rate limit. They answer the
second at first with bytes that belong to no request or to the first, and then truly.
"""

from __future__ import annotations

import asyncio
import functools
from collections.abc import Callable
from typing import TypeAlias

from damaskjunction.core import RequestId
from damaskjunction.standins.raw_runner import RawRunnerStandin, answer_scripts

TRUE_ANSWER_DELAY_S = 0.05
LIMIT_PER_S = 0.5

WrongAnswer: TypeAlias = Callable[[RequestId, RequestId], bytes]


def _register(name: str) -> Callable[[WrongAnswer], WrongAnswer]:
    """Return a decorator that registers the script with a wrong answer."""

    def decorate(wrong_answer: WrongAnswer) -> WrongAnswer:
        answer_scripts.register(name)(functools.partial(_answer_wrongly, wrong_answer))
        return wrong_answer

    return decorate


async def _answer_wrongly(
    wrong_answer: WrongAnswer,
    runner: RawRunnerStandin,
    writer: asyncio.StreamWriter,
    request_id: RequestId,
) -> None:
    first_id, *later_ids = runner.keep(writer)
    if not later_ids:
        await runner.write(writer, encode_refusal(first_id))
        return
    await runner.write(writer, wrong_answer(first_id, request_id))
    await asyncio.sleep(TRUE_ANSWER_DELAY_S)
    await runner.write(writer, _true_answer(request_id))


def _encode_answer(
    status: int, *headers: str, request_id: RequestId = "", body: bytes = b""
) -> bytes:
    lines = [f"HTTP/1.1 {status} -", *headers, f"Content-Length: {len(body)}"]
    if request_id:
        lines.append(f"X-Request-Id: {request_id}")
    return "\r\n".join([*lines, "", ""]).encode() + body


def encode_refusal(
    request_id: RequestId, status: int = 503, *, limit_per_s: float | None = LIMIT_PER_S
) -> bytes:
    """Return the bytes of a refusal, which names a rate limit."""
    limit = () if limit_per_s is None else (f"Server-Limit: {limit_per_s}",)
    return _encode_answer(status, "X-Not-Run: 1", *limit, request_id=request_id)


def _true_answer(
    request_id: RequestId, body: bytes = b"ran", content_type: str = "text/plain"
) -> bytes:
    headers = (f"X-Response-Stamp: {request_id}", f"Content-Type: {content_type}")
    return _encode_answer(200, *headers, request_id=request_id, body=body)


@_register("the first refusal once more")
def repeat_refusal(first_id: RequestId, request_id: RequestId) -> bytes:
    """Return the refusal of the connection's first request."""
    return encode_refusal(first_id)


@_register("a refusal without an id")
def refuse_without_id(first_id: RequestId, request_id: RequestId) -> bytes:
    """Return a refusal that names no request."""
    return encode_refusal("")


@_register("a misdirection without an id")
def misdirect_without_id(first_id: RequestId, request_id: RequestId) -> bytes:
    """Return status 421, which names no request."""
    return encode_refusal("", status=421)


@_register("a bad request without an id")
def reject_without_id(first_id: RequestId, request_id: RequestId) -> bytes:
    """Return status 400 with the mark of a request that did not run."""
    return encode_refusal("", status=400)


@_register("an error without an id")
def fail_without_id(first_id: RequestId, request_id: RequestId) -> bytes:
    """Return status 500, which names no request."""
    return _encode_answer(500)


@_register("a refusal of its own")
def refuse_second(first_id: RequestId, request_id: RequestId) -> bytes:
    """Return a refusal of the second request."""
    return encode_refusal(request_id)


@_register("a success without a stamp")
def succeed_without_stamp(first_id: RequestId, request_id: RequestId) -> bytes:
    """Return status 200 with the second request's id, but without a receipt."""
    return _encode_answer(200, request_id=request_id, body=b"ran")


@answer_scripts.register("each refused once, once more on its connection")
async def refuse_once(
    runner: RawRunnerStandin, writer: asyncio.StreamWriter, request_id: RequestId
) -> None:
    """Refuse a request once, and run it when it comes again.

    Where it comes again on the same connection, the refusal is written once more first.
    """
    if request_id not in runner.refused_ids:
        runner.keep(writer)
        runner.refused_ids.add(request_id)
        await runner.write(writer, encode_refusal(request_id, limit_per_s=None))
        return
    request = runner.request_of(writer)
    runner.record_run(request)
    try:
        if runner.keep(writer).count(request_id) > 1:
            await runner.write(writer, encode_refusal(request_id, limit_per_s=None))
            await asyncio.sleep(TRUE_ANSWER_DELAY_S)
        await answer_scripts.get("unframed")(runner, writer, request_id)
    finally:
        runner.record_end(request, 200)
    writer.close()


@answer_scripts.register("each second request, after the refusal before once more")
async def repeat_each_refusal(
    runner: RawRunnerStandin, writer: asyncio.StreamWriter, request_id: RequestId
) -> None:
    """Refuse each other request of a connection, and write that refusal twice.

    The second time it comes before the answer to the next request, which is run.
    """
    request = runner.request_of(writer)
    ids = runner.keep(writer)
    if len(ids) % 2:
        await runner.write(writer, encode_refusal(request_id, limit_per_s=None))
        return
    runner.record_run(request)
    await runner.write(writer, encode_refusal(ids[-2], limit_per_s=None))
    await asyncio.sleep(TRUE_ANSWER_DELAY_S)
    body = runner.answer_body(request)
    await runner.write(writer, _true_answer(request_id, body, runner.content_type))
    runner.record_end(request, 200)
