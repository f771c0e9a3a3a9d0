"""Random histories of a region, and the invariants of each plan."""

from __future__ import annotations

from collections import Counter

from behave import then
from hypothesis import given as hypothesis_given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies
from simulated_region import Region

from damaskjunction.core import HostState, ModelSpec, PlacementSpec
from damaskjunction.placement import RunnerState, RunnerStatus, min_ready_runners

HISTORY = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(
            ["step", "step", "lose", "return", "leave", "load", "roll", "add"]
        ),
        strategies.integers(0, 40),
    ),
    min_size=5,
    max_size=40,
)


@then("in {count:d} random histories no invariant of a plan is violated")
def check_histories(context, count):
    @hypothesis_settings(
        max_examples=count, deadline=None, database=None, derandomize=True
    )
    @hypothesis_given(strategies.integers(0, 12), HISTORY)
    def check(n_engines, history):
        region = make_region(n_engines)
        for event, number in history:
            apply_event(region, event, number)
            ready_before = Counter(
                region.plan.assignments_by_runner[runner_id].service
                for runner_id in region.plan.ready_runners
                if region.statuses_by_runner[runner_id].state is RunnerState.READY
                and region.runners_by_id[runner_id].state is HostState.LIVE
            )
            region.step()
            check_invariants(region, ready_before)
        region.converge()
        converged = region.plan
        region.make_plan()
        assert region.plan == converged

    check()


def make_region(n_engines):
    region = Region()
    region.add_service("base", 1, 3)
    region.add_service("chat", 2, 4, depends_on=("base",), min_data_centres=2)
    region.add_service("parts", 0, 5)
    region.placement = PlacementSpec(1.0, 3.0)
    region.add_engines(n_engines, ["a", "b", "c"])
    return region


def apply_event(region, event, number):
    names = sorted(region.runners_by_id)
    if event == "add":
        region.add_engines(1, ["a", "b", "c"])
    elif event == "roll":
        name = sorted(region.models_by_name)[number % 3]
        region.models_by_name[name] = ModelSpec(name, f"v{number}")
    elif event == "load":
        name = sorted(region.services_by_name)[number % 3]
        region.required_by_service[name] = number % 7
    elif names and event != "step":
        runner_id = names[number % len(names)]
        status = region.statuses_by_runner[runner_id]
        if event == "lose":
            status = RunnerStatus(runner_id, RunnerState.LOST)
        elif event == "return" and status.state is RunnerState.LOST:
            status = RunnerStatus(runner_id, RunnerState.EMPTY)
        elif event == "leave":
            leaving = region.runners_by_id[runner_id]._replace(state=HostState.LEAVING)
            region.runners_by_id[runner_id] = leaving
        region.statuses_by_runner[runner_id] = status


def check_invariants(region, ready_before):
    plan, previous = region.plan, region.previous
    plan_input = region.to_input()
    held = Counter(a.service for a in plan.assignments_by_runner.values())
    moved_runners = region.moved_runners()
    for name, service in region.services_by_name.items():
        # A roll-out may add one idle engine.
        assert held[name] <= service.max_runners + 1, (name, held)
        n_required = min(min_ready_runners(plan_input, service), ready_before[name])
        assert region.n_ready(name) >= n_required, (name, plan, previous)
        if any(plan.assignments_by_runner[r].service == name for r in moved_runners):
            for other in service.depends_on:
                assert region.n_ready(other) >= 1, (name, plan)
    for runner_id in plan.assignments_by_runner:
        assert region.runners_by_id[runner_id].state is HostState.LIVE
    n_in_transition = region.n_in_transition_history[-1].total()
    # make_region's weight store has bandwidth for 3 loads.
    assert n_in_transition <= 3 or not moved_runners, (n_in_transition, plan)
