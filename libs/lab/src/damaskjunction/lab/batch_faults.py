"""Experiment on batch jobs under injected faults.

No item may be lost, and no result or job duplicated or changed.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable
from typing import TypeAlias

from damaskjunction.core import Registry
from damaskjunction.http import BrokenResponseError, ConnectFailedError
from damaskjunction.lab.batch_rig import BatchRig, SubmittedJob, count_missing_and_wrong
from damaskjunction.lab.experiments import (
    ExperimentOptions,
    ExperimentResult,
    Figure,
    at_least,
    at_most,
    experiments,
)

N_ITEMS = 20_000
N_JOBS = 4
FAULT_LEASE_S = 3.0
OUTAGE_S = 30.0
MIN_OUTAGE_S = 3.0
FAULT_INTERVAL_S = 1.5
RESTART_DELAY_S = 0.5
FAULT_TIMEOUT_S = 900.0
FAST_ENGINE_ARGUMENTS = ("--step-s", "0.004", "--step-per-stream-s", "0.0005")


class FaultRun:
    """State of a run with injected faults: the fleet, its jobs and the counters."""

    def __init__(self, rig: BatchRig, rng: random.Random, outage_s: float) -> None:
        self.rig = rig
        self.rng = rng
        self.outage_s = outage_s
        self.jobs: list[SubmittedJob] = []
        self.n_runs = 0
        self.n_duplicate_jobs = 0
        self.counts_by_fault: dict[str, int] = {}


JobFault: TypeAlias = Callable[[FaultRun], Awaitable[None]]

job_faults: Registry[JobFault] = Registry("job fault")


@job_faults.register("engine_killed")
async def kill_engine(run: FaultRun) -> None:
    """Kill an engine with items in flight and restart it."""
    engine = run.rng.choice(run.rig.engines)
    run.n_runs += (await run.rig.engine_runs(engine))[0]
    await run.rig.fleet.kill(engine)
    await asyncio.sleep(RESTART_DELAY_S)
    await run.rig.fleet.restart(engine)
    await run.rig.fleet.wait_until_responding([engine])


@job_faults.register("host_killed")
async def kill_host(run: FaultRun) -> None:
    """Kill a host that holds claims and restart it."""
    host = run.rng.choice(run.rig.hosts)
    await run.rig.fleet.kill(host)
    await asyncio.sleep(RESTART_DELAY_S)
    await run.rig.fleet.restart(host)
    await run.rig.fleet.wait_until_responding([host])


@job_faults.register("host_frozen")
async def freeze_host(run: FaultRun) -> None:
    """Freeze a host for longer than its leases last."""
    host = run.rng.choice(run.rig.hosts)
    run.rig.fleet.freeze(host)
    await asyncio.sleep(FAULT_LEASE_S * run.rng.uniform(1.2, 2.5))
    run.rig.fleet.resume(host)


@job_faults.register("platform_down")
async def make_platform_unavailable(run: FaultRun) -> None:
    """Make the platform unavailable for ``outage_s`` seconds."""
    await run.rig.set_faults("platform", down=1)
    await asyncio.sleep(run.outage_s)
    await run.rig.set_faults("platform", down=0)


@job_faults.register("answers_lost")
async def lose_responses(run: FaultRun) -> None:
    """Let the next 1 to 8 platform writes take effect but lose their responses."""
    await run.rig.set_faults("platform", lose_answers=run.rng.randint(1, 8))


@job_faults.register("job_resent")
async def resubmit_job(run: FaultRun) -> None:
    """Submit a job again, to a random host; the job id must be the same."""
    job = run.rng.choice(run.jobs)
    target = f"/v1/jobs?service=caddie-llm&key={job.key}"
    response = await run.rig.call("POST", target, body=job.body)
    run.n_duplicate_jobs += response.to_json().get("job_id") != job.job_id


async def _submit_then_kill(run: FaultRun, key: str, n_items: int) -> None:
    """Submit a job to a host that is killed right after it acknowledges the job."""
    host = run.rng.choice(run.rig.hosts)
    run.jobs.append(await run.rig.submit(key, n_items, host=host))
    await run.rig.fleet.kill(host)
    await run.rig.fleet.restart(host)
    await run.rig.fleet.wait_until_responding([host])


async def _inject_faults(run: FaultRun) -> None:
    names = list(job_faults)
    run.rng.shuffle(names)
    while True:
        for name in names:
            await asyncio.sleep(FAULT_INTERVAL_S * run.rng.uniform(0.5, 1.5))
            await job_faults.get(name)(run)
            run.counts_by_fault[name] = run.counts_by_fault.get(name, 0) + 1


@experiments.register("batch-faults")
async def run_batch_faults(options: ExperimentOptions) -> ExperimentResult:
    """Run jobs under kills, freezes, outages, lost responses and resubmissions."""
    rig = BatchRig(
        "small", {"lease_s": FAULT_LEASE_S}, FAST_ENGINE_ARGUMENTS, seed=options.seed
    )
    outage_s = max(MIN_OUTAGE_S, OUTAGE_S * options.scale)
    run = FaultRun(rig, random.Random(options.seed), outage_s)
    n_items = int(N_ITEMS * options.scale / N_JOBS)
    await rig.start()
    began_s = rig.fleet.timers.now()
    try:
        for number in range(N_JOBS):
            await _submit_then_kill(run, f"night-{number}", n_items)
        injection = asyncio.ensure_future(_inject_faults(run))
        try:
            is_done = await _wait_until_complete(run)
        finally:
            injection.cancel()
            await asyncio.gather(injection, return_exceptions=True)
        await _clear_faults(run)
        return await _verify(run, n_items, is_done, rig.fleet.timers.now() - began_s)
    finally:
        await rig.close()


async def _wait_until_complete(run: FaultRun) -> bool:
    """Poll the results until every job is complete; return False on timeout."""
    timers = run.rig.fleet.timers
    deadline_at_s = timers.now() + FAULT_TIMEOUT_S
    incomplete_jobs = list(run.jobs)
    while incomplete_jobs and timers.now() < deadline_at_s:
        for job in list(incomplete_jobs):
            await run.rig.read_results(job)
            if (await run.rig.job_status(job))["state"] == "complete":
                incomplete_jobs.remove(job)
        await asyncio.sleep(1.0)
    return not incomplete_jobs


async def _clear_faults(run: FaultRun) -> None:
    """End the faults that are still active."""
    for host in run.rig.hosts:
        if run.rig.fleet.is_running(host):
            run.rig.fleet.resume(host)
    await run.rig.set_faults("platform", down=0, lose_answers=0)


async def _verify(
    run: FaultRun, n_items: int, is_done: bool, duration_s: float
) -> ExperimentResult:
    rig = run.rig
    n_lost = n_wrong = 0
    for job in run.jobs:
        lost, wrong = count_missing_and_wrong(job, await rig.read_results(job))
        n_lost += lost
        n_wrong += wrong
    ids = {
        job["job_id"] for job in (await rig.call("GET", "/v1/jobs")).to_json()["jobs"]
    }
    run.n_duplicate_jobs += len(ids) - len(run.jobs)
    for engine in rig.engines:
        try:
            run.n_runs += (await rig.engine_runs(engine))[0]
        except (ConnectFailedError, BrokenResponseError):
            continue  # an engine that is down has no counters to add
    n_total = n_items * N_JOBS
    figures = (
        Figure("items", n_total),
        Figure("duration", duration_s, "s"),
        at_least("jobs complete", float(is_done), 1),
        at_most("items lost", n_lost, 0),
        at_most("results wrong", n_wrong, 0),
        at_most("results doubled or changed", rig.n_changed, 0),
        at_most("jobs doubled", run.n_duplicate_jobs, 0),
        Figure("extra runs per item", run.n_runs / n_total - 1),
        *(Figure(f"faults {n}", c) for n, c in sorted(run.counts_by_fault.items())),
    )
    return ExperimentResult(figures)
