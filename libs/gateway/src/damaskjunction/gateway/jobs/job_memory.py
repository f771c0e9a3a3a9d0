"""A bound on the items of jobs that a host holds."""

from __future__ import annotations

from collections.abc import Sequence

from damaskjunction.batch import BatchItem
from damaskjunction.core import JobId, MemoryPart
from damaskjunction.core.units import KIB, MIB
from damaskjunction.gateway.jobs.job_parts import items_bytes

SMALL_JOB_BYTES = 16 * KIB  # that find room beyond the limit
HARD_LIMIT_FACTOR = 1.5
ITEM_BYTES = 2 * KIB  # of an item that waits, beside its text
DEFAULT_LIMIT_BYTES = 64 * MIB
DEFAULT_CACHE_BYTES = 32 * MIB


class JobMemory:
    """Decides whether a host has room for the items of another job.

    It holds the items of the jobs that it runs until they are done.

    Parameters
    ----------
    held : MemoryPart, optional
        Counts the items of the jobs that are run.
    cached : MemoryPart, optional
        Counts the items that are kept besides, to be read again.
    """

    def __init__(
        self, held: MemoryPart | None = None, cached: MemoryPart | None = None
    ) -> None:
        self.held = held or MemoryPart(DEFAULT_LIMIT_BYTES)
        self.cached = cached or MemoryPart(DEFAULT_CACHE_BYTES)
        self._n_bytes_by_id: dict[JobId, int] = {}
        self.n_refused = 0

    def has_room(self, items: Sequence[BatchItem]) -> bool:
        """Return whether the items find room; count the refusal if not.

        A small job does up to ``HARD_LIMIT_FACTOR`` of the limit, and any job when no
        other is held.
        """
        n_added = _held_bytes(items)
        factor = HARD_LIMIT_FACTOR if n_added <= SMALL_JOB_BYTES else 1.0
        is_first = not self.held.n_bytes
        has_room = is_first or self.held.has_room(n_added, factor=factor)
        self.n_refused += not has_room
        return has_room

    def hold(self, job_id: JobId, items: Sequence[BatchItem]) -> None:
        """Count the items of a job, also when there is no room."""
        self.release(job_id)
        self._n_bytes_by_id[job_id] = n_bytes = _held_bytes(items)
        self.held.change(n_bytes)

    def release(self, job_id: JobId) -> None:
        """Count the items of a job no more."""
        self.held.change(-self._n_bytes_by_id.pop(job_id, 0))


def _held_bytes(items: Sequence[BatchItem]) -> int:
    return items_bytes(items) + ITEM_BYTES * len(items)
