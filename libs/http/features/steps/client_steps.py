"""Steps for the HTTP client feature."""

from __future__ import annotations

import asyncio

from behave import given, then, when
from server_steps import run, start_server

from damaskjunction.core import Address, LoopTimers
from damaskjunction.http import (
    BrokenResponseError,
    HttpClient,
    ReadPacer,
    Request,
    Response,
    Routes,
)

CHUNK = b"chunk;"
MAX_SPREAD_S = 0.005  # of chunks that were read at the same time


class ReadResponse:
    """What was read of a response, and when."""

    def __init__(self):
        self.body = b""
        self.read_at_s = []
        self.error = ""

    async def read(self, response, pacer=None, next_stall_s=None):
        """Read a response to its end, with another stall timeout from a chunk on."""
        if pacer is not None:
            response.set_pacer(pacer)
        try:
            async for chunk in response.chunks():
                if next_stall_s is not None:
                    response.set_stall_timeout(next_stall_s)
                self.body += chunk
                self.read_at_s.append(asyncio.get_running_loop().time())
        except BrokenResponseError as error:
            self.error = type(error).__name__


def n_read_times(responses):
    """Return at how many times chunks were read."""
    n_times, began_at_s = 0, float("-inf")
    for at_s in sorted(at_s for response in responses for at_s in response.read_at_s):
        if at_s - began_at_s > MAX_SPREAD_S:
            n_times += 1
            began_at_s = at_s
    return n_times


@given("a server that streams {count:d} chunks {interval:g} s apart")
def start_streaming_server(context, count, interval):
    start_server_of_chunks(context, count, interval, "")


@given("a server that streams {count:d} chunks {interval:g} s apart and then {end}")
def start_failing_server(context, count, interval, end):
    start_server_of_chunks(context, count, interval, end)


def start_server_of_chunks(context, count, interval_s, end):
    routes = Routes()

    async def stream():
        for _ in range(count):
            yield CHUNK
            await asyncio.sleep(interval_s)
        if end == "stalls":
            await asyncio.Event().wait()
        if end:
            raise ConnectionResetError(end)

    @routes.register("GET", "/stream")
    async def serve(request: Request) -> Response:
        await request.body.read()
        return Response(200, stream())

    context.n_chunks = count
    start_server(context, routes)


def make_client(context):
    context.timers = LoopTimers()
    return HttpClient(context.timers)


async def send(context, client, **options):
    return await client.send(context.address, "GET", "/stream", **options)


@when("{count:d} responses are read with a pacer of {interval:g} s")
def read_together(context, count, interval):
    async def work():
        client = make_client(context)
        pacer = ReadPacer(context.timers, interval)
        context.responses = [ReadResponse() for _ in range(count)]
        sent = [await send(context, client) for _ in range(count)]
        reads = zip(context.responses, sent, strict=True)
        await asyncio.gather(*(read.read(response, pacer) for read, response in reads))
        client.close()

    run(context, work())


@when(
    "a response is read with a pacer of {interval:g} s, and another on its "
    "connection without"
)
def read_twice(context, interval):
    async def work():
        client = make_client(context)
        context.responses = [ReadResponse(), ReadResponse()]
        pacer = ReadPacer(context.timers, interval)
        await context.responses[0].read(await send(context, client), pacer)
        await context.responses[1].read(await send(context, client))
        assert client.n_connections_opened == 1
        client.close()

    run(context, work())


@when(
    "a response is read with a pacer of {interval:g} s and a stall timeout of "
    "{stall:g} s"
)
def read_with_stall_timeout(context, interval, stall):
    async def work():
        client = make_client(context)
        context.responses = [ReadResponse()]
        pacer = ReadPacer(context.timers, interval)
        response = await send(context, client, stall_s=stall)
        await context.responses[0].read(response, pacer)
        client.close()

    run(context, work())


@when("a response is read with a stall timeout of {stall:g} s")
def read_one(context, stall):
    read_with_stall_timeouts(context, stall, None)


@when("a response is read with a stall timeout of {stall:g} s, then of {later:g} s")
def read_with_shorter_timeout(context, stall, later):
    read_with_stall_timeouts(context, stall, later)


def read_with_stall_timeouts(context, stall_s, next_stall_s):
    async def work():
        client = make_client(context)
        context.responses = [ReadResponse()]
        response = await send(context, client, stall_s=stall_s)
        began_at_s = context.timers.now()
        await context.responses[0].read(response, next_stall_s=next_stall_s)
        context.read_for_s = context.timers.now() - began_at_s
        client.close()

    run(context, work())


@when(
    "2 responses are read on a connection, {pause:g} s apart, with a stall timeout "
    "of {stall:g} s"
)
def read_after_pause(context, pause, stall):
    async def work():
        client = make_client(context)
        context.responses = [ReadResponse(), ReadResponse()]
        for read in context.responses:
            await read.read(await send(context, client, stall_s=stall))
            await asyncio.sleep(pause)
        assert client.n_connections_opened == 1
        client.close()

    run(context, work())


@then("it failed within {limit:g} s")
def check_failed_in_time(context, limit):
    assert context.read_for_s < limit, context.read_for_s


@then("each response is complete")
def check_complete(context):
    for response in context.responses:
        assert not response.error, response.error
        assert response.body == CHUNK * context.n_chunks, response.body


@then("chunks were read at no more than {count:d} times")
def check_few_reads(context, count):
    n_times = n_read_times(context.responses)
    assert n_times <= count, n_times


@then("chunks of the last response were read at no less than {count:d} times")
def check_many_reads(context, count):
    n_times = n_read_times(context.responses[-1:])
    assert n_times >= count, n_times


@then('the response failed with "{error}"')
def check_failed(context, error):
    assert context.responses[0].error == error, context.responses[0].error


class CountingServer:
    """Answers each request, and counts the connections that are open."""

    def __init__(self):
        self.n_open = 0
        self._server = None

    async def start(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return Address(*self._server.sockets[0].getsockname())

    async def close(self):
        self._server.close()

    async def _serve(self, reader, writer):
        self.n_open += 1
        try:
            while await reader.readuntil(b"\r\n\r\n"):
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        except (OSError, asyncio.IncompleteReadError):
            self.n_open -= 1
            writer.transport.abort()


@given("a server that counts its open connections")
def start_counting_server(context):
    context.server = CountingServer()
    context.address = run(context, context.server.start())


@when(
    "a client with an idle timeout of {idle_s:g} s sends {count:d} requests on new"
    " connections {interval_s:g} s apart"
)
def send_on_new_connections(context, idle_s, count, interval_s):
    async def send():
        context.client = HttpClient(LoopTimers(), idle_timeout_s=idle_s)
        for _ in range(count):
            response = await context.client.send(
                context.address, "GET", "/", new_connection=True
            )
            await response.read()
            await asyncio.sleep(interval_s)

    run(context, send())


@then("at most {count:d} connections to the server are open")
def check_open_connections(context, count):
    assert 1 <= context.server.n_open <= count, context.server.n_open
    context.client.close()


@given("a peer that states a length of {length:d} bytes and sends nothing more")
def start_stating_peer(context, length):
    head = f"HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n".encode()

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(head)
        await reader.read()
        writer.close()

    async def work():
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        context.address = Address(*server.sockets[0].getsockname())

    run(context, work())


@when(
    "its response is read with a limit of {limit:d} bytes and a stall timeout of "
    "{stall_s:g} s"
)
def read_with_limit(context, limit, stall_s):
    async def work():
        client = HttpClient(LoopTimers())
        context.responses = [ReadResponse()]
        response = await client.send(context.address, "GET", "/", stall_s=stall_s)
        began_at_s = asyncio.get_running_loop().time()
        try:
            await response.read(limit)
        except BrokenResponseError as error:
            context.responses[0].error = type(error).__name__
        context.read_for_s = asyncio.get_running_loop().time() - began_at_s
        client.close()

    run(context, work())
