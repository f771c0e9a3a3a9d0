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
from damaskjunction.lab.load import LoadGenerator, LoadSpec, steady
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
N_CENTRES = 4
PLAN_TARGET_S = 0.5
TAKE_OVER_TARGET_S = 7.0
POLL_S = 0.05
SETTLE_STEPS = 8
STALL_S = 2.0


class Trial(NamedTuple):
    """A configuration and the runners of a region, as input of the planner."""

    configuration: Configuration
    runners: Sequence[Runner]


def _make_trial(n_runners: int, chance: random.Random) -> Trial:
    models = {f"model-{n}": ModelSpec(f"model-{n}", "v1") for n in range(N_SERVICES)}
    services = {}
    share = max(2, n_runners // N_SERVICES)
    for number in range(N_SERVICES):
        name = f"service-{number}"
        depends_on = (f"service-{number - 1}",) if number % 4 else ()
        low = chance.randint(1, share)
        services[name] = ServiceSpec(
            name,
            ServiceKind.ENGINE,
            f"model-{number}",
            low,
            low + share // 2,
            depends_on,
            min_data_centres=min(2, low),
        )
    workspaces = {
        f"workspace-{number}": WorkspaceSpec(f"workspace-{number}")
        for number in range(N_WORKSPACES)
    }
    placement = PlacementSpec(weight_store_gb_per_s=1e6)
    configuration = Configuration(1, services, models, workspaces, placement=placement)
    return Trial(configuration, [_make_runner(n) for n in range(n_runners)])


def _make_runner(number: int) -> Runner:
    return Runner(
        f"runner-{number:05d}",
        "lima",
        f"lima-{number % N_CENTRES}",
        Address("127.0.0.1", 1),
        ServiceKind.ENGINE,
    )


def _settle(trial: Trial) -> tuple[Plan, dict[RunnerId, RunnerStatus]]:
    """Return the plan and statuses once converged, if every engine obeys its orders."""
    plan = Plan()
    statuses = {
        runner.runner_id: RunnerStatus(runner.runner_id, RunnerState.EMPTY)
        for runner in trial.runners
    }
    for _ in range(SETTLE_STEPS):
        plan = make_plan(PlanInput(trial.configuration, trial.runners, plan, statuses))
        for runner_id, assignment in plan.assignments_by_runner.items():
            statuses[runner_id] = RunnerStatus(
                runner_id, RunnerState.READY, assignment_order_key(assignment)
            )
    return plan, statuses


def _n_moved(before: Plan, after: Plan) -> int:
    return sum(
        before.assignments_by_runner.get(runner_id) != assignment
        for runner_id, assignment in after.assignments_by_runner.items()
    )


@experiments.register("planner")
async def run_planner(options: ExperimentOptions) -> ExperimentResult:
    """Measure time and peak memory of planning by number of runners."""
    chance = random.Random(options.seed)
    timers = LoopTimers()
    points = []
    figures = []
    for n_runners in (475, 950, MAX_RUNNERS, 2 * MAX_RUNNERS):
        trial = _make_trial(n_runners, chance)
        plan, statuses = _settle(trial)
        lost = chance.choice(sorted(plan.assignments_by_runner))
        statuses[lost] = RunnerStatus(lost, RunnerState.LOST)
        given = PlanInput(trial.configuration, trial.runners, plan, statuses)
        durations = []
        for _ in range(max(3, round(15 * options.scale))):
            began_s = timers.now()
            make_plan(given)
            durations.append(timers.now() - began_s)
        tracemalloc.start()
        make_plan(given)
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
    figures += _measure_text(timers)
    plot = Plot(
        "Time to compute a plan", "runners", "ms", (Series("plan", tuple(points)),)
    )
    return ExperimentResult(tuple(figures), (plot,))


def _measure_text(timers: LoopTimers) -> Iterator[Figure]:
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
    chance = random.Random(options.seed)
    moves = []
    for _ in range(max(5, round(40 * options.scale))):
        trial = _make_trial(chance.randint(20, 400), chance)
        plan, statuses = _settle(trial)
        lost = chance.choice(sorted(plan.assignments_by_runner))
        statuses[lost] = RunnerStatus(lost, RunnerState.LOST)
        given = PlanInput(trial.configuration, trial.runners, plan, statuses)
        moves.append(_n_moved(plan, make_plan(given)))
    figures = (
        Figure("losses", len(moves)),
        Figure("moved by a loss, mean", statistics.mean(moves)),
        at_most("moved by a loss, max", max(moves), 1),
    )
    return ExperimentResult(figures)


class Watch:
    """Reads the state of a running fleet through its HTTP interfaces.

    Parameters
    ----------
    deployed : DeployedFleet
        The running fleet.
    """

    def __init__(self, deployed: DeployedFleet) -> None:
        self.deployed = deployed
        self.away: set[str] = set()

    async def read(self, name: str, target: str) -> Any:
        """Return the JSON document that a process serves at ``target``."""
        answer = await self.deployed.fleet.call(name, "GET", target, stall_s=STALL_S)
        return answer.to_json()

    def hosts(self) -> list[str]:
        """Return the hosts that are not killed or frozen."""
        return [host for host in self.deployed.hosts_by_id if host not in self.away]

    async def holders(self) -> list[str]:
        """Return the hosts that consider themselves the holder of the lease."""
        documents = await asyncio.gather(
            *(self.read(host, "/v1/dump") for host in self.hosts())
        )
        pairs = zip(self.hosts(), documents, strict=True)
        return [host for host, document in pairs if document["placement"]["may_act"]]

    async def service(self, host: str, name: str) -> Any:
        """Return the summary of a service as a host reports it."""
        document = await self.read(host, "/v1/services")
        return {entry["name"]: entry for entry in document["services"]}[name]

    async def until(
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
            await asyncio.sleep(POLL_S)
        raise TimeoutError(f"condition does not hold within {timeout_s:g} s")


@experiments.register("take-over")
async def run_take_over(options: ExperimentOptions) -> ExperimentResult:
    """Measure how long the lease has no holder after a kill or a freeze."""
    deployed = await start_deployment("small", "--ignore-fence")
    watch = Watch(deployed)
    times_by_fault: dict[str, list[float]] = {"kill": [], "freeze": []}
    n_trials = max(2, round(10 * options.scale))
    try:
        for fault in itertools.islice(itertools.cycle(times_by_fault), n_trials):
            times_by_fault[fault].append(await _take_over(watch, fault))
        n_stale = await _n_stale(watch)
    finally:
        await deployed.close()
    figures = []
    for fault, times in times_by_fault.items():
        figures.append(
            Figure(f"take-over after a {fault}, median", _median(times), "s")
        )
        bound = TAKE_OVER_TARGET_S
        name = f"take-over after a {fault}, max of {len(times)}"
        figures.append(at_most(name, max(times), bound, "s"))
    figures.append(at_most("stale orders at engines", n_stale, 0))
    return ExperimentResult(tuple(figures), details=dict(times_by_fault))


async def _take_over(watch: Watch, fault: str) -> float:
    async def has_one() -> bool:
        return len(await watch.holders()) == 1

    await watch.until(has_one)
    (holder,) = await watch.holders()
    fleet = watch.deployed.fleet
    watch.away = {holder}
    if fault == "kill":
        await fleet.kill(holder)
    else:
        fleet.freeze(holder)
    duration_s = await watch.until(has_one)
    if fault == "kill":
        await fleet.restart(holder)
        await fleet.wait_until_answering([holder])
    else:
        fleet.thaw(holder)
    watch.away = set()
    return duration_s


async def _n_stale(watch: Watch) -> int:
    n_stale = 0
    for runner in watch.deployed.runners_by_id.values():
        if runner.kind is ServiceKind.ENGINE:
            document = await watch.read(runner.runner_id, "/test/orders")
            n_stale += sum(order["is_stale"] for order in document["orders"])
    return n_stale


def _median(values: Sequence[float]) -> float:
    return statistics.median(values)


@experiments.register("roll-out")
async def run_roll_out(options: ExperimentOptions) -> ExperimentResult:
    """Roll out a model version under a light load; count ready runners and failures."""
    deployed = await start_deployment("idle-engines")
    watch = Watch(deployed)
    addresses = [host.caller for host in deployed.hosts_by_id.values()]
    generator = LoadGenerator(deployed.fleet.timers, addresses)
    rate_per_s = 10.0
    duration_s = 45.0 * options.scale
    spec = LoadSpec(
        "caddie-llm", steady(rate_per_s), rate_per_s, duration_s, seed=options.seed
    )
    n_ready_seen: list[int] = []
    try:
        load = asyncio.ensure_future(generator.run(spec))
        rolled_s = await _roll_out(watch, n_ready_seen)
        result = await load
    finally:
        generator.close()
        await deployed.close()
    n_lacking = len(result.records) - result.n_whole()
    figures = (
        Figure("duration of the roll-out, 3 runners", rolled_s, "s"),
        at_least("fewest ready runners, 2 needed", min(n_ready_seen), 2),
        Figure("calls", len(result.records)),
        at_most("calls without a whole answer", n_lacking, 0),
    )
    return ExperimentResult(figures)


async def _roll_out(watch: Watch, n_ready_seen: list[int]) -> float:
    host = watch.hosts()[0]
    text = copy.deepcopy(dict(watch.deployed.deployment.text))
    text["models"]["caddie"]["version"] = "v2"
    document = await watch.read(host, "/v1/services")
    revision = document["configuration_revision"]
    answer = await watch.deployed.apply_text(
        expected_revision=revision, text=yaml.safe_dump(text)
    )
    applied = answer.to_json()["revision"]

    async def is_done() -> bool:
        document = await watch.read(host, "/v1/services")
        (service,) = [s for s in document["services"] if s["name"] == "caddie-llm"]
        n_ready_seen.append(service["n_ready"])
        is_planned = document["planned_revision"] >= applied
        return bool(
            is_planned and service["n_ready"] == 3 and not service["n_outdated"]
        )

    return await watch.until(is_done)


@experiments.register("readiness")
async def run_readiness(options: ExperimentOptions) -> ExperimentResult:
    """Measure how soon hosts know of an engine's restart, and platform call rates."""
    deployed = await start_deployment("lima")
    watch = Watch(deployed)
    chance = random.Random(options.seed)
    noticed, ready = [], []
    try:
        calls_per_s = await _count_calls(watch, 20.0 * options.scale)
        for _ in range(max(2, round(6 * options.scale))):
            engine = f"caddie-{chance.randrange(5)}"
            await deployed.fleet.kill(engine)
            noticed.append(await watch.until(_all_hosts_tell(watch, 4)))
            await deployed.fleet.restart(engine)
            ready.append(await watch.until(_all_hosts_tell(watch, 5)))
    finally:
        await deployed.close()
    figures = [
        Figure("loss known at 9 hosts, median", _median(noticed), "s"),
        at_most("loss known at 9 hosts, max", max(noticed), 5.0, "s"),
        Figure("restart to ready at 9 hosts, median", _median(ready), "s"),
        Figure("restart to ready at 9 hosts, max", max(ready), "s"),
    ]
    for call, rate in sorted(calls_per_s.items()):
        figures.append(Figure(f"platform calls, {call}", rate, "per s"))
    return ExperimentResult(tuple(figures))


def _all_hosts_tell(watch: Watch, n_ready: int) -> Callable[[], Awaitable[bool]]:
    async def do_tell() -> bool:
        summaries = await asyncio.gather(
            *(watch.service(host, "caddie-llm") for host in watch.hosts())
        )
        return all(summary["n_ready"] == n_ready for summary in summaries)

    return do_tell


async def _count_calls(watch: Watch, duration_s: float) -> dict[str, float]:
    """Return platform calls per second on the lease and the plan, by call."""
    before = await watch.read("platform", "/test/counts")
    await asyncio.sleep(duration_s)
    after = await watch.read("platform", "/test/counts")
    return {
        call: (count - before.get(call, 0)) / duration_s
        for call, count in after.items()
        if call.endswith((" lease", " plan"))
    }
