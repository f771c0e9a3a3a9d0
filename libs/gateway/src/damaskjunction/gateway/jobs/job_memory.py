"""A bound on the items of jobs that a host holds."""

from __future__ import annotations

from collections.abc import Sequence

from damaskjunction.batch import BatchItem
from damaskjunction.core import JobId
from damaskjunction.core.units import KIB, MIB
from damaskjunction.gateway.jobs.job_parts import items_bytes

SMALL_JOB_BYTES = 16 * KIB  # that find room beyond the limit
HARD_LIMIT_FACTOR = 1.5
ITEM_BYTES = 1 * KIB  # of an item that waits, beside its text
DEFAULT_LIMIT_BYTES = 64 * MIB
CACHE_FRACTION = 0.5  # of the limit, for items that are only kept to be read again


class JobMemory:
    """Decides whether a host has room for the items of another job.

    It holds the items of the jobs that it runs until they are done. ``cache_bytes``
    are those of items that it may keep besides.

    Parameters
    ----------
    limit_bytes : int, optional
        Bytes of items that are held at once.
    """

    def __init__(self, limit_bytes: int = DEFAULT_LIMIT_BYTES) -> None:
        self._limit_bytes = limit_bytes
        self.cache_bytes = int(CACHE_FRACTION * limit_bytes)
        self._n_bytes_by_id: dict[JobId, int] = {}
        self.n_bytes = 0
        self.n_refused = 0

    def has_room(self, items: Sequence[BatchItem]) -> bool:
        """Return whether the items find room; count the refusal if not.

        A small job does up to ``HARD_LIMIT_FACTOR`` of the limit, and any job when no
        other is held.
        """
        n_added = _held_bytes(items)
        limit_bytes = self._limit_bytes
        if n_added <= SMALL_JOB_BYTES:
            limit_bytes = int(HARD_LIMIT_FACTOR * limit_bytes)
        has_room = not self.n_bytes or self.n_bytes + n_added <= limit_bytes
        self.n_refused += not has_room
        return has_room

    def hold(self, job_id: JobId, items: Sequence[BatchItem]) -> None:
        """Count the items of a job, also when there is no room."""
        self.release(job_id)
        self._n_bytes_by_id[job_id] = n_bytes = _held_bytes(items)
        self.n_bytes += n_bytes

    def release(self, job_id: JobId) -> None:
        """Count the items of a job no more."""
        self.n_bytes -= self._n_bytes_by_id.pop(job_id, 0)


def _held_bytes(items: Sequence[BatchItem]) -> int:
    return items_bytes(items) + ITEM_BYTES * len(items)
