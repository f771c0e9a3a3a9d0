"""Experiments on the planner alone: its cost, and how few assignments it moves."""

from __future__ import annotations

import random
import statistics
import tracemalloc
from collections.abc import Iterator, Sequence
from typing import NamedTuple

import yaml

from damaskjunction.core import (
    Address,
    Configuration,
    LoopTimers,
    ModelSpec,
    PlacementSpec,
    Plan,
    Runner,
    RunnerId,
    ServiceKind,
    ServiceSpec,
    WorkspaceSpec,
)
from damaskjunction.lab.experiments import (
    ExperimentOptions,
    ExperimentResult,
    Figure,
    Plot,
    Series,
    at_most,
    experiments,
)
from damaskjunction.placement import (
    PlanInput,
    RunnerState,
    RunnerStatus,
    assignment_order_key,
    make_plan,
)
from damaskjunction.settings import read_configuration

MAX_RUNNERS = 1900
N_WORKSPACES = 4100
N_SERVICES = 40
N_DATA_CENTRES = 4
PLAN_TARGET_S = 0.5
CONVERGENCE_STEPS = 8


class PlannerScenario(NamedTuple):
    """A configuration and the runners of a region, as input of the planner."""

    configuration: Configuration
    runners: Sequence[Runner]


def _make_scenario(n_runners: int, rng: random.Random) -> PlannerScenario:
    models = {f"model-{n}": ModelSpec(f"model-{n}", "v1") for n in range(N_SERVICES)}
    services = {}
    runners_per_service = max(2, n_runners // N_SERVICES)
    for number in range(N_SERVICES):
        name = f"service-{number}"
        depends_on = (f"service-{number - 1}",) if number % 4 else ()
        min_runners = rng.randint(1, runners_per_service)
        services[name] = ServiceSpec(
            name,
            ServiceKind.ENGINE,
            f"model-{number}",
            min_runners,
            min_runners + runners_per_service // 2,
            depends_on,
            min_data_centres=min(2, min_runners),
        )
    workspaces = {
        f"workspace-{number}": WorkspaceSpec(f"workspace-{number}")
        for number in range(N_WORKSPACES)
    }
    # enough bandwidth that the number of concurrent loads is not limited
    placement = PlacementSpec(weight_store_gb_per_s=1e6)
    configuration = Configuration(1, services, models, workspaces, placement=placement)
    return PlannerScenario(configuration, [_make_runner(n) for n in range(n_runners)])


def _make_runner(number: int) -> Runner:
    return Runner(
        f"runner-{number:05d}",
        "lima",
        f"lima-{number % N_DATA_CENTRES}",
        Address("127.0.0.1", 1),
        ServiceKind.ENGINE,
    )


def _converge(scenario: PlannerScenario) -> tuple[Plan, dict[RunnerId, RunnerStatus]]:
    """Return the plan and statuses once converged, if every engine obeys its orders."""
    plan = Plan()
    statuses = {
        runner.runner_id: RunnerStatus(runner.runner_id, RunnerState.EMPTY)
        for runner in scenario.runners
    }
    for _ in range(CONVERGENCE_STEPS):
        plan = make_plan(
            PlanInput(scenario.configuration, scenario.runners, plan, statuses)
        )
        for runner_id, assignment in plan.assignments_by_runner.items():
            statuses[runner_id] = RunnerStatus(
                runner_id, RunnerState.READY, assignment_order_key(assignment)
            )
    return plan, statuses


def _count_moves(before: Plan, after: Plan) -> int:
    return sum(
        before.assignments_by_runner.get(runner_id) != assignment
        for runner_id, assignment in after.assignments_by_runner.items()
    )


@experiments.register("planner")
async def run_planner(options: ExperimentOptions) -> ExperimentResult:
    """Measure time and peak memory of planning by number of runners."""
    rng = random.Random(options.seed)
    timers = LoopTimers()
    points = []
    figures = []
    for n_runners in (475, 950, MAX_RUNNERS, 2 * MAX_RUNNERS):
        scenario = _make_scenario(n_runners, rng)
        plan, statuses = _converge(scenario)
        lost = rng.choice(sorted(plan.assignments_by_runner))
        statuses[lost] = RunnerStatus(lost, RunnerState.LOST)
        plan_input = PlanInput(scenario.configuration, scenario.runners, plan, statuses)
        durations = []
        for _ in range(max(3, round(15 * options.scale))):
            began_s = timers.now()
            make_plan(plan_input)
            durations.append(timers.now() - began_s)
        tracemalloc.start()
        make_plan(plan_input)
        _, peak_bytes = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        median_s = statistics.median(durations)
        points.append((float(n_runners), median_s * 1000))
        figures.append(Figure(f"plan, {n_runners} runners, median", median_s, "s"))
        figures.append(Figure("  its peak memory", peak_bytes / 1e6, "MB"))
        if n_runners == MAX_RUNNERS:
            name = f"plan, {n_runners} runners, max"
            figures.append(at_most(name, max(durations), PLAN_TARGET_S, "s"))
    slope_us = 1000 * (points[2][1] - points[0][1]) / (points[2][0] - points[0][0])
    figures.append(Figure("slope, 475 to 1900 runners", slope_us, "us/runner"))
    figures += _measure_configuration_read(timers)
    plot = Plot(
        "Time to compute a plan", "runners", "ms", (Series("plan", tuple(points)),)
    )
    return ExperimentResult(tuple(figures), (plot,))


def _measure_configuration_read(timers: LoopTimers) -> Iterator[Figure]:
    """Yield how long it takes to read a configuration with all workspaces."""
    document = {
        "services": {"api": {"kind": "plain"}},
        "workspaces": {
            f"workspace-{number}": {"key_digests": [f"{number:064x}"]}
            for number in range(N_WORKSPACES)
        },
    }
    text = yaml.safe_dump(document)
    began_s = timers.now()
    read_configuration(text, "text")
    name = f"reading a text of {N_WORKSPACES} workspaces"
    yield Figure(name, timers.now() - began_s, "s")


@experiments.register("movement")
async def run_movement(options: ExperimentOptions) -> ExperimentResult:
    """Count the assignments that change when one runner is lost."""
    rng = random.Random(options.seed)
    moves = []
    for _ in range(max(5, round(40 * options.scale))):
        scenario = _make_scenario(rng.randint(20, 400), rng)
        plan, statuses = _converge(scenario)
        lost = rng.choice(sorted(plan.assignments_by_runner))
        statuses[lost] = RunnerStatus(lost, RunnerState.LOST)
        plan_input = PlanInput(scenario.configuration, scenario.runners, plan, statuses)
        moves.append(_count_moves(plan, make_plan(plan_input)))
    figures = (
        Figure("losses", len(moves)),
        Figure("moved by a loss, mean", statistics.mean(moves)),
        at_most("moved by a loss, max", max(moves), 1),
    )
    return ExperimentResult(figures)
