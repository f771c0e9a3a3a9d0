"""Steps of the features on the evidence of crashes."""

from __future__ import annotations

import crash_machine
from behave import given, then, when
from crash_simulation import run_bursts, run_simulation

from damaskjunction.routing import (
    SHARED_RUNS,
    CrashEvidence,
    CrashReport,
    RequestTraits,
)

SERVICE = "llm"


def split(text):
    return tuple(text.split(","))


def report_crash(context, runner, *requests, answered=()):
    accused = tuple(RequestTraits(split(text)) for text in requests)
    report = CrashReport(SERVICE, runner, accused, answered, 0.0)
    context.evidence.record_crash(report, context.now_s)


@given("no crashes")
def make_evidence(context):
    context.now_s = 100.0
    context.n_runners = 0
    context.evidence = CrashEvidence("h1")


@when('runner "{runner}" crashes under requests "{traits}" while it answers "{others}"')
def crash_while_answering(context, runner, traits, others):
    report_crash(context, runner, traits, answered=split(others))


@when('runner "{runner}" crashes under requests "{traits}" and "{others}"')
def crash_under_two(context, runner, traits, others):
    report_crash(context, runner, traits, others)


@when('runner "{runner}" crashes under requests "{traits}"')
def crash(context, runner, traits):
    report_crash(context, runner, traits)


@when('{count:d} runners crash under requests "{traits}"')
def crash_several(context, count, traits):
    for _ in range(count):
        context.n_runners += 1
        report_crash(context, f"runner-{context.n_runners}", traits)


@when('a request "{traits}" is answered')
def answer(context, traits):
    context.now_s += 0.01
    context.evidence.record_answer(split(traits), context.now_s, context.now_s)


@when("{duration_s:g} s go by")
def wait(context, duration_s):
    context.now_s += duration_s


@when("another home adopts the suspects twice")
def move_home(context):
    suspects = context.evidence.suspects
    context.evidence = CrashEvidence("h2")
    for _ in range(2):
        for number, suspect in enumerate(suspects):
            context.evidence.import_suspect(f"s{number}", suspect, context.now_s)


@when("the other home clears the suspects")
def clear_elsewhere(context):
    context.evidence.forget_suspect("s0", context.now_s)


@then('a request "{traits}" may run')
def check_may_run(context, traits):
    assert context.evidence.blocked_for_s(split(traits), context.now_s) == 0.0


@then('a request "{traits}" is blocked')
def check_blocked(context, traits):
    assert context.evidence.blocked_for_s(split(traits), context.now_s) > 0.0


@then('the suspects are "{text}"')
def check_suspects(context, text):
    found = [
        f"{','.join(suspect.traits)}:{len(suspect.crash_ids)}"
        for suspect in context.evidence.suspects
    ]
    assert found == text.split(), found


@then(
    "in {count:d} random runs with {n_deadly:d} deadly parts at most {limit:d} "
    "requests of each part run"
)
def check_random_runs(context, count, n_deadly, limit):
    context.outcomes = [run_simulation(seed, n_deadly) for seed in range(count)]
    for outcome in context.outcomes:
        assert max(outcome.n_runs_by_deadly_part.values()) <= limit, outcome


@then(
    "in {count:d} random runs with bursts of accidents fewer sound requests are "
    "blocked than with the same first pause in a burst as else"
)
def check_bursts(context, count):
    regular_pause_s = SHARED_RUNS.trial_pauses_s[0]
    same_pause = SHARED_RUNS._replace(burst_pause_s=regular_pause_s)
    assert n_blocked_in_bursts(count, SHARED_RUNS) < n_blocked_in_bursts(
        count, same_pause
    )


def n_blocked_in_bursts(count, policy):
    return sum(run_bursts(seed, policy).n_sound_blocked for seed in range(count))


@then("each sound part is served")
def check_sound_served(context):
    for outcome in context.outcomes:
        assert not outcome.unserved_parts, outcome
        assert outcome.n_sound_blocked <= outcome.n_sound // 50, outcome


@then('{count:d} random runs of "{machine}" find no fault')
def check_machine_clean(context, count, machine):
    crash_machine.run_machine(machine, count)


@then('{count:d} random runs of "{fault}" find a fault')
def check_machine_finds(context, count, fault):
    try:
        crash_machine.run_machine(fault, count)
    except AssertionError:
        return
    raise AssertionError(f"injected fault was not found: {fault}")
