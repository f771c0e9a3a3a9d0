"""One soak run: start the fleet, inject faults, let it recover, check the history."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from pathlib import Path
from typing import NamedTuple

from damaskjunction.lab.soak.callers import Callers
from damaskjunction.lab.soak.checks import find_broken
from damaskjunction.lab.soak.faults import faults
from damaskjunction.lab.soak.history import Calm
from damaskjunction.lab.soak.rig import SoakRig
from damaskjunction.lab.soak.schedule import Strike, make_schedule

SETTLE_S = 12.0
CALM_S = 4.0
FINISH_S = 30.0
WARM_UP_S = 1.0


class SoakOptions(NamedTuple):
    """Size and seed of a soak; faults are injected for ``faults_s`` seconds."""

    seed: int
    faults_s: float = 60.0
    n_hosts: int = 4
    n_engines: int = 3
    n_plain: int = 2
    n_callers: int = 12
    n_senders: int = 3


class SoakReport(NamedTuple):
    """Result of a soak: violated guarantees, the injected faults and counts."""

    broken: tuple[str, ...]
    strikes: tuple[Strike, ...]
    figures: dict[str, int]


async def run_soak(options: SoakOptions, folder: Path) -> SoakReport:
    """Run a soak; settings and logs of its hosts are written to a folder."""
    strikes = make_schedule(options.seed, options.faults_s, sorted(faults))
    rig = SoakRig(
        folder,
        n_hosts=options.n_hosts,
        n_engines=options.n_engines,
        n_plain=options.n_plain,
    )
    callers = Callers(
        rig,
        random.Random(options.seed + 1),
        n_callers=options.n_callers,
        n_senders=options.n_senders,
    )
    try:
        await rig.start()
        callers.start()
        await asyncio.sleep(WARM_UP_S)
        await _strike(rig, strikes)
        await asyncio.sleep(SETTLE_S)
        since_s = rig.timers.now()
        await asyncio.sleep(CALM_S)
        rig.history.calm = Calm(since_s, rig.timers.now())
        await callers.stop(FINISH_S)
    finally:
        await rig.close()
    history = rig.history
    statuses = Counter(f"status {call.status}" for call in history.calls)
    figures = {
        "requests": len(history.calls),
        "runs": len(history.runs),
        "jobs": len({submission.job_id for submission in history.submissions}),
        **statuses,
    }
    return SoakReport(tuple(find_broken(history)), strikes, figures)


async def _strike(rig: SoakRig, strikes: tuple[Strike, ...]) -> None:
    began_at_s = rig.timers.now()
    async with asyncio.TaskGroup() as group:
        for strike in strikes:
            delay_s = strike.at_s - (rig.timers.now() - began_at_s)
            await asyncio.sleep(max(0.0, delay_s))
            group.create_task(_run_fault(rig, strike))


async def _run_fault(rig: SoakRig, strike: Strike) -> None:
    await faults.get(strike.kind)(rig, strike)
