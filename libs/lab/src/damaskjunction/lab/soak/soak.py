"""One soak: start the fleet, inject faults, let it recover, check the history."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from pathlib import Path
from typing import NamedTuple

from damaskjunction.lab.soak.callers import Callers
from damaskjunction.lab.soak.checks import find_violations
from damaskjunction.lab.soak.configuration import ENGINE
from damaskjunction.lab.soak.faults import faults
from damaskjunction.lab.soak.history import (
    FaultFreePeriod,
    FaultSpan,
    History,
    NamedLimit,
)
from damaskjunction.lab.soak.observer import Observer
from damaskjunction.lab.soak.processor_use import describe_processor_use
from damaskjunction.lab.soak.rig import SoakRig
from damaskjunction.lab.soak.schedule import ScheduledFault, make_schedule
from damaskjunction.lab.soak.upgrade import roll_forth_and_back

RECOVERY_S = 12.0  # from the end of the last fault to the fault-free period
FAULT_FREE_S = 4.0
FINISH_TIMEOUT_S = 30.0  # for calls and jobs in progress
WARM_UP_S = 1.0


class SoakOptions(NamedTuple):
    """Size and seed of a soak; faults are injected for ``fault_period_s`` seconds.

    Lulls of ``lull_s`` seconds come between series of faults. ``kinds`` are the kinds
    of faults to choose from, empty for all. With ``former_build``, the folder of an
    earlier build's sources, the hosts run that first, are rolled to the present build
    and back while faults are injected.
    """

    seed: int
    fault_period_s: float = 60.0
    n_hosts: int = 4
    n_engines: int = 4
    n_plain: int = 2
    n_callers: int = 12
    n_submitters: int = 5
    lull_s: float = 12.0
    kinds: tuple[str, ...] = ()
    former_build: Path | None = None


class SoakReport(NamedTuple):
    """Result of a soak: violated guarantees, the injected faults and counts.

    ``figures`` counts callers' requests, requests that runners began to process (runs),
    jobs, and requests by the status of their response. ``own_process`` tells how the
    process of all runners, proxies and callers kept up.
    """

    violations: tuple[str, ...]
    schedule: tuple[ScheduledFault, ...]
    figures: dict[str, int]
    own_process: str


async def run_soak(options: SoakOptions, folder: Path) -> SoakReport:
    """Run a soak; settings and logs of its hosts are written to a folder."""
    schedule = make_schedule(
        options.seed,
        options.fault_period_s,
        options.kinds or sorted(faults),
        lull_s=options.lull_s,
    )
    rig = SoakRig(
        folder,
        n_hosts=options.n_hosts,
        n_engines=options.n_engines,
        n_plain=options.n_plain,
        former_build=options.former_build,
    )
    callers = Callers(
        rig,
        random.Random(options.seed + 1),
        n_callers=options.n_callers,
        n_submitters=options.n_submitters,
    )
    observer = Observer(rig, folder)
    try:
        await rig.start()
        callers.start()
        observer.start()
        await asyncio.sleep(WARM_UP_S)
        await _inject_faults(
            rig, schedule, has_upgrade=options.former_build is not None
        )
        await _settle_versions(rig)
        await asyncio.sleep(RECOVERY_S)
        since_s = rig.timers.now()
        await asyncio.sleep(FAULT_FREE_S)
        rig.history.fault_free_period = FaultFreePeriod(since_s, rig.timers.now())
        rig.history.limits += [
            NamedLimit(rig.runners[endpoint].runner_id, limit_per_s)
            for endpoint, limit_per_s in rig.limit_per_s_by_endpoint.items()
        ]
        await callers.stop(FINISH_TIMEOUT_S)
    finally:
        await observer.close()
        await rig.close()
    history = rig.history
    statuses = Counter(f"status {call.status}" for call in history.calls)
    figures = {
        "requests": len(history.calls),
        "runs": len(history.runs),
        "jobs": len({submission.job_id for submission in history.submissions}),
        **statuses,
    }
    violations = tuple(find_violations(history))
    if violations:
        (folder / "history.txt").write_text(_format(history))
    return SoakReport(violations, schedule, figures, describe_own_process(history))


def describe_own_process(history: History) -> str:
    """Return how late the soak's own process was, and what it got of the processors.

    To the hosts, its runners, proxies and store are silent while it is late.
    """
    lengths_s = [stall.until_s - stall.since_s for stall in history.stalls]
    return (
        f"{len(lengths_s)} stalls, {sum(lengths_s):.1f} s in all, the longest "
        f"{max(lengths_s, default=0.0):.1f} s; "
        f"{describe_processor_use(history.processor_uses)}"
    )


def _format(history: History) -> str:
    """Return what callers and runners observed, a line for each event, by time."""
    lines = [(call.sent_at_s, str(call)) for call in history.calls]
    lines += [(span.since_s, str(span)) for span in history.fault_spans]
    lines += [(cut.since_s, str(cut)) for cut in history.cuts]
    lines += [(stall.since_s, str(stall)) for stall in history.stalls]
    lines += [(use.since_s, str(use)) for use in history.processor_uses]
    for observed in (
        history.runs,
        history.run_ends,
        history.disturbances,
        history.stops,
        history.reloads,
        history.exits,
        history.crash_reports,
        history.runner_ends,
    ):
        lines += [(entry.at_s, str(entry)) for entry in observed]
    lines += [(read.at_s, str(read)) for read in history.reads if read.results]
    lines += [(life.since_s, str(life)) for life in history.lives]
    return "".join(f"{at_s:.3f} {text}\n" for at_s, text in sorted(lines))


async def _inject_faults(
    rig: SoakRig, schedule: tuple[ScheduledFault, ...], *, has_upgrade: bool
) -> None:
    began_at_s = rig.timers.now()
    async with asyncio.TaskGroup() as group:
        if has_upgrade:
            group.create_task(roll_forth_and_back(rig))
        for fault in schedule:
            delay_s = fault.at_s - (rig.timers.now() - began_at_s)
            await asyncio.sleep(max(0.0, delay_s))
            group.create_task(_run_fault(rig, fault))


async def _run_fault(rig: SoakRig, fault: ScheduledFault) -> None:
    since_s = rig.timers.now()
    spans = rig.history.fault_spans
    position = len(spans)
    spans.append(FaultSpan(fault.kind, since_s, float("inf")))
    await faults.get(fault.kind)(rig, fault)
    spans[position] = FaultSpan(fault.kind, since_s, rig.timers.now())


async def _settle_versions(rig: SoakRig) -> None:
    """Let the first half of the engines run another version than the second."""
    since_s = rig.timers.now()
    engines = [name for name in rig.endpoints if name.startswith(ENGINE)]
    for number, endpoint in enumerate(engines):
        n_newer = int(number < len(engines) // 2)
        version = f"v{rig.n_versions + n_newer}"
        if rig.software_by_endpoint[endpoint].version == version:
            continue
        async with rig.locks[endpoint]:
            await rig.stop_runner(endpoint)
            rig.release(endpoint, version)
            await rig.start_runner(endpoint)
    span = FaultSpan("versions settled", since_s, rig.timers.now())
    rig.history.fault_spans.append(span)
