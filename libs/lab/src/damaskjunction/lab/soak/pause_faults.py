"""Pauses of engines, which go on as if nothing had been, beside planned changes."""

from __future__ import annotations

import asyncio
import random
import signal
from collections.abc import Sequence
from contextlib import AsyncExitStack

from damaskjunction.lab.soak.answers import PAUSE_KIND
from damaskjunction.lab.soak.configuration import ENGINE, configuration_changes
from damaskjunction.lab.soak.faults import SHORT_DELAY_S, choose, faults
from damaskjunction.lab.soak.rig import SoakRig
from damaskjunction.lab.soak.schedule import ScheduledFault
from damaskjunction.standins import Mode

# Minimum and maximum of the random values.
PAUSE_S = (0.5, 2.5)
BREAK_S = (0.3, 1.2)  # after each pause
LEAD_S = 2 * SHORT_DELAY_S  # before each pause
EVENT_INTERVAL_S = 0.08  # of streams, so that pauses meet many of them
SHARES = (1.0, 1.0, 0.5, 0.25)  # of the engines
RELOAD = "settings reloaded"


@faults.register(PAUSE_KIND)
async def pause_engines(rig: SoakRig, fault: ScheduledFault) -> None:
    """Pause all engines or a share of them, again and again, beside changes.

    Each pause has a change before, in or after it, of the configuration or the settings
    of a host. A paused engine accepts connections and answers nothing. Streams that
    begin meanwhile take about a second.
    """
    rng = random.Random(fault.draw)
    engines = [name for name in rig.endpoints if name.startswith(ENGINE)]
    until_s = rig.timers.now() + fault.for_s
    while rig.timers.now() < until_s:
        _set_event_interval(rig, EVENT_INTERVAL_S)
        count = max(1, int(rng.choice(SHARES) * len(engines)))
        paused = sorted(rng.sample(engines, count))
        pause_s = rng.uniform(*PAUSE_S)
        within_s = rng.uniform(0.0, pause_s)
        change_s = rng.choice((-SHORT_DELAY_S, within_s, pause_s + SHORT_DELAY_S))
        async with AsyncExitStack() as stack:
            for endpoint in paused:
                await stack.enter_async_context(rig.locks[endpoint])
            async with asyncio.TaskGroup() as group:
                group.create_task(_change(rig, rng.random(), LEAD_S + change_s))
                await _pause(rig, paused, pause_s)
            await asyncio.sleep(rng.uniform(*BREAK_S))
    _set_event_interval(rig, 0.0)


def _set_event_interval(rig: SoakRig, interval_s: float) -> None:
    for runner in rig.runners.values():
        runner.event_interval_s = interval_s


async def _pause(rig: SoakRig, paused: Sequence[str], pause_s: float) -> None:
    await asyncio.sleep(LEAD_S)
    for endpoint in paused:
        rig.paths.set_mode(endpoint, Mode.PAUSED)
    await asyncio.sleep(pause_s)
    for endpoint in paused:
        rig.paths.set_mode(endpoint, Mode.PASS)


async def _change(rig: SoakRig, draw: float, at_s: float) -> None:
    """Write a version of the configuration, or let a host read its settings again."""
    await asyncio.sleep(at_s)
    change = choose((*configuration_changes, RELOAD), draw)
    if change == RELOAD:
        rig.signal_host(choose(rig.host_names, draw), signal.SIGHUP)
    else:
        rig.write_configuration(change)
