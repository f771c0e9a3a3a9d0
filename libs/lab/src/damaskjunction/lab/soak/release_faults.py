"""Faults of runners: other versions of their software, ends announced, failures."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from typing import NamedTuple

from damaskjunction.core import ServiceName
from damaskjunction.lab.soak.configuration import ENGINE, PLAIN
from damaskjunction.lab.soak.faults import SHORT_DELAY_S, choose, faults, variant
from damaskjunction.lab.soak.rig import FAULTY_RUNNER, N_EVENTS, SoakRig
from damaskjunction.lab.soak.runners import FaultyRunner
from damaskjunction.lab.soak.schedule import ScheduledFault
from damaskjunction.standins import RUNNERS_KIND, wrong_take_ups

LEAVING_PERIOD_S = 4.0
FAILURE_STATUS = 500
FAULTY_PERIOD_S = 4.0
FIRST_ENGINE = f"{ENGINE}0"
REPEATING_SCRIPT = "each second request, after the refusal before once more"
REFUSING_ONCE_SCRIPT = "each refused once, once more on its connection"


class Release(NamedTuple):
    """A version of the software, by its number, and the engines that it replaces."""

    number: int
    engines: tuple[str, ...]

    @property
    def version(self) -> str:
        """The version's name."""
        return version_name(self.number)


def version_name(number: int) -> str:
    """Return the name of a version of the software."""
    return f"v{number}"


def plan_release(
    versions_by_engine: Mapping[str, str], newest: int, fault: ScheduledFault
) -> Release:
    """Return the release of a new version to half of the engines, or of the newest.

    The newest goes on to the engines that do not have it, if there are any, in two
    cases of three.
    """
    engines = tuple(versions_by_engine)
    older = tuple(
        engine
        for engine in engines
        if versions_by_engine[engine] != version_name(newest)
    )
    is_new = not older or variant(fault, 3) == 0
    if not is_new and len(older) < len(engines):
        return Release(newest, older)
    return Release(newest + int(is_new), engines[: len(engines) // 2])


@faults.register("engines released")
async def release_engines(rig: SoakRig, fault: ScheduledFault) -> None:
    """Replace half of the engines, or all others, by a newer version, in turn.

    In one case of two they keep their ids.
    """
    versions_by_engine = {
        name: software.version
        for name, software in rig.software_by_endpoint.items()
        if name.startswith(ENGINE)
    }
    release = plan_release(versions_by_engine, rig.n_versions, fault)
    rig.n_versions = release.number
    for endpoint in release.engines:
        async with rig.locks[endpoint]:
            await rig.stop_runner(endpoint)
            rig.release(endpoint, release.version)
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
    """Let a runner answer requests that resume a stream with an error.

    In one case of two add an engine that breaks all streams off, and answers those
    requests with anything but the rest of the stream.
    """
    scripts = tuple(wrong_take_ups)
    if variant(fault, 2):
        return await run_faulty(rig, ENGINE, choose(scripts, fault.draw))
    runner = rig.runners.get(choose(rig.endpoints, fault.draw))
    if runner is None:  # another fault has stopped it
        return
    runner.faults["fail_resumed"] = FAILURE_STATUS
    await asyncio.sleep(fault.for_s)
    runner.faults["fail_resumed"] = 0


@faults.register("refusals repeated")
async def repeat_refusals(rig: SoakRig, fault: ScheduledFault) -> None:
    """Add a runner that writes an earlier refusal once more, on a connection."""
    service, script = (
        (PLAIN, REPEATING_SCRIPT),
        (ENGINE, REPEATING_SCRIPT),
        (PLAIN, REPEATING_SCRIPT),
        (ENGINE, REFUSING_ONCE_SCRIPT),
    )[variant(fault, 4)]
    await run_faulty(rig, service, script)


async def run_faulty(rig: SoakRig, service: ServiceName, script: str) -> None:
    """Add a runner of a service that answers by a script, for ``FAULTY_PERIOD_S``."""
    async with rig.locks[FAULTY_RUNNER]:
        runner = FaultyRunner(
            rig.history,
            rig.timers,
            N_EVENTS if service == ENGINE else 0,
            FAULTY_RUNNER,
            rig.faulty_address,
            service,
            rig.store,
            script=script,
            version=rig.software_by_endpoint[FIRST_ENGINE].version,
        )
        await runner.start()
        await asyncio.sleep(FAULTY_PERIOD_S)
        await runner.close()
        rig.store.remove(RUNNERS_KIND, FAULTY_RUNNER)
