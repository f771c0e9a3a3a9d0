"""Experiment on the peak minute: batch and online load over a shortened day."""

from __future__ import annotations

import asyncio
import itertools
import math
from collections.abc import Mapping
from typing import Any, NamedTuple

from damaskjunction.lab.batch_rig import BatchRig
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
from damaskjunction.lab.load import LoadGenerator, LoadSpec

MINUTE_S = 3.0  # length of a billing minute in the shortened day
DAY_MINUTES = 20
MIN_RATE_PER_S = 3.0
MAX_RATE_PER_S = 24.0
N_TOKENS = 16
N_ITEM_TOKENS = 4
DEADLINE_JOB_ITEMS = 1000
FILLER_JOB_ITEMS = 12_000
PEAK_POLICIES = ("below_peak", "static_share", "no_ceiling")


class DayResult(NamedTuple):
    """Tokens per minute of a day, and the completion of batch and online work."""

    tokens_by_minute: tuple[int, ...]
    n_deadline_items_done: int
    is_deadline_met: bool
    n_complete: int
    n_calls: int


async def _run_day(
    options: ExperimentOptions, batch: Mapping[str, Any], *, has_batch: bool
) -> DayResult:
    rig = BatchRig("small", {"minute_s": MINUTE_S, **batch}, seed=options.seed)
    n_minutes = max(6, int(DAY_MINUTES * options.scale))
    day_s = n_minutes * MINUTE_S
    await rig.start()
    timers = rig.fleet.timers
    addresses = [host.caller for host in rig.deployed.hosts_by_id.values()]
    load = LoadGenerator(timers, addresses)
    spec = LoadSpec(
        "caddie-llm",
        lambda at_s: _arrival_rate(at_s / day_s),
        MAX_RATE_PER_S,
        day_s,
        n_tokens=N_TOKENS,
        seed=options.seed,
    )
    try:
        await asyncio.sleep(MINUTE_S - timers.wall() % MINUTE_S)
        online = asyncio.ensure_future(load.run(spec))
        deadline_job = None
        if has_batch:
            deadline_job = await rig.submit(
                "due",
                int(DEADLINE_JOB_ITEMS * options.scale),
                n_tokens=N_ITEM_TOKENS,
                deadline_s=day_s,
            )
            await rig.submit("filler", FILLER_JOB_ITEMS, n_tokens=N_ITEM_TOKENS)
        tokens = await _sample_tokens_by_minute(rig, n_minutes)
        result = await online
        n_done = n_deadline_items = 0
        if deadline_job is not None:
            n_done = (await rig.job_status(deadline_job))["n_done"]
            n_deadline_items = len(deadline_job.prompts)
    finally:
        load.close()
        await rig.close()
    is_met = n_done == n_deadline_items
    return DayResult(tokens, n_done, is_met, result.n_complete(), len(result.records))


def _arrival_rate(day_fraction: float) -> float:
    """Return online arrivals per second: lowest at night, highest at noon."""
    fraction = (1 - math.cos(2 * math.pi * day_fraction)) / 2
    return MIN_RATE_PER_S + (MAX_RATE_PER_S - MIN_RATE_PER_S) * fraction


async def _sample_tokens_by_minute(rig: BatchRig, n_minutes: int) -> tuple[int, ...]:
    timers = rig.fleet.timers
    first = int(timers.wall() // MINUTE_S)
    totals = [await _total_tokens(rig)]
    for number in range(1, n_minutes + 1):
        await asyncio.sleep((first + number) * MINUTE_S - timers.wall())
        totals.append(await _total_tokens(rig))
    return tuple(b - a for a, b in itertools.pairwise(totals))


async def _total_tokens(rig: BatchRig) -> int:
    runs = await asyncio.gather(*(rig.engine_runs(name) for name in rig.engines))
    return sum(n_tokens for _, n_tokens in runs)


@experiments.register("peak")
async def run_peak(options: ExperimentOptions) -> ExperimentResult:
    """Compare the busiest minute of a day with batch to that of a day without."""
    without_batch = await _run_day(options, {}, has_batch=False)
    peak = max(without_batch.tokens_by_minute)
    idle = sum(peak - used for used in without_batch.tokens_by_minute)
    figures = [Figure("busiest minute without batch", peak, "tokens")]
    series = [_series("online alone", without_batch)]
    for policy in PEAK_POLICIES:
        batch = {"peak_policy": policy, "ceiling_per_minute": peak}
        day = await _run_day(options, batch, has_batch=True)
        ratio = max(day.tokens_by_minute) / peak
        added = sum(day.tokens_by_minute) - sum(without_batch.tokens_by_minute)
        has_targets = policy == PEAK_POLICIES[0]
        figures.append(
            at_most(f"peak ratio, {policy}", ratio, 1.0)
            if has_targets
            else Figure(f"peak ratio, {policy}", ratio)
        )
        figures.append(
            at_least(f"deadline met, {policy}", float(day.is_deadline_met), 1.0)
            if has_targets
            else Figure(f"deadline met, {policy}", float(day.is_deadline_met))
        )
        figures.append(Figure(f"idle capacity used, {policy}", added / idle))
        complete_fraction = day.n_complete / max(1, day.n_calls)
        figures.append(Figure(f"online whole, {policy}", complete_fraction))
        series.append(_series(policy, day))
    plot = Plot("Tokens by minute", "minute", "tokens", tuple(series))
    days = {line.name: [point[1] for point in line.points] for line in series}
    return ExperimentResult(tuple(figures), (plot,), days)


def _series(name: str, day: DayResult) -> Series:
    points = tuple((float(n), float(t)) for n, t in enumerate(day.tokens_by_minute))
    return Series(name, points)
