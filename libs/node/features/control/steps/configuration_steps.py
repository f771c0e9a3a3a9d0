"""Steps of the feature on how the configuration reaches every host."""

from __future__ import annotations

import asyncio

from behave import then, when
from control_fleet import (
    START_S,
    apply_configuration,
    read_own_status,
    set_platform_faults,
    wait_for_count,
    wait_until_active,
)

from damaskjunction.standins.scenarios import run


@when("a configuration is applied right before the platform goes down")
def apply_then_outage(context):
    async def apply_then_stop_platform():
        response = await apply_configuration(
            context, context.names[0], 3, context.revision
        )
        await set_platform_faults(context, down=1)
        return response.to_json()["revision"]

    context.revision = run(context, apply_then_stop_platform())


@when("a configuration is applied while a host is frozen")
def apply_while_frozen(context):
    context.deployed.fleet.freeze(context.name)

    async def apply_one():
        response = await apply_configuration(
            context, context.names[0], 4, context.revision
        )
        assert response.status == 200, response
        return response.to_json()["revision"]

    context.revision = run(context, apply_one())


@when("the host is resumed and all hosts are restarted one after another")
def restart_all(context):
    fleet = context.deployed.fleet
    fleet.resume(context.name)
    run(context, wait_until_active(context, context.revision, 10.0))
    context.decreased_revisions = []

    async def restart_one(name):
        await fleet.kill(name)
        await fleet.restart(name)
        await fleet.wait_until_responding([name])
        async with asyncio.timeout(START_S):
            while True:
                _, status = await read_own_status(context, name)
                revision = status["configuration_revision"]
                if revision:
                    break
                await asyncio.sleep(0.02)
        if revision < context.revision:
            context.decreased_revisions.append((name, revision))

    for name in context.names:
        run(context, restart_one(name))


@when(
    "all hosts are killed and restarted at once, the platform slowed by {delay_s:g} s"
)
def restart_all_at_once(context, delay_s):
    fleet = context.deployed.fleet

    async def restart_hosts():
        for name in context.names:
            await fleet.kill(name)
        await set_platform_faults(context, slow_s=delay_s)
        for name in context.names:
            await fleet.restart(name)

    run(context, restart_hosts())


@when(
    '"{editor}" and "{rival}" apply different configurations at once through two hosts'
)
def apply_concurrently(context, editor, rival):
    async def apply_both():
        return await asyncio.gather(
            apply_configuration(context, context.names[0], 5, context.revision, editor),
            apply_configuration(context, context.names[1], 6, context.revision, rival),
        )

    responses = run(context, apply_both())
    context.responses_by_editor = dict(zip((editor, rival), responses, strict=True))


@then("one is accepted and the other gets the winner's name and revision")
def check_conflict(context):
    statuses = {
        name: response.status for name, response in context.responses_by_editor.items()
    }
    winner = min(statuses, key=statuses.get)
    loser = max(statuses, key=statuses.get)
    assert (statuses[winner], statuses[loser]) == (200, 409), statuses
    context.revision = context.responses_by_editor[winner].to_json()["revision"]
    error = context.responses_by_editor[loser].to_json()["error"]
    assert error["editor"] == winner, error
    assert error["revision"] == context.revision, error


@then("within {limit_s:d} s the configuration is active on every host")
def check_active(context, limit_s):
    run(context, wait_until_active(context, context.revision, limit_s))


@then("within {limit_s:d} s the winner's configuration is active on every host")
def check_winner_active(context, limit_s):
    run(context, wait_until_active(context, context.revision, limit_s))


@then("no host's revision ever decreased")
def check_never_decreased(context):
    assert not context.decreased_revisions, context.decreased_revisions


@then('within {limit_s:d} s status reports "{text}" and names the frozen host')
def check_missing(context, limit_s, text):
    document = run(context, wait_for_count(context, text, limit_s))
    assert document["lacking"] == [context.name], document


@then('within {limit_s:d} s status reports "{text}"')
def check_count(context, limit_s, text):
    document = run(context, wait_for_count(context, text, limit_s))
    assert not document["is_pending"], document


@when('a configuration is applied with the expected revision "{text}"')
def apply_with_expected(context, text):
    call = apply_configuration(context, context.names[0], 2, text)
    context.response = run(context, call)


@then("it is refused with status {status:d}")
def check_refused(context, status):
    assert context.response.status == status, context.response
