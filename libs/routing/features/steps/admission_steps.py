"""Steps of the features on admission and limits."""

from __future__ import annotations

from behave import given, then, when

from damaskjunction.core import WorkClass
from damaskjunction.routing import (
    AdaptiveLimits,
    AdmissionController,
    AdmissionTicket,
    Admit,
    FixedLimits,
    LatencyTargets,
    Preempt,
    Refuse,
)

STEP_S = 0.01
DEFAULT_DEADLINE_S = 60.0


@given("an admission controller with {slots:d} slots")
def make_controller(context, slots):
    context.controller = AdmissionController(FixedLimits(slots))
    context.now_s = 0.0
    context.effects = []
    context.running = []


def submit(
    context,
    ids,
    work_class,
    *,
    workspace="lab",
    share=1.0,
    deadline_s=DEFAULT_DEADLINE_S,
):
    for request_id in ids:
        ticket = AdmissionTicket(
            request_id, workspace, work_class, context.now_s + deadline_s, share
        )
        record_effects(context, context.controller.submit(ticket, context.now_s))


def record_effects(context, effects):
    context.effects += effects
    context.running += [e.request_id for e in effects if isinstance(e, Admit)]


def take_effects(context, kind):
    taken = [effect for effect in context.effects if isinstance(effect, kind)]
    context.effects = [e for e in context.effects if not isinstance(e, kind)]
    return taken


@when('online requests "{ids}" arrive')
def submit_online(context, ids):
    submit(context, ids.split(","), WorkClass.ONLINE)


@when('online requests "{ids}" arrive with a deadline in {deadline_s:g} s')
def submit_online_due(context, ids, deadline_s):
    submit(context, ids.split(","), WorkClass.ONLINE, deadline_s=deadline_s)


@when('batch requests "{ids}" arrive')
def submit_batch(context, ids):
    submit(context, ids.split(","), WorkClass.BATCH)


@when('{count:d} online requests of "{workspace}" with share {share:g} arrive')
def submit_many(context, count, workspace, share):
    ids = [f"{workspace}.{number}" for number in range(count)]
    submit(context, ids, WorkClass.ONLINE, workspace=workspace, share=share)


@when('"{request_id}" ends')
def finish(context, request_id):
    record_effects(context, context.controller.finish(request_id, context.now_s))


@when("{count:d} requests end one by one")
def finish_many(context, count):
    for number in range(count):
        context.now_s += 1.0
        record_effects(
            context, context.controller.finish(context.running[number], context.now_s)
        )


@when('"{request_id}" is requeued')
def requeue(context, request_id):
    record_effects(context, context.controller.requeue(request_id, context.now_s))


@when("{duration_s:g} s pass")
def pass_time(context, duration_s):
    context.now_s += duration_s


@when("the host stops being the home")
def stop_being_home(context):
    record_effects(context, context.controller.set_home(False, context.now_s))


@when("the runner reports {count:d} requests")
def report(context, count):
    record_effects(context, context.controller.observe_report(count, context.now_s))


@then('"{ids}" are admitted')
def check_admitted(context, ids):
    admitted = [effect.request_id for effect in take_effects(context, Admit)]
    assert admitted == ids.split(","), admitted


@then('"{ids}" are preempted')
def check_preempted(context, ids):
    preempted = [effect.request_id for effect in take_effects(context, Preempt)]
    assert preempted == ids.split(","), preempted


@then('"{ids}" are refused as "{reason}"')
def check_refused(context, ids, reason):
    context.refused = take_effects(context, Refuse)
    assert [e.request_id for e in context.refused] == ids.split(","), context.refused
    assert {e.reason for e in context.refused} == {reason}, context.refused


@then('{count:d} are refused as "{reason}", none of them "{request_id}"')
def check_refused_count(context, count, reason, request_id):
    refused = take_effects(context, Refuse)
    assert len(refused) == count, len(refused)
    assert {effect.reason for effect in refused} == {reason}
    assert request_id not in {effect.request_id for effect in refused}


@then("each refusal has a retry delay")
def check_retry_after(context):
    assert all(
        0 < effect.retry_after_s < DEFAULT_DEADLINE_S for effect in context.refused
    )


@then('between {low:d} and {high:d} of "{workspace}" were admitted')
def check_shares(context, low, high, workspace):
    count = sum(name.startswith(f"{workspace}.") for name in context.running)
    assert low <= count <= high, count


@given("adaptive limits for {slots:d} slots")
def make_limits(context, slots):
    context.limits = AdaptiveLimits(slots, LatencyTargets())
    context.now_s = 0.0


def run_limits(context, duration_s, n_online, n_batch, interval_s):
    end_s = context.now_s + duration_s
    while context.now_s < end_s:
        context.limits.observe_in_flight(n_online or context.limits.total, n_batch)
        context.limits.observe_interval(WorkClass.ONLINE, interval_s)
        context.limits.update(context.now_s)
        context.now_s += STEP_S


@when("the limit is in use for {duration_s:g} s with {interval_ms:d} ms between tokens")
def use_limit(context, duration_s, interval_ms):
    run_limits(context, duration_s, 0, 0, interval_ms / 1000)


@when(
    "online and {n_batch:d} batch requests run for {duration_s:g} s "
    "with {interval_ms:d} ms between tokens"
)
def use_both(context, n_batch, duration_s, interval_ms):
    run_limits(context, duration_s, 2, n_batch, interval_ms / 1000)


@when("first tokens take {first_s:g} s for {duration_s:g} s")
def late_first_tokens(context, first_s, duration_s):
    end_s = context.now_s + duration_s
    while context.now_s < end_s:
        context.limits.observe_in_flight(context.limits.total, 0)
        context.limits.observe_first_token(WorkClass.ONLINE, first_s)
        context.limits.update(context.now_s)
        context.now_s += 10 * STEP_S


@when("the runner is too slow with more than {n:d} requests for {duration_s:g} s")
def use_slow_runner(context, n, duration_s):
    n_above = n_steps = 0
    while context.now_s < duration_s:
        is_above = context.limits.total > n
        run_limits(context, STEP_S, 0, 0, 0.060 if is_above else 0.030)
        n_above += is_above
        n_steps += 1
    context.share_above = n_above / n_steps


@then("the limit was above {n:d} for at most {percent:d} in 100 of the time")
def check_share_above(context, n, percent):
    assert context.share_above <= percent / 100, context.share_above


@then("the limit is {expected:d}")
def check_limit(context, expected):
    assert context.limits.total == expected, context.limits.total


@then("the limit is at most {bound:d}")
def check_limit_bound(context, bound):
    assert context.limits.total <= bound, context.limits.total


@then("the batch limit is at most {bound:d}")
def check_batch_limit(context, bound):
    assert context.limits.batch <= bound, context.limits.batch
