"""Messages between hosts on requests, status, placement and jobs.

Messages of routing and placement are defined in those libraries and only registered
here.
"""

from __future__ import annotations

from typing import NamedTuple

from damaskjunction.core import HostId, JobId, Outcome, RequestError, Revision
from damaskjunction.placement import ReportDigest, RunnerStatus, ServiceLoad
from damaskjunction.routing import (
    Forward,
    PlainAnswer,
    RunnerLoad,
    RunnerSilent,
    StreamEnd,
    Token,
    VerdictNews,
)
from damaskjunction.wire.codec import register_message


@register_message
class Failure(NamedTuple):
    """A request ended without a complete response; see ``RequestError``."""

    outcome: Outcome
    reason: str
    detail: str
    retry_after_s: float

    @classmethod
    def from_error(cls, error: RequestError) -> Failure:
        """Return the message that reports an error."""
        return cls(error.outcome, error.reason, error.detail, error.retry_after_s)

    def to_error(self) -> RequestError:
        """Return the error that the message reports."""
        return RequestError(
            self.outcome, self.reason, self.detail, retry_after_s=self.retry_after_s
        )


@register_message
class StatusQuery(NamedTuple):
    """Asks a host for its status."""


@register_message
class HostStatus(NamedTuple):
    """State of a host and the revisions that are active on it."""

    host_id: HostId
    configuration_revision: Revision
    plan_revision: Revision
    state: str


@register_message
class PlacementQuery(NamedTuple):
    """Asks a host for the states of its runners and the load of services.

    The states are left out if the digest of the report equals ``known_digest``.
    """

    known_digest: int


@register_message
class StopJob(NamedTuple):
    """Tells a host to stop its work on a cancelled job."""

    job_id: JobId


@register_message
class JobStopped(NamedTuple):
    """The host has stopped its work on the job and will start no more."""

    job_id: JobId


for _message_type in (
    ReportDigest,
    RunnerStatus,
    ServiceLoad,
    Forward,
    Token,
    StreamEnd,
    PlainAnswer,
    RunnerLoad,
    RunnerSilent,
    VerdictNews,
):
    register_message(_message_type)
