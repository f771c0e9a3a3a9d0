"""Baseline experiment on online requests, and a function to start deployments."""

from __future__ import annotations

from collections.abc import Mapping

from damaskjunction.core.types import EMPTY
from damaskjunction.lab.experiments import (
    ExperimentOptions,
    ExperimentResult,
    Figure,
    experiments,
)
from damaskjunction.lab.load import (
    FIRST_TOKEN,
    TOKEN_INTERVAL,
    LoadGenerator,
    LoadSpec,
    constant_rate,
)
from damaskjunction.standins import DeployedFleet, deployments

RATE_PER_S = 20.0
DURATION_S = 10.0


async def start_deployment(
    name: str,
    *engine_arguments: str,
    proxied: tuple[str, ...] = (),
    host_settings: Mapping[str, str] = EMPTY,
) -> DeployedFleet:
    """Start a deployment and wait until its configuration is active.

    If the start fails, the fleet is closed and the error raised again.
    """
    deployed = DeployedFleet(
        deployments.get(name),
        engine_arguments,
        proxied,
        host_settings=host_settings,
    )
    try:
        await deployed.start()
        response = await deployed.apply_configuration()
        await deployed.wait_until_serving(response.to_json()["revision"])
    except BaseException:
        await deployed.close()
        raise
    return deployed


@experiments.register("baseline")
async def run_baseline(options: ExperimentOptions) -> ExperimentResult:
    """Measure time to first token and token interval under a light steady load."""
    deployed = await start_deployment("small")
    addresses = [host.caller for host in deployed.hosts_by_id.values()]
    load = LoadGenerator(deployed.fleet.timers, addresses)
    spec = LoadSpec(
        "caddie-llm",
        constant_rate(RATE_PER_S),
        RATE_PER_S,
        DURATION_S * options.scale,
        seed=options.seed,
    )
    try:
        result = await load.run(spec)
    finally:
        load.close()
        await deployed.close()
    figures = [
        Figure("calls", len(result.records)),
        Figure("whole", result.n_complete()),
    ]
    for name in (FIRST_TOKEN, TOKEN_INTERVAL):
        for percent in (50.0, 95.0, 99.0):
            value = result.metrics.percentile_s(name, percent)
            figures.append(Figure(f"{name} p{percent:g}", value, "s"))
    return ExperimentResult(tuple(figures))
