"""Events observed by callers and runners in a soak, the only input of its checks.

All times are in seconds on the monotonic clock of the rig's timers.
"""

from __future__ import annotations

import re
import signal
from typing import NamedTuple

from damaskjunction.core import HostId, JobId, RequestId, RunnerId, WorkspaceName

DEADLY_PREFIX = "deadly-"  # of the ids of requests that crash runners

# Statuses of responses which guarantee that the request did not run.
NOT_RUN_STATUSES = (408, 421, 429, 503)

_EVENT_BLOCK = re.compile(rb"(event: [^\n]*\n)?id: (?P<id>\d+)\ndata: (?P<data>[^\n]*)")
_EVENT_TEXT = re.compile(r"token (\d+) of (\S+) for (\S+)")


class Call(NamedTuple):
    """A request of a caller and its response; status 0 means no response.

    ``is_complete`` is False when the connection failed before the response ended, or
    when the caller left it, as ``is_left`` says. A stream that is taken up begins after
    the event ``last_event_id``; ``resumed_id`` is the request that brought its first
    event. The runner ``life_id`` wrote the response's head, read at ``answered_at_s``.
    """

    request_id: RequestId
    route: str
    host: HostId
    sent_at_s: float
    ended_at_s: float
    status: int
    is_complete: bool
    body: bytes
    is_left: bool = False
    last_event_id: int = 0
    resumed_id: RequestId = ""
    life_id: str = ""
    answered_at_s: float = 0.0


class Event(NamedTuple):
    """An event of a stream, and the software version and stream that its text names."""

    number: int
    version: str
    stream: str

    @property
    def text(self) -> str:
        """The data of the event."""
        return f"token {self.number} of {self.version} for {self.stream}"

    def encode(self, kind: str = "") -> bytes:
        """Return the event as a block of a stream, with its type if it has one."""
        type_line = f"event: {kind}\n" if kind else ""
        return f"{type_line}id: {self.number}\ndata: {self.text}\n\n".encode()


class Run(NamedTuple):
    """A request that a runner began to process.

    ``last_event_id`` is the event after which a stream resumes, -1 for a new one.
    ``life_id`` tells runners with the same id apart. ``workspace`` is what the runner
    was told, None if that was not recorded, and ``has_key`` whether it was given a key.
    """

    request_id: RequestId
    runner: RunnerId
    at_s: float
    last_event_id: int
    life_id: str = ""
    workspace: WorkspaceName | None = None
    has_key: bool = False


class RunEnd(NamedTuple):
    """The end of a runner's work on a request; status 0 without a response."""

    request_id: RequestId
    life_id: str
    at_s: float
    status: int


class RunnerLife(NamedTuple):
    """A runner from its start to its end, and the version of its software.

    From ``leaves_at_s`` all its responses say that it is leaving, and from
    ``drains_at_s`` its entry in the store.
    """

    life_id: str
    version: str
    since_s: float
    until_s: float
    leaves_at_s: float | None
    drains_at_s: float | None = None


class Room(NamedTuple):
    """The fraction of the sound engines' slots that was free at a moment."""

    at_s: float
    free_fraction: float


class FaultSpan(NamedTuple):
    """The time from the begin of a fault until it was reverted."""

    kind: str
    since_s: float
    until_s: float


class HostCut(NamedTuple):
    """The time in which hosts did not reach some runners, or any if ``is_from_all``."""

    hosts: frozenset[HostId]
    is_from_all: bool
    since_s: float
    until_s: float


class RunnerEnd(NamedTuple):
    """The moment at which the process of a runner ended, also by a crash."""

    runner: RunnerId
    at_s: float


class CrashReport(NamedTuple):
    """A crash of a runner that a host recorded."""

    runner: RunnerId
    host: HostId
    at_s: float


class Stall(NamedTuple):
    """A time in which the process of all runners and callers did nothing."""

    since_s: float
    until_s: float


class ProcessorUse(NamedTuple):
    """How long a process computed, and waited for a processor, in about a second."""

    process: str
    since_s: float
    until_s: float
    computed_s: float
    waited_s: float


class HostDisturbance(NamedTuple):
    """A signal to a host's process, or its start."""

    host: HostId
    at_s: float


class HostStop(NamedTuple):
    """A SIGTERM to a host's process."""

    host: HostId
    at_s: float


class HostReload(NamedTuple):
    """A SIGHUP to a host's process."""

    host: HostId
    at_s: float


class HostExit(NamedTuple):
    """The end of a host's process after ``age_s``, and the signals that it had got."""

    host: HostId
    at_s: float
    age_s: float
    code: int
    signals: frozenset[signal.Signals]


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


class MixedBuilds(NamedTuple):
    """Start and end of a period in which hosts of two builds ran side by side."""

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


def read_events(body: bytes) -> list[Event]:
    """Return the complete events of a stream."""
    *blocks, _ = body.split(b"\n\n")
    return [event for event in map(read_event, blocks) if event is not None]


def read_event(block: bytes) -> Event | None:
    """Return the event in a block of a stream, None if it holds anything else."""
    found = _EVENT_BLOCK.fullmatch(block)
    event = read_text(found["data"].decode(errors="replace")) if found else None
    if found is None or event is None or event.number != int(found["id"]):
        return None
    return event


def read_text(text: str) -> Event | None:
    """Return the event with a text, None if no runner writes such a text."""
    found = _EVENT_TEXT.fullmatch(text)
    return Event(int(found[1]), found[2], found[3]) if found else None


class History:
    """Everything observed in a soak, in order of time.

    Parameters
    ----------
    n_events : int
        Number of events in a complete stream; their ids begin at 1.

    Attributes
    ----------
    jobs_to_cancel : set of str
        Jobs whose cancellation was asked for, acknowledged or not.
    host_views_by_item : dict of str to str
        What hosts said of an item that is stuck, for the report of it.
    workspaces_by_id : dict of str to str
        The workspaces with whose keys requests and jobs were sent.
    """

    def __init__(self, n_events: int) -> None:
        self.n_events = n_events
        self.calls: list[Call] = []
        self.runs: list[Run] = []
        self.submissions: list[Submission] = []
        self.reads: list[ResultsRead] = []
        self.cancellations: list[Cancellation] = []
        self.jobs_to_cancel: set[JobId] = set()
        self.run_ends: list[RunEnd] = []
        self.lives: list[RunnerLife] = []
        self.rooms: list[Room] = []
        self.fault_spans: list[FaultSpan] = []
        self.cuts: list[HostCut] = []
        self.runner_ends: list[RunnerEnd] = []
        self.crash_reports: list[CrashReport] = []
        self.stalls: list[Stall] = []
        self.processor_uses: list[ProcessorUse] = []
        self.disturbances: list[HostDisturbance] = []
        self.stops: list[HostStop] = []
        self.reloads: list[HostReload] = []
        self.exits: list[HostExit] = []
        self.host_views_by_item: dict[str, str] = {}
        self.workspaces_by_id: dict[str, WorkspaceName] = {}
        self.limits: list[NamedLimit] = []
        self.peaks: list[MemoryPeak] = []
        self.fault_free_period = FaultFreePeriod(0.0, 0.0)
        self.mixed_builds: list[MixedBuilds] = []
