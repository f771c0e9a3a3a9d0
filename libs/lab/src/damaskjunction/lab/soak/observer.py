"""Observer of a running soak: room at engines, stuck items, its own process."""

from __future__ import annotations

import asyncio
import json
import os
from pathlib import Path

from damaskjunction.lab.soak.history import Stall
from damaskjunction.lab.soak.owed import find_stuck
from damaskjunction.lab.soak.processor_use import OWN_PROCESS, ProcessorMeter
from damaskjunction.lab.soak.rig import SoakRig
from damaskjunction.node import cancel_tasks

SAMPLE_PERIOD_S = 0.25
SAMPLES_PER_SEARCH = 4
HEARTBEAT_S = 0.05
METER_PERIOD_S = 1.0
MIN_STALL_S = 0.2  # half of the silence after which a host leaves a runner


class Observer:
    """Records the room at the engines; asks the hosts about each stuck item.

    Parameters
    ----------
    rig : SoakRig
        The fleet.
    folder : Path
        Where the hosts' dumps are written when an item is stuck.
    """

    def __init__(self, rig: SoakRig, folder: Path) -> None:
        self._rig = rig
        self._folder = folder
        self._tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Start to observe."""
        self._tasks = [
            asyncio.ensure_future(self._observe()),
            asyncio.ensure_future(self._record_stalls()),
            asyncio.ensure_future(self._record_processor_use()),
        ]

    async def close(self) -> None:
        """Stop observing."""
        await cancel_tasks(self._tasks)
        for task in self._tasks:
            if not task.cancelled():
                task.result()

    async def _record_stalls(self) -> None:
        timers, stalls = self._rig.timers, self._rig.history.stalls
        while True:
            asleep_at_s = timers.now()
            await asyncio.sleep(HEARTBEAT_S)
            if timers.now() - asleep_at_s > HEARTBEAT_S + MIN_STALL_S:
                stalls.append(Stall(asleep_at_s, timers.now()))

    async def _record_processor_use(self) -> None:
        now, meter = self._rig.timers.now, ProcessorMeter()
        since_s = now()
        while True:
            pids = {name: process.pid for name, process in self._rig.processes.items()}
            pids[OWN_PROCESS] = os.getpid()
            at_s = now()
            uses = meter.measure(pids, since_s, at_s)
            self._rig.history.processor_uses += uses
            since_s = at_s
            await asyncio.sleep(METER_PERIOD_S)

    async def _observe(self) -> None:
        n_samples = 0
        while True:
            await asyncio.sleep(SAMPLE_PERIOD_S)
            self._rig.record_room()
            n_samples += 1
            if n_samples % SAMPLES_PER_SEARCH == 0:
                await self._search()

    async def _search(self) -> None:
        views_by_item = self._rig.history.host_views_by_item
        items = {stuck.item for stuck in find_stuck(self._rig.history)}
        new_items = items - views_by_item.keys()
        if not new_items:
            return
        views_by_item.update(dict.fromkeys(new_items, "owed by no host"))
        for name in self._rig.host_names:
            dump = await self._rig.read_dump(name)
            if dump is None:
                continue
            at_s = self._rig.timers.now()
            (self._folder / f"dump-{name}-{at_s:.1f}.json").write_bytes(dump)
            owed = json.loads(dump).get("owed_items", {})
            for item in new_items & owed.keys():
                views_by_item[item] = f"{name}: {owed[item]}"
