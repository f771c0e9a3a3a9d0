"""Steps of the feature on odd and broken answers of runners."""

from __future__ import annotations

import asyncio

from behave import given, then, when

from damaskjunction.core import (
    Address,
    LoopTimers,
    RequestError,
    Runner,
    ServiceKind,
    WorkClass,
)
from damaskjunction.http import HttpClient
from damaskjunction.node.runners.protocols import (
    RunnerStream,
    load_reports,
    runner_protocols,
)
from damaskjunction.routing import Forward

HEAD = b"HTTP/1.1 200 OK\r\n"
TOKEN = b'event: token\ndata: {"index":0,"text":"a"}\n\n'
BODIES = {"engine": TOKEN + b'event: end\ndata: {"n":1}\n\n', "plain": b"hello"}
DEEP = b"[" * 100_000 + b"]" * 100_000
EVENTS = {
    "nested 100000 deep": DEEP,
    "with 5000 digits": b'{"index":%s,"text":"a"}' % (b"1" * 5000),
    "with 1e999": b'{"index":1e999,"text":"a"}',
    "with NaN": b'{"index":NaN,"text":"a"}',
    "with a large position": b'{"index":4294967296,"text":"a"}',
    "with a boolean": b'{"index":true,"text":"a"}',
    "with a lone surrogate": rb'{"index":0,"text":"\ud800"}',
    "that is no UTF-8": b"\xff\xfe",
    "that is a list": b"[0]",
    "that is empty": b"",
}
ODD_REPORTS = (
    DEEP,
    b'{"running":1e999}',
    b'{"running":NaN}',
    b'{"running":-1}',
    b'{"running":true}',
    b'{"running":[]}',
    b"[1]",
    b"null",
    b'"\xff"',
    b"",
)


def frame(body, framing):
    """Return an answer with a body."""
    if framing == "chunks":
        size = b"%x" % len(body)
        head = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
        return head + size + b"\r\n" + body + b"\r\n0\r\nX-End: 1\r\n\r\n"
    if framing == "a length":
        return HEAD + b"Content-Length: %d\r\n\r\n" % len(body) + body
    return HEAD + b"\r\n" + body


async def with_runner(kind, answer, work):
    """Return the error of work with a runner that gives an answer, None without."""

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(answer)
        await writer.drain()
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    address = Address(*server.sockets[0].getsockname())
    client = HttpClient(LoopTimers())
    runner = Runner("r1", "r", "z", address, ServiceKind(kind))
    try:
        await work(client, runner)
    except RequestError as error:
        return error
    finally:
        client.close()
        server.close()
    return None


async def read_answer(kind, answer):
    async def work(client, runner):
        forward = Forward(
            "q1", 1, "r1", "s", "w", WorkClass.ONLINE, 5.0, False, "/x", "a/b", b"{}"
        )
        protocol = runner_protocols.get(kind)
        async for _ in protocol(client, runner, forward, RunnerStream("q1")):
            pass

    return await with_runner(kind, answer, work)


@given("a {kind} whose answers have {framing}")
def make_runner(context, kind, framing):
    context.kind = kind
    context.answer = frame(BODIES[kind], framing)


@when("its answer breaks off after each number of bytes")
def cut_everywhere(context):
    async def work():
        # The end event of an engine's stream proves that nothing else is missing.
        is_proved = context.kind == "engine" and b"Length" not in context.answer
        n_needed = context.answer.find(BODIES["engine"]) + len(BODIES["engine"])
        is_chunked = b"chunked" in context.answer
        n_places = n_needed if is_proved and not is_chunked else len(context.answer)
        context.errors = [
            await read_answer(context.kind, context.answer[:n_bytes])
            for n_bytes in range(n_places)
        ]
        assert await read_answer(context.kind, context.answer) is None

    context.asyncio_runner.run(work())


@given("an engine that sends an event {event}")
def make_odd_engine(context, event):
    body = b"event: token\ndata: " + EVENTS[event] + b"\n\n" + BODIES["engine"]
    context.answer = frame(body, "a length")


@when("its answer is read")
def read_odd(context):
    work = read_answer("engine", context.answer)
    context.errors = [context.asyncio_runner.run(work)]


@when("an engine reports each odd value as its running streams")
def read_reports(context):
    async def read(client, runner):
        await load_reports.get("engine")(client, runner)

    async def work():
        context.errors = [
            await with_runner("engine", frame(report, "a length"), read)
            for report in ODD_REPORTS
        ]

    context.asyncio_runner.run(work())


@then("each request failed with a typed error")
@then("each report failed with a typed error")
def check_errors(context):
    assert context.errors
    assert None not in context.errors, context.errors.index(None)
