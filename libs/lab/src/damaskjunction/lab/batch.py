"""Experiments on batch jobs: platform call rates, cancellation and throughput."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from typing import NamedTuple

from damaskjunction.lab.batch_rig import BatchRig, SubmittedJob
from damaskjunction.lab.experiments import (
    ExperimentOptions,
    ExperimentResult,
    Figure,
    at_least,
    at_most,
    experiments,
)
from damaskjunction.standins import EngineSpeed

ITEMS_PER_DAY = 59_000_000
DAY_S = 24 * 3600.0
FLEET_N_HOSTS = 370  # size of the fleet to which the counts are extrapolated
ITEMS_PER_JOB = 10_000
WRITES_TARGET_PER_S = 60.0
READS_TARGET_PER_S = 200.0
SCAN_INTERVAL_S = 6.2  # FLEET_N_HOSTS at 60 scans per second of all hosts together
LEASE_RENEWAL_S = 30.0  # half of the default lease
MINUTE_S = 60.0
BUDGET_SLICES_PER_MINUTE = 600  # maximum of a fleet, MAX_SLICES of batch.peak
CHUNKS_PER_HOST = 2
FAST_ENGINE_ARGUMENTS = ("--step-s", "0.002", "--step-per-stream-s", "0.0003")
CALL_TIMEOUT_S = 300.0
BATCH_OBJECT_KINDS = ("job", "queue", "upload", "segment", "items", "chunk", "results")

CANCEL_ITEMS = 3000
CANCEL_TOKENS = 16
CANCEL_ROUNDS = 6
CANCEL_LEASE_S = 4.0
OBSERVATION_S = 2.0
SAMPLE_INTERVAL_S = 0.02

THROUGHPUT_ITEMS = 1200
THROUGHPUT_TOKENS = 32
N_EXTRA_STEPS = 2  # of each stream, for prefill and the end event
SETTLE_S = 4.0
MEASUREMENT_S = 12.0


class CallCount(NamedTuple):
    """Platform calls that batch made in one run, with the size of the run."""

    n_items: int
    n_jobs: int
    n_hosts: int
    writes: int
    reads: int
    duration_s: float


def _count_writes_and_reads(counts: dict[str, int]) -> tuple[int, int]:
    writes = reads = 0
    for call, count in counts.items():
        verb, kind = call.split()
        if kind not in BATCH_OBJECT_KINDS:
            continue
        if verb in ("PUT", "DELETE"):
            writes += count
        else:
            reads += count
    return writes, reads


async def _count_calls(
    name: str, n_items: int, n_jobs: int, options: ExperimentOptions
) -> CallCount:
    rig = BatchRig(name, {}, FAST_ENGINE_ARGUMENTS, seed=options.seed)
    await rig.start()
    timers = rig.fleet.timers
    try:
        before = _count_writes_and_reads(await rig.platform_calls())
        began_s = timers.now()
        jobs = [
            await rig.submit(f"night-{n}", n_items // n_jobs, n_tokens=2)
            for n in range(n_jobs)
        ]
        if not await rig.wait_until_complete(jobs, CALL_TIMEOUT_S):
            raise TimeoutError(
                f"{n_jobs} jobs were not complete within {CALL_TIMEOUT_S:g} s"
            )
        duration_s = timers.now() - began_s
        after = _count_writes_and_reads(await rig.platform_calls())
    finally:
        await rig.close()
    return CallCount(
        n_items,
        n_jobs,
        len(rig.hosts),
        after[0] - before[0],
        after[1] - before[1],
        duration_s,
    )


@experiments.register("batch-calls")
async def run_batch_calls(options: ExperimentOptions) -> ExperimentResult:
    """Count platform calls by items, jobs and hosts; extrapolate to a full fleet."""
    n_items = int(4000 * options.scale)
    few = await _count_calls("small", n_items, 1, options)
    many = await _count_calls("small", 3 * n_items, 1, options)
    jobs = await _count_calls("small", n_items, 5, options)
    hosts = await _count_calls("lima", n_items, 1, options)
    writes_per_item = (many.writes - few.writes) / (many.n_items - few.n_items)
    writes_per_job = max(0.0, (jobs.writes - few.writes) / (jobs.n_jobs - few.n_jobs))
    items_per_s = ITEMS_PER_DAY / DAY_S
    renewals_per_s = FLEET_N_HOSTS * CHUNKS_PER_HOST / LEASE_RENEWAL_S
    writes_per_s = (
        items_per_s * writes_per_item
        + items_per_s / ITEMS_PER_JOB * writes_per_job
        + renewals_per_s
        + (FLEET_N_HOSTS + BUDGET_SLICES_PER_MINUTE) / MINUTE_S
    )
    reads_per_item = _reads_without_scans(many) / many.n_items
    reads_per_s = (
        items_per_s * reads_per_item
        + FLEET_N_HOSTS / SCAN_INTERVAL_S
        + renewals_per_s
        + FLEET_N_HOSTS / MINUTE_S
    )
    figures = [
        Figure("writes per 1,000 items", 1000 * writes_per_item),
        Figure("reads per 1,000 items", 1000 * reads_per_item),
        Figure("writes per further job", writes_per_job),
        Figure("reads a second and host, scans", many.n_hosts and _scans_per_s(many)),
        at_most("writes at 59M items a day", writes_per_s, WRITES_TARGET_PER_S, "/s"),
        at_most("reads at 59M items a day", reads_per_s, READS_TARGET_PER_S, "/s"),
    ]
    runs = [count._asdict() for count in (few, many, jobs, hosts)]
    for count in (few, many, jobs, hosts):
        label = f"{count.n_items} items, {count.n_jobs} jobs, {count.n_hosts} hosts"
        figures.append(Figure(f"writes: {label}", count.writes))
        figures.append(Figure(f"reads: {label}", count.reads))
    return ExperimentResult(tuple(figures), details={"runs": runs})


def _scans_per_s(count: CallCount) -> float:
    """Return the queue scans per second of one host in a small fleet.

    There each host scans at the minimum interval of 0.5 s.
    """
    return 2.0


def _reads_without_scans(count: CallCount) -> float:
    """Return the reads of a run without queue scans, which depend on time only."""
    scans = _scans_per_s(count) * count.n_hosts * count.duration_s
    return max(0.0, count.reads - scans)


@experiments.register("cancel")
async def run_cancel(options: ExperimentOptions) -> ExperimentResult:
    """Measure how long items still start and streams still run after a cancellation."""
    rounds = max(2, int(CANCEL_ROUNDS * options.scale))
    rig = BatchRig("small", {"lease_s": CANCEL_LEASE_S}, seed=options.seed)
    await rig.start()
    starts: list[float] = []
    ends: list[float] = []
    acks: list[float] = []
    n_cancelled = 0
    try:
        for number in range(rounds):
            job = await rig.submit(
                f"night-{number}", CANCEL_ITEMS, n_tokens=CANCEL_TOKENS
            )
            await _wait_for_streams(rig)
            ack_s, start_s, end_s = await _cancel(rig, job, kill=number % 2 == 1)
            acks.append(ack_s)
            starts.append(start_s)
            ends.append(end_s)
            n_cancelled += (await rig.job_status(job))["state"] == "cancelled"
            await rig.read_results(job)
    finally:
        await rig.close()
    figures = (
        Figure("rounds, every second with its host killed", rounds),
        at_least("cancelled for good", n_cancelled, rounds),
        Figure("time to acknowledgement p50", _median(acks), "s"),
        Figure("time to acknowledgement max", max(acks), "s"),
        Figure("last start after acknowledgement p50", _median(starts), "s"),
        at_most(
            "last start after acknowledgement max", max(starts), SAMPLE_INTERVAL_S, "s"
        ),
        Figure("last stream end after acknowledgement p50", _median(ends), "s"),
        Figure("last stream end after acknowledgement max", max(ends), "s"),
    )
    return ExperimentResult(figures)


async def _wait_for_streams(rig: BatchRig) -> None:
    async def have_streams() -> bool:
        n_streams = [await _count_streams(rig, engine) for engine in rig.engines]
        return min(n_streams) > 0

    await rig.fleet.wait_for(have_streams, "items run on every engine", CALL_TIMEOUT_S)


async def _count_streams(rig: BatchRig, engine: str) -> int:
    response = await rig.fleet.call(engine, "GET", "/test/runs")
    return int(response.to_json()["n_streams"])


async def _cancel(
    rig: BatchRig, job: SubmittedJob, *, kill: bool
) -> tuple[float, float, float]:
    """Cancel a job; return seconds to the response, last start and last stream end.

    With ``kill``, the host that received the request is killed up to 50 ms later and
    the request is repeated at random hosts.
    """
    timers = rig.fleet.timers
    target = f"/v1/jobs/{job.job_id}"
    requested_s = timers.now()
    if kill:
        host = rig.rng.choice(rig.hosts)
        pending = asyncio.ensure_future(rig.call("DELETE", target, host=host))
        await asyncio.sleep(rig.rng.uniform(0.0, 0.05))
        await rig.fleet.kill(host)
        response = await pending
    else:
        response = await rig.call("DELETE", target)
    while response.status == 202:
        response = await rig.call("DELETE", target)
    acknowledged_s = timers.now()
    start_s, end_s = await _measure_last_activity(rig, acknowledged_s)
    if kill:
        await rig.fleet.restart(host)
        await rig.fleet.wait_until_responding([host])
    return acknowledged_s - requested_s, start_s, end_s


async def _measure_last_activity(rig: BatchRig, since_s: float) -> tuple[float, float]:
    """Return seconds from ``since_s`` until the last stream start and stream end."""
    timers = rig.fleet.timers
    n_runs = [(await rig.engine_runs(engine))[0] for engine in rig.engines]
    start_s = end_s = 0.0
    while timers.now() < since_s + OBSERVATION_S:
        observed = [(await rig.engine_runs(engine))[0] for engine in rig.engines]
        if observed != n_runs:
            n_runs = observed
            start_s = timers.now() - since_s
        if any([await _count_streams(rig, engine) for engine in rig.engines]):
            end_s = timers.now() - since_s
        await asyncio.sleep(SAMPLE_INTERVAL_S)
    return start_s, end_s


def _median(values: Sequence[float]) -> float:
    return sorted(values)[len(values) // 2]


@experiments.register("batch-throughput")
async def run_batch_throughput(options: ExperimentOptions) -> ExperimentResult:
    """Measure batch throughput against the theoretical maximum of the engines."""
    rig = BatchRig("small", {}, seed=options.seed)
    await rig.start()
    timers = rig.fleet.timers
    measurement_s = MEASUREMENT_S * options.scale
    try:
        n_items = int(THROUGHPUT_ITEMS * (0.5 + options.scale))
        await rig.submit("night", n_items, n_tokens=THROUGHPUT_TOKENS)
        await _wait_for_streams(rig)
        await asyncio.sleep(SETTLE_S)
        before = [await rig.engine_runs(engine) for engine in rig.engines]
        began_s = timers.now()
        await asyncio.sleep(measurement_s)
        after = [await rig.engine_runs(engine) for engine in rig.engines]
        duration_s = timers.now() - began_s
    finally:
        await rig.close()
    n_tokens = sum(a[1] - b[1] for a, b in zip(after, before, strict=True))
    n_runs = sum(a[0] - b[0] for a, b in zip(after, before, strict=True))
    rate = n_tokens / duration_s
    max_rate = len(rig.engines) * _max_tokens_per_s()
    figures = (
        Figure("tokens a second", rate),
        Figure("engines' capability", max_rate),
        at_least("share of the capability", rate / max_rate, 0.9),
        Figure(
            "runs per item's worth of tokens", n_runs * THROUGHPUT_TOKENS / n_tokens
        ),
    )
    return ExperimentResult(figures)


def _max_tokens_per_s() -> float:
    """Return the tokens per second of an engine with every slot in use."""
    speed = EngineSpeed()
    step_s = speed.step_s + speed.slots * speed.step_per_stream_s
    n_steps = THROUGHPUT_TOKENS + N_EXTRA_STEPS
    return speed.slots / step_s * THROUGHPUT_TOKENS / n_steps
