"""Decides when a host takes over the batch jobs of hosts that are missing."""

from __future__ import annotations

from collections.abc import Collection, Sequence

from damaskjunction.core import HostId, JobId

MISSING_TIMEOUT_S = 1.0
CANDIDATE_DELAY_S = 2.0  # for each candidate before, which may see the owner alive
RETRY_PERIOD_S = 1.0


class TakeoverWatch:
    """The jobs of other hosts that one host watches.

    A job is taken over once its owner has been missing for ``MISSING_TIMEOUT_S``, by
    the first candidate. Each further candidate waits ``CANDIDATE_DELAY_S`` longer: the
    ones before it may see another fleet, or be unable to write.

    Parameters
    ----------
    own_id : str
        The host that watches.
    """

    def __init__(self, own_id: HostId) -> None:
        self._own_id = own_id
        self._missing_since_by_job: dict[JobId, float] = {}
        self._tried_at_by_job: dict[JobId, float] = {}

    def observe_present(self, job_id: JobId) -> None:
        """Record that the owner of a job is present, or that the job has ended."""
        self._missing_since_by_job.pop(job_id, None)
        self._tried_at_by_job.pop(job_id, None)

    def retain_jobs(self, job_ids: Collection[JobId]) -> None:
        """Forget the jobs that are not among these."""
        for job_id in self._missing_since_by_job.keys() - set(job_ids):
            self.observe_present(job_id)

    def is_due(self, job_id: JobId, candidates: Sequence[HostId], now_s: float) -> bool:
        """Return whether to take over a job whose owner is missing.

        Parameters
        ----------
        job_id : str
            The job.
        candidates : sequence of str
            The hosts that may take it over, in order of preference.
        now_s : float
            Time on the monotonic clock, in seconds.
        """
        missing_since_s = self._missing_since_by_job.setdefault(job_id, now_s)
        if self._own_id not in candidates:
            return False
        n_before = list(candidates).index(self._own_id)
        due_at_s = missing_since_s + MISSING_TIMEOUT_S + n_before * CANDIDATE_DELAY_S
        tried_at_s = self._tried_at_by_job.get(job_id)
        if tried_at_s is not None:
            due_at_s = max(due_at_s, tried_at_s + RETRY_PERIOD_S)
        if now_s < due_at_s:
            return False
        self._tried_at_by_job[job_id] = now_s
        return True
