"""Steps of the features on the software versions of streams."""

from __future__ import annotations

import stream_process_machine
import stream_version_machine
from behave import given, then, when

from damaskjunction.core import Address, Runner, ServiceKind
from damaskjunction.routing import (
    FormerEntries,
    OriginMemory,
    StreamOrigin,
    proven_version,
)


@then('4 times {count:d} runs of releases and take-ups with "{fault}" find a fault')
def check_machine_finds(context, count, fault):
    try:
        stream_version_machine.run_machine(fault, count)
    except AssertionError:
        return
    raise AssertionError(f"injected fault was not found: {fault}")


@then('4 times {count:d} runs of releases and take-ups with "{fault}" find no fault')
def check_machine_clean(context, count, fault):
    stream_version_machine.run_machine(fault, count)


@given(
    'a stream that version "{version}" of a process born at {born_s:d} s began at '
    "{began_at_s:d} s"
)
def make_origin(context, version, born_s, began_at_s):
    context.began_at_s = began_at_s
    context.origin = StreamOrigin("s1", "llm", version, "r1", born_s * 1000, 0.0)
    context.entries = []


@when('its runner is listed with version "{version}" and born at {born_s:d} s')
def list_runner(context, version, born_s):
    context.entries.append(make_entry("r1", version, born_s))


def make_entry(runner_id, version, born_s):
    return Runner(
        runner_id,
        "",
        "",
        Address("127.0.0.1", 1),
        ServiceKind.PLAIN,
        "llm",
        version=version,
        born_ms=born_s * 1000,
    )


@then('at {wall_s:d} s the version of the stream is "{expected}"')
def check_proven(context, wall_s, expected):
    origin = context.origin._replace(age_s=wall_s - context.began_at_s)
    found = proven_version(origin, context.entries, wall_s)
    assert (found or "unknown") == expected, found


@given("a memory of {capacity:d} former entries")
def make_former_entries(context, capacity):
    context.former_entries = FormerEntries(capacity)


@when(
    'at {at_s:d} s runner "{name}" of version "{version}" starts again at '
    '"{new_version}"'
)
def end_entry(context, at_s, name, version, new_version):
    current = make_entry(name, new_version, at_s)
    former = make_entry(name, version, at_s if version == new_version else 0)
    context.former_entries.record(former, current, at_s)


@then('at {now_s:d} s the former entries of "{name}" since {at_s:d} s are "{versions}"')
@then('at {now_s:d} s the former entries of "{name}" since {at_s:d} s are ""')
def check_former(context, now_s, name, at_s, versions=""):
    entries = context.former_entries.since(name, at_s, now_s)
    assert ",".join(entry.version for entry in entries) == versions, entries


@given("a memory of {capacity:d} origins")
def make_memory(context, capacity):
    context.now_s = 100.0
    context.memory = OriginMemory(capacity)


@when('the streams "{names}" begin')
def begin_streams(context, names):
    for name in names.split(","):
        origin = StreamOrigin(name, "llm", "v1", "r1", 0, 0.0)
        context.memory.record(origin, context.now_s)


@when("the clock advances by {duration_s:d} s")
def pass_time(context, duration_s):
    context.now_s += duration_s


@then('the memory knows "{names}"')
@then('the memory knows ""')
def check_memory(context, names=""):
    known = [
        origin.request_id for origin in context.memory.of_service("llm", context.now_s)
    ]
    assert known == [name for name in names.split(",") if name], known


@then('{count:d} runs of restarts and take-ups with "{fault}" find a fault')
def check_process_machine_finds(context, count, fault):
    try:
        stream_process_machine.run_machine(fault, count)
    except AssertionError:
        return
    raise AssertionError(f"injected fault was not found: {fault}")


@then('{count:d} runs of restarts and take-ups with "{fault}" find no fault')
def check_process_machine_clean(context, count, fault):
    stream_process_machine.run_machine(fault, count)
