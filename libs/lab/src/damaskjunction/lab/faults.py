"""Experiments on failures of runners, hosts and connections under load."""

from __future__ import annotations

import asyncio
import random
import re
from collections import Counter
from collections.abc import Sequence

from damaskjunction.core import ServiceKind
from damaskjunction.lab.callers import CallResult, RetryingCallers
from damaskjunction.lab.experiments import (
    ExperimentOptions,
    ExperimentResult,
    Figure,
    at_least,
    at_most,
    experiments,
)
from damaskjunction.lab.online import start_deployment
from damaskjunction.standins import (
    CALLER_KEY,
    CRASH_MARK,
    DeployedFleet,
    Mode,
)

N_KILLS = 20
KILL_INTERVAL_S = 4.0
RESTART_DELAY_S = 1.0
ENGINE_PER_S = 20.0
PLAIN_PER_S = 10.0
CRASH_LOAD_PER_S = 10.0
N_POISON_REQUESTS = 3
SILENT_LOAD_PER_S = 30.0
CASE_DURATION_S = 8.0
SLOW_MARGIN_S = 1.0
NOT_RUN_PREFIX = "not_run"
QUARANTINE_REASONS = ("quarantined", "crashes_runner")

RUN_LINE_PATTERN = re.compile(r"^run (call-\d+-)", re.MULTILINE)


@experiments.register("runner-loss")
async def run_runner_loss(options: ExperimentOptions) -> ExperimentResult:
    """Kill and restart random runners of both kinds under load."""
    deployed = await start_deployment("lima-three-hosts")
    return await _run_kills(deployed, list(deployed.runners_by_id), options)


@experiments.register("host-loss")
async def run_host_loss(options: ExperimentOptions) -> ExperimentResult:
    """Kill and restart random hosts under load."""
    deployed = await start_deployment("lima-five-hosts")
    return await _run_kills(deployed, list(deployed.hosts_by_id), options)


async def _run_kills(
    deployed: DeployedFleet, names: Sequence[str], options: ExperimentOptions
) -> ExperimentResult:
    rng = random.Random(options.seed)
    callers = _make_callers(deployed, rng)
    n_kills = max(1, round(N_KILLS * options.scale))
    try:
        kills = asyncio.ensure_future(_kill_repeatedly(deployed, names, n_kills, rng))
        results = await callers.run(
            (n_kills + 1) * KILL_INTERVAL_S,
            engine_per_s=ENGINE_PER_S,
            plain_per_s=PLAIN_PER_S,
        )
        await kills
        runs = _count_runs(deployed)
    finally:
        callers.close()
        await deployed.close()
    figures = [Figure("kills", n_kills), *_loss_figures(results, runs)]
    return ExperimentResult(tuple(figures), details=_details(results))


async def _kill_repeatedly(
    deployed: DeployedFleet, names: Sequence[str], n_kills: int, rng: random.Random
) -> None:
    for _ in range(n_kills):
        await asyncio.sleep(KILL_INTERVAL_S * rng.uniform(0.8, 1.2) - RESTART_DELAY_S)
        name = rng.choice(names)
        await deployed.fleet.kill(name)
        await asyncio.sleep(RESTART_DELAY_S)
        await deployed.fleet.restart(name)


def _make_callers(deployed: DeployedFleet, rng: random.Random) -> RetryingCallers:
    addresses = [host.caller for host in deployed.hosts_by_id.values()]
    return RetryingCallers(deployed.fleet.timers, addresses, rng)


def _count_runs(deployed: DeployedFleet) -> Counter[str]:
    """Return how often each call was executed, by label, from the runners' logs."""
    runs: Counter[str] = Counter()
    for runner_id in deployed.runners_by_id:
        runs.update(RUN_LINE_PATTERN.findall(deployed.fleet.log_of(runner_id)))
    return runs


def _loss_figures(
    results: Sequence[CallResult], runs: Counter[str]
) -> tuple[Figure, ...]:
    n_first_attempt = sum(
        result.is_complete and len(result.attempts) == 1 for result in results
    )
    n_complete = sum(result.is_complete for result in results)
    engine_calls = [result for result in results if result.is_engine]
    plain_calls = [result for result in results if not result.is_engine]
    not_run = [
        result
        for result in results
        if all(outcome.startswith(NOT_RUN_PREFIX) for outcome in result.attempts)
    ]
    n_false_reports = sum(runs[result.label] > 0 for result in not_run)
    n_run_twice = sum(runs[result.label] > 1 for result in plain_calls)
    n_incomplete = sum(not result.is_complete for result in engine_calls)
    return (
        at_least("calls", len(results), 2000),
        Figure("whole at the first try", n_first_attempt),
        Figure("whole after resends by the caller", n_complete - n_first_attempt),
        Figure("engine calls", len(engine_calls)),
        Figure("engine calls not completed", n_incomplete),
        Figure("engine calls not completed, share", n_incomplete / len(engine_calls)),
        Figure("non-idempotent calls", len(plain_calls)),
        Figure("non-idempotent calls without answer", _count_incomplete(plain_calls)),
        Figure("told not run", len(not_run)),
        at_most("told not run, but ran", n_false_reports, 0),
        at_most("non-idempotent calls run twice", n_run_twice, 0),
        Figure("slowest call", max(result.duration_s for result in results), "s"),
    )


def _count_incomplete(results: Sequence[CallResult]) -> int:
    return sum(not result.is_complete for result in results)


def _details(results: Sequence[CallResult]) -> dict[str, object]:
    """Return the counts of each sequence of attempt outcomes, by kind of call."""
    kinds = {True: "engine", False: "plain"}
    courses = Counter(
        f"{kinds[result.is_engine]}: {' '.join(result.attempts)}" for result in results
    )
    return {"courses": dict(courses.most_common())}


@experiments.register("crash-request")
async def run_crash_request(options: ExperimentOptions) -> ExperimentResult:
    """Send each of several poison requests twice to every host, under load."""
    deployed = await start_deployment("lima-three-hosts")
    rng = random.Random(options.seed)
    callers = _make_callers(deployed, rng)
    restarting = asyncio.ensure_future(_restart_engines(deployed))
    losses = []
    try:
        load = asyncio.ensure_future(
            callers.run(
                30.0 * options.scale, engine_per_s=CRASH_LOAD_PER_S, plain_per_s=0.0
            )
        )
        await asyncio.sleep(2.0)
        for number in range(N_POISON_REQUESTS):
            before = _count_crashes(deployed)
            await _send_poison_request(deployed, f"{CRASH_MARK} {number}")
            losses.append(_count_crashes(deployed) - before)
        results = await load
        await asyncio.sleep(0.5)
        n_crashes = _count_crashes(deployed)
    finally:
        restarting.cancel()
        await asyncio.gather(restarting, return_exceptions=True)
        callers.close()
        await deployed.close()
    n_refused = sum(
        any(outcome.endswith(QUARANTINE_REASONS) for outcome in result.attempts)
        for result in results
    )
    figures = (
        Figure("crash requests", N_POISON_REQUESTS),
        Figure("runners lost in all", n_crashes),
        at_most("runners lost for one request, most", max(losses), 2),
        Figure("innocent calls", len(results)),
        at_most("innocents refused", n_refused, 0),
        Figure("innocents without whole answer", _count_incomplete(results)),
        Figure("slowest innocent", max(r.duration_s for r in results), "s"),
    )
    return ExperimentResult(figures, details={**_details(results), "losses": losses})


async def _restart_engines(deployed: DeployedFleet) -> None:
    """Restart each engine that exited, as a supervisor does."""
    engines = [
        runner.runner_id
        for runner in deployed.runners_by_id.values()
        if runner.kind is ServiceKind.ENGINE
    ]
    while True:
        for name in engines:
            if not deployed.fleet.is_running(name):
                await deployed.fleet.restart(name)
        await asyncio.sleep(RESTART_DELAY_S)


def _count_crashes(deployed: DeployedFleet) -> int:
    logs = (deployed.fleet.log_of(name) for name in deployed.runners_by_id)
    return sum(log.count("crash\n") for log in logs)


async def _send_poison_request(deployed: DeployedFleet, prompt: str) -> None:
    document = {"prompt": prompt, "max_tokens": 8}
    for host_id in [*deployed.hosts_by_id] * 2:
        await deployed.fleet.call(
            host_id,
            "POST",
            "/v1/services/caddie-llm/generate",
            document=document,
            headers={"Authorization": f"Bearer {CALLER_KEY}"},
        )


@experiments.register("silent")
async def run_silent(options: ExperimentOptions) -> ExperimentResult:
    """Stall or block links between hosts and to runners under load."""
    proxied = ("lima-1-0", "lima-2-1", "lima-3-2", "caddie-0", "caddie-1")
    deployed = await start_deployment("lima-three-hosts", proxied=proxied)
    rng = random.Random(options.seed)
    callers = _make_callers(deployed, rng)
    cases = (
        *(("lima-2-1", mode) for mode in (Mode.SILENT_OLD, Mode.SILENT)),
        *(("lima-2-1", mode) for mode in (Mode.CUT_FORWARD, Mode.CUT_BACK)),
        *(("caddie-0", mode) for mode in (Mode.SILENT_OLD, Mode.SILENT)),
    )
    figures: list[Figure] = []
    details: dict[str, object] = {}
    try:
        for name, mode in cases:
            results, fault_at_s = await _measure_path_fault(
                deployed, callers, name, mode
            )
            case = f"{name} {mode.value}"
            figures += _path_fault_figures(case, results, fault_at_s)
            details[case] = _details(results)
    finally:
        callers.close()
        await deployed.close()
    return ExperimentResult(tuple(figures), details=details)


async def _measure_path_fault(
    deployed: DeployedFleet, callers: RetryingCallers, name: str, mode: Mode
) -> tuple[list[CallResult], float]:
    load = asyncio.ensure_future(
        callers.run(CASE_DURATION_S, engine_per_s=SILENT_LOAD_PER_S, plain_per_s=0.0)
    )
    await asyncio.sleep(2.0)
    fault_at_s = callers.elapsed_s()
    await deployed.set_mode(name, mode)
    results = await load
    await deployed.set_mode(name, Mode.PASS)
    await asyncio.sleep(3.0)
    return results, fault_at_s


def _path_fault_figures(
    case: str, results: Sequence[CallResult], fault_at_s: float
) -> list[Figure]:
    """Return how many calls were slow or incomplete, and until when after the fault."""
    affected = [
        result
        for result in results
        if not result.is_complete
        or result.duration_s > SLOW_MARGIN_S + _median_duration_s(results)
    ]
    since_fault_s = [result.started_s - fault_at_s for result in affected]
    last_s = max([0.0, *since_fault_s])
    return [
        Figure(f"{case}: calls", len(results)),
        Figure(f"{case}: not completed", _count_incomplete(results)),
        Figure(f"{case}: harmed by over {SLOW_MARGIN_S:g} s", len(affected)),
        at_most(f"{case}: last harmed call began after", last_s, 3.0, "s"),
    ]


def _median_duration_s(results: Sequence[CallResult]) -> float:
    durations = sorted(result.duration_s for result in results)
    return durations[len(durations) // 2]
