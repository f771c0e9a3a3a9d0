"""Steps of soak.feature that check histories and run soaks."""

from __future__ import annotations

import asyncio
import shutil
import tempfile
from pathlib import Path

from behave import given, then, when
from soak_histories import make_sound_history

from damaskjunction.lab.soak import (
    ProcessorUse,
    RecordedEvents,
    SoakOptions,
    Stall,
    checks,
    describe_own_process,
    faults,
    find_violations,
    make_folder,
    run_soak,
)

SOAK_LIMIT_S = 200.0
KEPT_FOLDER = Path("build/soak")
FIRST_KINDS = (
    "all hosts killed",
    "answers without end",
    "configuration changed",
    "deadly part",
    "host frozen",
    "host killed",
    "host restarted",
    "runner drained",
    "runner limited",
    "runner lost",
    "runner path broken",
    "runner troubled",
    "store path broken",
    "store troubled",
)
CUT_KINDS = ("hosts cut off", "host cut off in part")
PAUSE_KIND = "engines paused"
LATER_KINDS = (*CUT_KINDS, PAUSE_KIND)
# The kinds that the schedules of seeds chose from, by name.
KINDS_BY_NAME = {
    "all": (),
    "earlier": tuple(kind for kind in sorted(faults) if kind not in LATER_KINDS),
    "cuts": CUT_KINDS,
    "pauses": (PAUSE_KIND, "configuration changed", "host restarted"),
    "first": FIRST_KINDS,
    "leaving": ("runner leaves", "engines released"),
    "refused": ("refusals repeated", "runner lost"),
}


@given("a history without violations")
def make_history(context):
    context.history = make_sound_history()


@then("no check reports a violation")
def check_no_report(context):
    assert find_violations(context.history) == []


@then('only the check "{check}" reports a violation')
def check_only_violation(context, check):
    assert check in checks, list(checks)
    violations = find_violations(context.history)
    assert violations and all(line.startswith(f"{check}: ") for line in violations), (
        violations
    )


@when(
    "its process stalls for {one:g} and {other:g} s, and computes {quiet_s:g} and "
    "{busy_s:g} s of 2 seconds"
)
def add_own_process(context, one, other, quiet_s, busy_s):
    context.history.stalls += [Stall(5.0, 5.0 + one), Stall(9.0, 9.0 + other)]
    context.history.processor_uses += [
        ProcessorUse("soak", 5.0, 6.0, quiet_s, 0.0),
        ProcessorUse("soak", 6.0, 7.0, busy_s, 0.0),
    ]


@when(
    "its process waits {one:g} and {other:g} s for a processor, and a host {first:g} "
    "and {last:g} s"
)
def add_waits(context, one, other, first, last):
    context.history.processor_uses += [
        ProcessorUse("soak", 5.0, 6.0, 0.0, one),
        ProcessorUse("soak", 6.0, 7.0, 0.0, other),
        ProcessorUse("h0", 5.0, 6.0, 0.0, first),
        ProcessorUse("h0", 6.0, 7.0, 0.0, last),
    ]


@then('its report tells "{text}"')
def check_own_process(context, text):
    found = describe_own_process(context.history)
    assert text in found, found


async def read_recorded(n_read, n_events):
    async def write_events():
        for number in range(n_events):
            yield b"%d" % number

    ends = []
    events = RecordedEvents(write_events(), 0.0, lambda: ends.append(1))
    for _ in range(n_read):
        await anext(events)
    await events.aclose()
    return len(ends)


@then(
    "the end of an answer is recorded once when {n_read:d} of its {n_events:d} events "
    "are read"
)
def check_recorded_end(context, n_read, n_events):
    assert asyncio.run(read_recorded(n_read, n_events)) == 1


@when(
    "a soak with seed {seed:d} runs {n_hosts:d} hosts with {kinds} faults "
    "for {seconds:d} s"
)
def run_random_faults(context, seed, n_hosts, kinds, seconds):
    options = SoakOptions(seed, float(seconds), n_hosts, kinds=KINDS_BY_NAME[kinds])
    if kinds == "first":  # without the additions since then
        options = options._replace(n_engines=3, lull_s=0.0)

    async def run_in(folder):
        async with asyncio.timeout(SOAK_LIMIT_S):
            return await run_soak(options, folder)

    folder = make_folder(KEPT_FOLDER, f"{kinds}-{seed}")
    context.report = asyncio.run(run_in(folder))
    if not context.report.violations:
        shutil.rmtree(folder)


@given("the kept folder of a soak that failed")
def make_kept_folder(context):
    context.parent = Path(tempfile.mkdtemp(prefix="damaskjunction-"))
    context.add_cleanup(shutil.rmtree, context.parent)
    context.kept = make_folder(context.parent, "all-7")
    (context.kept / "history.txt").write_text("first")


@when("soaks with the same seed get their folders")
def make_same_folders(context):
    context.folders = [make_folder(context.parent, "all-7") for _ in range(2)]


@then("each has an empty folder of its own, and the first is as it was")
def check_folders(context):
    assert len({context.kept, *context.folders}) == 3, context.folders
    assert not any(list(folder.iterdir()) for folder in context.folders)
    assert (context.kept / "history.txt").read_text() == "first"


@then("no guarantee was violated")
def check_no_violation(context):
    assert not context.report.violations, (
        context.report.violations,
        context.report.own_process,
        context.report.schedule,
    )
