"""Steps of the feature on the parts by which hosts hear news of the store."""

from __future__ import annotations

import asyncio

from behave import given, then, when

from damaskjunction.core import (
    Address,
    EntryHost,
    LoopTimers,
    ManualTimers,
    RequestError,
)
from damaskjunction.gateway.kind_state import KindState
from damaskjunction.gateway.news_feed import NewsFeed, decode_news
from damaskjunction.gateway.store_news import StoreNews
from damaskjunction.node import HostView, PeerHandlers
from damaskjunction.platform import ObjectChange, PlatformObject, StoreReply
from damaskjunction.wire import KindSeen, NewsAsk, NoNews, PeerLinks


def make_object(name, revision):
    return PlatformObject("kind", name, revision, {})


@given('a state of a kind with "{name}" as of revision {revision:d}')
def make_state(context, name, revision):
    context.known = set()

    def take_all(objects):
        context.known = {stored.name for stored in objects}

    def take_change(change):
        context.known.add(change.object.name)

    context.state = KindState("kind", take_all, take_change)
    context.state.replace_all((make_object(name, revision),), revision)


@when('all objects are "{name}" as of revision {revision:d}')
def take_whole(context, name, revision):
    context.state.replace_all((make_object(name, revision),), revision)


@when('"{name}" is added as of revision {revision:d}')
def add(context, name, revision):
    change = ObjectChange(make_object(name, revision), False)
    context.state.apply_changes((change,), revision)


@then('"{names}" is known as of revision {revision:d}')
def check_known(context, names, revision):
    expected = set(names.split(","))
    assert context.known == expected, context.known
    told = {change.object.name for change in context.state.snapshot().changes}
    assert told == expected, told
    assert context.state.revision == revision


# A source and its reader


def ask(context, revision, *, is_away):
    """Let a reader ask; collect what it is told until the first sign of life."""
    context.told, context.caught_up, context.refusal = [], [], None

    def catch_up(kind):
        context.caught_up.append(kind)
        if not is_away:
            context.state.replace_all((make_object("b", 8),), 8)

    async def reply(message):
        if isinstance(message, NoNews):
            raise asyncio.CancelledError
        context.told.append(decode_news(message))

    async def work():
        handlers = PeerHandlers()
        feed = NewsFeed(
            {"kind": context.state},
            LoopTimers(),
            is_proved=lambda: True,
            want=lambda: None,
            catch_up=catch_up,
        )
        feed.register(handlers)
        try:
            await handlers.handle(NewsAsk((KindSeen("kind", revision),)), reply)
        except asyncio.CancelledError:
            return
        except RequestError as error:
            context.refusal = error.reason

    context.asyncio_runner.run(work())


@when("a reader that knows revision {revision:d} asks for news")
def ask_well(context, revision):
    ask(context, revision, is_away=False)


@when("a reader that knows revision {revision:d} asks for news while the store is away")
def ask_away(context, revision):
    ask(context, revision, is_away=True)


@then(
    'the source reads the store, and tells "{name}" as of revision {revision:d} alone'
)
def check_told(context, name, revision):
    assert context.caught_up == ["kind"]
    told = [(n.revision, n.is_snapshot, n.changes[0].object.name) for n in context.told]
    assert told == [(revision, True, name)], told


@then("the source tells nothing and says that it lost the store")
def check_refused(context):
    assert not context.told
    assert context.refusal == "store_lost", context.refusal


# Proof that the store answers


class MutePath:
    """Answers the first probe alone."""

    def __init__(self):
        self.n_probes = 0

    async def probe(self):
        self.n_probes += 1
        if self.n_probes > 1:
            await asyncio.Event().wait()
        return StoreReply(200, b"")


@given("a host that has proved that the store answers")
def prove(context):
    address = Address("127.0.0.1", 1)
    own = EntryHost("h0", "r1", "d1", address, address, address)
    context.timers = ManualTimers()
    links = PeerLinks(context.timers)
    context.news = StoreNews([], HostView(own), links, MutePath(), context.timers)

    async def work():
        await context.news.start()
        await asyncio.sleep(0)
        await asyncio.sleep(0)

    context.asyncio_runner.run(work())


@when("the store gives no answer for {duration_s:g} s")
def pass_time(context, duration_s):
    async def work():
        context.timers.advance(duration_s)
        await asyncio.sleep(0)

    context.asyncio_runner.run(work())


@then("the host still claims to hear the store")
def check_claims(context):
    assert not context.news.has_lost_store


@then("the host claims it no more")
def check_claims_not(context):
    assert context.news.has_lost_store
    context.asyncio_runner.run(context.news.close())
