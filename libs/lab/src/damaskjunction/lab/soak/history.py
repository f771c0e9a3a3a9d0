"""Events observed by callers and runners in a soak, the only input of its checks.

All times are in seconds on the monotonic clock of the rig's timers.
"""

from __future__ import annotations

from typing import NamedTuple

from damaskjunction.core import HostId, JobId, RequestId, RunnerId

DEADLY_PREFIX = "deadly-"  # of the ids of requests that crash runners


class Call(NamedTuple):
    """A request of a caller and its response; status 0 means no response.

    ``is_complete`` is False when the connection failed before the response ended.
    """

    request_id: RequestId
    route: str
    host: HostId
    sent_at_s: float
    ended_at_s: float
    status: int
    is_complete: bool
    body: bytes


class Run(NamedTuple):
    """A request that a runner began to process.

    ``last_event_id`` is the event after which a stream resumes, -1 for a new one.
    """

    request_id: RequestId
    runner: RunnerId
    at_s: float
    last_event_id: int


class Submission(NamedTuple):
    """One attempt to submit a job; status 0 means no response."""

    job_id: JobId
    n_items: int
    ended_at_s: float
    status: int


class ResultsRead(NamedTuple):
    """A page of a job's results from position ``after``: item, state and text."""

    job_id: JobId
    after: int
    at_s: float
    results: tuple[tuple[str, str, str], ...]


class Cancellation(NamedTuple):
    """An acknowledged cancellation of a job."""

    job_id: JobId
    at_s: float


class FaultFreePeriod(NamedTuple):
    """Start and end of the period after recovery in which requests must succeed."""

    since_s: float
    until_s: float


class NamedLimit(NamedTuple):
    """A rate limit that a runner named in the fault-free period."""

    runner: RunnerId
    limit_per_s: float


class MemoryPeak(NamedTuple):
    """The peak memory of a host's process, in bytes."""

    host: HostId
    n_bytes: int


class History:
    """Everything observed in a soak, in order of time.

    Parameters
    ----------
    n_events : int
        Number of events in a complete stream; their ids begin at 1.
    """

    def __init__(self, n_events: int) -> None:
        self.n_events = n_events
        self.calls: list[Call] = []
        self.runs: list[Run] = []
        self.submissions: list[Submission] = []
        self.reads: list[ResultsRead] = []
        self.cancellations: list[Cancellation] = []
        self.limits: list[NamedLimit] = []
        self.peaks: list[MemoryPeak] = []
        self.fault_free_period = FaultFreePeriod(0.0, 0.0)
