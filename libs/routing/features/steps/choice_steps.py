"""Steps of the feature on runner selection."""

from __future__ import annotations

from behave import given, then, when

from damaskjunction.core import Address, Runner, ServiceKind, WorkClass
from damaskjunction.routing import (
    ChoiceInput,
    RunnerLoad,
    RunnerLoads,
    runner_choices,
)

PREFIX = "Rules of golf. " * 40


@given("{count:d} runners")
def make_runners(context, count):
    context.runners = [
        Runner(f"runner-{n}", "r", "d", Address("", n), ServiceKind.ENGINE)
        for n in range(count)
    ]
    context.loads = RunnerLoads()
    context.now_s = 0.0


def order(context, prompt, occupancies):
    choose = runner_choices.get("prefix_affinity")
    return choose(ChoiceInput(prompt, context.runners, occupancies))


@then("the same runner comes first for {count:d} prompts with one prefix")
def check_affinity(context, count):
    first_runners = {order(context, f"{PREFIX}{n}", {})[0] for n in range(count)}
    assert len(first_runners) == 1, first_runners


@when("the preferred runner has {n_preferred:d} requests and the others {n_other:d}")
def load_runners(context, n_preferred, n_other):
    context.preferred = order(context, PREFIX, {})[0]
    counts = {
        runner.runner_id: n_preferred if runner == context.preferred else n_other
        for runner in context.runners
    }
    context.occupancies = {name: n / 8 for name, n in counts.items()}


@then("the preferred runner is not first")
def check_overflow(context):
    assert order(context, PREFIX, context.occupancies)[0] != context.preferred


@when(
    '"{runner_id}" reports {n_online:d} online and {n_batch:d} batch '
    "with capacity {n:d}"
)
def report_load(context, runner_id, n_online, n_batch, n):
    load = RunnerLoad(runner_id, n, n_online, n_batch)
    context.loads.record(load, context.now_s)


@when('{count:d} requests are sent to "{runner_id}"')
def send(context, count, runner_id):
    for _ in range(count):
        context.loads.begin_request(runner_id)


@when("{duration_s:g} s pass without a report")
def pass_time_silently(context, duration_s):
    context.now_s += duration_s


@then('the occupancy of "{runner_id}" is {online:g} for online and {batch:g} for batch')
def check_occupancy(context, runner_id, online, batch):
    for work_class, expected in (
        (WorkClass.ONLINE, online),
        (WorkClass.BATCH, batch),
    ):
        occupancies = context.loads.occupancies(
            context.runners, work_class, context.now_s
        )
        assert occupancies[runner_id] == expected, (work_class, occupancies)
