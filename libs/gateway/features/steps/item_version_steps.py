"""Steps of the features on the software versions of batch items."""

from __future__ import annotations

import asyncio

import item_version_faults
from behave import given, then, when
from fleet_helpers import run
from stream_version_steps import SETTLE_S, break_stream, running


def item_runs(context):
    return [
        entry
        for runner in context.platform.runners.values()
        for entry in runner.recorded_runs
        if entry[0].startswith("j1-")
    ]


@when("an item has events")
def await_item(context):
    run(context, context.platform.wait_for(lambda: running(context)))
    run(context, asyncio.sleep(SETTLE_S))
    context.stream = None


@given("the engines state their starts")
def state_starts(context):
    for runner in context.platform.runners.values():
        runner.born_ms = int(context.platform.timers.wall() * 1000)
        runner.register_in_store("ready")
    run(context, asyncio.sleep(SETTLE_S))


@given('runner "{name}" has no room')
def fill_runner(context, name):
    context.platform.runners[name].faults["full"] = 1


@when("the stream's runner breaks it and has no room from then on")
def break_and_fill(context):
    running(context)[0].faults["full"] = 1
    break_stream(context)


@when('{count:d} callers request "{path}" at all hosts while items run')
def request_beside_items(context, count, path):
    assert item_runs(context) and running(context)
    names = list(context.platform.hosts)

    async def request():
        return await asyncio.gather(
            *(
                context.platform.call(
                    names[n % len(names)], "POST", path, request_id=f"q{n}"
                )
                for n in range(count)
            )
        )

    context.replies = run(context, request())


@when(
    'runner "{name}" ends, is back at version "{version}" and is listed so '
    "{delay_s:g} s later"
)
def restart_at_version(context, name, version, delay_s):
    runner = context.platform.runners[name]

    async def restart():
        runner.version = version
        await runner.close_and_restart()
        await asyncio.sleep(delay_s)
        runner.register_in_store("ready")

    run(context, restart())


@when('the other engine is back at version "{version}" while its entry is late')
def restart_other_unlisted(context, version):
    restart_unlisted(context, version, is_running=False)


@when('the stream\'s runner is back at version "{version}" while its entry is late')
def restart_unlisted(context, version, is_running=True):
    runners = context.platform.runners.values()
    runner = next(r for r in runners if bool(r.n_running) == is_running)
    restart_runner_unlisted(context, version, runner, is_running)


@given('runner "{name}" is back at version "{version}" while its entry is late')
def restart_named_unlisted(context, name, version):
    runner = context.platform.runners[name]
    restart_runner_unlisted(context, version, runner, is_running=False)


def restart_runner_unlisted(context, version, runner, is_running):
    runner.version = version
    runner.born_ms = int(context.platform.timers.wall() * 1000)
    context.late_runner = runner

    async def restart():
        await runner.close_and_restart()
        if is_running and context.stream is not None:
            context.answers = [await context.stream]

    run(context, restart())


@when("{duration_s:g} s passes and the late entries come")
def deliver_entries(context, duration_s):
    async def deliver():
        await asyncio.sleep(duration_s)
        context.late_runner.register_in_store("ready")

    run(context, deliver())


@then('the job "{job_id}" has {count:d} results, each of one version and complete')
@then(
    'the job "{job_id}" has {count:d} results, each of version "{version}" and complete'
)
def check_texts(context, job_id, count, version=None):
    document = run(context, context.platform.wait_for_results("h0", job_id, count))
    expected = [f"token {n}" for n in range(1, context.n_events + 1)]
    for result in document["Results"]:
        assert result["State"] == "completed", result
        parts = [line.partition(" of ") for line in result["Text"].split("\n")]
        versions = {part[2] for part in parts}
        assert len(versions) == 1, result
        assert version is None or versions == {version}, result
        assert [part[0] for part in parts] == expected, result


@then("an item has run twice")
def check_item_repeated(context):
    runs = item_runs(context)
    assert len(runs) > len({item_id for item_id, _ in runs}), runs


@then("no item was asked to go on")
def check_no_resumption(context):
    runs = item_runs(context)
    assert len(runs) > 1 and not any(last for _, last in runs), runs


@then('{count:d} runs of items beside restarts with "{fault}" find a fault')
def check_machine_finds(context, count, fault):
    try:
        item_version_faults.run_machine(fault, count)
    except AssertionError:
        return
    raise AssertionError(f"injected fault was not found: {fault}")


@then('{count:d} runs of items beside restarts with "{fault}" find no fault')
def check_machine_clean(context, count, fault):
    item_version_faults.run_machine(fault, count)
