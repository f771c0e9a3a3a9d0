"""Steps on runners that are asked whether they are ready."""

from __future__ import annotations

from behave import then, when
from fleet_helpers import run

from damaskjunction.core import LoopTimers
from damaskjunction.gateway.runners.runner_responses import RunnerFailedError

READY = ("ready", "")


@when("its listed process is asked whether it is ready")
def ask(context):
    rig, timers = context.platform, LoopTimers()

    async def work():
        began_at_s = timers.now()
        try:
            await rig.client.prepare(rig.runner, is_process_checked=True)
            context.readiness = READY
        except RunnerFailedError as error:
            context.readiness = (error.outcome.value, error.reason)
        rig.longest_s = timers.now() - began_at_s

    run(context, work())


@when("the engine ends")
def end(context):
    run(context, context.platform.server.close())


@then("it is ready")
def check_ready(context):
    assert context.readiness == READY, context.readiness


@then('it is not ready for "{reason}"')
def check_not_ready(context, reason):
    assert context.readiness == ("not_run", reason), context.readiness
