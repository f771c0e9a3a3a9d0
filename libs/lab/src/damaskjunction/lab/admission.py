"""Experiments on admission: batch interference, overload and policies."""

from __future__ import annotations

from damaskjunction.lab.admission_rig import (
    BASE_PER_S,
    N_TOKENS,
    PHASE_S,
    SERVICE,
    LoadHarness,
    complete_fraction,
    count_outcomes,
    engine_runners,
    home_chooser,
    round_robin_chooser,
    timing_figures,
)
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
    LoadSpec,
    constant_rate,
)
from damaskjunction.lab.online import start_deployment
from damaskjunction.telemetry import Metrics

ENGINE_STEP_S = 0.018  # with the default EngineSpeed and all slots in use
# one step for prefill, one for each token and one for the end event
SERVICE_TIME_S = (N_TOKENS + 2) * ENGINE_STEP_S
SLOTS = 8
N_PHASE_PAIRS = 2

LOAD_FACTORS = (0.5, 1.0, 2.0, 5.0)
OVERLOAD_DEADLINE_S = 2.0
OVERLOAD_PHASE_S = 8.0

POLICIES = ("home", "least_reported_load", "static_share")


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
    """Compare adaptive and fixed limits on runners with fewer slots than listed."""
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
