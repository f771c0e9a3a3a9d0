"""A request at its home: it waits for admission or is in flight at its runner."""

from __future__ import annotations

import asyncio

from damaskjunction.core import Outcome, RequestError
from damaskjunction.node.runners.protocols import RunnerStream
from damaskjunction.node.runners.runner_occupancy import RunnerGuard
from damaskjunction.routing import AdmissionTicket


class HomeRequest:
    """Request that waits for admission or is in flight at its runner."""

    def __init__(self, ticket: AdmissionTicket, guard: RunnerGuard) -> None:
        self.ticket = ticket
        self._guard = guard
        self.is_preempted = False
        self.is_expired = False
        self._was_sent = False
        self._stream: RunnerStream | None = None
        self._admitted = _new_future()

    async def wait_for_admission(self) -> None:
        """Return when the request may be sent to the runner.

        Raises
        ------
        RequestError
            When the request was refused or its deadline has passed.
        """
        await self._admitted

    def attach(self, stream: RunnerStream) -> None:
        """Set the stream that ``preempt`` and ``expire`` abort."""
        self._stream = stream
        self._guard.begin()
        if self.is_preempted or self.is_expired:
            stream.abort()

    def record_position(self, position: int) -> None:
        """Record how many tokens of the answer were received."""
        self._guard.record_position(position)

    def reset_admission(self) -> None:
        """Prepare to wait for another admission after a preemption."""
        self._guard.end()
        self.is_preempted = False
        self._was_sent = self._outcome() is Outcome.RAN
        self._stream = None
        self._admitted = _new_future()

    def to_request_error(self, error: RequestError) -> RequestError:
        """Return the error of the request, given that of the last time it was sent."""
        if self.is_expired:
            detail = "the answer was incomplete at the deadline"
            return RequestError(self._outcome(), "deadline", detail)
        if self._was_sent and error.outcome is Outcome.NOT_RUN:
            return RequestError(Outcome.RAN, error.reason, error.detail)
        return error

    def admit(self) -> None:
        """Let ``wait_for_admission`` return."""
        if not self._admitted.done():
            self._admitted.set_result(None)

    def refuse(self, reason: str, retry_after_s: float) -> None:
        """Let ``wait_for_admission`` raise."""
        if not self._admitted.done():
            error = RequestError(self._outcome(), reason, retry_after_s=retry_after_s)
            self._admitted.set_exception(error)

    def preempt(self) -> None:
        """Abort the answer; the request resumes after its next admission."""
        self.is_preempted = True
        if self._stream is not None:
            self._stream.abort()

    def expire(self) -> None:
        """Fail the request because its deadline has passed."""
        self.is_expired = True
        self.refuse("deadline", 0.0)
        if self._stream is not None:
            self._stream.abort()

    def _outcome(self) -> Outcome:
        is_sent = self._stream is not None and self._stream.is_sent
        return Outcome.RAN if self._was_sent or is_sent else Outcome.NOT_RUN


def _new_future() -> asyncio.Future[None]:
    return asyncio.get_running_loop().create_future()
