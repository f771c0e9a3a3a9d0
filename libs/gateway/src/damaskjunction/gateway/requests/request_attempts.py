"""The attempts at one request: the runner that each has, and what came of it."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable, Coroutine
from functools import partial
from typing import Any, TypeVar

from damaskjunction.core import Outcome, RequestError, Runner, RunnerId
from damaskjunction.core.units import MILLISECOND_S
from damaskjunction.gateway.dispatch_context import DispatchContext
from damaskjunction.gateway.requests.answer_stream import AnswerProgress
from damaskjunction.gateway.requests.attempt_history import (
    MIN_REMAINING_S,
    AttemptHistory,
)
from damaskjunction.gateway.requests.runner_selector import (
    QUEUE_WAIT_FRACTION,
    Assignment,
    RoutedRequest,
    RunnerSelector,
)
from damaskjunction.gateway.requests.runner_watch import RunnerWatch
from damaskjunction.gateway.requests.silence_limits import (
    event_silence_limit_s,
    head_silence_limit_s,
)
from damaskjunction.gateway.requests.standby_search import StandbySearch, pause_after
from damaskjunction.gateway.runners.crash_reporter import LostRequest
from damaskjunction.gateway.runners.runner_responses import (
    CONNECTION_LOST_REASONS,
    RunnerFailedError,
    RunnerResponse,
)
from damaskjunction.gateway.slots.slot import Slot
from damaskjunction.gateway.versions.stream_version import StreamVersion
from damaskjunction.routing import NO_RUNNER_LEFT, RouteKind

logger = logging.getLogger(__name__)

T = TypeVar("T")

HOP_ALLOWANCE_S = 2 * MILLISECOND_S  # subtracted from the runner's remaining time
DIAGNOSIS_WAIT_S = 0.1


class RequestAttempts:
    """The attempts at one request, one at a time, until ``release``.

    A runner that falls silent keeps the request until another runner is ready to take
    it over; the connection to the first is closed before that. It keeps its slot, too,
    unless the path to it proves to be cut.

    Parameters
    ----------
    context : DispatchContext
        The dependencies for sending requests to runners.
    selector : RunnerSelector
        Selects a runner for each attempt.
    routed : RoutedRequest
        The request.

    ``history`` tells what came of the attempts, and ``n_events`` how many events of a
    stream have arrived over all of them.
    """

    def __init__(
        self, context: DispatchContext, selector: RunnerSelector, routed: RoutedRequest
    ) -> None:
        self._context = context
        self._timers = context.timers
        self._selector = selector
        self._routed = routed
        self.history = AttemptHistory(routed.route)
        self.n_events = 0
        self._n_heard = 0  # silences that have ended
        self._assignment: Assignment | None = None
        self._response: RunnerResponse | None = None
        self._progress = AnswerProgress(context.timers)
        self._version = StreamVersion(
            routed.request.request_id,
            context.state,
            context.timers,
            routed.origin,
            context.origin_keeper.record if routed.route.is_resumable else None,
        )
        self._is_process_checked = (
            routed.route.is_resumable and context.state.has_engines(routed.service)
        )
        self._search = StandbySearch(
            context.runner_client,
            selector,
            routed,
            self._version,
            self._check_version,
            timers=context.timers,
            is_process_checked=self._is_process_checked,
        )
        self._watch = RunnerWatch(
            context.timers, self._report_silence, self._report_heard, selector.release
        )

    @property
    def remaining_s(self) -> float:
        """Seconds until the deadline of the request."""
        return self._routed.deadline_at_s - self._timers.now()

    @property
    def may_retry(self) -> bool:
        """Whether another attempt may follow."""
        return self.history.may_retry(self.remaining_s)

    async def begin(self, last_event_id: int | None) -> RunnerResponse:
        """Begin an attempt; return once the head of the runner's response is there.

        A stream goes on behind ``last_event_id``.

        Raises
        ------
        RequestError
            ``NOT_RUN`` when no runner may have the request.
        RunnerFailedError
            When the attempt has failed.
        """
        routed, history = self._routed, self.history
        assignment = self._watch.take_standby()
        if assignment is None:
            assignment = await self._selector.assign(
                routed,
                history.excluded,
                self._version.required,
                is_repeated=bool(history.tried),
                is_only_attempt=not history.may_retry_after_run(self.remaining_s),
            )
        self._assignment, self._progress = assignment, AnswerProgress(self._timers)
        runner = assignment.runner
        self._check_version(runner)
        remaining_s = self.remaining_s
        if remaining_s < MIN_REMAINING_S:
            raise RunnerFailedError(Outcome.NOT_RUN, "no_time_left")
        self.log("sent", home=assignment.home_id, left_ms=round(remaining_s * 1000.0))
        if history.tried:
            self._context.quota_gate.record_repeat(routed.workspace)
        limit_s = head_silence_limit_s(routed.route, history, remaining_s)
        work = self._context.runner_client.send(
            runner,
            routed.request,
            remaining_s=remaining_s - HOP_ALLOWANCE_S,
            stall_s=remaining_s,
            last_event_id=last_event_id,
            new_connection=not routed.route.may_repeat
            or runner.runner_id in history.tried,
            is_stream=routed.route.kind is RouteKind.STREAM,
            is_process_checked=self._is_process_checked,
            on_sent=partial(self._watch.expect, limit_s),
        )
        self._response = await self._watch.wait_for(work)
        return self._response

    async def read_part(self, work: Awaitable[T]) -> T:
        """Return the next part of a stream, unless the runner is left before.

        Raises
        ------
        RunnerFailedError
            When the runner is left for another one, which ``begin`` uses.
        """
        limit_s = event_silence_limit_s(
            self._routed.route, self.history, self._is_begun, self.remaining_s
        )
        return await self._watch.wait_for(work, limit_s)

    async def read_body(self) -> bytes:
        """Return the body of a plain answer, unless the runner is left before.

        Raises
        ------
        RunnerFailedError
            When it is not whole, or the runner is left for another one.
        """
        response = self._response
        assert response is not None
        remaining_s = max(0.0, self.remaining_s)
        limit_s = head_silence_limit_s(self._routed.route, self.history, remaining_s)
        work = self._context.runner_client.read_body(
            response, remaining_s, partial(self._watch.expect, limit_s)
        )
        return await self._watch.wait_for(work, limit_s)

    def are_others_silent(self, refusal: RequestError) -> bool:
        """Return whether a request gets no runner only since some are silent.

        It is worth waiting for them as long as for a slot.
        """
        routed, history = self._routed, self.history
        time_s = routed.deadline_at_s - routed.started_at_s
        may_wait = self.remaining_s > (1.0 - QUEUE_WAIT_FRACTION) * time_s
        is_silence = refusal.reason == NO_RUNNER_LEFT and bool(history.silent)
        return is_silence and may_wait and self.may_retry

    async def wait_for_capacity(self, refusal: RequestError) -> None:
        """Wait until another attempt may get a runner; all may be tried again then."""
        await self._end_attempt()
        if refusal.reason == NO_RUNNER_LEFT:
            self.history.excluded.clear()
        await pause_after(refusal)

    @property
    def _is_begun(self) -> bool:
        """Whether an event of the present runner has arrived."""
        return self._progress.answering_s is not None

    def _check_version(self, runner: Runner) -> None:
        """Check that a runner may begin the stream, or go on with it.

        Raises
        ------
        RequestError, RunnerFailedError
            ``NOT_RUN`` when it may not.
        """
        may_begin = self._context.version_registry.may_begin
        is_announced = may_begin(runner.service, runner.version)
        needs_record = self._routed.route.is_resumable
        self._version.check(runner, is_announced=is_announced or not needs_record)

    def record_events(self, n_events: int) -> None:
        """Record that events of the stream have arrived."""
        self.n_events += n_events
        response = self._response
        if response is not None and self._progress.answering_s is None:
            self._version.record_answer(
                response.runner, is_proved=response.is_process_proved
            )
        self._progress.record_event()
        if self._progress.is_answered:
            self._report_answered()

    async def record_failure(self, error: RunnerFailedError) -> None:
        """Record that the attempt has failed, and release what it holds."""
        runner_id = self._runner_id or error.runner_id
        self.history.record_failure(runner_id, error)
        if error.is_fault:
            self.record_fault(error.reason)
        self.log(
            "attempt failed",
            reason=error.reason,
            detail=error.detail,
            parts=",".join(self._routed.request.shared_parts),
            n_events=self.n_events,
            answering_s=self._progress.answering_s,
        )
        if error.reason in CONNECTION_LOST_REASONS:
            await self._report_lost()
        await self._end_attempt()

    async def _report_lost(self) -> None:
        """Report a lost connection; before a retry, wait until it is diagnosed."""
        if self._assignment is None:
            return
        is_answered = self._progress.is_answered
        lost = LostRequest(self._routed.traits, is_answered)
        diagnosis = self._context.crash_reporter.report_lost(
            self._assignment.runner, lost
        )
        if not is_answered and self.may_retry:
            await asyncio.wait([diagnosis], timeout=DIAGNOSIS_WAIT_S)
            self.history.n_crashes += diagnosis.done() and diagnosis.result()

    def record_success(self) -> None:
        """Record that the runner has answered."""
        self._record_health(is_well=True)
        self._report_answered()

    def _record_health(self, *, is_well: bool) -> None:
        self._health_recorder(is_well)()

    def record_fault(self, reason: str) -> None:
        """Report a runner as unhealthy if the failure proves to be its own.

        Nothing comes of it if a silent runner is heard meanwhile. If the response comes
        over a path that is cut, the slot is given back: the runner's report tells
        whether it still works on the request.
        """
        accuse, n_heard = self._health_recorder(is_well=False), self._n_heard
        assignment, response = self._assignment, self._response
        if assignment is None:
            return
        is_direct = response is not None and not response.body.is_relayed
        slot = assignment.slot if is_direct else None

        def accuse_unless_heard() -> None:
            if self._n_heard == n_heard:
                accuse()

        async def free_slot_unless_heard() -> None:
            if slot is not None and self._n_heard == n_heard:
                await slot.close()

        self._context.runner_faults.record(
            assignment.runner, reason, accuse_unless_heard, free_slot_unless_heard
        )

    def _report_silence(self) -> Coroutine[Any, Any, Assignment] | None:
        """Report a runner that has fallen silent; return the search for another one."""
        may_leave = self.history.may_retry_after_run(self.remaining_s)
        self.log("runner silent", n_events=self.n_events, may_leave=may_leave)
        self._context.metrics.count("runner_silences", may_leave=str(may_leave))
        self.record_fault("silent")
        if not may_leave:
            return None
        return self._search.find(self._runner_id, self.history.excluded)

    def _report_heard(self) -> None:
        self._n_heard += 1
        self.log("runner heard again", n_events=self.n_events)
        self._record_health(is_well=True)

    def _health_recorder(self, is_well: bool) -> Callable[[], None]:
        """Return what records the health of the present attempt's runner."""
        return partial(
            self._selector.record_health,
            self._routed,
            self._runner_id,
            is_well=is_well,
            has_slot=self._slot is not None,
        )

    def _report_answered(self) -> None:
        """Report once that the runner answers the request, where a crash accuses it."""
        slot = self._slot
        if slot is not None and slot.watched:
            reporter = self._context.crash_reporter
            reporter.report_answered(self._routed.service, slot.watched)
            slot.watched = ()

    @property
    def _runner_id(self) -> RunnerId:
        """The runner of the present attempt, empty if there is none."""
        return self._assignment.runner.runner_id if self._assignment else ""

    @property
    def _slot(self) -> Slot | None:
        return self._assignment.slot if self._assignment else None

    async def _end_attempt(self) -> None:
        """Abort the response in flight and release the runner."""
        if self._response is not None:
            self._response.body.close()
            self._response = None
        assignment, self._assignment = self._assignment, None
        if assignment is not None:
            await self._selector.release(assignment)

    async def release(self) -> None:
        """End the attempt, and the search for another runner."""
        try:
            await self._end_attempt()
        finally:
            await self._watch.close()

    def log(self, event: str, **fields: object) -> None:
        """Log an event of the request, with what is known of the attempt."""
        now_s = self._timers.now()
        extra = {
            "request": self._routed.request.request_id,
            "route": self._routed.route.name,
            "service": self._routed.service,
            "runner": self._runner_id,
            "n_worked": self.history.n_run,
            "age_ms": round((now_s - self._routed.started_at_s) * 1000.0, 1),
            "version": self._context.state.table.version,
        }
        logger.info(f"request {event}", extra={**extra, **fields})
