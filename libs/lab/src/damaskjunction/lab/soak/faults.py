"""Faults of a soak, from outside the hosts: each begins, lasts and ends."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Awaitable, Callable, Sequence
from typing import TypeAlias, TypeVar

from damaskjunction.core import Registry
from damaskjunction.lab.soak.rig import SoakRig
from damaskjunction.lab.soak.schedule import Strike
from damaskjunction.standins import Mode

Fault: TypeAlias = Callable[[SoakRig, Strike], Awaitable[None]]
T = TypeVar("T")

faults: Registry[Fault] = Registry("soak fault")

PATH_MODES = (
    Mode.SILENT,
    Mode.SILENT_OLD,
    Mode.CUT_FORWARD,
    Mode.CUT_BACK,
    Mode.CLOSED,
)
DOWN_S = 0.2
SLOW_S = 0.3
DRAIN_S = 2.5


def _pick(items: Sequence[T], draw: float) -> T:
    return items[int(draw * len(items)) % len(items)]


def _variant(strike: Strike, count: int) -> int:
    return int(strike.draw * 1000) % count


@faults.register("host killed")
async def kill_host(rig: SoakRig, strike: Strike) -> None:
    """Kill a host; start it again."""
    name = _pick(rig.host_names, strike.draw)
    async with rig.locks[name]:
        await rig.stop_host(name, signal.SIGKILL)
        await asyncio.sleep(DOWN_S)
        await rig.start_host(name)


@faults.register("host restarted")
async def restart_host(rig: SoakRig, strike: Strike) -> None:
    """Ask a host to stop; start it again."""
    name = _pick(rig.host_names, strike.draw)
    async with rig.locks[name]:
        await rig.stop_host(name, signal.SIGTERM)
        await rig.start_host(name)


@faults.register("host frozen")
async def freeze_host(rig: SoakRig, strike: Strike) -> None:
    """Pause a host."""
    name = _pick(rig.host_names, strike.draw)
    async with rig.locks[name]:
        rig.signal_host(name, signal.SIGSTOP)
        await asyncio.sleep(strike.for_s)
        rig.signal_host(name, signal.SIGCONT)


@faults.register("all hosts killed")
async def kill_all(rig: SoakRig, strike: Strike) -> None:
    """Kill all hosts at once; start them again."""
    if _variant(strike, 3):
        return await kill_host(rig, strike)  # the loss of all is rarer
    for name in rig.host_names:
        rig.signal_host(name, signal.SIGKILL)
    for name in rig.host_names:
        async with rig.locks[name]:
            await rig.stop_host(name, signal.SIGKILL)
            await rig.start_host(name)


async def _break_path(rig: SoakRig, name: str, strike: Strike) -> None:
    proxy = rig.proxies[name]
    proxy.set_mode(PATH_MODES[_variant(strike, len(PATH_MODES))])
    await asyncio.sleep(strike.for_s)
    proxy.set_mode(Mode.PASS)


@faults.register("store path broken")
async def break_store_path(rig: SoakRig, strike: Strike) -> None:
    """Break the way of a host to the store."""
    await _break_path(rig, _pick(rig.host_names, strike.draw), strike)


@faults.register("runner path broken")
async def break_runner_path(rig: SoakRig, strike: Strike) -> None:
    """Break the ways of all hosts to a runner."""
    await _break_path(rig, _pick(rig.places, strike.draw), strike)


@faults.register("store troubled")
async def trouble_store(rig: SoakRig, strike: Strike) -> None:
    """Let the store be away, refuse, be slow, lose answers or its history."""
    name, value = (
        ("down", 1),
        ("refuse", 1),
        ("slow_s", SLOW_S),
        ("lose_answers", 3),
        ("no_history", 4),
    )[_variant(strike, 5)]
    rig.store.faults[name] = value
    await asyncio.sleep(strike.for_s)
    rig.store.faults[name] = 0


@faults.register("runner lost")
async def lose_runner(rig: SoakRig, strike: Strike) -> None:
    """End a runner; start another one at its address."""
    place = _pick(rig.places, strike.draw)
    async with rig.locks[place]:
        await rig.stop_runner(place)
        await asyncio.sleep(strike.for_s)
        await rig.start_runner(place)


@faults.register("runner drained")
async def drain_runner(rig: SoakRig, strike: Strike) -> None:
    """Let a runner say that it leaves, end it a while later, and start another."""
    place = _pick(rig.places, strike.draw)
    async with rig.locks[place]:
        rig.runners[place].register_in_store("draining")
        await asyncio.sleep(DRAIN_S)
        await rig.stop_runner(place)
        await rig.start_runner(place)


@faults.register("runner troubled")
async def trouble_runner(rig: SoakRig, strike: Strike) -> None:
    """Let a runner break streams off, fall silent, be full or crash."""
    runner = rig.runners.get(_pick(rig.places, strike.draw))
    if runner is None:
        return
    name = ("break_after", "silent_after", "full", "crash", "mute")[_variant(strike, 5)]
    runner.faults[name] = 4
    await asyncio.sleep(strike.for_s)
    runner.faults[name] = 0


@faults.register("configuration changed")
async def change_configuration(rig: SoakRig, strike: Strike) -> None:
    """Write versions of the configuration in quick succession."""
    for _ in range(1 + _variant(strike, 3)):
        rig.write_configuration()
        await asyncio.sleep(DOWN_S)
