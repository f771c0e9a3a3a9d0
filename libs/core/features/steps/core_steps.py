"""Steps for the features of the core library."""

from __future__ import annotations

from behave import given, then, when

from damaskjunction.core import (
    Finding,
    FindingsError,
    ManualTimers,
    Place,
    Registry,
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
def ask_for_calls(context, late, late_s, early, early_s):
    context.timers.once(late_s, lambda: context.calls.append(late))
    context.timers.once(early_s, lambda: context.calls.append(early))


@when('a call "{name}" every {interval_s:d} s is scheduled')
def ask_for_repeated_call(context, name, interval_s):
    context.subscription = context.timers.every(
        interval_s, lambda: context.calls.append(name)
    )


@when("{duration_s:d} s pass")
def pass_time(context, duration_s):
    context.timers.advance(duration_s)


@when("it is cancelled")
def cancel(context):
    context.subscription.cancel()


@then('the calls are "{names}"')
def check_calls(context, names):
    assert context.calls == names.split(","), context.calls


@given('{n_keys:d} keys distributed over names "{names}"')
def place_keys(context, n_keys, names):
    pairs = [name.partition(":") for name in names.split(",")]
    context.weights = [(name, float(weight or 1)) for name, _, weight in pairs]
    context.keys = [f"key-{number}" for number in range(n_keys)]
    context.places = place_all(context)


def place_all(context):
    return {key: rendezvous_order(key, context.weights)[0] for key in context.keys}


@when('the name "{gone}" is removed')
def drop_name(context, gone):
    context.weights = [pair for pair in context.weights if pair[0] != gone]


@then('only keys that were on "{gone}" have moved')
def check_moved(context, gone):
    after = place_all(context)
    moved = {key for key in context.keys if after[key] != context.places[key]}
    assert moved == {key for key in context.keys if context.places[key] == gone}


@then('"{name}" holds between {low:d} and {high:d} percent of the keys')
def check_share(context, name, low, high):
    held = sum(place == name for place in context.places.values())
    share = 100 * held / len(context.keys)
    assert low <= share <= high, share


@given('a registry of "{kind}" with "{names}"')
def make_registry(context, kind, names):
    context.registry = Registry(kind)
    for name in names.split(","):
        context.registry.register(name)(object())


@when('the entry "{name}" is looked up')
def ask_for_entry(context, name):
    try:
        context.registry.get(name)
    except UnknownNameError as error:
        context.error = error


@then('the error is "{text}"')
def check_error(context, text):
    assert str(context.error) == text, str(context.error)


@then('registering "{name}" again is an error')
def check_taken(context, name):
    try:
        context.registry.register(name)(object())
    except ValueError:
        return
    raise AssertionError("a second entry of the same name was accepted")


@given('findings at lines "{lines}" of "{source}"')
def make_findings(context, lines, source):
    context.findings = [
        Finding(Place(source, int(line), "key"), "is wrong")
        for line in lines.split(",")
    ]


@then('raising them gives one error with {count:d} findings, the last at "{place}"')
def check_findings(context, count, place):
    try:
        raise_findings("document", context.findings)
    except FindingsError as error:
        assert len(error.findings) == count
        assert str(error.findings[-1].place) == place
        return
    raise AssertionError("no error was raised")
