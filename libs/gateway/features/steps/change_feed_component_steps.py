"""Steps of the feature on the components of the change feed of the store."""

from __future__ import annotations

import asyncio
import json
import random
import time
from types import SimpleNamespace

from behave import given, then, when

from damaskjunction.core import (
    Address,
    EntryHost,
    LoopTimers,
    ManualTimers,
    Outcome,
    RequestError,
)
from damaskjunction.gateway.store.change_feed import ChangeFeed
from damaskjunction.gateway.store.change_feed_server import (
    ChangeFeedServer,
    decode_changes,
)
from damaskjunction.gateway.store.followed_kinds import followed_kinds
from damaskjunction.gateway.store.kind_follower import KindFollower
from damaskjunction.gateway.store.kind_state import KindState
from damaskjunction.gateway.store.startup_snapshot import STARTUP_DELAY_S
from damaskjunction.gateway.store.store_contact import StoreContact
from damaskjunction.node import HostView, PeerHandlers
from damaskjunction.platform import (
    DirectTransport,
    ObjectChange,
    ObjectChanges,
    ObjectPage,
    PlatformObject,
    StoreClient,
    StoreReply,
)
from damaskjunction.wire import KindSeen, NewsAsk, NoNews, PeerLinks


def make_object(name, revision):
    return PlatformObject("kind", name, revision, {})


@given('a state of a kind with "{name}" as of revision {revision:d}')
def make_state(context, name, revision):
    context.known = set()

    def apply_all(objects):
        context.known = {stored.name for stored in objects}

    def apply_change(change):
        context.known.add(change.object.name)

    context.state = KindState("kind", apply_all, apply_change)
    context.state.replace_all((make_object(name, revision),), revision)


@when('all objects are "{name}" as of revision {revision:d}')
def apply_snapshot(context, name, revision):
    context.state.replace_all((make_object(name, revision),), revision)


@when('"{name}" is added as of revision {revision:d}')
def add_object(context, name, revision):
    change = ObjectChange(make_object(name, revision), False)
    context.state.apply_changes((change,), revision)


@then('"{names}" is known as of revision {revision:d}')
def check_known(context, names, revision):
    expected = set(names.split(","))
    assert context.known == expected, context.known
    names_in_snapshot = {
        change.object.name for change in context.state.snapshot().changes
    }
    assert names_in_snapshot == expected, names_in_snapshot
    assert context.state.revision == revision


# A source and its reader


def request_feed(context, revision, *, is_store_down, is_known=False):
    """Request the feed; collect the changes sent before the first heartbeat."""
    context.sent, context.caught_up, context.refusal = [], [], None

    def catch_up(kind):
        context.caught_up.append(kind)
        if not is_store_down:
            context.state.replace_all((make_object("b", 8),), 8)

    async def reply(message):
        if isinstance(message, NoNews):
            raise asyncio.CancelledError
        context.sent.append(decode_changes(message))

    async def work():
        handlers = PeerHandlers()
        feed = ChangeFeedServer(
            {"kind": context.state},
            StoreContact(LoopTimers()),
            LoopTimers(),
            is_store_live=lambda: not is_known,
            is_store_lost=lambda: is_known,
            request_watch=lambda: None,
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


@when("a reader that knows revision {revision:d} requests the feed")
def request_from_reachable_store(context, revision):
    request_feed(context, revision, is_store_down=False)


@when(
    "a reader that knows revision {revision:d} requests the feed during a store outage"
)
def request_during_outage(context, revision):
    request_feed(context, revision, is_store_down=True)


@when(
    "a reader that knows revision {revision:d} requests the feed of a source without "
    "the store"
)
def request_from_lost_store(context, revision):
    context.state = KindState("kind", lambda objects: None, lambda change: None)
    began_at_s = time.monotonic()
    request_feed(context, revision, is_store_down=True, is_known=True)
    context.took_s = time.monotonic() - began_at_s


@then("the source reports that it lost the store within {limit_s:g} s")
def check_refused_soon(context, limit_s):
    check_refused(context)
    assert context.took_s <= limit_s, context.took_s


@then('the source reads the store, and sends only "{name}" as of revision {revision:d}')
def check_sent(context, name, revision):
    assert context.caught_up == ["kind"]
    sent = [(n.revision, n.is_snapshot, n.changes[0].object.name) for n in context.sent]
    assert sent == [(revision, True, name)], sent


@then("the source sends no changes and reports that it lost the store")
def check_refused(context):
    assert not context.sent
    assert context.refusal == "store_lost", context.refusal


# Proof that the store responds


class SilentTransport:
    """Responds to the first probe only."""

    def __init__(self):
        self.n_probes = 0

    async def probe(self):
        self.n_probes += 1
        if self.n_probes > 1:
            await asyncio.Event().wait()
        return StoreReply(200, b"")


@given("a host that has proved that the store responds")
def prove_store_responds(context):
    address = Address("127.0.0.1", 1)
    own = EntryHost("h0", "r1", "d1", address, address, address)
    context.timers = ManualTimers()
    links = PeerLinks(context.timers)
    context.change_feed = ChangeFeed(
        [],
        HostView(own),
        links,
        SilentTransport(),
        context.timers,
        contact=StoreContact(context.timers),
        drain_s=2.0,
        rng=random.Random(1),
    )

    async def work():
        await context.change_feed.start()
        await asyncio.sleep(STARTUP_DELAY_S + 0.1)  # then it watches the store

    context.asyncio_runner.run(work())


@when("{duration_s:g} s pass without a response from the store")
def pass_time(context, duration_s):
    async def work():
        context.timers.advance(duration_s)
        await asyncio.sleep(0)

    context.asyncio_runner.run(work())


@then("the host does not report the store as lost")
def check_store_not_lost(context):
    assert not context.change_feed.has_lost_store


@then("the host reports the store as lost")
def check_store_lost(context):
    assert context.change_feed.has_lost_store
    context.asyncio_runner.run(context.change_feed.close())


# A follower of the store


class OnceFailing:
    """The calls and changes that a follower meets, one of which fails once."""

    def __init__(self, failing):
        self.failing = failing
        self.known = set()
        self.added = asyncio.Event()
        self.n_lists = 0

    def _fail_once(self, what):
        if self.failing == what:
            self.failing = ""
            raise KeyError(what)

    async def list_all(self, kind):
        self.n_lists += 1
        self._fail_once("list")
        objects = (make_object("b", 8),) if self.added.is_set() else ()
        return ObjectPage(objects, "", 8 if objects else 5)

    async def watch(self, kind, *, since, wait_s):
        self._fail_once("watch")
        await self.added.wait()
        if since >= 8:
            await asyncio.Event().wait()
        return ObjectChanges((ObjectChange(make_object("b", 8), False),), 8)

    def apply_all(self, objects):
        self.known = {stored.name for stored in objects}

    def apply_change(self, change):
        self._fail_once("change")
        self.known.add(change.object.name)


@given("a follower of the kind whose {what} fails unexpectedly once")
def make_follower(context, what):
    async def work():
        store = context.store = OnceFailing(what)
        state = KindState("kind", store.apply_all, store.apply_change)
        rng = random.Random(1)
        context.follower = KindFollower(store, state, rng=rng, watch_wait_s=1.0)
        await context.follower.start()
        await asyncio.sleep(0.01)

    context.asyncio_runner.run(work())


@when("it takes a snapshot and follows the store from there")
def follow_from_snapshot(context):
    async def work():
        await context.follower.close()
        context.store.n_lists = 0
        await context.follower.take_snapshot()
        await context.follower.start()

    context.asyncio_runner.run(work())


@then("it has listed all objects {count:d} time in all")
def check_lists(context, count):
    assert context.store.n_lists == count, context.store.n_lists


@when('"{name}" is added to the store')
def add_to_store(context, name):
    context.store.added.set()


@then('the follower knows "{name}"')
def check_followed(context, name):
    async def work():
        for _ in range(200):
            if name in context.store.known:
                return
            await asyncio.sleep(0.01)
        raise AssertionError(context.store.known)

    context.asyncio_runner.run(work())
    assert context.follower.is_current


# The start of a host


class RecordingFollower:
    """A follower that counts what it is asked to do."""

    def __init__(self):
        self.state = KindState("kind", lambda objects: None, lambda change: None)
        self.is_current = True
        self.n_snapshots = self.n_starts = 0

    async def take_snapshot(self):
        self.n_snapshots += 1

    async def start(self):
        self.n_starts += 1

    async def close(self):
        pass


class AnsweringTransport:
    """Responds to each probe."""

    async def probe(self):
        return StoreReply(200, b"")


class SilentLinks:
    """Links to hosts that do not respond."""

    async def call(self, address, lane, message, *, keepalive):
        await asyncio.Event().wait()
        yield message


class LostLinks:
    """Links to hosts that have all lost the store."""

    async def call(self, address, lane, message, *, keepalive):
        raise RequestError(Outcome.NOT_RUN, "store_lost")
        yield message


class RecordingContact(StoreContact):
    """Counts the failures that it is told of."""

    n_failures = 0

    def record_failure(self):
        super().record_failure()
        self.n_failures += 1


async def start_feed(context, hosts, links=None):
    address = Address("127.0.0.1", 1)
    own = EntryHost("h0", "r1", "d1", address, address, address)
    view = HostView(own)
    view.serving_hosts = lambda: [own._replace(host_id=name) for name in hosts]
    timers = LoopTimers()
    context.follower = RecordingFollower()
    context.contact = RecordingContact(timers)
    feed = ChangeFeed(
        [context.follower],
        view,
        links or SilentLinks(),
        AnsweringTransport(),
        timers,
        contact=context.contact,
        drain_s=2.0,
        rng=random.Random(1),
    )
    await feed.start()
    await asyncio.sleep(STARTUP_DELAY_S + 0.1)
    await feed.close()


@when("a host starts whose source is another one")
def start_beside_source(context):
    # Another host is the first source of h0 whenever there are some.
    others = [f"h{number}" for number in range(1, 30)]
    context.asyncio_runner.run(start_feed(context, others))


@when("a host starts whose source has lost the store")
def start_beside_lost_source(context):
    others = [f"h{number}" for number in range(1, 30)]
    context.asyncio_runner.run(start_feed(context, others, LostLinks()))


@then("it has seen the store fail")
def check_failure_seen(context):
    assert context.contact.n_failures > 0


@when("no other host serves")
def start_alone(context):
    context.asyncio_runner.run(start_feed(context, ["h0"]))


@then("it has listed all objects {count:d} time and not followed the store")
def check_snapshot_alone(context, count):
    counts = (context.follower.n_snapshots, context.follower.n_starts)
    assert counts == (count, 0), counts


@then("it has listed all objects {count:d} time and follows the store")
def check_following(context, count):
    counts = (context.follower.n_snapshots, context.follower.n_starts)
    assert counts == (count, 1), counts


class SilentWatchStore:
    """A store that answers lists, and nothing on the connection of the first watch."""

    def __init__(self):
        self.revision = 5
        self.has_watch = asyncio.Event()

    async def serve(self, reader, writer):
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                if b"Watch=" in head:
                    self.has_watch.set()
                    await asyncio.sleep(60.0)
                name = f"o{self.revision}"
                stored = {"Metadata": {"Name": name, "Revision": self.revision}}
                page = {"Items": [stored], "CurrentRev": self.revision}
                body = json.dumps(page).encode()
                head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body)
                writer.write(head + body)
        except (OSError, asyncio.IncompleteReadError):
            return  # the follower has closed its connection
        finally:
            writer.close()


@given("a store that answers a list, and falls silent on the connection of a watch")
def make_silent_store(context):
    async def work():
        context.silent_store = SilentWatchStore()
        context.server = await asyncio.start_server(
            context.silent_store.serve, "127.0.0.1", 0
        )
        address = Address(*context.server.sockets[0].getsockname())
        context.transport = DirectTransport(address, LoopTimers())
        context.client = StoreClient(context.transport)
        context.has_change = asyncio.Event()

        def apply_all(objects):
            if [stored.name for stored in objects] == ["o6"]:
                context.has_change.set()

        context.state = KindState("kind", apply_all, lambda change: None)

    context.asyncio_runner.run(work())


def watch_wait_s(kind):
    """Return the wait of the watches with which a host follows a kind."""
    unused = SimpleNamespace(
        replace_runners=None,
        apply_runner_change=None,
        apply_configurations=None,
        apply_configuration_change=None,
        replace_all=None,
        apply_change=None,
    )
    kinds = ("configuration", "runners", "hosts", "suspects", "versions", "jobs")
    followed = followed_kinds(unused, unused, hosts=None, suspects=None, versions=None)
    return dict(zip(kinds, followed, strict=True))[kind].watch_wait_s


@when("a change of {kind} is made just after that")
def change_unseen(context, kind):
    async def work():
        context.follower = KindFollower(
            context.client,
            context.state,
            rng=random.Random(1),
            watch_wait_s=watch_wait_s(kind),
        )
        await context.follower.start()
        async with asyncio.timeout(5.0):
            await context.silent_store.has_watch.wait()
        context.silent_store.revision = 6

    context.asyncio_runner.run(work())


@then("the follower knows it within {limit_s:g} s")
def check_follower_knows(context, limit_s):
    async def work():
        async with asyncio.timeout(limit_s):
            await context.has_change.wait()
        await context.follower.close()
        context.transport.close()
        context.server.close()

    context.asyncio_runner.run(work())
