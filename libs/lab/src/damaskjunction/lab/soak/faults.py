"""Faults of a soak, injected from outside the hosts.

Each function injects a fault and reverts it. Kills, restarts, drains and changes of the
configuration ignore the scheduled duration.
"""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Awaitable, Callable, Sequence
from functools import partial
from typing import TypeAlias, TypeVar

from damaskjunction.core import Registry
from damaskjunction.lab.soak.rig import DEADLY_PART, SoakRig
from damaskjunction.lab.soak.schedule import ScheduledFault
from damaskjunction.standins import Mode

FaultFunction: TypeAlias = Callable[[SoakRig, ScheduledFault], Awaitable[None]]
T = TypeVar("T")

faults: Registry[FaultFunction] = Registry("soak fault")

PATH_MODES = (
    Mode.SILENT,
    Mode.SILENT_OLD,
    Mode.CUT_FORWARD,
    Mode.CUT_BACK,
    Mode.CLOSED,
)
STORE_DELAY_S = 0.3
# Names and values of the store's faults.
STORE_FAULTS = (
    ("down", 1),
    ("refuse", 1),
    ("slow_s", STORE_DELAY_S),
    ("lose_answers", 3),
    ("no_history", 4),
    ("down", 1),  # twice, as it is what hosts depend on most
)
SHORT_DELAY_S = 0.2  # before a killed host restarts, and between configurations
DRAIN_PERIOD_S = 4.0


def choose(items: Sequence[T], draw: float) -> T:
    """Return the item that a random number from 0 to 1 selects."""
    return items[int(draw * len(items)) % len(items)]


def variant(fault: ScheduledFault, count: int) -> int:
    """Return the number of a fault's variant, from 0 to ``count - 1``.

    The draw in thousandths selects it, so that faults with the same target can differ.
    """
    return int(fault.draw * 1000) % count


@faults.register("host killed")
async def kill_host(rig: SoakRig, fault: ScheduledFault) -> None:
    """Kill a host and start it again."""
    name = choose(rig.host_names, fault.draw)
    async with rig.locks[name]:
        await rig.stop_host(name, signal.SIGKILL)
        await asyncio.sleep(SHORT_DELAY_S)
        await rig.start_host(name)


@faults.register("host restarted")
async def restart_host(rig: SoakRig, fault: ScheduledFault) -> None:
    """Stop a host gracefully and start it again."""
    name = choose(rig.host_names, fault.draw)
    async with rig.locks[name]:
        await rig.stop_host(name, signal.SIGTERM)
        await rig.start_host(name)


@faults.register("host frozen")
async def freeze_host(rig: SoakRig, fault: ScheduledFault) -> None:
    """Suspend a host's process."""
    name = choose(rig.host_names, fault.draw)
    async with rig.locks[name]:
        rig.signal_host(name, signal.SIGSTOP)
        await asyncio.sleep(fault.for_s)
        rig.signal_host(name, signal.SIGCONT)


def kills_all_hosts(fault: ScheduledFault) -> bool:
    """Return whether a fault "all hosts killed" does so, in two cases of three."""
    return variant(fault, 3) > 0


@faults.register("all hosts killed")
async def kill_all_hosts(rig: SoakRig, fault: ScheduledFault) -> None:
    """Kill all hosts at once and start them again; sometimes a single one."""
    if not kills_all_hosts(fault):
        return await kill_host(rig, fault)
    for name in rig.host_names:
        rig.signal_host(name, signal.SIGKILL)
    for name in rig.host_names:
        async with rig.locks[name]:
            await rig.stop_host(name, signal.SIGKILL)
            await rig.start_host(name)


async def break_path(set_mode: Callable[[Mode], None], fault: ScheduledFault) -> None:
    """Break a path in one of the ways of ``PATH_MODES``."""
    set_mode(PATH_MODES[variant(fault, len(PATH_MODES))])
    await asyncio.sleep(fault.for_s)
    set_mode(Mode.PASS)


@faults.register("store path broken")
async def break_store_path(rig: SoakRig, fault: ScheduledFault) -> None:
    """Break the network path from a host to the store."""
    name = choose(rig.host_names, fault.draw)
    await break_path(rig.store_proxies[name].set_mode, fault)


@faults.register("runner path broken")
async def break_runner_path(rig: SoakRig, fault: ScheduledFault) -> None:
    """Break the network path from all hosts to a runner."""
    endpoint = choose(rig.endpoints, fault.draw)
    await break_path(partial(rig.paths.set_mode, endpoint), fault)


@faults.register("store troubled")
async def impair_store(rig: SoakRig, fault: ScheduledFault) -> None:
    """Make the store unavailable or slow, refuse calls, lose responses or its history.

    ``StoreStandin`` says what the faults and their values mean.
    """
    name, value = STORE_FAULTS[variant(fault, len(STORE_FAULTS))]
    rig.store.faults[name] = value
    await asyncio.sleep(fault.for_s)
    rig.store.faults[name] = 0


@faults.register("runner lost")
async def replace_runner(rig: SoakRig, fault: ScheduledFault) -> None:
    """Stop a runner and later start another one at its address."""
    endpoint = choose(rig.endpoints, fault.draw)
    async with rig.locks[endpoint]:
        await rig.stop_runner(endpoint)
        await asyncio.sleep(fault.for_s)
        if variant(fault, 2):
            rig.rename_runner(endpoint)
        await rig.start_runner(endpoint)


@faults.register("runner drained")
async def drain_runner(rig: SoakRig, fault: ScheduledFault) -> None:
    """Register a runner as draining, stop it later and start another one."""
    endpoint = choose(rig.endpoints, fault.draw)
    async with rig.locks[endpoint]:
        rig.runners[endpoint].register_in_store("draining")
        await asyncio.sleep(DRAIN_PERIOD_S)
        await rig.stop_runner(endpoint)
        rig.rename_runner(endpoint)
        await rig.start_runner(endpoint)


@faults.register("runner troubled")
async def impair_runner(rig: SoakRig, fault: ScheduledFault) -> None:
    """Make a runner abort or stall streams, be full, crash, or not respond.

    The value 4 is the number of the event after which a stream is aborted or stalls;
    the other faults are on for any value but 0.
    """
    runner = rig.runners.get(choose(rig.endpoints, fault.draw))
    if runner is None:  # another fault has stopped it
        return
    name = ("break_after", "silent_after", "full", "crash", "mute")[variant(fault, 5)]
    runner.faults[name] = 4
    await asyncio.sleep(fault.for_s)
    runner.faults[name] = 0


@faults.register("deadly part")
async def make_part_deadly(rig: SoakRig, fault: ScheduledFault) -> None:
    """Let a part of prompts crash each runner that answers one, until the soak ends."""
    rig.has_deadly_part = True
    for runner in rig.runners.values():
        runner.faults["deadly_part"] = DEADLY_PART


@faults.register("runner limited")
async def limit_runner(rig: SoakRig, fault: ScheduledFault) -> None:
    """Let one runner name a rate limit until the soak ends."""
    if rig.limit_per_s_by_endpoint:
        return
    endpoint = choose(rig.endpoints, fault.draw)
    limit_per_s = 1.0 + variant(fault, 4)
    rig.limit_per_s_by_endpoint[endpoint] = limit_per_s
    runner = rig.runners.get(endpoint)
    if runner is not None:
        runner.faults["limit_per_s"] = limit_per_s


@faults.register("answers without end")
async def answer_without_end(rig: SoakRig, fault: ScheduledFault) -> None:
    """Let the answers of a runner have no end."""
    runner = rig.runners.get(choose(rig.endpoints, fault.draw))
    if runner is None:  # another fault has stopped it
        return
    runner.faults["endless"] = 1
    await asyncio.sleep(fault.for_s)
    runner.faults["endless"] = 0


@faults.register("configuration changed")
async def change_configuration(rig: SoakRig, fault: ScheduledFault) -> None:
    """Write one to three versions of the configuration in quick succession."""
    for _ in range(1 + variant(fault, 3)):
        rig.write_configuration()
        await asyncio.sleep(SHORT_DELAY_S)
