"""Steps of the feature on answers of runners that break off."""

from __future__ import annotations

from behave import given, then, when
from fleet_helpers import run
from platform_fleet import ENGINE, PLAIN

from damaskjunction.standins.raw_runner import answer_scripts

STATUS = b"HTTP/1.1 200 OK\r\n"
PLAIN_HEAD = STATUS + b"X-Request-Id: %(id)s\r\nX-Response-Stamp: %(id)s\r\n"
STREAM_HEAD = PLAIN_HEAD + b"Content-Type: text/event-stream\r\n"
CHUNKS = b"Transfer-Encoding: chunked\r\n\r\n"
EVENT = b"id: 1\ndata: a\n\n"
ANSWERS = {
    "a length": PLAIN_HEAD + b"Content-Length: 11\r\n\r\nhello world",
    "chunks and trailers": PLAIN_HEAD
    + CHUNKS
    + b"b\r\nhello world\r\n0\r\nX-End: 1\r\n\r\n",
    "a body without a length": PLAIN_HEAD + b"\r\nhello world",
    "events in chunks": STREAM_HEAD
    + CHUNKS
    + b"f\r\n"
    + EVENT
    + b"\r\n0\r\nX-End: 1\r\n\r\n",
    "events without a length": STREAM_HEAD + b"\r\n" + EVENT + b"id: 2\ndata: b\n\n",
}
PLACE_BYTES = 3  # from one place at which an answer breaks off to the next


@answer_scripts.register("breaks off")
async def answer_cut(runner, writer, request_id):
    """Write the first bytes of an answer and close the connection."""
    answer = runner.answer % {b"id": request_id.encode()}
    await runner.write(writer, answer[: runner.n_answer_bytes])


@given('{kind} "{name}" whose answers have {framing}')
def add_cut_runner(context, kind, name, framing):
    service = ENGINE if kind == "an engine" else PLAIN
    run(context, context.platform.add_raw_runner(name, service, "breaks off"))
    context.runner = context.platform.raw_runners[name]
    context.runner.answer = ANSWERS[framing]


@when('"{prefix}" is requested once for each place at which its answer breaks off')
def request_each(context, prefix):
    async def work():
        runner = context.runner
        n_bytes = len(runner.answer % {b"id": b"q00"})
        places = [*range(0, n_bytes, PLACE_BYTES), n_bytes - 11, n_bytes - 1]
        context.replies = []
        for number, runner.n_answer_bytes in enumerate(places, 10):
            reply = await context.platform.call(
                "h0", "POST", f"{prefix}1", request_id=f"q{number}"
            )
            context.replies.append((runner.n_answer_bytes, reply))

    run(context, work())


def check_requests(context):
    n_requests = context.runner.n_requests
    assert n_requests >= len(context.replies), (n_requests, context.replies[-3:])


@then("the runner got each request, and no caller got a success")
def check_no_success(context):
    check_requests(context)
    found = [reply for reply in context.replies if reply[1].status < 400]
    assert not found, found


@then("the runner got each request, and no caller got a success without a body")
def check_no_empty(context):
    check_requests(context)
    found = [r for r in context.replies if r[1].status < 400 and not r[1].body]
    assert not found, found


@then("the runner got each request, and no caller got a whole stream")
def check_no_stream(context):
    check_requests(context)
    found = [r for r in context.replies if r[1].status < 400 and r[1].is_complete]
    assert not found, found


@then("the runner got each request, and whole streams ended after an event")
def check_unframed(context):
    check_requests(context)
    whole = [r for _, r in context.replies if r.status < 400 and r.is_complete]
    for reply in whole:
        assert reply.body, reply
        assert reply.body.endswith(b"\n\n"), reply
