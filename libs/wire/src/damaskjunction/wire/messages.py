"""Messages between hosts that no decision library owns, and the registration of all.

Routing's messages are defined by that library; here they are entered for encoding.
"""

from __future__ import annotations

from typing import NamedTuple

from damaskjunction.core import HostId, JobId, Outcome, RequestError, Revision
from damaskjunction.placement import ReportDigest, RunnerStatus, ServiceLoad
from damaskjunction.routing import (
    Forward,
    PlainAnswer,
    RunnerLoad,
    StreamEnd,
    Token,
    VerdictNews,
)
from damaskjunction.wire.codec import register_message


@register_message
class Failure(NamedTuple):
    """A request ended without a whole answer; see ``RequestError``."""

    outcome: Outcome
    reason: str
    detail: str
    retry_after_s: float

    @classmethod
    def from_error(cls, error: RequestError) -> Failure:
        """Return the message that tells of an error."""
        return cls(error.outcome, error.reason, error.detail, error.retry_after_s)

    def to_error(self) -> RequestError:
        """Return the error that the message tells of."""
        return RequestError(
            self.outcome, self.reason, self.detail, retry_after_s=self.retry_after_s
        )


@register_message
class StatusQuery(NamedTuple):
    """Asks a host for its state."""


@register_message
class HostStatus(NamedTuple):
    """What a host has in force."""

    host_id: HostId
    configuration_revision: Revision
    plan_revision: Revision
    state: str


@register_message
class PlacementQuery(NamedTuple):
    """Asks a host for the states of its runners and the load of services.

    States are left out of a report with the digest that the asking host has.
    """

    known_digest: int


@register_message
class StopJob(NamedTuple):
    """Tells a host to end its work on a job that is cancelled."""

    job_id: JobId


@register_message
class JobStopped(NamedTuple):
    """The host has ended its work on the job and starts no more."""

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
    VerdictNews,
):
    register_message(_message_type)
