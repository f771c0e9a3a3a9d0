"""Experiments on membership and the propagation of configuration changes."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable
from typing import Any, TypeAlias

from damaskjunction.core import Registry
from damaskjunction.lab.control_rig import (
    FLEET_N_HOSTS,
    N_HOSTS,
    ControlFleet,
    extrapolate,
    percentile,
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

CHANGES_PER_SIZE = 4
ACTIVATION_TARGET_S = 4.0
ACTIVATION_TIMEOUT_S = 15.0
OUTAGE_S = 2.0
LOSS_FRACTION = 0.05
CHANGE_PERIOD_S = 8.7
COST_MEASUREMENT_S = 26.1  # three change periods
MAX_N_HOSTS = 81
BYTES_TARGET_PER_S = 4096.0
CPU_TARGET_CORES = 0.021
MEMORY_TARGET_MB = 128.0
MEMBERSHIP_HOSTS = 27
LOSS_OBSERVATION_S = 40.0
N_PAUSES = 20
PAUSE_RANGE_S = (0.3, 2.5)
SETTLE_S = 12.0
LEAVING_TARGET_S = 3.0
POLL_INTERVAL_S = 0.05

ApplyCondition: TypeAlias = Callable[[ControlFleet], Awaitable[None]]

# Conditions under which configuration changes are timed. In outage_conditions, the
# platform also becomes unavailable after it has accepted each change.
conditions: Registry[ApplyCondition] = Registry("condition")
outage_conditions: frozenset[str] = frozenset({"outage"})


@conditions.register("plain")
async def _clear_loss(fleet: ControlFleet) -> None:
    await fleet.set_datagram_loss(0.0)


@conditions.register("loss")
async def _inject_loss(fleet: ControlFleet) -> None:
    await fleet.set_datagram_loss(LOSS_FRACTION)


@conditions.register("outage")
async def _inject_loss_before_outage(fleet: ControlFleet) -> None:
    await fleet.set_datagram_loss(LOSS_FRACTION)


@experiments.register("configuration")
async def run_configuration(options: ExperimentOptions) -> ExperimentResult:
    """Measure how long an accepted configuration takes to be active on every host."""
    figures: list[Figure] = []
    points: dict[str, list[tuple[float, float]]] = {name: [] for name in conditions}
    sizes = [n for n in N_HOSTS if n <= MAX_N_HOSTS * options.scale] or [N_HOSTS[0]]
    for n_hosts in sizes:
        fleet = ControlFleet(n_hosts, options.seed)
        await fleet.start()
        try:
            for condition in conditions:
                delays, n_missing = await _measure_changes(fleet, condition, options)
                figures += _delay_figures(condition, n_hosts, delays, n_missing)
                points[condition].append((n_hosts, max(delays, default=0.0)))
        finally:
            await fleet.close()
    for condition, line in points.items():
        value = extrapolate(line, FLEET_N_HOSTS)
        name = f"{condition}: max, line drawn to {FLEET_N_HOSTS} hosts"
        figures.append(at_most(name, value, ACTIVATION_TARGET_S, "s"))
    series = tuple(Series(name, tuple(line)) for name, line in points.items())
    plot = Plot("Time until active on every host", "hosts", "s", series)
    return ExperimentResult(tuple(figures), (plot,))


async def _measure_changes(
    fleet: ControlFleet, condition: str, options: ExperimentOptions
) -> tuple[list[float], int]:
    """Apply configurations in turn; return all delays and how many are missing."""
    await conditions.get(condition)(fleet)
    rng = random.Random(f"{options.seed}/{condition}/{len(fleet.names)}")
    delays: list[float] = []
    n_missing = 0
    for _ in range(CHANGES_PER_SIZE):
        share = rng.uniform(1.0, 9.0)
        name = rng.choice(fleet.names)
        response = await fleet.apply(name, share, expected=fleet.revision)
        accepted_s = fleet.fleet.timers.wall()
        if condition in outage_conditions:
            await fleet.set_platform_faults(down=1)
        fleet.revision = response.to_json()["revision"]
        found = await fleet.activation_delays(
            fleet.revision, accepted_s, ACTIVATION_TIMEOUT_S
        )
        delays += found
        n_missing += len(fleet.names) - len(found)
        if condition in outage_conditions:
            await asyncio.sleep(OUTAGE_S)
            await fleet.set_platform_faults(down=0)
            await asyncio.sleep(OUTAGE_S)
    return delays, n_missing


def _delay_figures(
    condition: str, n_hosts: int, delays: list[float], n_missing: int
) -> list[Figure]:
    prefix = f"{condition}, {n_hosts} hosts:"
    return [
        Figure(f"{prefix} p50", percentile(delays, 50), "s"),
        Figure(f"{prefix} p99", percentile(delays, 99), "s"),
        at_most(f"{prefix} max", max(delays, default=0.0), ACTIVATION_TARGET_S, "s"),
        at_most(
            f"{prefix} not within {ACTIVATION_TIMEOUT_S:g} s", n_missing, 0, "hosts"
        ),
    ]


@experiments.register("membership")
async def run_membership(options: ExperimentOptions) -> ExperimentResult:
    """Measure failure detection, leaving, and false removals of live hosts."""
    fleet = ControlFleet(MEMBERSHIP_HOSTS, options.seed)
    await fleet.start()
    rng = random.Random(options.seed)
    figures: list[Figure] = []
    try:
        figures += await _count_removals_under_loss(fleet)
        figures += await _count_removals_by_pauses(fleet, rng)
        figures += await _measure_kill(fleet, rng)
        figures += await _measure_freeze(fleet, rng)
        figures += await _measure_leaving(fleet, rng)
    finally:
        await fleet.close()
    return ExperimentResult(tuple(figures))


async def _count_removals_under_loss(fleet: ControlFleet) -> list[Figure]:
    await fleet.set_datagram_loss(LOSS_FRACTION)
    begin_s = fleet.fleet.timers.wall()
    await asyncio.sleep(LOSS_OBSERVATION_S)
    n_removals = len(fleet.lines("host gone", begin_s))
    await fleet.set_datagram_loss(0.0)
    name = f"removals in {LOSS_OBSERVATION_S:g} s at {LOSS_FRACTION:.0%} loss"
    return [at_most(name, n_removals, 0, "views")]


async def _count_removals_by_pauses(
    fleet: ControlFleet, rng: random.Random
) -> list[Figure]:
    begin_s = fleet.fleet.timers.wall()
    for _ in range(N_PAUSES):
        name = rng.choice(fleet.names)
        fleet.fleet.freeze(name)
        await asyncio.sleep(rng.uniform(*PAUSE_RANGE_S))
        fleet.fleet.resume(name)
    await asyncio.sleep(SETTLE_S)
    n_removals = len(fleet.lines("host gone", begin_s))
    low_s, high_s = PAUSE_RANGE_S
    text = f"removals by {N_PAUSES} pauses of {low_s:g} to {high_s:g} s"
    return [at_most(text, n_removals, 0, "views")]


async def _measure_kill(fleet: ControlFleet, rng: random.Random) -> list[Figure]:
    victim = rng.choice(fleet.names)
    begin_s = fleet.fleet.timers.wall()
    await fleet.fleet.kill(victim)
    delays = await _wait_for_lines(fleet, "host gone", victim, begin_s)
    await fleet.fleet.restart(victim)
    await fleet.wait_until_joined()
    false_removals = [
        line
        for line in fleet.lines("host gone", begin_s)
        if line.fields["host"] != victim and line.host_id != victim
    ]
    return [
        Figure("killed: first view without it", min(delays, default=0.0), "s"),
        Figure("killed: last view without it", max(delays, default=0.0), "s"),
        at_most("killed: others removed", len(false_removals), 0, "views"),
    ]


async def _measure_freeze(fleet: ControlFleet, rng: random.Random) -> list[Figure]:
    victim = rng.choice(fleet.names)
    begin_s = fleet.fleet.timers.wall()
    fleet.fleet.freeze(victim)
    removal_delays = await _wait_for_lines(fleet, "host gone", victim, begin_s)
    resumed_s = fleet.fleet.timers.wall()
    fleet.fleet.resume(victim)
    rejoin_delays = await _wait_for_lines(fleet, "host joined", victim, resumed_s)
    await asyncio.sleep(SETTLE_S)
    false_removals = [
        line
        for line in fleet.lines("host gone", begin_s)
        if line.fields["host"] != victim
    ]
    return [
        Figure("frozen: last view without it", max(removal_delays, default=0.0), "s"),
        Figure("thawed: last view with it again", max(rejoin_delays, default=0.0), "s"),
        at_most("frozen and thawed: others removed", len(false_removals), 0, "views"),
    ]


async def _measure_leaving(fleet: ControlFleet, rng: random.Random) -> list[Figure]:
    """Measure how long after SIGTERM to a host all others list it as leaving."""
    await fleet.set_datagram_loss(LOSS_FRACTION)
    # a stale host list must not delay the announcement
    await fleet.set_platform_faults(hosts_lag_s=30)
    victim = rng.choice(fleet.names)
    begin_s = fleet.fleet.timers.wall()
    stopping = asyncio.ensure_future(fleet.fleet.stop(victim))
    delays = await _wait_for_lines(fleet, "host leaving", victim, begin_s)
    await stopping
    value = max(delays, default=LEAVING_TARGET_S * 10)
    return [at_most("leaving: last view to hear", value, LEAVING_TARGET_S, "s")]


async def _wait_for_lines(
    fleet: ControlFleet, message: str, victim: str, begin_s: float
) -> list[float]:
    """Return the delays in seconds until each other host logged a message on a host.

    Returns after 60 s at the latest, with the delays of those that logged it by then.
    """
    end_s = begin_s + 60.0
    n_others = len(fleet.names) - 1
    while True:
        delays = {
            line.host_id: line.at_s - begin_s
            for line in fleet.lines(message, begin_s)
            if line.fields["host"] == victim and line.host_id != victim
        }
        if len(delays) >= n_others or fleet.fleet.timers.wall() > end_s:
            return list(delays.values())
        await asyncio.sleep(POLL_INTERVAL_S)


@experiments.register("control-cost")
async def run_control_cost(options: ExperimentOptions) -> ExperimentResult:
    """Measure the control overhead per host with one change every 8.7 s."""
    figures: list[Figure] = []
    lines: dict[str, list[tuple[float, float]]] = {}
    details: dict[str, Any] = {}
    for n_hosts in N_HOSTS:
        fleet = ControlFleet(n_hosts, options.seed)
        await fleet.start()
        try:
            await asyncio.sleep(SETTLE_S)
            values = await _measure_cost(fleet, details)
        finally:
            await fleet.close()
        for name, value in values.items():
            lines.setdefault(name, []).append((n_hosts, value))
            figures.append(Figure(f"{n_hosts} hosts: {name}", value))
    bounds = {
        "bytes/s": BYTES_TARGET_PER_S,
        "core share": CPU_TARGET_CORES,
        "memory MB": MEMORY_TARGET_MB,
    }
    for name, line in lines.items():
        value = extrapolate(line, FLEET_N_HOSTS)
        text = f"line drawn to {FLEET_N_HOSTS} hosts: {name}"
        if name in bounds:
            figures.append(at_most(text, value, bounds[name]))
        else:
            figures.append(Figure(text, value))
    series = (Series("bytes/s", tuple(lines["bytes/s"])),)
    plot = Plot("Control traffic per host", "hosts", "bytes/s", series)
    return ExperimentResult(tuple(figures), (plot,), details)


async def _measure_cost(
    fleet: ControlFleet, details: dict[str, Any]
) -> dict[str, float]:
    before = [await fleet.usage_of(name) for name in fleet.names]
    calls_before = await fleet.platform_calls()
    begin_s = fleet.fleet.timers.now()
    n_changes = round(COST_MEASUREMENT_S / CHANGE_PERIOD_S)
    for number in range(n_changes):
        response = await fleet.apply(
            fleet.names[number % len(fleet.names)],
            2.0 + number,
            expected=fleet.revision,
        )
        fleet.revision = response.to_json()["revision"]
        await asyncio.sleep(CHANGE_PERIOD_S)
    duration_s = fleet.fleet.timers.now() - begin_s
    after = [await fleet.usage_of(name) for name in fleet.names]
    calls_after = await fleet.platform_calls()
    n_hosts = len(fleet.names)
    calls_per_s = {
        call: (count - calls_before.get(call, 0)) / duration_s
        for call, count in calls_after.items()
    }
    details[f"platform calls/s, {n_hosts} hosts"] = calls_per_s

    def per_s(field: str) -> float:
        totals = [
            getattr(late, field) - getattr(early, field)
            for late, early in zip(after, before, strict=True)
        ]
        return float(sum(totals) / n_hosts / duration_s)

    return {
        "bytes/s": per_s("n_bytes"),
        "datagrams/s": per_s("n_datagrams"),
        "core share": per_s("processor_s"),
        "memory MB": max(usage.resident_mb for usage in after),
        "platform calls/s": sum(calls_per_s.values()),
    }
