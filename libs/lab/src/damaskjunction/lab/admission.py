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
    FIRST_TOKEN,
    TOKEN_INTERVAL,
    WHOLE,
    CallRecord,
    LoadGenerator,
    LoadSpec,
    steady,
)
from damaskjunction.lab.online import start_deployment
from damaskjunction.routing import home_of
from damaskjunction.standins import DeployedFleet
from damaskjunction.telemetry import Metrics

SERVICE = "caddie-llm"
WORKSPACE = "carritos"
N_TOKENS = 16
STEP_S = 0.018
SERVICE_S = (N_TOKENS + 2) * STEP_S
SLOTS = 8
PERCENTS = (50.0, 95.0, 99.0)

PHASE_S = 12.0
BASE_PER_S = 10.0
BURST_FACTOR = 4.0
BURST_EVERY_S = 6.0
BURST_LENGTHS_S = (1.0, 5.0)
N_PAIRS = 2
SETTLE_S = 2.0

OVERLOADS = (0.5, 1.0, 2.0, 5.0)
OVERLOAD_DEADLINE_S = 2.0
OVERLOAD_S = 8.0

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


def turn_chooser(deployed: DeployedFleet) -> Callable[[Runner], EntryHost]:
    """Return a function that picks the hosts round robin, whatever the runner."""
    hosts = itertools.cycle(deployed.hosts_by_id.values())
    return lambda runner: next(hosts)


def varied_bursts(seed: int, duration_s: float) -> Callable[[float], float]:
    """Return an arrival rate with bursts of 1 to 5 s at four times the base rate."""
    chance = random.Random(seed)
    ends = {
        begin_s: begin_s + chance.uniform(*BURST_LENGTHS_S)
        for begin_s in range(1, int(duration_s), int(BURST_EVERY_S))
    }

    def rate(at_s: float) -> float:
        is_burst = any(begin_s <= at_s < end_s for begin_s, end_s in ends.items())
        return BASE_PER_S * (BURST_FACTOR if is_burst else 1.0)

    return rate


class Phase(NamedTuple):
    """Results of one phase of load."""

    records: list[CallRecord]
    batch: BatchCounts
    duration_s: float

    def n_online_tokens(self) -> int:
        """Return the number of tokens in complete online responses."""
        return N_TOKENS * sum(record.outcome == WHOLE for record in self.records)


class Bench:
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

    async def run_online(self, spec: LoadSpec, metrics: Metrics) -> Phase:
        """Generate online load without batch and return the results."""
        result = await self._load.run(spec, metrics)
        return Phase(list(result.records), BatchCounts(), spec.duration_s)

    async def run_beside_batch(
        self,
        spec: LoadSpec | None,
        metrics: Metrics,
        chooser: Callable[[Runner], EntryHost],
    ) -> Phase:
        """Generate online load, if any, together with all the batch load admitted."""
        duration_s = spec.duration_s if spec else PHASE_S * self._options.scale / 2
        seed = self._options.seed
        batch = BatchLoad(
            self._timers, BatchSpec(SERVICE, WORKSPACE, seed=seed), chooser
        )
        batch.start(engine_runners(self._deployed))
        try:
            await asyncio.sleep(SETTLE_S)
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
        return Phase(records, counts, end_s - begin_s)

    def bursty_spec(self, number: int) -> LoadSpec:
        """Return the bursty online load that both phases of a pair use."""
        seed = self._options.seed * 100 + number
        duration_s = PHASE_S * self._options.scale
        rate = varied_bursts(seed, duration_s)
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
        for percent in PERCENTS
    ]


def share_whole(phases: list[Phase]) -> float:
    """Return the fraction of calls that got a complete response."""
    records = [record for phase in phases for record in phase.records]
    return sum(record.outcome == WHOLE for record in records) / max(1, len(records))


@experiments.register("interference")
async def run_interference(options: ExperimentOptions) -> ExperimentResult:
    """Compare bursty online load with and without batch, in pairs of phases."""
    deployed = await start_deployment("small")
    bench = Bench(deployed, options)
    chooser = home_chooser(deployed)
    alone, beside = Metrics(), Metrics()
    phases_alone, phases_beside = [], []
    try:
        await bench.run_online(bench.bursty_spec(0), Metrics())
        for number in range(1, N_PAIRS + 1):
            spec = bench.bursty_spec(number)
            phases_alone.append(await bench.run_online(spec, alone))
            phases_beside.append(await bench.run_beside_batch(spec, beside, chooser))
        batch_alone = await bench.run_beside_batch(None, Metrics(), chooser)
    finally:
        await bench.close()
    capacity_per_s = batch_alone.batch.n_tokens / batch_alone.duration_s
    duration_s = sum(phase.duration_s for phase in phases_beside)
    n_online = sum(phase.n_online_tokens() for phase in phases_beside)
    n_batch = sum(phase.batch.n_tokens for phase in phases_beside)
    n_idle = capacity_per_s * duration_s - n_online
    figures = [
        Figure("online calls in each half", sum(len(p.records) for p in phases_alone)),
        Figure("online whole without batch", share_whole(phases_alone)),
        Figure("online whole with batch", share_whole(phases_beside)),
        *timing_figures("without batch", alone),
        *timing_figures("with batch", beside),
    ]
    for metric in (FIRST_TOKEN, TOKEN_INTERVAL):
        ratio = beside.percentile_s(metric, 99.0) / alone.percentile_s(metric, 99.0)
        figures.append(at_most(f"{metric} p99 with / without", ratio, 1.10))
    n_wrong = sum(phase.batch.n_wrong for phase in phases_beside)
    n_errors = sum(phase.batch.n_errors for phase in phases_beside)
    figures += [
        Figure("capacity", capacity_per_s, "tokens/s"),
        Figure("online", n_online / duration_s, "tokens/s"),
        Figure("batch beside online", n_batch / duration_s, "tokens/s"),
        at_least("idle capacity used by batch", n_batch / n_idle, 0.8),
        at_most("batch tokens lost, doubled or wrong", n_wrong, 0),
        Figure("batch requests ended by an error", n_errors),
    ]
    return ExperimentResult(tuple(figures))


@experiments.register("overload")
async def run_overload(options: ExperimentOptions) -> ExperimentResult:
    """Measure goodput (responses within the deadline) below and above capacity."""
    deployed = await start_deployment("small")
    bench = Bench(deployed, options)
    n_runners = len(engine_runners(deployed))
    capacity_per_s = n_runners * SLOTS / SERVICE_S
    duration_s = OVERLOAD_S * options.scale
    goodput_by_factor: dict[float, float] = {}
    figures = [Figure("capacity", capacity_per_s, "answers/s")]
    details: dict[str, dict[str, int]] = {}
    try:
        await bench.run_online(bench.bursty_spec(0), Metrics())
        for factor in OVERLOADS:
            rate = factor * capacity_per_s
            spec = LoadSpec(
                SERVICE,
                steady(rate),
                rate,
                duration_s,
                n_tokens=N_TOKENS,
                deadline_s=OVERLOAD_DEADLINE_S,
                seed=options.seed,
            )
            phase = await bench.run_online(spec, Metrics())
            goodput = sum(map(is_good, phase.records)) / duration_s
            goodput_by_factor[factor] = goodput
            figures.append(Figure(f"goodput at {factor:g}x", goodput, "answers/s"))
            details[f"{factor:g}x"] = count_outcomes(phase.records)
    finally:
        await bench.close()
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


def is_good(record: CallRecord) -> bool:
    """Return whether a call got its complete response within the deadline."""
    took_s = record.ended_s - record.started_s
    return record.outcome == WHOLE and took_s <= OVERLOAD_DEADLINE_S


def count_outcomes(records: list[CallRecord]) -> dict[str, int]:
    """Return the number of calls by outcome and reason."""
    counts: dict[str, int] = {}
    for record in records:
        key = f"{record.outcome} {record.reason}".strip()
        counts[key] = counts.get(key, 0) + 1
    return counts


@experiments.register("home-vs-direct")
async def run_policies(options: ExperimentOptions) -> ExperimentResult:
    """Compare admission policies under the same online bursts and saturating batch."""
    figures: list[Figure] = []
    details = {}
    for policy in POLICIES:
        settings = {"admission": policy}
        deployed = await start_deployment("small", host_settings=settings)
        bench = Bench(deployed, options)
        is_home = policy == "home"
        chooser = home_chooser(deployed) if is_home else turn_chooser(deployed)
        metrics = Metrics()
        try:
            await bench.run_online(bench.bursty_spec(0), Metrics())
            spec = bench.bursty_spec(1)
            phase = await bench.run_beside_batch(spec, metrics, chooser)
        finally:
            await bench.close()
        figures += [
            Figure(f"{policy} online whole", share_whole([phase])),
            *timing_figures(policy, metrics),
            Figure(
                f"{policy} batch", phase.batch.n_tokens / phase.duration_s, "tokens/s"
            ),
        ]
        details[policy] = count_outcomes(phase.records)
    return ExperimentResult(tuple(figures), details=details)


SMALL_ENGINE = ("--slots", "3")
TOKEN_INTERVAL_TARGET_S = 0.047


@experiments.register("learned-limit")
async def run_learned_limit(options: ExperimentOptions) -> ExperimentResult:
    """Measure online load on runners with fewer slots than the configuration states."""
    figures: list[Figure] = []
    for policy in ("home", "fixed_limit"):
        settings = {"admission": policy}
        deployed = await start_deployment(
            "small", *SMALL_ENGINE, host_settings=settings
        )
        bench = Bench(deployed, options)
        rate = steady(BASE_PER_S / 2)
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
            await bench.run_online(spec, Metrics())
            phase = await bench.run_beside_batch(spec, metrics, chooser)
        finally:
            await bench.close()
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
COST_S = 8.0
COST_TOKENS = (1, 33)
TICKS_PER_S = os.sysconf("SC_CLK_TCK")


class CostHosts(NamedTuple):
    """The entry host that the callers use, and the home hosts of the runners."""

    entry: str
    homes: tuple[str, ...]


class CostPoint(NamedTuple):
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
        hosts = CostHosts(entry_id, tuple(homes))
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
    hosts: CostHosts,
    options: ExperimentOptions,
) -> CostPoint:
    """Return the CPU time of a call, less what the hosts use when idle."""
    duration_s = COST_S * options.scale
    names = [hosts.entry, *hosts.homes]
    idle_begin = {name: processor_s(deployed, name) for name in names}
    await asyncio.sleep(duration_s)
    begin = {name: processor_s(deployed, name) for name in names}
    spec = LoadSpec(
        SERVICE,
        steady(COST_RATE_PER_S),
        COST_RATE_PER_S,
        duration_s,
        n_tokens=n_tokens,
        seed=options.seed,
    )
    result = await load.run(spec)
    used = {
        name: processor_s(deployed, name) - 2 * begin[name] + idle_begin[name]
        for name in names
    }
    n_calls = len(result.records)
    home_s = sum(used[name] for name in hosts.homes)
    return CostPoint(n_tokens, used[hosts.entry] / n_calls, home_s / n_calls)


def processor_s(deployed: DeployedFleet, name: str) -> float:
    """Return the user and system CPU time of a process, in seconds."""
    stat = Path(f"/proc/{deployed.fleet.pid_of(name)}/stat").read_text()
    fields = stat.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S
