"""Steps on items that are overdue at a runner."""

from __future__ import annotations

import re

from behave import given, then, when

from damaskjunction.batch import (
    PlacementClock,
    RoomWatch,
    RunnerReading,
    is_overdue,
    runners_with_room,
)


@given("an item that is owed from {now_s:g} s on")
def make_item(context, now_s):
    context.clock = PlacementClock(now_s)


@when("it is at a runner {runs}")
def run_item(context, runs):
    for begin, end in re.findall(r"from (\S+) (?:to ([\d.]+)|on)", runs):
        context.clock.begin_run(float(begin))
        if end:
            context.clock.end_run(float(end))


@when("the runner has worked on it at {now_s:g} s")
def record_work(context, now_s):
    context.clock.restart(now_s)


@then("at {now_s:g} s it is {verdict}")
def check_verdict(context, now_s, verdict):
    found = is_overdue(context.clock.unplaced_s(now_s))
    assert found == (verdict == "overdue"), found


@given('the reports "{reports}"')
def make_reports(context, reports):
    context.readings = [
        RunnerReading(name, int(n_requests), int(n_slots))
        for name, n_requests, n_slots in re.findall(r"(\w+) (\d+)/(\d+)", reports)
    ]


@then('the runners "{names}" have room')
@then('the runners "" have room')
def check_room(context, names=""):
    assert runners_with_room(context.readings) == names.split(), names


@when("runners are looked at {looks}")
def look(context, looks):
    watch = RoomWatch()
    for found, now_s in re.findall(r"(room|none) at ([\d.]+)", looks):
        context.has_lasted = watch.observe(found == "room", float(now_s))


@then("room has lasted at the last look: {verdict}")
def check_lasted(context, verdict):
    assert context.has_lasted == (verdict == "yes"), context.has_lasted
