"""Steps on requests that a client sends before the last response has ended."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace

from behave import given, then, when
from server_steps import run

from damaskjunction.http import HttpLimits, Response
from damaskjunction.http.server_connection import ServerConnection

FIRST_REQUEST = b"GET /stream HTTP/1.1\r\nHost: a\r\n\r\n"
SMUGGLED = b"POST /smuggled HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n"
HEAD = b"POST /echo HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n" % len(SMUGGLED)
N_BYTES_BY_PART = {
    "the head": len(HEAD),
    "a part of the head": 20,
    "all but the end": len(HEAD) + len(SMUGGLED) - 1,
}
PAUSE_S = 0.03


class FakeWriter:
    """Takes all that is written."""

    def __init__(self):
        self.data = b""
        self.transport = SimpleNamespace(get_write_buffer_size=lambda: 0)

    def write(self, data):
        self.data += data


@given("a connection on which a response is streamed")
def open_connection(context):
    async def work():
        context.handled = []
        context.stream_ends = asyncio.Event()
        context.reader = asyncio.StreamReader()
        context.reader.feed_data(FIRST_REQUEST)
        context.connection = ServerConnection(
            context.reader, FakeWriter(), handle, HttpLimits()
        )
        context.serving = asyncio.ensure_future(serve())
        await asyncio.sleep(PAUSE_S)

    async def stream():
        yield b"first"
        await context.stream_ends.wait()

    async def handle(request):
        body = await request.body.read()
        context.handled.append((request.path, body))
        return Response(200, stream() if request.path == "/stream" else body)

    async def serve():
        while await context.connection.serve_request():
            pass

    run(context, work())


@when("{part} of another request arrives as the stream ends, and the rest later")
def pipeline(context, part):
    async def work():
        n_bytes = N_BYTES_BY_PART[part]
        data = HEAD + SMUGGLED
        context.reader.feed_data(data[:n_bytes])
        context.stream_ends.set()
        await asyncio.sleep(PAUSE_S)
        context.reader.feed_data(data[n_bytes:])
        await asyncio.sleep(PAUSE_S)
        context.reader.feed_eof()
        await asyncio.wait([context.serving], timeout=1.0)

    run(context, work())


@then("that request is handled with its body, and no other one")
def check_handled(context):
    expected = [("/stream", b""), ("/echo", SMUGGLED)]
    assert context.handled == expected, context.handled
