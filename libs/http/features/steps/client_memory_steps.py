"""Steps on the bounds on what clients make a process hold."""

from __future__ import annotations

import asyncio
import socket
from collections import Counter

from behave import given, then, when

from damaskjunction.core import MemoryAccount
from damaskjunction.core.units import KIB
from damaskjunction.http import ClientGuard, HttpError
from damaskjunction.http.client_connections import ClientConnections
from damaskjunction.http.client_memory import ClientMemory

NOW_S = 100.0
REQUEST = b"GET /wait HTTP/1.1\r\nHost: a\r\n\r\n"
SEND_TIMEOUT_S = 0.5


def numbers(text):
    return [float(part) for part in text.split(",")]


@given("room for {limit:d} KB, of which clients hold {held} KB since {ages} s")
def make_memory(context, limit, held, ages):
    context.now_s = 0.0
    context.account = MemoryAccount(1000 * limit * KIB)
    part = context.account.open_part("clients", limit * KIB)
    context.memory = ClientMemory(lambda: context.now_s, part)
    context.dropped, context.holdings = [], []
    for number, size in enumerate(numbers(held), 1):
        context.now_s = NOW_S - numbers(ages)[number - 1]
        holding = context.memory.open(lambda n=number: context.dropped.append(str(n)))
        holding.resize(int(size) * KIB)
        context.holdings.append(holding)
    context.now_s = NOW_S


@given("room for {limit:d} KB of all parts together, of which others hold {held:d} KB")
def limit_all(context, limit, held):
    context.account.limit_bytes = limit * KIB
    context.account.open_part("others", limit * KIB).change(held * KIB)


@when("what they hold is in use")
def fix(context):
    for holding in context.holdings:
        holding.fix()


@when("what they hold ends, and is resized to {size:d} KB after that")
def end_and_resize(context, size):
    for holding in context.holdings:
        holding.close()
        holding.resize(size * KIB)


@when("an upload asks for {asked:d} KB")
def ask(context, asked):
    upload = context.memory.open(lambda: None)
    try:
        upload.request(asked * KIB)
    except HttpError as error:
        assert error.status == 503 and error.extra["retry_after_s"] > 0, error
        context.decision = "refused"
    else:
        context.decision = "kept"


@then("the upload is {decision}; dropped are the clients {dropped}")
def check_upload(context, decision, dropped):
    assert context.decision == decision, context.decision
    assert (",".join(context.dropped) or "none") == dropped, context.dropped


@then("it is {decision}, and dropped are the clients {dropped}")
def check(context, decision, dropped):
    check_upload(context, decision, dropped)
    assert context.memory.has_room()


@given("a guard of clients")
def make_guard(context):
    context.cuts_by_peer = Counter()

    def count(peer, reason):
        context.cuts_by_peer[peer] += 1

    context.guard = ClientGuard(lambda: NOW_S, on_cut=count)


@when("{count:d} clients of different addresses are cut, each {times:d} times")
def cut_clients(context, count, times):
    for number in range(count * times):
        context.guard.report(f"10.0.0.{number % count}:{number}", "slow body")


@then(
    "{count:d} addresses are counted {times:d} times each, and the others {rest:d} "
    "times together"
)
def check_cuts(context, count, times, rest):
    counts = dict(context.cuts_by_peer)
    assert counts.pop("others") == rest, context.cuts_by_peer
    assert set(counts.values()) == {times} and len(counts) == count, counts


@given(
    "room for {limit:d} connections, that wait for their clients since {waits} s and "
    "have served {served} requests"
)
def make_connections(context, limit, waits, served):
    context.connections = ClientConnections(limit)
    context.evicted = []
    pairs = zip(waits.split(","), served.split(","), strict=True)
    for number, (wait, n_served) in enumerate(pairs, 1):
        since_s = None if wait == "no" else NOW_S - float(wait)
        context.connections.try_add(FakeConnection(context, number, since_s, n_served))


class FakeConnection:
    """A connection that records its eviction."""

    def __init__(self, context, number, waits_since_s, n_served):
        self.waits_since_s = waits_since_s
        self.n_served = int(n_served)
        self.evict = lambda: context.evicted.append(str(number))


@when("another connection comes")
def connect(context):
    newcomer = FakeConnection(context, 0, NOW_S, 0)
    context.is_added = context.connections.try_add(newcomer)


@then("the connection that makes room is {evicted}")
def check_evicted(context, evicted):
    assert (",".join(context.evicted) or "none") == evicted, context.evicted
    assert context.is_added is bool(context.evicted)


@when("a client sends {size_kb:d} KB of requests ahead")
def send_ahead(context, size_kb):
    context.client = socket.create_connection(context.address, SEND_TIMEOUT_S)
    context.client.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4 * KIB)
    context.n_sent = 0
    context.asyncio_runner.run(send_until_stuck(context, size_kb * KIB))


async def send_until_stuck(context, n_bytes):
    loop = asyncio.get_running_loop()
    context.client.setblocking(False)
    piece = REQUEST * 1000
    try:
        async with asyncio.timeout(SEND_TIMEOUT_S) as timeout:
            while context.n_sent < n_bytes:
                await loop.sock_sendall(context.client, piece)
                context.n_sent += len(piece)
                timeout.reschedule(loop.time() + SEND_TIMEOUT_S)
    except TimeoutError:
        return


@then("the server has taken less than {size_kb:d} KB of them")
def check_taken(context, size_kb):
    assert context.n_sent < size_kb * KIB, context.n_sent


@when("that client disconnects")
def disconnect(context):
    context.client.close()
