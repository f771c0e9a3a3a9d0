"""Steps of the feature on a host that is out of step with the others."""

from __future__ import annotations

import asyncio

from behave import given, then, when
from fleet_helpers import run
from platform_fleet import ENGINE
from stream_version_steps import (
    SETTLE_S,
    await_record,
    name_versions,
    named_versions,
    take_up,
)
from take_up_steps import silence_peers

from damaskjunction.core import PlatformUnavailableError
from damaskjunction.gateway.versions.version_registry import VERSIONS_KIND
from damaskjunction.standins import Mode


@given('the store names version "{version}" alone from the start')
def write_record(context, version):
    record = {"open_versions": [version], "closed_versions": [], "n_closings": 0}
    context.platform.store.put(VERSIONS_KIND, ENGINE, record)


@given('host "{name}" learns of no further change')
def stop_news(context, name):
    run(context, asyncio.sleep(SETTLE_S))
    host = context.platform.hosts[name]
    host.state._publish_runners = lambda: None
    news = host._version_registry.kind_state
    news._apply_all = news._apply_change = lambda change: None
    host._origin_keeper._told.record = lambda *origin: None


@given('host "{name}" learns of nothing and reaches no host')
def cut_from_hosts(context, name):
    silence_peers(context, name)
    stop_news(context, name)


@given('host "{name}" learns of nothing and reaches no store')
def cut_from_store(context, name):
    stop_news(context, name)
    context.platform.proxies[name].set_mode(Mode.SILENT)


@given('host "{name}" learns of nothing and reaches no host or store')
def cut_from_all(context, name):
    cut_from_hosts(context, name)
    cut_from_store(context, name)

    async def fail(call):
        raise PlatformUnavailableError("cut off")

    context.platform.hosts[name]._store._transport._relay = fail


@given('unknown to host "{host}" engines "{names}" of version "{version}" join')
def join_unknown(context, host, names, version):
    platform = context.platform
    stale = platform.hosts.pop(host)
    for name in names.split(","):
        work = platform.add_runner(
            name, ENGINE, version=version, n_events=context.n_events
        )
        run(context, work)
        name_versions(platform.runners[name])
    platform.hosts[host] = stale
    await_record(context, version)
    run(context, asyncio.sleep(SETTLE_S))
    assert stale._version_registry.may_begin(ENGINE, "v1")
    assert not stale._version_registry.is_mixed(ENGINE)


@given("another writer leaves an odd record of the versions")
@when("another writer leaves an odd record of the versions")
def write_odd_record(context):
    record = {"open_versions": ["v1"], "closed_versions": [{"version": "v0"}]}
    context.platform.store.put(VERSIONS_KIND, ENGINE, record)
    run(context, asyncio.sleep(SETTLE_S))


@then('the store names version "{version}" beside unknown ones')
def check_unknown_kept(context, version):
    await_record(context, version)
    assert "" in named_versions(context), named_versions(context)


@given('host "{name}" has a read of the versions under way')
def begin_read(context, name):
    registry = context.platform.hosts[name]._version_registry
    get = registry._store.get
    context.may_end_read = asyncio.Event()

    async def get_slowly(kind, object_name):
        stored = await get(kind, object_name)
        await context.may_end_read.wait()
        return stored

    async def begin():
        registry._store.get = get_slowly
        context.read = asyncio.ensure_future(registry.read_sole_version(ENGINE))
        await asyncio.sleep(SETTLE_S)
        registry._store.get = get

    run(context, begin())


@when(
    'the caller takes the stream up at "{host}" as "{request_id}" while that read ends'
)
def take_up_while_read_ends(context, host, request_id):
    context.take_up_id = request_id

    async def work():
        answer = asyncio.ensure_future(take_up(context, host, request_id))
        await asyncio.sleep(0.02)
        context.may_end_read.set()
        context.answers.append(await answer)
        await context.read

    run(context, work())
