"""Steps of the feature on the origins of streams in the store."""

from __future__ import annotations

import stream_group_machine
from behave import given, then

from damaskjunction.routing import (
    StoredGroup,
    StreamGroups,
    StreamOrigin,
    stored_origins,
)


@then('{count:d} runs of stored origins with "{fault}" find a fault')
def check_machine_finds(context, count, fault):
    try:
        stream_group_machine.run_machine(fault, count)
    except AssertionError:
        return
    raise AssertionError(f"injected fault was not found: {fault}")


@then('{count:d} runs of stored origins with "{fault}" find no fault')
def check_machine_clean(context, count, fault):
    stream_group_machine.run_machine(fault, count)


@given('a group 0 of "{first}" and a group 1 of "{second}"')
def make_groups(context, first, second):
    context.groups = [
        StoredGroup(number, 1, dict(pair.split(":") for pair in text.split(",")))
        for number, text in enumerate((first, second))
    ]


@then('the stored origins are "{expected}"')
def check_origins(context, expected):
    origins = stored_origins("llm", context.groups)
    found = sorted(f"{o.request_id}:{o.software_version}" for o in origins)
    assert found == expected.split(","), found


@given("{count:d} streams begin at once")
def begin_many(context, count):
    context.store_groups = StreamGroups(14.0)
    context.store_groups.observe_groups([])
    for number in range(count):
        origin = StreamOrigin(f"s{number}", "llm", "v1", "r1", 1, 0.0, is_proved=True)
        context.store_groups.add(origin, 100.0)


@then(
    "the first write holds {n_first:d} streams and the second {n_second:d} in "
    "another group"
)
def check_writes(context, n_first, n_second):
    groups = context.store_groups
    first = groups.next_write(100.0)
    groups.observe_written(first, 1)
    second = groups.next_write(100.0)
    assert len(first.version_by_id) == n_first, len(first.version_by_id)
    assert len(second.version_by_id) == n_second, len(second.version_by_id)
    assert first.number != second.number
