"""Unfinished jobs known to one host, and which of their chunks it may claim."""

from __future__ import annotations

import random
from collections.abc import Container, Iterable, Mapping
from typing import NamedTuple

from damaskjunction.batch import (
    Chunk,
    ChunkState,
    FairShareLedger,
    JobDocument,
    JobOrderInput,
    JobState,
    LeaseTracker,
    job_orders,
    may_claim,
)
from damaskjunction.core import HostId, JobId, rendezvous_order

JOB_ORDER = "fair_deadline"
N_WATCHERS = 2
WATCHER_INTERVAL_FRACTION = 0.25  # of the lease
NON_WATCHER_INTERVAL_FACTOR = 6.0  # times the interval of a watcher


class KnownJob:
    """An unfinished job and the state of its chunks as last read by this host."""

    def __init__(self, job: JobDocument) -> None:
        self.job = job
        self.claimable: list[Chunk] = []
        self.lease_tracker = LeaseTracker()
        self.read_at_s = float("-inf")
        self.is_all_done = False
        self.is_read = False

    def record_chunks(
        self,
        chunks_by_name: Mapping[str, Chunk],
        *,
        held_names: Container[str],
        now_s: float,
        lease_s: float,
        rng: random.Random,
    ) -> None:
        """Record the job's chunks as read at ``now_s``, and shuffle the claimable ones.

        Chunks that this host holds are not claimable. Shuffling spreads the hosts over
        the job's chunks.
        """
        self.read_at_s = now_s
        self.is_read = True
        chunks = chunks_by_name.values()
        for chunk in chunks:
            self.lease_tracker.observe(chunk, now_s)
        self.claimable = [
            chunk
            for chunk in chunks
            if chunk.name not in held_names
            and may_claim(chunk, self.lease_tracker, lease_s, now_s)
        ]
        rng.shuffle(self.claimable)
        self.is_all_done = all(chunk.state is ChunkState.DONE for chunk in chunks)


class QueueChange(NamedTuple):
    """Ids in the queue that are not known yet, and known ids no longer in it."""

    added: tuple[JobId, ...]
    removed: tuple[JobId, ...]


class JobTable:
    """Unfinished jobs by id.

    Parameters
    ----------
    own_id : str
        This host.
    rng : random.Random
        Random number generator of this host.
    """

    def __init__(self, own_id: HostId, rng: random.Random) -> None:
        self.jobs_by_id: dict[JobId, KnownJob] = {}
        self._own_id = own_id
        self._rng = rng
        self._ledger = FairShareLedger()

    def compare_queue(self, queue: Iterable[JobId]) -> QueueChange:
        """Return how the queue differs from the known jobs."""
        ids = set(queue)
        return QueueChange(
            tuple(sorted(ids - self.jobs_by_id.keys())),
            tuple(sorted(self.jobs_by_id.keys() - ids)),
        )

    def add(self, job: JobDocument) -> None:
        """Add a job if it is open."""
        if job["state"] == JobState.OPEN:
            self.jobs_by_id[job["job_id"]] = KnownJob(job)

    def remove(self, job_id: JobId) -> None:
        """Remove a job."""
        self.jobs_by_id.pop(job_id, None)

    def restart_leases(self) -> None:
        """Restart every observed lease after an outage of the platform.

        The outage may have kept their holders from renewing them.
        """
        for known in self.jobs_by_id.values():
            known.lease_tracker.reset()

    def by_priority(self) -> list[KnownJob]:
        """Return the jobs by priority, highest first."""
        jobs = [known.job for known in self.jobs_by_id.values()]
        order_input = JobOrderInput(jobs, self._ledger.served_by_workspace)
        ordered = job_orders.get(JOB_ORDER)(order_input)
        return [self.jobs_by_id[job["job_id"]] for job in ordered]

    def charge_chunk(self, job: JobDocument, share: float) -> None:
        """Charge a chunk that this host starts to the workspace of its job."""
        n_items = job["n_items"] / job["n_chunks"]
        self._ledger.add(job["workspace"], n_items, share)

    def schedule_read(self, job_id: JobId) -> None:
        """Schedule a read of a job's chunks, because one of them ended on this host."""
        known = self.jobs_by_id.get(job_id)
        if known is not None:
            known.read_at_s = float("-inf")

    def is_read_due(
        self,
        known: KnownJob,
        live_hosts: Iterable[HostId],
        lease_s: float,
        now_s: float,
    ) -> bool:
        """Return whether the chunks of a job should be read again.

        For each job, ``N_WATCHERS`` hosts read the claims often, to detect expired
        ones; the others read them at longer intervals.
        """
        if known.read_at_s == float("-inf"):
            return True
        order = rendezvous_order(
            known.job["job_id"], [(name, 1.0) for name in live_hosts]
        )
        is_watcher = self._own_id in order[:N_WATCHERS]
        interval_s = lease_s * WATCHER_INTERVAL_FRACTION
        if not is_watcher:
            interval_s *= NON_WATCHER_INTERVAL_FACTOR
        return now_s - known.read_at_s > interval_s
