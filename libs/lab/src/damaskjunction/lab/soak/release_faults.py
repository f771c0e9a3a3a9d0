"""Faults of runners: other versions of their software, ends announced, failures."""

from __future__ import annotations

import asyncio

from damaskjunction.lab.soak.faults import SHORT_DELAY_S, choose, faults, variant
from damaskjunction.lab.soak.rig import ENGINE, FAULTY_RUNNER, N_EVENTS, PLAIN, SoakRig
from damaskjunction.lab.soak.runners import FaultyRunner
from damaskjunction.lab.soak.schedule import ScheduledFault
from damaskjunction.standins import RUNNERS_KIND

LEAVING_PERIOD_S = 4.0
FAILURE_STATUS = 500
REPEATING_SCRIPT = "each second request, after the refusal before once more"


@faults.register("engines released")
async def release_engines(rig: SoakRig, fault: ScheduledFault) -> None:
    """Replace half of the engines, or all others, by the newest version, in turn.

    In one case of two they keep their ids.
    """
    if not variant(fault, 3):
        rig.n_versions += 1
    version = f"v{rig.n_versions}"
    engines = [name for name in rig.endpoints if name.startswith(ENGINE)]
    older = [e for e in engines if rig.software_by_endpoint[e].version != version]
    count = len(engines) // 2 if len(older) == len(engines) else len(older)
    for endpoint in older[:count]:
        async with rig.locks[endpoint]:
            await rig.stop_runner(endpoint)
            rig.release(endpoint, version)
            if variant(fault, 2):
                rig.rename_runner(endpoint)
            await rig.start_runner(endpoint)
        await asyncio.sleep(SHORT_DELAY_S)


@faults.register("runner leaves")
async def let_runner_leave(rig: SoakRig, fault: ScheduledFault) -> None:
    """Let all responses of a runner say that it leaves, then start another one.

    In one case of two its reports say so as well, and in one of two its entry.
    """
    endpoint = choose(rig.endpoints, fault.draw)
    async with rig.locks[endpoint]:
        rig.runners[endpoint].announce_end(in_reports=variant(fault, 8) < 4)
        if variant(fault, 2):
            rig.runners[endpoint].register_in_store("draining")
        await asyncio.sleep(LEAVING_PERIOD_S)
        await rig.stop_runner(endpoint)
        if variant(fault, 4) < 2:
            rig.rename_runner(endpoint)
        await rig.start_runner(endpoint)


@faults.register("resumed requests fail")
async def fail_resumed(rig: SoakRig, fault: ScheduledFault) -> None:
    """Let a runner answer requests that resume a stream with an error."""
    runner = rig.runners.get(choose(rig.endpoints, fault.draw))
    if runner is None:  # another fault has stopped it
        return
    runner.faults["fail_resumed"] = FAILURE_STATUS
    await asyncio.sleep(fault.for_s)
    runner.faults["fail_resumed"] = 0


@faults.register("refusals repeated")
async def repeat_refusals(rig: SoakRig, fault: ScheduledFault) -> None:
    """Add a runner that writes an earlier refusal once more, on a connection.

    In one case of two it is an engine.
    """
    is_engine = variant(fault, 2)
    async with rig.locks[FAULTY_RUNNER]:
        runner = FaultyRunner(
            rig.history,
            rig.timers,
            N_EVENTS if is_engine else 0,
            FAULTY_RUNNER,
            rig.faulty_address,
            ENGINE if is_engine else PLAIN,
            rig.store,
            script=REPEATING_SCRIPT,
        )
        await runner.start()
        await asyncio.sleep(LEAVING_PERIOD_S)
        await runner.close()
        rig.store.remove(RUNNERS_KIND, FAULTY_RUNNER)
