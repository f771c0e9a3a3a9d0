"""Experiments on planning, the lease, roll-outs and runner readiness."""

from __future__ import annotations

import asyncio
import copy
import itertools
import random
import statistics
import tracemalloc
from collections.abc import Awaitable, Callable, Iterator, Sequence
from typing import Any, NamedTuple

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
from damaskjunction.http import BrokenResponseError, ConnectFailedError
from damaskjunction.lab.experiments import (
    ExperimentOptions,
    ExperimentResult,
    Figure,
    Plot,
    Series,
    at_least,
    at_most,
    experiments,
)
from damaskjunction.lab.load import LoadGenerator, LoadSpec, constant_rate
from damaskjunction.lab.online import start_deployment
from damaskjunction.placement import (
    PlanInput,
    RunnerState,
    RunnerStatus,
    assignment_order_key,
    make_plan,
)
from damaskjunction.settings import read_configuration
from damaskjunction.standins import DeployedFleet

MAX_RUNNERS = 1900
N_WORKSPACES = 4100
N_SERVICES = 40
N_DATA_CENTRES = 4
PLAN_TARGET_S = 0.5
TAKE_OVER_TARGET_S = 7.0
POLL_INTERVAL_S = 0.05
CONVERGENCE_STEPS = 8
STALL_TIMEOUT_S = 2.0


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


class FleetObserver:
    """Reads the state of a running fleet through its HTTP interfaces.

    Parameters
    ----------
    deployed : DeployedFleet
        The running fleet.
    """

    def __init__(self, deployed: DeployedFleet) -> None:
        self.deployed = deployed
        self.unavailable_hosts: set[str] = set()

    async def get_json(self, name: str, target: str) -> Any:
        """Return the JSON document that a process serves at ``target``."""
        response = await self.deployed.fleet.call(
            name, "GET", target, stall_s=STALL_TIMEOUT_S
        )
        return response.to_json()

    def available_hosts(self) -> list[str]:
        """Return the hosts that are not killed or frozen."""
        return [
            host
            for host in self.deployed.hosts_by_id
            if host not in self.unavailable_hosts
        ]

    async def lease_holders(self) -> list[str]:
        """Return the hosts that consider themselves the holder of the lease."""
        documents = await asyncio.gather(
            *(self.get_json(host, "/v1/dump") for host in self.available_hosts())
        )
        pairs = zip(self.available_hosts(), documents, strict=True)
        return [host for host, document in pairs if document["placement"]["may_act"]]

    async def service_summary(self, host: str, name: str) -> Any:
        """Return the summary of a service as a host reports it."""
        document = await self.get_json(host, "/v1/services")
        return {entry["name"]: entry for entry in document["services"]}[name]

    async def wait_until(
        self, condition: Callable[[], Awaitable[bool]], timeout_s: float = 60.0
    ) -> float:
        """Wait until a condition holds and return the seconds that it took.

        Raises
        ------
        TimeoutError
            When it does not hold within ``timeout_s``.
        """
        timers = self.deployed.fleet.timers
        began_s = timers.now()
        while timers.now() < began_s + timeout_s:
            try:
                if await condition():
                    return timers.now() - began_s
            except (ConnectFailedError, BrokenResponseError):
                pass  # the host is unavailable during its fault; poll again
            await asyncio.sleep(POLL_INTERVAL_S)
        raise TimeoutError(f"condition does not hold within {timeout_s:g} s")


@experiments.register("take-over")
async def run_take_over(options: ExperimentOptions) -> ExperimentResult:
    """Measure how long the lease has no holder after a kill or a freeze."""
    # engines that accept stale orders: the hosts themselves must not send any
    deployed = await start_deployment("small", "--ignore-fence")
    observer = FleetObserver(deployed)
    times_by_fault: dict[str, list[float]] = {"kill": [], "freeze": []}
    n_trials = max(2, round(10 * options.scale))
    try:
        for fault in itertools.islice(itertools.cycle(times_by_fault), n_trials):
            times_by_fault[fault].append(await _measure_take_over(observer, fault))
        n_stale = await _count_stale_orders(observer)
    finally:
        await deployed.close()
    figures = []
    for fault, times in times_by_fault.items():
        figures.append(
            Figure(f"take-over after a {fault}, median", _median(times), "s")
        )
        target_s = TAKE_OVER_TARGET_S
        name = f"take-over after a {fault}, max of {len(times)}"
        figures.append(at_most(name, max(times), target_s, "s"))
    figures.append(at_most("stale orders at engines", n_stale, 0))
    return ExperimentResult(tuple(figures), details=dict(times_by_fault))


async def _measure_take_over(observer: FleetObserver, fault: str) -> float:
    async def has_one_holder() -> bool:
        return len(await observer.lease_holders()) == 1

    await observer.wait_until(has_one_holder)
    (holder,) = await observer.lease_holders()
    fleet = observer.deployed.fleet
    observer.unavailable_hosts = {holder}
    if fault == "kill":
        await fleet.kill(holder)
    else:
        fleet.freeze(holder)
    duration_s = await observer.wait_until(has_one_holder)
    if fault == "kill":
        await fleet.restart(holder)
        await fleet.wait_until_responding([holder])
    else:
        fleet.resume(holder)
    observer.unavailable_hosts = set()
    return duration_s


async def _count_stale_orders(observer: FleetObserver) -> int:
    n_stale = 0
    for runner in observer.deployed.runners_by_id.values():
        if runner.kind is ServiceKind.ENGINE:
            document = await observer.get_json(runner.runner_id, "/test/orders")
            n_stale += sum(order["is_stale"] for order in document["orders"])
    return n_stale


def _median(values: Sequence[float]) -> float:
    return statistics.median(values)


@experiments.register("roll-out")
async def run_roll_out(options: ExperimentOptions) -> ExperimentResult:
    """Roll out a model version under a light load; count ready runners and failures."""
    deployed = await start_deployment("idle-engines")
    observer = FleetObserver(deployed)
    addresses = [host.caller for host in deployed.hosts_by_id.values()]
    load = LoadGenerator(deployed.fleet.timers, addresses)
    rate_per_s = 10.0
    duration_s = 45.0 * options.scale
    spec = LoadSpec(
        "caddie-llm",
        constant_rate(rate_per_s),
        rate_per_s,
        duration_s,
        seed=options.seed,
    )
    n_ready_samples: list[int] = []
    try:
        load_task = asyncio.ensure_future(load.run(spec))
        roll_out_s = await _roll_out(observer, n_ready_samples)
        result = await load_task
    finally:
        load.close()
        await deployed.close()
    n_incomplete = len(result.records) - result.n_complete()
    figures = (
        Figure("duration of the roll-out, 3 runners", roll_out_s, "s"),
        at_least("fewest ready runners, 2 needed", min(n_ready_samples), 2),
        Figure("calls", len(result.records)),
        at_most("calls without a whole answer", n_incomplete, 0),
    )
    return ExperimentResult(figures)


async def _roll_out(observer: FleetObserver, n_ready_samples: list[int]) -> float:
    host = observer.available_hosts()[0]
    configuration = copy.deepcopy(dict(observer.deployed.deployment.configuration))
    configuration["models"]["caddie"]["version"] = "v2"
    document = await observer.get_json(host, "/v1/services")
    revision = document["configuration_revision"]
    response = await observer.deployed.apply_configuration(
        expected_revision=revision, text=yaml.safe_dump(configuration)
    )
    applied_revision = response.to_json()["revision"]

    async def is_done() -> bool:
        document = await observer.get_json(host, "/v1/services")
        (service,) = [s for s in document["services"] if s["name"] == "caddie-llm"]
        n_ready_samples.append(service["n_ready"])
        is_planned = document["planned_revision"] >= applied_revision
        return bool(
            is_planned and service["n_ready"] == 3 and not service["n_outdated"]
        )

    return await observer.wait_until(is_done)


@experiments.register("readiness")
async def run_readiness(options: ExperimentOptions) -> ExperimentResult:
    """Measure how soon hosts know of an engine's restart, and platform call rates."""
    deployed = await start_deployment("lima")
    observer = FleetObserver(deployed)
    rng = random.Random(options.seed)
    loss_delays, restart_delays = [], []
    try:
        calls_per_s = await _measure_call_rates(observer, 20.0 * options.scale)
        for _ in range(max(2, round(6 * options.scale))):
            engine = f"caddie-{rng.randrange(5)}"
            await deployed.fleet.kill(engine)
            loss_delays.append(
                await observer.wait_until(_all_hosts_report(observer, 4))
            )
            await deployed.fleet.restart(engine)
            restart_delays.append(
                await observer.wait_until(_all_hosts_report(observer, 5))
            )
    finally:
        await deployed.close()
    figures = [
        Figure("loss known at 9 hosts, median", _median(loss_delays), "s"),
        at_most("loss known at 9 hosts, max", max(loss_delays), 5.0, "s"),
        Figure("restart to ready at 9 hosts, median", _median(restart_delays), "s"),
        Figure("restart to ready at 9 hosts, max", max(restart_delays), "s"),
    ]
    for call, rate in sorted(calls_per_s.items()):
        figures.append(Figure(f"platform calls, {call}", rate, "per s"))
    return ExperimentResult(tuple(figures))


def _all_hosts_report(
    observer: FleetObserver, n_ready: int
) -> Callable[[], Awaitable[bool]]:
    async def have_reported() -> bool:
        summaries = await asyncio.gather(
            *(
                observer.service_summary(host, "caddie-llm")
                for host in observer.available_hosts()
            )
        )
        return all(summary["n_ready"] == n_ready for summary in summaries)

    return have_reported


async def _measure_call_rates(
    observer: FleetObserver, duration_s: float
) -> dict[str, float]:
    """Return platform calls per second on lease and plan, by verb and kind."""
    before = await observer.get_json("platform", "/test/counts")
    await asyncio.sleep(duration_s)
    after = await observer.get_json("platform", "/test/counts")
    return {
        call: (count - before.get(call, 0)) / duration_s
        for call, count in after.items()
        if call.endswith((" lease", " plan"))
    }
