"""Steps of the features on the software versions of streams."""

from __future__ import annotations

import asyncio

from behave import given, then, when
from fleet_helpers import received, run
from platform_fleet import (
    ENGINE,
    PLAIN,
    POLL_S,
    ROUTES,
    event_ids,
    make_configuration,
)

from damaskjunction.core import stable_hash
from damaskjunction.gateway.versions.version_registry import VERSIONS_KIND
from damaskjunction.standins import Mode

SETTLE_S = 0.3
MAX_WAIT_S = 5.0


@given('engines "{names}" of version "{version}" with {n_events:d} events')
@given('engines "{names}" of version "" with {n_events:d} events')
def add_engines(context, names, n_events, version=""):
    for name in names.split(","):
        options = {"version": version, "n_events": n_events}
        run(context, context.platform.add_runner(name, ENGINE, **options))
        name_versions(context.platform.runners[name])
    context.n_events = n_events


def name_versions(runner):
    runner.event_text = lambda number, body: f"token {number} of {runner.version}"


@when('a caller begins a stream of "{path}" at "{host}" as "{request_id}"')
def begin_stream(context, path, host, request_id):
    async def begin():
        call = context.platform.call(host, "POST", path, request_id=request_id)
        context.stream = asyncio.ensure_future(call)
        await context.platform.wait_for(lambda: running(context))
        await asyncio.sleep(SETTLE_S)

    run(context, begin())


def running(context):
    return [r for r in context.platform.runners.values() if r.n_running]


@when('engines "{names}" of version "{version}" join')
def join_engines(context, names, version):
    add_engines(context, names, context.n_events, version)
    run(context, asyncio.sleep(SETTLE_S))


@given('the store names "{version}" first')
def await_record(context, version):
    run(
        context,
        context.platform.wait_for(lambda: version in named_versions(context)),
    )


@given("the store accepts no writes for {duration_s:g} s while streams are requested")
def refuse_writes(context, duration_s):
    faults = context.platform.store.faults
    faults["read_only"] = 1

    async def end_fault():
        await asyncio.sleep(duration_s)
        faults["read_only"] = 0

    async def begin():
        context.fault = asyncio.ensure_future(end_fault())

    run(context, begin())


@when('engines "{names}" of version "{version}" join at once')
def join_engines_at_once(context, names, version):
    for runner in context.platform.runners.values():
        note_record_at_first_run(context, runner)
    context.record_by_version = {}
    for name in names.split(","):
        platform = context.platform
        options = {"version": version, "n_events": context.n_events, "slots": 8}
        run(context, platform.add_runner(name, ENGINE, **options))
        note_record_at_first_run(context, platform.runners[name])


def named_versions(context):
    store = context.platform.store
    if ENGINE not in store.names(VERSIONS_KIND):
        return []
    record = store.spec(VERSIONS_KIND, ENGINE)
    closed = [entry["version"] for entry in record["closed_versions"]]
    return record["open_versions"] + closed


def note_record_at_first_run(context, runner):
    record_run = runner.record_run

    def note(request_id, last_event_id):
        context.record_by_version.setdefault(runner.version, named_versions(context))
        record_run(request_id, last_event_id)

    runner.record_run = note


@when("streams are requested until both versions have had one")
def request_streams(context):
    async def request():
        number = 0
        async with asyncio.timeout(MAX_WAIT_S):
            while len(context.record_by_version) < 2:
                calls = [
                    context.platform.call(
                        host, "POST", "/alert/1", request_id=f"q{number}-{host}-{call}"
                    )
                    for host in context.platform.hosts
                    for call in range(4)
                ]
                await asyncio.gather(*calls)
                number += 1

    run(context, request())


@then('the store named version "{version}" before its first stream')
def check_announced(context, version):
    assert version in context.record_by_version[version], context.record_by_version


@given("a timeout of {timeout_s:g} s on all routes")
def set_timeout(context, timeout_s):
    changed = {"TimeoutMs": int(timeout_s * 1000)}
    write_configuration(context, [{**route, **changed} for route in ROUTES])


def write_configuration(context, routes):
    document = make_configuration(2, routes)
    context.platform.store.put("config", "main", document)
    hosts = context.platform.hosts.values()
    run(
        context,
        context.platform.wait_for(
            lambda: all(host.state.table.version == 2 for host in hosts)
        ),
    )


@when('runner "{name}" leaves')
def remove_runner(context, name):
    context.platform.store.remove("servers", name)


@given('the store names "{versions}" alone within {within_s:g} s')
@then('the store names "{versions}" alone within {within_s:g} s')
def check_record(context, versions, within_s):
    async def wait():
        async with asyncio.timeout(within_s):
            while named_versions(context) != versions.split(","):  # noqa: ASYNC110
                await asyncio.sleep(POLL_S)

    run(context, wait())


@when("the stream's runner breaks it")
def break_stream(context):
    runner = running(context)[0]
    runner.faults["break_after"] = 1

    async def finish():
        if context.stream is not None:
            context.reply = await context.stream
            context.answers = [context.reply]
        else:
            await context.platform.wait_for(lambda: not runner.n_running)

    run(context, finish())
    runner.faults["break_after"] = 0


@when('host "{name}" is killed')
def kill_host(context, name):
    async def kill():
        await context.platform.kill_host(name)
        context.answers = [await context.stream]

    run(context, kill())


@when("all hosts are killed and come back")
def restart_hosts(context):
    async def restart():
        names = list(context.platform.hosts)
        for name in names:
            await context.platform.kill_host(name)
        context.answers = [await context.stream]
        for name in names:
            await context.platform.start_host(name)
        await await_hosts(context)

    run(context, restart())


async def await_hosts(context):
    hosts = context.platform.hosts.values()
    runner_ids = set(context.platform.store.names("servers"))
    await context.platform.wait_for(
        lambda: all(
            host.view.is_ready
            and len(host.view.serving_hosts()) == len(hosts)
            and set(host.view.fleet.runners_by_id) == runner_ids
            for host in hosts
        )
    )


def take_up(context, host, request_id):
    known = event_ids(b"".join(answer.body for answer in context.answers))
    headers = {"Last-Event-Id": str(known[-1]), "Resumes": "q1"}
    return context.platform.call(
        host, "POST", "/alert/1", headers=headers, request_id=request_id
    )


@when('the caller takes the stream up at "{host}" as "{request_id}"')
def take_up_stream(context, host, request_id):
    context.take_up_id = request_id
    began_at_s = context.platform.timers.now()
    context.answers.append(run(context, take_up(context, host, request_id)))
    context.took_s = context.platform.timers.now() - began_at_s


@when("the store is silent")
def silence_store(context):
    for proxy in context.platform.proxies.values():
        proxy.set_mode(Mode.SILENT)


@then("it was refused within half a latency goal")
def check_prompt_refusal(context):
    goal_s = (
        context.platform.hosts["h1"].state.table.find_by_name("alert").latency_goal_s
    )
    assert context.took_s <= goal_s / 2, context.took_s


@when(
    'the caller takes the stream up at "{host}" as "{request_id}" until host '
    '"{name}" is killed'
)
def take_up_until_kill(context, host, request_id, name):
    async def begin():
        answer = asyncio.ensure_future(take_up(context, host, request_id))
        await asyncio.sleep(SETTLE_S)
        await context.platform.kill_host(name)
        context.answers.append(await answer)

    run(context, begin())


@then('both answers hold events of version "{version}" alone, complete')
@then("all answers hold events of one version, complete")
def check_answers(context, version=""):
    body = b"".join(answer.body for answer in context.answers)
    versions = versions_of(body)
    assert len(versions) == 1 and (not version or version in versions), versions
    assert event_ids(body) == list(range(1, context.n_events + 1)), context.answers
    assert context.answers[-1].is_complete
    assert all(event_ids(answer.body) for answer in context.answers), context.answers


@then("the take-up is refused as not run and reached no runner")
def check_refused(context):
    reply = context.answers[-1]
    assert reply.status == 503, reply
    assert float(reply.headers["retry-after"]) > 0, reply
    assert not received(context, context.take_up_id)


@given('the operator splits "{prefix}" over the engines and plain runners')
def split_route(context, prefix):
    parts = [{"Service": ENGINE, "Weight": 1}, {"Service": PLAIN, "Weight": 1}]
    routes = [
        {**route, "Split": parts} if route["PathPrefix"] == prefix else route
        for route in ROUTES
    ]
    write_configuration(context, routes)


@given('plain runners "{names}" of version "{version}" with {n_events:d} events')
def add_plain_streams(context, names, version, n_events):
    for name in names.split(","):
        options = {"version": version, "n_events": n_events, "slots": 8}
        run(context, context.platform.add_runner(name, PLAIN, **options))
    run(context, asyncio.sleep(SETTLE_S))


@when('the caller takes the stream up at "{host}" with an id of the other service')
def take_up_with_other_id(context, host):
    route = context.platform.hosts[host].state.table.find_by_name("alert")
    services = {
        f"t{number}": route.service_for(stable_hash(f"t{number}"))
        for number in range(50)
    }
    first_service = route.service_for(stable_hash("q1"))
    request_id = next(name for name, s in services.items() if s != first_service)
    break_stream(context)
    context.answers = [context.reply]
    context.take_up_id = request_id
    context.answers.append(run(context, take_up(context, host, request_id)))


@then("the service that began the stream received the take-up")
def check_service(context):
    runners = context.platform.runners.values()
    requests = {"q1", context.take_up_id}
    names = [
        {entry[0] for entry in runner.recorded_runs} & requests for runner in runners
    ]
    assert sorted(map(len, names)) == [0, 2], names


def versions_of(body):
    lines = body.decode().split("\n")
    return {line.removeprefix("event: ") for line in lines if line.startswith("event")}


@then('the caller gets events of version "{version}" alone, {ending}')
@then("the caller gets events of no version, {ending}")
def check_versions(context, ending, version=""):
    reply, ids = context.reply, event_ids(context.reply.body)
    assert versions_of(reply.body) == ({version} if version else set()), reply
    is_whole = reply.is_complete and ids == list(range(1, context.n_events + 1))
    assert is_whole == (ending == "complete"), reply
    assert ids == list(range(1, len(ids) + 1)), ids
