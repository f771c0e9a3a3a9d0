"""Steps for the HTTP server feature."""

from __future__ import annotations

import asyncio
import random
import socket
import struct

from behave import given, then, when

from damaskjunction.core import Address
from damaskjunction.http import (
    HttpLimits,
    HttpServer,
    Request,
    Response,
    Routes,
)

KEPT_REQUEST = (
    b"POST /echo HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n"
    b"Authorization: Bearer k\r\n\r\nhello"
)
VALID_REQUEST = (
    b"POST /echo HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n"
    b"Authorization: Bearer k\r\nConnection: close\r\n\r\nhello"
)
RESPONSE_TIMEOUT_S = 10.0


def run(context, coroutine):
    async def bounded():
        async with asyncio.timeout(60):
            return await coroutine

    return context.asyncio_runner.run(bounded())


def free_address():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return Address(*probe.getsockname())


def start_server(context, routes, **limits):
    context.address = free_address()
    context.server = HttpServer(
        context.address, routes.handle, limits=HttpLimits(**limits)
    )
    run(context, context.server.start())


@given("a server that echoes bodies of at most {size:d} bytes")
def start_echo_server(context, size):
    routes = Routes()

    @routes.register("POST", "/echo")
    async def echo(request: Request) -> Response:
        return Response(200, await request.body.read())

    start_server(
        context, routes, body_bytes=size, header_timeout_s=0.5, body_stall_timeout_s=0.5
    )


@given("a server whose handler never returns")
def start_waiting_server(context):
    context.cancelled = asyncio.Event()
    routes = Routes()

    @routes.register("GET", "/wait")
    async def wait(request: Request) -> Response:
        try:
            await asyncio.Event().wait()
        except asyncio.CancelledError:
            context.cancelled.set()
            raise
        return Response()

    start_server(context, routes)


async def wait_until(condition):
    for _ in range(500):
        if condition():
            return
        await asyncio.sleep(0.01)
    raise AssertionError("condition not met within 5 s")


async def send_bytes(address, data):
    """Send bytes and return all data received until the server closes.

    Returns no data after a timeout or a connection error.
    """
    reader, writer = await asyncio.open_connection(*address)
    try:
        writer.write(data)
        writer.write_eof()
        async with asyncio.timeout(RESPONSE_TIMEOUT_S):
            return await reader.read()
    except OSError:
        return b""
    finally:
        writer.close()


async def send_all(context, payloads):
    limit = asyncio.Semaphore(20)

    async def send_one(data):
        async with limit:
            await send_bytes(context.address, data)

    await asyncio.gather(*(send_one(data) for data in payloads))


@when("{count:d} connections send random bytes from seed {seed:d}")
def send_random_bytes(context, count, seed):
    rng = random.Random(seed)
    payloads = [rng.randbytes(rng.randrange(1, 3000)) for _ in range(count)]
    run(context, send_all(context, payloads))


@when("{count:d} connections send requests mutated with seed {seed:d}")
def send_mutated_requests(context, count, seed):
    rng = random.Random(seed)
    payloads = []
    for _ in range(count):
        data = bytearray(VALID_REQUEST)
        for _ in range(rng.randrange(1, 6)):
            data[rng.randrange(len(data))] = rng.randrange(256)
        payloads.append(bytes(data[: rng.randrange(1, len(data) + 1)]))
    run(context, send_all(context, payloads))


@then("a valid request is still answered")
def check_valid_request(context):
    response = run(context, send_bytes(context.address, VALID_REQUEST))
    assert response.startswith(b"HTTP/1.1 200") and response.endswith(b"hello"), (
        response
    )


@then("the server has no open connections")
def check_no_connections(context):
    run(context, wait_until(lambda: context.server.n_connections == 0))


def build_request(what):
    head = b"POST /echo HTTP/1.1\r\nHost: a\r\nConnection: close\r\n"
    empty = b"Content-Length: 0\r\n\r\n"
    if what.startswith("a body"):
        size = int(what.split()[3])
        return head + b"Content-Length: %d\r\n\r\n" % size + b"x" * size
    if what.endswith("headers"):
        return head + b"".join(b"X-%d: 1\r\n" % n for n in range(100)) + empty
    if what.startswith("a head"):
        return head + b"X-Long: " + b"x" * 20000 + b"\r\n" + empty
    if what.endswith("path"):
        return head.replace(b"/echo", b"/none") + empty
    if what.endswith("target"):
        return head.replace(b"/echo", b"//[") + empty
    return head.replace(b"POST", b"PATCH") + empty


@when("a request with {what} is sent")
def send_one(context, what):
    context.response = run(context, send_bytes(context.address, build_request(what)))


@then("the response status is {status:d}")
def check_status(context, status):
    first = context.response.split(b"\r\n")[0]
    assert first.startswith(b"HTTP/1.1 %d" % status), first


@when("a client sends a request and disconnects")
def request_and_disconnect(context):
    request_and_leave(context, is_reset=False)


@when("a client sends a request and resets its connection")
def request_and_reset(context):
    request_and_leave(context, is_reset=True)


def request_and_leave(context, *, is_reset):
    async def send_and_close():
        _, writer = await asyncio.open_connection(*context.address)
        writer.write(b"GET /wait HTTP/1.1\r\nHost: a\r\n\r\n")
        await writer.drain()
        await wait_until(lambda: context.server.n_connections == 1)
        if is_reset:
            linger = struct.pack("ii", 1, 0)
            client = writer.get_extra_info("socket")
            client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        writer.close()

    run(context, send_and_close())


@then("the handler is cancelled within {duration_s:d} s")
def check_cancelled(context, duration_s):
    async def wait_until_cancelled():
        async with asyncio.timeout(duration_s):
            await context.cancelled.wait()

    run(context, wait_until_cancelled())


async def open_kept_connection(context):
    """Return a connection on which one request was answered."""
    reader, writer = await asyncio.open_connection(*context.address)
    writer.write(KEPT_REQUEST)
    await reader.readuntil(b"hello")
    return reader, writer


def connect_at_once(context):
    """Return a socket that the kernel has connected before the server runs again."""
    client = socket.create_connection(context.address)
    client.setblocking(False)
    return client


@when("the server drains just after a request was sent on {connection}")
def drain_after_request(context, connection):
    async def work():
        if connection == "a kept connection":
            reader, writer = await open_kept_connection(context)
        elif connection == "a connection that is not accepted yet":
            client = connect_at_once(context)
            client.send(KEPT_REQUEST)
            context.draining = asyncio.ensure_future(context.server.drain())
            reader, writer = await asyncio.open_connection(sock=client)
        else:
            reader, writer = await asyncio.open_connection(*context.address)
        if "not accepted" not in connection:
            context.draining = asyncio.ensure_future(context.server.drain())
            writer.write(KEPT_REQUEST)
        async with asyncio.timeout(RESPONSE_TIMEOUT_S):
            try:
                context.response = await reader.read()
            except ConnectionResetError:
                context.response = b""
        writer.close()

    run(context, work())


@then("the request is answered with status {status:d}")
def check_answered(context, status):
    assert context.response.startswith(b"HTTP/1.1 %d" % status), context.response


@when("the server drains beside an idle connection")
def drain_beside_idle(context):
    async def work():
        await open_kept_connection(context)
        context.draining = asyncio.ensure_future(context.server.drain())

    run(context, work())


@then("the server ends its draining within {duration_s:g} s")
def check_drained(context, duration_s):
    async def work():
        async with asyncio.timeout(duration_s):
            await context.draining

    run(context, work())


@given("a server that returns the path and the query that it was asked for")
def start_path_server(context):
    async def serve(request: Request) -> Response:
        query = "&".join(f"{name}={value}" for name, value in request.query.items())
        return Response(200, f"{request.path} {query}".encode())

    context.address = free_address()
    context.server = HttpServer(context.address, serve)
    run(context, context.server.start())


@when('a request for "{target}" is sent')
def send_target(context, target):
    head = f"GET {target} HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
    context.response = run(context, send_bytes(context.address, head.encode()))


@then('the path is "{path}" and the query "{query}"')
def check_path(context, path, query):
    body = context.response.partition(b"\r\n\r\n")[2].decode()
    assert body == f"{path} {query}", body


@then('the path is "{path}" and the query ""')
def check_path_alone(context, path):
    check_path(context, path, "")


@when("a client has a kept connection")
def keep_connection(context):
    _, context.kept_writer = run(context, open_kept_connection(context))


@then("the server does not delay small segments on it")
def check_no_delay(context):
    (connection,) = vars(context.server)["_connections_by_task"].values()
    served = vars(connection)["_writer"].get_extra_info("socket")
    assert served.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
    context.kept_writer.close()
