"""Experiment on the CPU time of a call at entry and home hosts."""

from __future__ import annotations

import asyncio
import os
from pathlib import Path
from typing import NamedTuple

from damaskjunction.lab.admission_rig import SERVICE, engine_runners, home_chooser
from damaskjunction.lab.experiments import (
    ExperimentOptions,
    ExperimentResult,
    Figure,
    experiments,
)
from damaskjunction.lab.load import LoadGenerator, LoadSpec, constant_rate
from damaskjunction.lab.online import start_deployment
from damaskjunction.standins import DeployedFleet

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
