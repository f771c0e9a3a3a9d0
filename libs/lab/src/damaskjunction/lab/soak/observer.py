"""Observer of a running soak: room at the engines, and items that are left lying."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path

from damaskjunction.lab.soak.owed import find_lying
from damaskjunction.lab.soak.rig import SoakRig
from damaskjunction.node import cancel_tasks

SAMPLE_PERIOD_S = 0.25
SAMPLES_PER_SEARCH = 4


class Observer:
    """Records the room at the engines; asks the hosts about each item left lying.

    Parameters
    ----------
    rig : SoakRig
        The fleet.
    folder : Path
        Where the hosts' dumps are written when an item is left lying.
    """

    def __init__(self, rig: SoakRig, folder: Path) -> None:
        self._rig = rig
        self._folder = folder
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start to observe."""
        self._task = asyncio.ensure_future(self._observe())

    async def close(self) -> None:
        """Stop observing."""
        if self._task is not None:
            await cancel_tasks([self._task])
            if not self._task.cancelled():
                self._task.result()

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
        items = {lying.item for lying in find_lying(self._rig.history)}
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
