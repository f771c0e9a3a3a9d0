"""Steps of the features on the software versions of batch items."""

from __future__ import annotations

import asyncio

import item_version_machine
from behave import then, when
from fleet_helpers import run
from stream_version_steps import SETTLE_S, running


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


@when("the stream's runner breaks it and has no room from then on")
def break_and_fill(context):
    runner = running(context)[0]
    runner.faults["full"] = 1
    runner.faults["break_after"] = 1
    run(context, context.platform.wait_for(lambda: not runner.n_running))


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
        item_version_machine.run_machine(fault, count)
    except AssertionError:
        return
    raise AssertionError(f"injected fault was not found: {fault}")


@then('{count:d} runs of items beside restarts with "{fault}" find no fault')
def check_machine_clean(context, count, fault):
    item_version_machine.run_machine(fault, count)
