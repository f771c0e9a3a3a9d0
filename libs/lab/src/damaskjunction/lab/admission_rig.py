"""Online and batch load on a running deployment, for experiments on admission."""

from __future__ import annotations

import asyncio
import itertools
import random
from collections.abc import Callable
from typing import NamedTuple

from damaskjunction.core import EntryHost, Runner, ServiceKind
from damaskjunction.lab.batch_load import BatchCounts, BatchLoad, BatchSpec
from damaskjunction.lab.experiments import ExperimentOptions, Figure
from damaskjunction.lab.load import (
    COMPLETE,
    FIRST_TOKEN,
    TOKEN_INTERVAL,
    CallRecord,
    LoadGenerator,
    LoadSpec,
)
from damaskjunction.routing import home_of
from damaskjunction.standins import DeployedFleet
from damaskjunction.telemetry import Metrics

SERVICE = "caddie-llm"
WORKSPACE = "carritos"
N_TOKENS = 16
PERCENTILES = (50.0, 95.0, 99.0)

PHASE_S = 12.0
BASE_PER_S = 10.0
BURST_FACTOR = 4.0
BURST_PERIOD_S = 6.0
BURST_LENGTHS_S = (1.0, 5.0)
WARM_UP_S = 2.0


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
        """Generate online load, if any, together with a saturating batch load."""
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


def count_outcomes(records: list[CallRecord]) -> dict[str, int]:
    """Return the number of calls by outcome and reason."""
    counts: dict[str, int] = {}
    for record in records:
        key = f"{record.outcome} {record.reason}".strip()
        counts[key] = counts.get(key, 0) + 1
    return counts
