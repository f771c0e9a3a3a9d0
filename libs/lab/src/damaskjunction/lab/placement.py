"""Experiments on the lease, roll-outs and runner readiness, on running fleets."""

from __future__ import annotations

import asyncio
import copy
import itertools
import random
import statistics
from collections.abc import Awaitable, Callable, Sequence

import yaml

from damaskjunction.core import ServiceKind
from damaskjunction.lab.experiments import (
    ExperimentOptions,
    ExperimentResult,
    Figure,
    at_least,
    at_most,
    experiments,
)
from damaskjunction.lab.fleet_observer import FleetObserver
from damaskjunction.lab.load import LoadGenerator, LoadSpec, constant_rate
from damaskjunction.lab.online import start_deployment

TAKE_OVER_TARGET_S = 7.0


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
    """Measure platform call rates and how soon hosts see an engine stop and restart."""
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
    """Return platform calls per second on leases and plans, by verb and kind."""
    before = await observer.get_json("platform", "/test/counts")
    await asyncio.sleep(duration_s)
    after = await observer.get_json("platform", "/test/counts")
    return {
        call: (count - before.get(call, 0)) / duration_s
        for call, count in after.items()
        if call.endswith((" lease", " plan"))
    }
