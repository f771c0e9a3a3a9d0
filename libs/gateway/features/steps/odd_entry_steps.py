"""Steps of the feature on odd entries among those that a host follows."""

from __future__ import annotations

import base64
import copy
import json
from types import SimpleNamespace

from behave import given, then, when
from fake_homes import make_host
from fake_store import FakeStore
from fleet_helpers import run
from platform_fleet import PLAIN, make_configuration, make_route

from damaskjunction.core import MalformedError, ManualTimers
from damaskjunction.gateway.jobs.job_repository import JobRepository
from damaskjunction.gateway.runners.suspect_registry import SuspectRegistry
from damaskjunction.gateway.state import ServingState
from damaskjunction.gateway.store.change_feed_server import decode_changes
from damaskjunction.gateway.store.host_registry import HostRegistry
from damaskjunction.gateway.store.kind_state import KindState
from damaskjunction.gateway.versions.version_registry import VersionRegistry
from damaskjunction.node import HostView
from damaskjunction.platform import ObjectChange, PlatformObject, without_items
from damaskjunction.routing import LeavingRunners
from damaskjunction.telemetry import Metrics
from damaskjunction.wire import KindNews

ENTRY = b'{"Service":"api","Addr":"%s","Zone":"z1","Slots":%s,"State":"ready"}'
DEEP = b"[" * 100_000 + b"]" * 100_000
TEXTS = {
    "a list nested 100000 deep": DEEP,
    "an entry with 5000 digits": ENTRY % (b"127.0.0.1:80", b"1" * 5000),
    "an entry with the port 70000": ENTRY % (b"127.0.0.1:70000", b"8"),
    'an entry with the address "a..b"': ENTRY % (b"a..b:80", b"8"),
    "bytes that are no UTF-8": b'"\xff\xfe"',
    "text that is no JSON": b"{,:}",
}
KINDS = (
    "config",
    "servers",
    "system-hosts",
    "system-versions",
    "system-suspects",
    "batch-jobs",
    "batch-results",
    "retirements",
)


@when('the entry of the runner "{name}" is written as {text}')
def write_entry(context, name, text):
    context.platform.store.put_text("servers", name, TEXTS[text])


@when('the entry of the runner "{name}" is sound again')
def write_sound_entry(context, name):
    context.platform.runners[name].register_in_store("ready")


@when("odd entries are written among those of all kinds")
def write_everywhere(context):
    for kind in KINDS:
        for number, text in enumerate(TEXTS.values()):
            context.platform.store.put_text(kind, f"odd{number}", text)


@then('each host knows the runners "{names}" alone')
def check_known(context, names):
    expected = set(names.split(","))
    run(
        context,
        context.platform.wait_for(
            lambda: all(
                set(host.view.fleet.runners_by_id) == expected
                for host in context.platform.hosts.values()
            )
        ),
    )


async def restart(platform, name):
    await platform.kill_host(name)
    await platform.start_host(name)
    await platform.wait_for(lambda: platform.hosts[name].view.is_ready)
    assert await platform.fetch_readiness(name) == 200


@when('the host "{name}" starts again')
def restart_host(context, name):
    run(context, restart(context.platform, name))


@when('the host "{name}" starts again, and the host "{other}" after it')
def restart_hosts(context, name, other):
    run(context, restart(context.platform, name))
    run(context, restart(context.platform, other))


# Jobs of callers

ITEM = {
    "Id": "i1",
    "Path": "/night/x",
    "Headers": {"X-Model": "m"},
    "Body": base64.b64encode(b"x").decode(),
    "Tokens": 7,
}
ODD_PARTS = (
    ("Id", b'"a\\r\\nb"'),
    ("Path", b'"/n 1"'),
    ("Headers", b'{"X-Model":"a\\r\\nb"}'),
    ("Headers", b'{"X-Model":"\\ud800"}'),
    ("Body", b'"***"'),
    ("Tokens", b"1" * 5000),
    ("Tokens", b"1e999"),
    ("Tokens", DEEP),
)


@when('a job with an odd item is submitted at "{host}", one for each odd part')
def submit_odd_jobs(context, host):
    async def work():
        for number, (key, odd) in enumerate(ODD_PARTS):
            text = json.dumps({"Items": [{**ITEM, key: "odd part"}]}).encode()
            body = text.replace(b'"odd part"', odd)
            name = f"odd{number}"
            call = context.platform.call
            reply = await call(host, "POST", "/night/", body=body, request_id=name)
            context.statuses.append(reply.status)

    context.statuses = []
    run(context, work())


@then("each of these is refused with status {status:d}")
def check_refused(context, status):
    assert context.statuses == [status] * len(ODD_PARTS), context.statuses


# Changes that a peer relays


def make_changes(middle):
    first, last = (b'["%s",4,{"a":1},null,false]' % name for name in (b"r1", b"r3"))
    entries = b"[%s,%s,%s]" % (first, middle, last)
    return KindNews("servers", 9, True, -1.0, entries)


@given('a relayed change of "r2", {text}, between sound ones of "r1" and "r3"')
def make_odd_content(context, text):
    context.update = make_changes(b'["r2",4,%s,null,false]' % TEXTS[text])


@given('a relayed change {text} between sound ones of "r1" and "r3"')
def make_odd_change(context, text):
    context.update = make_changes(text.encode())


@then('the changes of "r1" and "r3" are decoded, and "r2" has no content')
def check_contents(context):
    changes = decode_changes(context.update).changes
    found = [(change.object.name, change.object.content) for change in changes]
    assert found == [("r1", {"a": 1}), ("r2", None), ("r3", {"a": 1})], found


@then('only the changes of "r1" and "r3" are decoded')
def check_rest(context):
    changes = decode_changes(context.update).changes
    assert [change.object.name for change in changes] == ["r1", "r3"], changes


@when("relayed changes are {text}")
def make_malformed(context, text):
    context.update = KindNews("servers", 9, True, -1.0, text.encode())


@then("they are refused as malformed")
def check_malformed(context):
    try:
        decode_changes(context.update)
    except MalformedError:
        return
    raise AssertionError("the changes were decoded")


# Owners of a kind

ODD_VALUES = (
    None,
    True,
    False,
    -1,
    0,
    1.5,
    1e308,
    2**63 - 1,
    "",
    "\0",
    "a\r\nb",
    "x" * 80,
    "a..b:80",
    "10.0.0.1:70000",
    [],
    [None],
    {},
    {"": None},
)


class Owner:
    """What follows a kind, a sound content, and which of its objects are known."""

    def __init__(self, state, sound, known, name="n1"):
        self.state = state
        self.sound = sound
        self.known = known
        self.name = name


def make_state():
    view = HostView(make_host(1, "own"))
    return ServingState(view, ManualTimers(), {}, LeavingRunners())


def make_runners():
    serving = make_state()
    state = KindState("servers", serving.replace_runners, serving.apply_runner_change)
    sound = json.loads(ENTRY % (b"127.0.0.1:80", b"8"))
    return Owner(state, sound, lambda: serving.view.fleet.runners_by_id)


def make_configurations():
    serving = make_state()
    state = KindState(
        "config", serving.apply_configurations, serving.apply_configuration_change
    )
    route = make_route("a", "/a/", "idempotent", PLAIN, TimeoutMs=1000)
    sound = make_configuration(1, [route])

    def known():
        return ["main"] if serving.table.version else []

    return Owner(state, sound, known, "main")


def make_hosts():
    known = set()

    def apply_host_list(hosts):
        known.clear()
        known.update(host.host_id for host in hosts)

    membership = SimpleNamespace(apply_host_list=apply_host_list)
    view = SimpleNamespace(apply_powers=lambda powers: None)
    own = make_host(7, "own")
    registry = HostRegistry(FakeStore(), own, membership, view, 2.0)
    sound = {
        "region": "r1",
        "data_centre": "z1",
        "caller": "10.0.0.1:1",
        "peer": "10.0.0.1:2",
        "probe": "10.0.0.1:3",
        "n_cores": 2.0,
    }
    return Owner(registry.state, sound, lambda: known)


def make_versions():
    serving = make_state()
    timers = ManualTimers()
    registry = VersionRegistry(FakeStore(), serving, timers, Metrics())
    sound = {
        "open_versions": ["v1"],
        "closed_versions": [{"version": "v0", "closing": 1}],
        "n_closings": 1,
    }

    def known():
        document = registry.to_document()
        return [name for name in document if document[name]["record"] is not None]

    return Owner(registry.kind_state, sound, known)


def make_suspects():
    timers = ManualTimers()
    registry = SuspectRegistry(FakeStore(), timers, Metrics(), origin="own")
    sound = {
        "service": "n1",
        "traits": ["t1"],
        "crash_ids": ["c1", "c2", "c3"],
        "last_crash_wall_s": timers.wall(),
    }

    def known():
        document = registry.to_document()
        return [name for name in document if document[name]]

    return Owner(registry.state, sound, known)


def make_jobs():
    jobs = JobRepository(FakeStore())
    state = KindState("batch-jobs", jobs.replace_all, jobs.apply_change, without_items)
    sound = {
        "route": "night",
        "host": "x",
        "sent_at_s": 5.0,
        "item_ids": ["i1"],
        "tokens": [7],
        "n_parts": 0,
        "owner": "h1",
        "items": [],
    }
    return Owner(state, sound, lambda: jobs.jobs_by_id)


OWNERS = {
    "runners": make_runners,
    "configuration": make_configurations,
    "hosts": make_hosts,
    "software versions": make_versions,
    "suspects": make_suspects,
    "jobs": make_jobs,
}


def variants(value, odd):
    """Yield copies of a document, each with another part replaced by an odd value."""
    yield odd
    children = ()
    if isinstance(value, dict | list):
        children = value.items() if isinstance(value, dict) else enumerate(value)
    for key, child in children:
        for variant in variants(child, odd):
            changed = copy.copy(value)
            changed[key] = variant
            yield changed
    if isinstance(value, dict):
        for key in value:
            yield {k: v for k, v in value.items() if k != key}


@given("the {owner} that follows a kind of objects")
def make_owner(context, owner):
    context.make_owner = OWNERS[owner]


@when("each part of an object is replaced by each odd value, beside a sound one")
def apply_variants(context):
    context.unknown = []
    sound = context.make_owner().sound
    for odd in ODD_VALUES:
        for content in variants(sound, odd):
            for is_listed in (True, False):
                owner = context.make_owner()
                apply_beside(owner, content, is_listed)
                if owner.name not in owner.known():
                    context.unknown.append((content, is_listed))


def apply_beside(owner, content, is_listed):
    kind = owner.state.kind
    objects = (
        PlatformObject(kind, "a", 1, content),
        PlatformObject(kind, owner.name, 2, owner.sound),
        PlatformObject(kind, "z", 3, content),
    )
    if is_listed:
        owner.state.replace_all(objects, 3)
        return
    changes = tuple(ObjectChange(stored, False) for stored in objects)
    owner.state.apply_changes(changes, 3)


@then("each time the sound one is known, from a list and from a watch")
def check_sound(context):
    assert not context.unknown, (len(context.unknown), context.unknown[:3])
