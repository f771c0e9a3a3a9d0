"""Steps for the links feature: both ends in one process, over loopback."""

from __future__ import annotations

import asyncio

from behave import given, then, when

from damaskjunction.core import LoopTimers, RequestError
from damaskjunction.routing import Token
from damaskjunction.standins import allocate_addresses
from damaskjunction.standins.scenarios import run
from damaskjunction.wire import PeerLinks, PeerServer

LANE = "online"


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


@given("a peer that answers each call with {count:d} replies")
def start_peer(context, count):
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
        context.peer = PeerServer(address, context.timers, answer)
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
