"""Faults of the links between hosts, and series of faults of several hosts."""

from __future__ import annotations

import asyncio
import signal

from damaskjunction.lab.soak.faults import (
    SHORT_DELAY_S,
    break_path,
    choose,
    faults,
    variant,
)
from damaskjunction.lab.soak.rig import SoakRig
from damaskjunction.lab.soak.schedule import ScheduledFault
from damaskjunction.standins import Mode

MAX_TURN_S = 1.5  # from one host of a series to the next


@faults.register("links to a host broken")
async def break_links(rig: SoakRig, fault: ScheduledFault) -> None:
    """Break the links from all other hosts to a host."""
    name = choose(rig.host_names, fault.draw)
    await break_path(rig.link_proxies[name].set_mode, fault)


@faults.register("links reset")
async def reset_links(rig: SoakRig, fault: ScheduledFault) -> None:
    """Reset or silence all open links between hosts; new ones pass."""
    mode = (Mode.CLOSED, Mode.SILENT_OLD)[variant(fault, 2)]
    for proxy in rig.link_proxies.values():
        proxy.set_mode(mode)
        proxy.set_mode(Mode.PASS)


@faults.register("hosts restarted in turn")
async def restart_in_turn(rig: SoakRig, fault: ScheduledFault) -> None:
    """Stop and start half of the hosts in turn, and freeze the others meanwhile.

    In one case of two, the store is away after the first of them.
    """
    first = int(fault.draw * len(rig.host_names))
    names = [*rig.host_names[first:], *rig.host_names[:first]]
    half = len(names) // 2
    turn_s = min(MAX_TURN_S, fault.for_s / half)
    async with asyncio.TaskGroup() as group:
        for stopped, frozen in zip(names[:half], names[half:], strict=False):
            group.create_task(_restart(rig, stopped))
            group.create_task(_freeze(rig, frozen, turn_s))
            await asyncio.sleep(turn_s)
            if variant(fault, 2):
                rig.store.faults["down"] = 1
    rig.store.faults["down"] = 0


async def _restart(rig: SoakRig, name: str) -> None:
    async with rig.locks[name]:
        await rig.stop_host(name, signal.SIGTERM)
        await asyncio.sleep(SHORT_DELAY_S)
        await rig.start_host(name)


async def _freeze(rig: SoakRig, name: str, for_s: float) -> None:
    async with rig.locks[name]:
        rig.signal_host(name, signal.SIGSTOP)
        await asyncio.sleep(for_s)
        rig.signal_host(name, signal.SIGCONT)
