"""Estimate of the prompt prefixes that each runner has cached."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Collection, Sequence

from damaskjunction.core import RunnerId

MAX_CACHED_PARTS = 2048


class KeptParts:
    """Least recently used (LRU) list of the prompt parts each runner has processed.

    It estimates what the runner's prefix cache holds, which is not reported.
    """

    def __init__(self) -> None:
        self._parts_by_runner: dict[RunnerId, OrderedDict[str, None]] = {}

    def note(self, runner_id: RunnerId, parts: Sequence[str]) -> None:
        """Record that a runner processes the parts of a prompt."""
        kept = self._parts_by_runner.setdefault(runner_id, OrderedDict())
        for part in parts:
            kept[part] = None
            kept.move_to_end(part)
        while len(kept) > MAX_CACHED_PARTS:
            kept.popitem(last=False)

    def share(self, runner_id: RunnerId, parts: Sequence[str]) -> float:
        """Return the fraction of a prompt's leading parts that a runner has cached."""
        kept = self._parts_by_runner.get(runner_id)
        if not kept or not parts:
            return 0.0
        n_cached = 0
        for part in parts:
            if part not in kept:
                break
            n_cached += 1
        return n_cached / len(parts)

    def forget(self, runner_id: RunnerId) -> None:
        """Drop the entries of a runner that may have restarted with an empty cache."""
        self._parts_by_runner.pop(runner_id, None)

    def keep_runners(self, runner_ids: Collection[RunnerId]) -> None:
        """Drop the entries of all runners not in ``runner_ids``."""
        for runner_id in self._parts_by_runner.keys() - set(runner_ids):
            del self._parts_by_runner[runner_id]
