"""A simulated clock: its loop and the timer service on it."""

from __future__ import annotations

import asyncio

from damaskjunction.core import LoopTimers


class SimulatedLoop(asyncio.SelectorEventLoop):
    """An event loop whose clock jumps to the next timer when nothing is ready."""

    def __init__(self):
        super().__init__()
        self._now_s = 0.0
        self._select = self._selector.select
        self._selector.select = self._jump

    def time(self):
        return self._now_s

    def _jump(self, timeout_s):
        self._now_s += timeout_s or 0.0
        return self._select(0)


class SimulatedTimers(LoopTimers):
    """The timer service on the simulated loop."""

    def now(self):
        return asyncio.get_running_loop().time()

    def wall(self):
        return 1.8e9 + self.now()
