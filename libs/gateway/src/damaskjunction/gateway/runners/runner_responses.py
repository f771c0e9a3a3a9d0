"""Responses of runners, and what proves that one is the response to a request."""

from __future__ import annotations

from typing import NamedTuple

from damaskjunction.core import (
    DamaskjunctionError,
    Outcome,
    RequestId,
    Runner,
    RunnerId,
)
from damaskjunction.http import (
    EVENT_STREAM_TYPE,
    ClientResponse,
    ConnectFailedError,
    OtherPeerError,
    PeerSilentError,
    PeerUnknownError,
)
from damaskjunction.platform import RunnerReport, RunnerResponseHead
from damaskjunction.relay import RunnerUnreachableError
from damaskjunction.routing import RunnerVerdict

# The connection broke after the request was sent, as when the runner crashes.
CONNECTION_LOST_REASONS = ("stream_cut", "no_answer", "answer_cut")


class RunnerFailedError(DamaskjunctionError):
    """A call to a runner ended without a response that can be forwarded.

    ``outcome`` tells whether the runner worked on the request. ``is_fault`` is set
    when the failure counts against the runner's health, ``is_silence`` when the runner
    has sent nothing that speaks against it. ``runner_id`` is the runner's if it had not
    been assigned yet.
    """

    def __init__(
        self,
        outcome: Outcome,
        reason: str,
        detail: str = "",
        *,
        is_fault: bool = False,
        is_silence: bool = False,
        runner_id: RunnerId = "",
    ) -> None:
        super().__init__(f"{reason}: {detail}" if detail else reason)
        self.outcome = outcome
        self.reason = reason
        self.detail = detail
        self.is_fault = is_fault
        self.is_silence = is_silence
        self.runner_id = runner_id


class RunnerResponse(NamedTuple):
    """The head of a runner's response, and its body, which is not read yet.

    ``is_process_proved`` says that it is of the process that the runner's entry lists.
    """

    runner: Runner
    head: RunnerResponseHead
    body: ClientResponse
    is_process_proved: bool = False


def not_connected(error: ConnectFailedError) -> RunnerFailedError:
    """Return the failure of a request that was not sent for want of a connection."""
    match error:
        case OtherPeerError():
            reason = "other_process"
        case PeerUnknownError():
            reason = "process_unknown"
        case _:
            reason = "no_connection"
    is_fault = reason != "other_process"
    if isinstance(error, RunnerUnreachableError):
        is_fault = error.verdict is not RunnerVerdict.PATH_CUT
    return RunnerFailedError(
        Outcome.NOT_RUN,
        reason,
        str(error),
        is_fault=is_fault,
        is_silence=isinstance(error, PeerSilentError),
    )


def check_origin(
    head: RunnerResponseHead, response: ClientResponse, request_id: RequestId
) -> None:
    """Check that a response is provably the one to a request.

    It proves this by the request's id. Without an id, it can only be trusted as the
    first on its connection, and not if it is a success.

    Raises
    ------
    RunnerFailedError
        When it may belong to another request; nothing that it says holds then, and the
        connection is closed.
    """
    if head.request_id:
        is_proved = head.request_id == request_id
    else:
        is_proved = response.is_first and head.status >= 300
    if not is_proved:
        response.close()
        detail = f"status {head.status} for request {head.request_id!r}"
        raise RunnerFailedError(Outcome.UNKNOWN, "foreign_answer", detail)


def check_stream_type(response: ClientResponse) -> None:
    """Check that a response is a stream of events.

    Raises
    ------
    RunnerFailedError
        When it is something else; the connection is closed.
    """
    content_type = response.headers.get("content-type", "")
    if content_type.partition(";")[0].strip().lower() != EVENT_STREAM_TYPE:
        response.close()
        raise RunnerFailedError(Outcome.RAN, "no_stream", content_type, is_fault=True)


def is_report_of(
    runner: Runner, head: RunnerResponseHead, report: RunnerReport
) -> bool:
    """Return whether a report is provably that of a runner, not of its address only."""
    if head.runner_id:
        return head.runner_id == runner.runner_id
    return report.born_ms in (0, runner.born_ms)
