"""Faults that cut hosts off from runners, while all else still reaches them."""

from __future__ import annotations

import asyncio
from collections.abc import Collection

from damaskjunction.core import HostId
from damaskjunction.lab.soak.cut_checks import CONTACT_S
from damaskjunction.lab.soak.faults import choose, faults, variant
from damaskjunction.lab.soak.rig import SoakRig
from damaskjunction.lab.soak.runner_paths import Cut
from damaskjunction.lab.soak.schedule import ScheduledFault
from damaskjunction.standins import Mode

CUT_MODES = (Mode.HANGING, Mode.CLOSED, Mode.REFUSING, Mode.DOWN)
MIN_MEASURED_S = 2.0  # of each cut, once its host may have noticed


async def cut_off(
    rig: SoakRig,
    hosts: Collection[HostId],
    fault: ScheduledFault,
    *,
    mode: Mode,
    endpoints: Collection[str] = (),
) -> None:
    """Cut hosts off from the runners of endpoints, by default of all.

    One host at least is left that no cut touches.
    """
    untouched = set(rig.host_names) - rig.paths.cut_hosts
    if untouched <= set(hosts):
        hosts = sorted(untouched)[1:]
    if not hosts:
        return
    cut = Cut(frozenset(hosts), frozenset(endpoints or rig.endpoints), mode)
    with rig.cut(cut):
        await asyncio.sleep(CONTACT_S + MIN_MEASURED_S + fault.for_s)


def _mode(fault: ScheduledFault, number: int = 0) -> Mode:
    return CUT_MODES[(variant(fault, len(CUT_MODES)) + number) % len(CUT_MODES)]


@faults.register("hosts cut off")
async def cut_hosts_off(rig: SoakRig, fault: ScheduledFault) -> None:
    """Cut one host, or those of a data centre, off from all runners.

    Those of a data centre are cut off at once or in turn. In turn, each is cut off in
    another way than the one before, and the cuts overlap.
    """
    name = choose(rig.host_names, fault.draw)
    centre = rig.data_centre(name)
    neighbours = [name for name in rig.host_names if rig.data_centre(name) == centre]
    extent = variant(fault, 3 * len(CUT_MODES)) // len(CUT_MODES)
    if extent < 2:
        names = neighbours if extent else [name]
        await cut_off(rig, names, fault, mode=_mode(fault))
        return
    async with asyncio.TaskGroup() as group:
        for number, neighbour in enumerate(neighbours):
            mode = _mode(fault, number)
            group.create_task(cut_off(rig, [neighbour], fault, mode=mode))
            await asyncio.sleep(fault.for_s / len(neighbours))


@faults.register("host cut off in part")
async def cut_host_off_in_part(rig: SoakRig, fault: ScheduledFault) -> None:
    """Cut a host off from each second runner, in two ways."""
    name = choose(rig.host_names, fault.draw)
    cut = rig.endpoints[variant(fault, 2) :: 2]
    async with asyncio.TaskGroup() as group:
        for number, endpoints in enumerate((cut[::2], cut[1::2])):
            mode = _mode(fault, number)
            work = cut_off(rig, [name], fault, mode=mode, endpoints=endpoints)
            group.create_task(work)
