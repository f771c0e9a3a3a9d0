"""Experiments on admission: batch interference, overload, policies, CPU per call."""

from __future__ import annotations

import asyncio
import itertools
import os
import random
from collections.abc import Callable
from pathlib import Path
from typing import NamedTuple

from damaskjunction.core import EntryHost, Runner, ServiceKind
from damaskjunction.lab.batch_load import BatchCounts, BatchLoad, BatchSpec
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
from damaskjunction.lab.load import (
    COMPLETE,
    FIRST_TOKEN,
    TOKEN_INTERVAL,
    CallRecord,
    LoadGenerator,
    LoadSpec,
    constant_rate,
)
from damaskjunction.lab.online import start_deployment
from damaskjunction.routing import home_of
from damaskjunction.standins import DeployedFleet
from damaskjunction.telemetry import Metrics

SERVICE = "caddie-llm"
WORKSPACE = "carritos"
N_TOKENS = 16
ENGINE_STEP_S = 0.018  # of an EngineSpeed engine with all slots in use
# one step for prefill, one for each token and one for the end event
SERVICE_TIME_S = (N_TOKENS + 2) * ENGINE_STEP_S
SLOTS = 8
PERCENTILES = (50.0, 95.0, 99.0)

PHASE_S = 12.0
BASE_PER_S = 10.0
BURST_FACTOR = 4.0
BURST_PERIOD_S = 6.0
BURST_LENGTHS_S = (1.0, 5.0)
N_PHASE_PAIRS = 2
WARM_UP_S = 2.0

LOAD_FACTORS = (0.5, 1.0, 2.0, 5.0)
OVERLOAD_DEADLINE_S = 2.0
OVERLOAD_PHASE_S = 8.0

POLICIES = ("home", "least_reported_load", "static_share")


def engine_runners(deployed: DeployedFleet) -> list[Runner]:
    """Return the runners of a deployment that are model engines."""
    return [
        runner
        for runner in deployed.runners_by_id.values()
        if runner.kind is ServiceKind.ENGINE
    ]


def home_chooser(deployed: DeployedFleet) -> Callable[[Runner], EntryHost]:
    """Return a function that maps a runner to its home host."""
    hosts = list(deployed.hosts_by_id.values())

    def choose(runner: Runner) -> EntryHost:
        home = home_of(runner, hosts)
        assert home is not None
        return home

    return choose


def round_robin_chooser(deployed: DeployedFleet) -> Callable[[Runner], EntryHost]:
    """Return a function that picks the hosts round robin, whatever the runner."""
    hosts = itertools.cycle(deployed.hosts_by_id.values())
    return lambda runner: next(hosts)


def random_bursts(seed: int, duration_s: float) -> Callable[[float], float]:
    """Return an arrival rate with bursts of 1 to 5 s at four times the base rate."""
    rng = random.Random(seed)
    ends = {
        begin_s: begin_s + rng.uniform(*BURST_LENGTHS_S)
        for begin_s in range(1, int(duration_s), int(BURST_PERIOD_S))
    }

    def rate(at_s: float) -> float:
        is_burst = any(begin_s <= at_s < end_s for begin_s, end_s in ends.items())
        return BASE_PER_S * (BURST_FACTOR if is_burst else 1.0)

    return rate


class PhaseResult(NamedTuple):
    """Results of one phase of load."""

    records: list[CallRecord]
    batch: BatchCounts
    duration_s: float

    def n_online_tokens(self) -> int:
        """Return the number of tokens in complete online responses."""
        return N_TOKENS * sum(record.outcome == COMPLETE for record in self.records)


class LoadHarness:
    """Generates online and batch load on a running deployment.

    Parameters
    ----------
    deployed : DeployedFleet
        The running fleet.
    options : ExperimentOptions
        Seed and length of the load.
    """

    def __init__(self, deployed: DeployedFleet, options: ExperimentOptions) -> None:
        self._deployed = deployed
        self._options = options
        self._timers = deployed.fleet.timers
        addresses = [host.caller for host in deployed.hosts_by_id.values()]
        self._load = LoadGenerator(self._timers, addresses)

    async def close(self) -> None:
        """Close the load generator and stop the fleet."""
        self._load.close()
        await self._deployed.close()

    async def run_online(self, spec: LoadSpec, metrics: Metrics) -> PhaseResult:
        """Generate online load without batch and return the results."""
        result = await self._load.run(spec, metrics)
        return PhaseResult(list(result.records), BatchCounts(), spec.duration_s)

    async def run_with_batch(
        self,
        spec: LoadSpec | None,
        metrics: Metrics,
        chooser: Callable[[Runner], EntryHost],
    ) -> PhaseResult:
        """Generate online load, if any, together with all the batch load admitted."""
        duration_s = spec.duration_s if spec else PHASE_S * self._options.scale / 2
        seed = self._options.seed
        batch = BatchLoad(
            self._timers, BatchSpec(SERVICE, WORKSPACE, seed=seed), chooser
        )
        batch.start(engine_runners(self._deployed))
        try:
            await asyncio.sleep(WARM_UP_S)
            before, begin_s = batch.counts, self._timers.now()
            records = []
            if spec is not None:
                records = list((await self._load.run(spec, metrics)).records)
            else:
                await asyncio.sleep(duration_s)
            after, end_s = batch.counts, self._timers.now()
        finally:
            await batch.close()
        counts = BatchCounts(*(b - a for a, b in zip(before, after, strict=True)))
        return PhaseResult(records, counts, end_s - begin_s)

    def bursty_spec(self, number: int) -> LoadSpec:
        """Return the bursty online load that both phases of a pair use."""
        seed = self._options.seed * 100 + number
        duration_s = PHASE_S * self._options.scale
        rate = random_bursts(seed, duration_s)
        return LoadSpec(
            SERVICE,
            rate,
            BASE_PER_S * BURST_FACTOR,
            duration_s,
            n_tokens=N_TOKENS,
            seed=seed,
        )


def timing_figures(name: str, metrics: Metrics) -> list[Figure]:
    """Return percentiles of the time to first token and of the token interval."""
    return [
        Figure(
            f"{name} {metric} p{percent:g}", metrics.percentile_s(metric, percent), "s"
        )
        for metric in (FIRST_TOKEN, TOKEN_INTERVAL)
        for percent in PERCENTILES
    ]


def complete_fraction(phases: list[PhaseResult]) -> float:
    """Return the fraction of calls that got a complete response."""
    records = [record for phase in phases for record in phase.records]
    return sum(record.outcome == COMPLETE for record in records) / max(1, len(records))


@experiments.register("interference")
async def run_interference(options: ExperimentOptions) -> ExperimentResult:
    """Compare bursty online load with and without batch, in pairs of phases."""
    deployed = await start_deployment("small")
    harness = LoadHarness(deployed, options)
    chooser = home_chooser(deployed)
    without_batch, with_batch = Metrics(), Metrics()
    phases_without_batch, phases_with_batch = [], []
    try:
        await harness.run_online(harness.bursty_spec(0), Metrics())
        for number in range(1, N_PHASE_PAIRS + 1):
            spec = harness.bursty_spec(number)
            phases_without_batch.append(await harness.run_online(spec, without_batch))
            phases_with_batch.append(
                await harness.run_with_batch(spec, with_batch, chooser)
            )
        batch_only = await harness.run_with_batch(None, Metrics(), chooser)
    finally:
        await harness.close()
    capacity_per_s = batch_only.batch.n_tokens / batch_only.duration_s
    duration_s = sum(phase.duration_s for phase in phases_with_batch)
    n_online = sum(phase.n_online_tokens() for phase in phases_with_batch)
    n_batch = sum(phase.batch.n_tokens for phase in phases_with_batch)
    n_idle_tokens = capacity_per_s * duration_s - n_online
    figures = [
        Figure(
            "online calls in each half",
            sum(len(p.records) for p in phases_without_batch),
        ),
        Figure("online whole without batch", complete_fraction(phases_without_batch)),
        Figure("online whole with batch", complete_fraction(phases_with_batch)),
        *timing_figures("without batch", without_batch),
        *timing_figures("with batch", with_batch),
    ]
    for metric in (FIRST_TOKEN, TOKEN_INTERVAL):
        ratio = with_batch.percentile_s(metric, 99.0) / without_batch.percentile_s(
            metric, 99.0
        )
        figures.append(at_most(f"{metric} p99 with / without", ratio, 1.10))
    n_wrong = sum(phase.batch.n_wrong for phase in phases_with_batch)
    n_errors = sum(phase.batch.n_errors for phase in phases_with_batch)
    figures += [
        Figure("capacity", capacity_per_s, "tokens/s"),
        Figure("online", n_online / duration_s, "tokens/s"),
        Figure("batch beside online", n_batch / duration_s, "tokens/s"),
        at_least("idle capacity used by batch", n_batch / n_idle_tokens, 0.8),
        at_most("batch tokens lost, doubled or wrong", n_wrong, 0),
        Figure("batch requests ended by an error", n_errors),
    ]
    return ExperimentResult(tuple(figures))


@experiments.register("overload")
async def run_overload(options: ExperimentOptions) -> ExperimentResult:
    """Measure goodput (responses within the deadline) below and above capacity."""
    deployed = await start_deployment("small")
    harness = LoadHarness(deployed, options)
    n_runners = len(engine_runners(deployed))
    capacity_per_s = n_runners * SLOTS / SERVICE_TIME_S
    duration_s = OVERLOAD_PHASE_S * options.scale
    goodput_by_factor: dict[float, float] = {}
    figures = [Figure("capacity", capacity_per_s, "answers/s")]
    details: dict[str, dict[str, int]] = {}
    try:
        await harness.run_online(harness.bursty_spec(0), Metrics())
        for factor in LOAD_FACTORS:
            rate = factor * capacity_per_s
            spec = LoadSpec(
                SERVICE,
                constant_rate(rate),
                rate,
                duration_s,
                n_tokens=N_TOKENS,
                deadline_s=OVERLOAD_DEADLINE_S,
                seed=options.seed,
            )
            phase = await harness.run_online(spec, Metrics())
            goodput = sum(map(is_complete_in_time, phase.records)) / duration_s
            goodput_by_factor[factor] = goodput
            figures.append(Figure(f"goodput at {factor:g}x", goodput, "answers/s"))
            details[f"{factor:g}x"] = count_outcomes(phase.records)
    finally:
        await harness.close()
    ratio = goodput_by_factor[5.0] / goodput_by_factor[1.0]
    figures.append(at_least("goodput at 5x / 1x", ratio, 0.95))
    points = tuple(goodput_by_factor.items())
    plot = Plot(
        "Complete responses within 2 s",
        "offered load / capacity",
        "answers/s",
        (Series("home", points),),
    )
    return ExperimentResult(tuple(figures), (plot,), details)


def is_complete_in_time(record: CallRecord) -> bool:
    """Return whether a call got its complete response within the deadline."""
    duration_s = record.ended_s - record.started_s
    return record.outcome == COMPLETE and duration_s <= OVERLOAD_DEADLINE_S


def count_outcomes(records: list[CallRecord]) -> dict[str, int]:
    """Return the number of calls by outcome and reason."""
    counts: dict[str, int] = {}
    for record in records:
        key = f"{record.outcome} {record.reason}".strip()
        counts[key] = counts.get(key, 0) + 1
    return counts


@experiments.register("home-vs-direct")
async def run_admission_policies(options: ExperimentOptions) -> ExperimentResult:
    """Compare admission policies under the same online bursts and saturating batch."""
    figures: list[Figure] = []
    details = {}
    for policy in POLICIES:
        settings = {"admission": policy}
        deployed = await start_deployment("small", host_settings=settings)
        harness = LoadHarness(deployed, options)
        is_home = policy == "home"
        chooser = home_chooser(deployed) if is_home else round_robin_chooser(deployed)
        metrics = Metrics()
        try:
            await harness.run_online(harness.bursty_spec(0), Metrics())
            spec = harness.bursty_spec(1)
            phase = await harness.run_with_batch(spec, metrics, chooser)
        finally:
            await harness.close()
        figures += [
            Figure(f"{policy} online whole", complete_fraction([phase])),
            *timing_figures(policy, metrics),
            Figure(
                f"{policy} batch", phase.batch.n_tokens / phase.duration_s, "tokens/s"
            ),
        ]
        details[policy] = count_outcomes(phase.records)
    return ExperimentResult(tuple(figures), details=details)


SMALL_ENGINE_ARGUMENTS = ("--slots", "3")
TOKEN_INTERVAL_TARGET_S = 0.047  # default of ServiceSpec.token_interval_s


@experiments.register("learned-limit")
async def run_adaptive_limit(options: ExperimentOptions) -> ExperimentResult:
    """Measure online load on runners with fewer slots than the configuration states."""
    figures: list[Figure] = []
    for policy in ("home", "fixed_limit"):
        settings = {"admission": policy}
        deployed = await start_deployment(
            "small", *SMALL_ENGINE_ARGUMENTS, host_settings=settings
        )
        harness = LoadHarness(deployed, options)
        rate = constant_rate(BASE_PER_S / 2)
        spec = LoadSpec(
            SERVICE,
            rate,
            BASE_PER_S / 2,
            PHASE_S * options.scale,
            n_tokens=N_TOKENS,
            seed=options.seed,
        )
        metrics = Metrics()
        chooser = home_chooser(deployed)
        try:
            await harness.run_online(spec, Metrics())
            phase = await harness.run_with_batch(spec, metrics, chooser)
        finally:
            await harness.close()
        p95_s = metrics.percentile_s(TOKEN_INTERVAL, 95.0)
        name = f"{policy} {TOKEN_INTERVAL} p95"
        if policy == "home":
            figures.append(at_most(name, p95_s, TOKEN_INTERVAL_TARGET_S, "s"))
        else:
            figures.append(Figure(name, p95_s, "s"))
        batch_per_s = phase.batch.n_tokens / phase.duration_s
        figures.append(Figure(f"{policy} batch", batch_per_s, "tokens/s"))
    return ExperimentResult(tuple(figures))


COST_RATE_PER_S = 20.0
COST_PHASE_S = 8.0
COST_TOKENS = (1, 33)
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")


class CallPathHosts(NamedTuple):
    """The entry host that the callers use, and the home hosts of the runners."""

    entry: str
    homes: tuple[str, ...]


class CallCost(NamedTuple):
    """CPU seconds of one call, at the entry host and at the home hosts."""

    n_tokens: int
    entry_s: float
    home_s: float


@experiments.register("call-cost")
async def run_call_cost(options: ExperimentOptions) -> ExperimentResult:
    """Measure CPU time per call and per token, at the entry and home hosts."""
    deployed = await start_deployment("small")
    choose_home = home_chooser(deployed)
    homes = {choose_home(runner).host_id for runner in engine_runners(deployed)}
    entry_id = next(name for name in deployed.hosts_by_id if name not in homes)
    address = deployed.hosts_by_id[entry_id].caller
    load = LoadGenerator(deployed.fleet.timers, [address])
    try:
        hosts = CallPathHosts(entry_id, tuple(homes))
        await _measure_cost(deployed, load, COST_TOKENS[0], hosts, options)
        few, many = [
            await _measure_cost(deployed, load, n_tokens, hosts, options)
            for n_tokens in COST_TOKENS
        ]
    finally:
        load.close()
        await deployed.close()
    n_tokens = many.n_tokens - few.n_tokens
    entry_s = (many.entry_s - few.entry_s) / n_tokens
    home_s = (many.home_s - few.home_s) / n_tokens
    return ExperimentResult(
        (
            Figure("entry host, each call", 1e6 * (few.entry_s - entry_s), "us"),
            Figure("entry host, each token", 1e6 * entry_s, "us"),
            Figure("home, each call", 1e6 * (few.home_s - home_s), "us"),
            Figure("home, each token", 1e6 * home_s, "us"),
        )
    )


async def _measure_cost(
    deployed: DeployedFleet,
    load: LoadGenerator,
    n_tokens: int,
    hosts: CallPathHosts,
    options: ExperimentOptions,
) -> CallCost:
    """Return the CPU time of a call, less what the hosts use when idle."""
    duration_s = COST_PHASE_S * options.scale
    names = [hosts.entry, *hosts.homes]
    idle_begin_by_host = {name: cpu_seconds_of(deployed, name) for name in names}
    await asyncio.sleep(duration_s)
    load_begin_by_host = {name: cpu_seconds_of(deployed, name) for name in names}
    spec = LoadSpec(
        SERVICE,
        constant_rate(COST_RATE_PER_S),
        COST_RATE_PER_S,
        duration_s,
        n_tokens=n_tokens,
        seed=options.seed,
    )
    result = await load.run(spec)
    used_by_host = {
        name: cpu_seconds_of(deployed, name)
        - 2 * load_begin_by_host[name]
        + idle_begin_by_host[name]
        for name in names
    }
    n_calls = len(result.records)
    home_s = sum(used_by_host[name] for name in hosts.homes)
    return CallCost(n_tokens, used_by_host[hosts.entry] / n_calls, home_s / n_calls)


def cpu_seconds_of(deployed: DeployedFleet, name: str) -> float:
    """Return the user and system CPU time of a process, in seconds."""
    stat = Path(f"/proc/{deployed.fleet.pid_of(name)}/stat").read_text()
    fields = stat.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S
