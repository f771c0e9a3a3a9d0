"""Steps for the features of the core library."""

from __future__ import annotations

import asyncio

from behave import given, then, when

from damaskjunction.core import (
    Finding,
    FindingsError,
    LoopTimers,
    ManualTimers,
    Registry,
    SourceLocation,
    UnknownNameError,
    raise_findings,
    rendezvous_order,
)


@given("a simulated clock")
def make_clock(context):
    context.timers = ManualTimers()
    context.calls = []


@when(
    'calls "{late}" after {late_s:d} s and "{early}" after {early_s:d} s are scheduled'
)
def schedule_calls(context, late, late_s, early, early_s):
    context.timers.once(late_s, lambda: context.calls.append(late))
    context.timers.once(early_s, lambda: context.calls.append(early))


@when('a call "{name}" every {interval_s:d} s is scheduled')
def schedule_periodic_call(context, name, interval_s):
    context.subscription = context.timers.every(
        interval_s, lambda: context.calls.append(name)
    )


@when("{duration_s:d} s pass")
def advance_clock(context, duration_s):
    context.timers.advance(duration_s)


@when("it is cancelled")
def cancel(context):
    context.subscription.cancel()


@then('the calls are "{names}"')
def check_calls(context, names):
    assert context.calls == names.split(","), context.calls


@given('{n_keys:d} keys distributed over names "{names}"')
def make_weighted_keys(context, n_keys, names):
    pairs = [name.partition(":") for name in names.split(",")]
    context.weights = [(name, float(weight or 1)) for name, _, weight in pairs]
    context.keys = [f"key-{number}" for number in range(n_keys)]
    context.name_by_key = assign_keys(context)


def assign_keys(context):
    return {key: rendezvous_order(key, context.weights)[0] for key in context.keys}


@when('the name "{removed}" is removed')
def remove_name(context, removed):
    context.weights = [pair for pair in context.weights if pair[0] != removed]


@then('only keys that were on "{removed}" have moved')
def check_moved(context, removed):
    after = assign_keys(context)
    moved = {key for key in context.keys if after[key] != context.name_by_key[key]}
    assert moved == {key for key in context.keys if context.name_by_key[key] == removed}


@then('"{name}" holds between {low:d} and {high:d} percent of the keys')
def check_share(context, name, low, high):
    held = sum(assigned == name for assigned in context.name_by_key.values())
    percentage = 100 * held / len(context.keys)
    assert low <= percentage <= high, percentage


@given('a registry of "{kind}" with "{names}"')
def make_registry(context, kind, names):
    context.registry = Registry(kind)
    for name in names.split(","):
        context.registry.register(name)(object())


@when('the entry "{name}" is looked up')
def look_up_entry(context, name):
    try:
        context.registry.get(name)
    except UnknownNameError as error:
        context.error = error


@then('the error is "{text}"')
def check_error(context, text):
    assert str(context.error) == text, str(context.error)


@then('registering "{name}" again is an error')
def check_duplicate_rejected(context, name):
    try:
        context.registry.register(name)(object())
    except ValueError:
        return
    raise AssertionError("a second entry of the same name was accepted")


@given('findings at lines "{lines}" of "{source}"')
def make_findings(context, lines, source):
    context.findings = [
        Finding(SourceLocation(source, int(line), "key"), "is wrong")
        for line in lines.split(",")
    ]


@then('raising them gives one error with {count:d} findings, the last at "{location}"')
def check_findings(context, count, location):
    try:
        raise_findings("document", context.findings)
    except FindingsError as error:
        assert len(error.findings) == count
        assert str(error.findings[-1].location) == location
        return
    raise AssertionError("no error was raised")


STEP_MARGIN_S = 1e-6
LATE_S = 0.03  # between the scheduling of a call and the check of its due time


@given("an event loop")
def make_loop(context):
    context.runner = asyncio.Runner()
    context.add_cleanup(context.runner.close)


@when("calls every {intervals} s are scheduled {gap_s:f} s apart")
def schedule_in_loop(context, intervals, gap_s):
    context.call_counts = {}
    context.scheduled = []

    async def schedule():
        timers = LoopTimers()
        for interval_s in map(float, intervals.split(",")):
            await asyncio.sleep(gap_s)
            context.call_counts[interval_s] = 0
            now_s = asyncio.get_running_loop().time()
            subscription = timers.every(
                interval_s,
                lambda interval_s=interval_s: count_call(context, interval_s),
            )
            context.scheduled.append((interval_s, now_s, subscription))

    context.runner.run(schedule())


def count_call(context, interval_s):
    context.call_counts[interval_s] += 1


@then("their due times are whole steps of {step_s:f} s apart")
def check_steps(context, step_s):
    due_times_s = [s.handle.when() for _, _, s in context.scheduled]
    for due_s in due_times_s:
        n_steps = (due_s - due_times_s[0]) / step_s
        assert abs(n_steps - round(n_steps)) < STEP_MARGIN_S / step_s, due_times_s


@then("each is due within its interval, and no more than {early_s:f} s before its end")
def check_due(context, early_s):
    for interval_s, now_s, subscription in context.scheduled:
        delay_s = subscription.handle.when() - now_s
        lowest_s = interval_s - early_s - STEP_MARGIN_S
        # The loop's clock is read again when the call is scheduled.
        assert lowest_s <= delay_s <= interval_s + LATE_S, (interval_s, delay_s)


@when("the loop runs for {duration_s:f} s")
def run_loop(context, duration_s):
    context.runner.run(asyncio.sleep(duration_s))


@then("the calls every {interval_s:f} s were {least:d} to {most:d}")
def check_call_count(context, interval_s, least, most):
    assert least <= context.call_counts[interval_s] <= most, context.call_counts
