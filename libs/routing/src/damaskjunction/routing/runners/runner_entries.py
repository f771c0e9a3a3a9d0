"""The entries that runners have had while streams may live that they wrote."""

from __future__ import annotations

from collections import OrderedDict
from typing import NamedTuple

from damaskjunction.core import Address, Runner, RunnerId
from damaskjunction.core.units import MINUTE_S

MEMORY_S = 10 * MINUTE_S
MAX_FORMER_ENTRIES = 4096


class _FormerEntry(NamedTuple):
    runner: Runner
    ended_at_s: float


class FormerEntries:
    """Entries of runners that another process or no process has now.

    Parameters
    ----------
    capacity : int, optional
        Maximum number of entries; the oldest are dropped.
    """

    def __init__(self, capacity: int = MAX_FORMER_ENTRIES) -> None:
        self._capacity = capacity
        self._n_recorded = 0
        self._entries: OrderedDict[int, _FormerEntry] = OrderedDict()
        self._numbers_by_id: dict[RunnerId, list[int]] = {}

    def record(self, former: Runner, current: Runner | None, now_s: float) -> None:
        """Record the end of an entry, unless ``current`` is of the same process."""
        if current is not None and _process_of(current) == _process_of(former):
            return
        self._n_recorded += 1
        self._entries[self._n_recorded] = _FormerEntry(former, now_s)
        self._numbers_by_id.setdefault(former.runner_id, []).append(self._n_recorded)
        while len(self._entries) > self._capacity:
            self._drop_oldest()

    def since(self, runner_id: RunnerId, at_s: float, now_s: float) -> list[Runner]:
        """Return the former entries of a runner that held at ``at_s`` or later."""
        while self._entries and self._oldest.ended_at_s < now_s - MEMORY_S:
            self._drop_oldest()
        entries = [self._entries[n] for n in self._numbers_by_id.get(runner_id, ())]
        return [entry.runner for entry in entries if entry.ended_at_s >= at_s]

    @property
    def _oldest(self) -> _FormerEntry:
        return next(iter(self._entries.values()))

    def _drop_oldest(self) -> None:
        _, oldest = self._entries.popitem(last=False)
        runner_id = oldest.runner.runner_id
        numbers = self._numbers_by_id[runner_id]
        del numbers[0]
        if not numbers:
            del self._numbers_by_id[runner_id]


def _process_of(runner: Runner) -> tuple[str, int]:
    return runner.version, runner.born_ms


class SupersededProcesses:
    """Processes that are listed though a later one has answered at their address."""

    def __init__(self) -> None:
        self._processes_by_id: dict[RunnerId, tuple[Address, int]] = {}

    def record_answer(self, runner: Runner, born_ms: int) -> None:
        """Record when the process that answered for a listed one had started."""
        if born_ms > runner.born_ms:
            process = (runner.address, runner.born_ms)
            self._processes_by_id[runner.runner_id] = process

    def has(self, runner: Runner) -> bool:
        """Return whether the process of an entry is known to have ended."""
        process = self._processes_by_id.get(runner.runner_id)
        return process == (runner.address, runner.born_ms)
