"""Steps on bodies in small chunks."""

from __future__ import annotations

import asyncio
from collections import Counter
from unittest.mock import patch

from behave import given, then, when

from damaskjunction.core import Address
from damaskjunction.http import HttpServer, Response
from damaskjunction.http.request_reader import RequestReader
from damaskjunction.standins.ports import allocate_addresses

HEAD = b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
TIMEOUT_S = 20.0


class TurnCounter:
    """Counts the turns of the event loop between the parts of a body."""

    def __init__(self) -> None:
        self.n_turns = 0
        self.n_bytes_by_turn: dict[int, int] = {}

    def count(self) -> None:
        self.n_turns += 1
        asyncio.get_running_loop().call_soon(self.count)

    async def handle(self, request):
        async for part in request.body.chunks():
            n_before = self.n_bytes_by_turn.get(self.n_turns, 0)
            self.n_bytes_by_turn[self.n_turns] = n_before + len(part)
        return Response()


@given("a server that counts the parts of a body and the turns of the event loop")
def start_server(context):
    context.counter = TurnCounter()
    (context.address,) = allocate_addresses(1)
    context.server = HttpServer(Address(*context.address), context.counter.handle)
    context.asyncio_runner.run(context.server.start())


@when("a client sends {count:d} chunks of {size:d} bytes at once")
def send_chunks(context, count, size):
    context.size = size
    chunk = b"%x\r\n%b\r\n" % (size, b"x" * size)

    async def work():
        context.counter.count()
        reader, writer = await asyncio.open_connection(*context.address)
        writer.write(HEAD + chunk * count + b"0\r\n\r\n")
        async with asyncio.timeout(TIMEOUT_S):
            line = await reader.readline()
        writer.close()
        assert b" 200 " in line, line

    context.asyncio_runner.run(work())


@when("{n_clients:d} clients send {count:d} heads of {size:d} bytes at once")
def send_heads(context, n_clients, count, size):
    head = b"GET / HTTP/1.1\r\nHost: a\r\n" + b"a:\r\n" * (size // 4) + b"\r\n"
    n_heads_by_turn = Counter()
    to_request = RequestReader.to_request

    def count_head(self, head):
        n_heads_by_turn[context.counter.n_turns] += 1
        return to_request(self, head)

    async def work():
        context.counter.count()
        opened = [
            await asyncio.open_connection(*context.address) for _ in range(n_clients)
        ]
        for _, writer in opened:
            writer.write(head * count)
        async with asyncio.timeout(TIMEOUT_S):
            for reader, writer in opened:
                for _ in range(count):
                    await reader.readuntil(b"}\n")
                writer.close()

    with patch.object(RequestReader, "to_request", count_head):
        context.asyncio_runner.run(work())
    context.n_heads_by_turn = n_heads_by_turn


@then("at most {at_most:d} heads are handled in one turn of the event loop")
def check_heads(context, at_most):
    assert sum(context.n_heads_by_turn.values()) > 0
    assert max(context.n_heads_by_turn.values()) <= at_most, context.n_heads_by_turn


@then("the body has {length:d} bytes")
def check_length(context, length):
    assert sum(context.counter.n_bytes_by_turn.values()) == length


@then("the event loop had a turn for each {at_most:d} chunks at least")
def check_turns(context, at_most):
    most = max(context.counter.n_bytes_by_turn.values()) / context.size
    assert most <= at_most, f"{most:.0f} chunks in one turn"
