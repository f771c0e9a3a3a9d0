"""Steps of the feature on processes of runners that are not listed yet."""

from __future__ import annotations

import asyncio

from behave import given, then, when
from fleet_helpers import received, run
from item_version_steps import restart_runner_unlisted
from platform_fleet import ENGINE, event_ids
from stream_version_steps import named_versions, take_up, versions_of

from damaskjunction.gateway.slots.slot_home import REPORT_POLL_PERIOD_S
from damaskjunction.platform import REPORT_PATH
from damaskjunction.routing import slot_homes

BEGIN_S = 0.5


@when('a caller requests a stream of "{path}" at "{host}" as "{request_id}"')
def request_stream(context, path, host, request_id):
    context.request_id = request_id
    call = context.platform.call(host, "POST", path, request_id=request_id)
    context.reply = run(context, call)


@when(
    'a caller requests a stream of "{path}" at a host that is not the home as '
    '"{request_id}"'
)
def request_not_at_home(context, path, request_id):
    others = [name for name in context.platform.hosts if name != home_of(context)]
    request_stream(context, path, others[0], request_id)


def home_of(context):
    view = next(iter(context.platform.hosts.values())).view
    return slot_homes(ENGINE, view.serving_hosts(), view.power_by_host)[0].host_id


@then('the store names "{version}" alone still')
def check_named(context, version):
    assert named_versions(context) == [version], named_versions(context)


@then("the stream is refused as not run and reached no runner")
def check_refused(context):
    assert context.reply.status == 503, context.reply
    assert not received(context, context.request_id)


@when('a caller begins a stream at "{host}", which is killed, and goes on at "{other}"')
def begin_and_take_up(context, host, other):
    async def work():
        platform = context.platform
        call = platform.call(host, "POST", "/alert/1", request_id="q1")
        answer = asyncio.ensure_future(call)
        await asyncio.sleep(BEGIN_S)
        await platform.kill_host(host)
        context.answers = [await answer]
        free_runner(context, "e2")
        if event_ids(context.answers[0].body):
            context.answers.append(await take_up(context, other, "q2"))

    run(context, work())


def free_runner(context, name):
    context.platform.runners[name].faults["full"] = 0


@when('a caller begins a stream at "{host}" and the process of runner "{name}" ends')
def begin_and_end_runner(context, host, name):
    async def work():
        platform = context.platform
        call = platform.call(host, "POST", "/alert/1", request_id="q1")
        answer = asyncio.ensure_future(call)
        await asyncio.sleep(BEGIN_S)
        free_runner(context, "e2")
        await platform.runners[name].close()
        context.answers = [await answer]

    run(context, work())


@then("the caller has events of one version at most")
def check_one_version(context):
    body = b"".join(answer.body for answer in context.answers)
    assert len(versions_of(body)) <= 1, context.answers
    ids = event_ids(body)
    assert ids == list(range(1, len(ids) + 1)), ids


@when('{duration_s:g} s passes and runner "{name}" has room again')
def pass_time_and_free(context, duration_s, name):
    run(context, asyncio.sleep(duration_s))
    free_runner(context, name)


@when('the process of runner "{name}" ends, and runner "{other}" has room')
def end_and_free(context, name, other):
    free_runner(context, other)
    run(context, context.platform.runners[name].close())


@when('{count:d} streams of "{path}" are requested one after another at "{host}"')
def request_in_turn(context, count, path, host):
    async def work():
        context.n_reports = count_reports(context.late_runner)
        for number in range(count):
            call = context.platform.call(host, "POST", path, request_id=f"q{number}")
            context.answers.append(await call)

    context.answers = []
    context.began_at_s = context.platform.timers.now()
    run(context, work())


def count_reports(runner):
    """Return the list to which each report that is asked for is added from now on."""
    asked = []
    respond = runner._respond

    async def count(request):
        if request.path == REPORT_PATH:
            asked.append(request)
        return await respond(request)

    runner._respond = count
    return asked


@then('all answers hold events of version "{version}" alone')
def check_all_versions(context, version):
    for answer in context.answers:
        assert answer.is_complete and versions_of(answer.body) == {version}, answer


@then(
    'runner "{name}" told its process {count:d} times at most, beside polls by the home'
)
def check_reports(context, name, count):
    run_s = context.platform.timers.now() - context.began_at_s
    n_polls = run_s / REPORT_POLL_PERIOD_S + 1
    assert len(context.n_reports) <= count + n_polls, (len(context.n_reports), n_polls)


@given("the home of the engines learns of no further entry")
def hold_entries(context):
    state = context.platform.hosts[home_of(context)].state
    state._publish_runners = lambda: None


@given('runner "{name}" is back at version "{version}" and listed')
def restart_listed(context, name, version):
    runner = context.platform.runners[name]
    restart_runner_unlisted(context, version, runner, is_running=False)
    runner.register_in_store("ready")
    run(context, asyncio.sleep(BEGIN_S))
