"""Estimate of the prompt prefixes that each runner has cached."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Collection, Sequence

from damaskjunction.core import RunnerId

MAX_CACHED_PARTS = 2048


class PrefixCacheEstimate:
    """Least recently used (LRU) list of the prompt parts each runner has processed.

    It estimates what the runner's prefix cache holds, which is not reported.
    """

    def __init__(self) -> None:
        self._parts_by_runner: dict[RunnerId, OrderedDict[str, None]] = {}

    def record(self, runner_id: RunnerId, parts: Sequence[str]) -> None:
        """Record that a runner processes the parts of a prompt."""
        cached = self._parts_by_runner.setdefault(runner_id, OrderedDict())
        for part in parts:
            cached[part] = None
            cached.move_to_end(part)
        while len(cached) > MAX_CACHED_PARTS:
            cached.popitem(last=False)

    def cached_share(self, runner_id: RunnerId, parts: Sequence[str]) -> float:
        """Return the fraction of a prompt's leading parts that a runner has cached."""
        cached = self._parts_by_runner.get(runner_id)
        if not cached or not parts:
            return 0.0
        n_cached = 0
        for part in parts:
            if part not in cached:
                break
            n_cached += 1
        return n_cached / len(parts)

    def forget(self, runner_id: RunnerId) -> None:
        """Drop the entries of a runner that may have restarted with an empty cache."""
        self._parts_by_runner.pop(runner_id, None)

    def retain_runners(self, runner_ids: Collection[RunnerId]) -> None:
        """Drop the entries of all runners not in ``runner_ids``."""
        for runner_id in self._parts_by_runner.keys() - set(runner_ids):
            del self._parts_by_runner[runner_id]
