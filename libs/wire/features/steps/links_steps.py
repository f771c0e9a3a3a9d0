"""Steps for the links feature: both ends in one process, over loopback."""

from __future__ import annotations

import asyncio
import itertools
import socket
import time
from collections import Counter
from unittest.mock import patch

from behave import given, then, when

from damaskjunction.core import LoopTimers, MemoryPart, RequestError
from damaskjunction.core.units import KIB
from damaskjunction.http import ClientGuard
from damaskjunction.routing import Token
from damaskjunction.standins import allocate_addresses
from damaskjunction.standins.scenarios import run
from damaskjunction.wire import Frame, PeerLinks, PeerServer, encode_message
from damaskjunction.wire import channel as wire_channel
from damaskjunction.wire.channel import Channel, Operation, frame_bytes

LANE = "online"
CLOSE_TIMEOUT_S = 20.0
READ_BYTES = 65536
SMALL_BUFFER_BYTES = 4096
POLL_S = 0.02


class CountingTimers(LoopTimers):
    """Timers that count the pending subscriptions."""

    def __init__(self):
        super().__init__()
        self.subscriptions = []

    def once(self, delay_s, callback):
        subscription = super().once(delay_s, callback)
        self.subscriptions.append(subscription)
        return subscription

    def every(self, interval_s, callback):
        subscription = super().every(interval_s, callback)
        self.subscriptions.append(subscription)
        return subscription

    def n_pending(self):
        return sum(not entry.is_cancelled for entry in self.subscriptions)


@given("a peer that has {room_kb:d} KB for all that it holds")
def start_peer_with_room(context, room_kb):
    guard = ClientGuard(time.monotonic, memory=MemoryPart(room_kb * KIB))
    start_peer(context, 1, guard)


@given("a peer that answers each call with {count:d} replies")
def start_peer(context, count, guard=None):
    context.n_sent_by_name = {}
    context.n_running = 0

    async def answer(message, reply):
        context.n_running += 1
        try:
            for number in range(count):
                await reply(Token(message.attempt, number, message.text))
                context.n_sent_by_name[message.text] = number + 1
        finally:
            context.n_running -= 1

    async def start():
        (address,) = allocate_addresses(1)
        context.timers = CountingTimers()
        context.peer = PeerServer(address, context.timers, answer, guard=guard)
        context.links = PeerLinks(context.timers)
        context.address = address
        await context.peer.start()

    async def stop():
        context.links.close()
        await context.peer.close()
        await asyncio.sleep(0)

    run(context, start())
    context.stop = stop


def call(context, name):
    return context.links.call(context.address, LANE, Token(1, 0, name))


async def read_all(replies):
    return [reply.position async for reply in replies]


@when("a call is made and {count:d} reply of it is read")
def read_first_replies(context, count):
    context.slow = call(context, "slow")
    context.positions = [run(context, anext(context.slow)).position]


@when("another call on the same link is read to the end")
def read_other(context):
    positions = run(context, read_all(call(context, "quick")))
    assert positions == list(range(5000))


@when("a call is begun that is kept alive by its replies")
def begin_call_without_pings(context):
    token = Token(1, 0, "slow")
    context.slow = context.links.call(context.address, LANE, token, keepalive=False)
    context.positions = [run(context, anext(context.slow)).position]


@then("the calling end sends no pings")
def check_no_pings(context):
    own = [s for s in context.timers.subscriptions if s.interval_s is not None]
    pending = [s for s in own if not s.is_cancelled]
    assert len(pending) == 1, pending  # that of the peer, in the same process


@when("a call is read to the end")
def read_to_end(context):
    run(context, read_all(call(context, "quick")))


@then("at most {bound:d} replies of the slow call were sent")
def check_bound(context, bound):
    assert context.n_sent_by_name["slow"] <= bound, context.n_sent_by_name


@when("the rest of the slow call is read")
def read_rest(context):
    context.positions += run(context, read_all(context.slow))


@then("it has {count:d} replies")
def check_positions(context, count):
    assert context.positions == list(range(count)), len(context.positions)


@when("the call is abandoned")
def abandon_call(context):
    run(context, context.slow.aclose())


@then("the peer has no call in progress")
def check_cancelled(context):
    run(context, context.peer.drain())
    assert context.n_running == 0, context.n_running


@when("a call of {size:d} bytes is made")
def call_large(context, size):
    try:
        run(context, read_all(call(context, "x" * size)))
    except RequestError as error:
        context.error = error


@then('that call fails with outcome "{outcome}" and reason "{reason}"')
def check_error(context, outcome, reason):
    assert context.error.outcome.value == outcome, context.error
    assert context.error.reason == reason, context.error


@then("only the idle close timer is pending")
def check_timers(context):
    run(context, context.peer.drain())
    assert context.timers.n_pending() == 1, context.timers.n_pending()


@when("calls of the ids {first:d}, {second:d} and {third:d} are sent on one connection")
def send_calls(context, first, second, third):
    body = encode_message(Token(1, 0, "x"))
    frames = [
        frame_bytes(Frame(number, Operation.CALL, Token.__name__, body))
        for number in (first, second, third)
    ]

    async def work():
        reader, writer = await asyncio.open_connection(*context.address)
        writer.write(b"".join(frames))
        async with asyncio.timeout(CLOSE_TIMEOUT_S):
            while await reader.read(READ_BYTES):
                pass
        writer.close()
        return True

    context.is_closed = run(context, work())


@then("that connection is closed")
def check_closed(context):
    assert context.is_closed


@when("{count:d} pings are sent on one connection at once")
def send_pings(context, count):
    pongs_by_turn = Counter()
    turn = itertools.count()
    number = [next(turn)]

    def count_turn():
        number[0] = next(turn)
        asyncio.get_running_loop().call_soon(count_turn)

    def send(self, frame):
        pongs_by_turn[number[0]] += frame.operation == Operation.PONG
        send_frame(self, frame)

    async def work():
        count_turn()
        _, writer = await asyncio.open_connection(*context.address)
        writer.write(frame_bytes(Frame(0, Operation.PING)) * count)
        async with asyncio.timeout(CLOSE_TIMEOUT_S):
            while sum(pongs_by_turn.values()) < count:  # noqa: ASYNC110 - a turn each
                await asyncio.sleep(0)
        writer.close()

    send_frame = Channel.send
    with patch.object(wire_channel.Channel, "send", send):
        run(context, work())
    context.pongs_by_turn = pongs_by_turn


@then("at most {count:d} of them are answered in one turn of the event loop")
def check_pongs(context, count):
    most = max(context.pongs_by_turn.values())
    assert most <= count, most


@when("{count:d} pings are sent on one connection, and no answer is read")
def send_unread_pings(context, count):
    pings = frame_bytes(Frame(0, Operation.PING)) * count

    async def work():
        client = socket.socket()
        client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
        client.setblocking(False)
        loop = asyncio.get_running_loop()
        try:
            await loop.sock_connect(client, context.address)
            async with asyncio.timeout(CLOSE_TIMEOUT_S):
                await loop.sock_sendall(client, pings)
                return await wait_until_reset(client)
        except ConnectionError:
            return True
        finally:
            client.close()

    context.is_closed = run(context, work())


async def wait_until_reset(client):
    """Return whether the peer resets a connection on which nothing is read."""
    while not client.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):  # noqa: ASYNC110
        await asyncio.sleep(POLL_S)
    return True
