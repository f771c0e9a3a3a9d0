"""The execution of one caller's request: its attempts, its response and its stream."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import AsyncGenerator, Callable
from functools import partial

from damaskjunction.core import Outcome, RequestError, Runner, RunnerId
from damaskjunction.core.units import MILLISECOND_S
from damaskjunction.gateway.dispatch_context import DispatchContext
from damaskjunction.gateway.requests.answer_stream import (
    AnswerProgress,
    InactivityTimer,
    StreamBody,
)
from damaskjunction.gateway.requests.attempt_history import (
    MIN_REMAINING_S,
    AttemptHistory,
)
from damaskjunction.gateway.requests.runner_selector import (
    RETRY_AFTER_S,
    RoutedRequest,
    RunnerSelector,
)
from damaskjunction.gateway.requests.stall_timeouts import (
    gap_stall_timeout_s,
    head_stall_timeout_s,
)
from damaskjunction.gateway.requests.stream_check import StreamCheck
from damaskjunction.gateway.runners.crash_reporter import LostRequest
from damaskjunction.gateway.runners.runner_client import (
    CONNECTION_LOST_REASONS,
    RunnerFailedError,
    RunnerResponse,
)
from damaskjunction.gateway.slots.slot import Slot
from damaskjunction.gateway.versions.stream_version import StreamVersion
from damaskjunction.http import BrokenResponseError, Response
from damaskjunction.platform import Refusal, caller_response, refusal_response
from damaskjunction.routing import RouteKind

logger = logging.getLogger(__name__)

HOP_ALLOWANCE_S = 2 * MILLISECOND_S  # subtracted from the runner's remaining time
DIAGNOSIS_WAIT_S = 0.1


class RequestExecution:
    """The execution of one request, by attempts at one or more runners.

    Parameters
    ----------
    context : DispatchContext
        The dependencies for sending requests to runners.
    selector : RunnerSelector
        Selects a runner for each attempt.
    routed : RoutedRequest
        The request.
    """

    def __init__(
        self, context: DispatchContext, selector: RunnerSelector, routed: RoutedRequest
    ) -> None:
        self._context = context
        self._timers = context.timers
        self._selector = selector
        self._routed = routed
        self._attempts = AttemptHistory(routed.route)
        self._slot: Slot | None = None
        self._runner_id: RunnerId = ""
        self._runner: Runner | None = None
        self._runner_response: RunnerResponse | None = None
        self._last_event_id = routed.request.last_event_id
        self._n_events = 0
        self._progress = AnswerProgress(context.timers)
        self._version = StreamVersion(
            routed.request.request_id,
            context.state,
            context.timers,
            routed.origin,
            context.origin_keeper.record if routed.route.is_resumable else None,
        )

    async def run(self) -> Response:
        """Return the response for the caller; the body of a stream is read later."""
        try:
            response = await self._run_attempts()
        except BaseException as error:
            self._log("ended without response", reason=repr(error))
            await self.release()
            raise
        if self._runner_response is None:
            await self.release()
        return response

    async def _run_attempts(self) -> Response:
        while True:
            try:
                return await self._run_attempt()
            except RequestError as error:
                return self._refuse(error.reason, error.retry_after_s)
            except RunnerFailedError as error:
                await self._record_failure(error)
                if not self._may_retry():
                    return self._fail(error)

    async def _run_attempt(self) -> Response:
        runner_response = await self._send(self._routed.request.last_event_id)
        status = runner_response.head.status
        if self._routed.route.kind is RouteKind.STREAM and status == 200:
            self._runner_response = runner_response
            return Response(
                200,
                StreamBody(self.events(), self.release),
                None,
                runner_response.head.headers,
            )
        body = await self._context.runner_client.read_body(
            runner_response, max(0.0, self._remaining_s())
        )
        may_retry = self._attempts.may_retry_failed_response(self._remaining_s())
        if status >= 500 and may_retry:
            raise RunnerFailedError(Outcome.RAN, "failed", f"{status}")
        self._record_success()
        self._log("answered", status=status)
        return caller_response(runner_response.head, body)

    async def _send(self, last_event_id: int | None) -> RunnerResponse:
        routed = self._routed
        runner = await self._choose_runner()
        self._check_version(runner)
        remaining_s = self._remaining_s()
        if remaining_s < MIN_REMAINING_S:
            raise RunnerFailedError(Outcome.NOT_RUN, "no_time_left")
        self._runner, self._progress = runner, AnswerProgress(self._timers)
        home_id = self._slot.home_id if self._slot is not None else ""
        self._log("sent", home=home_id, left_ms=round(remaining_s * 1000.0))
        return await self._context.runner_client.send(
            runner,
            routed.request,
            remaining_s=remaining_s - HOP_ALLOWANCE_S,
            stall_s=head_stall_timeout_s(
                routed.route, self._attempts.n_run, remaining_s
            ),
            last_event_id=last_event_id,
            new_connection=not routed.route.may_repeat
            or self._runner_id in self._attempts.excluded,
            is_stream=routed.route.kind is RouteKind.STREAM,
            is_process_checked=routed.route.is_resumable
            and self._context.state.has_engines(routed.service),
        )

    async def _choose_runner(self) -> Runner:
        """Return the runner for an attempt, and hold it or a slot of it."""
        routed, selector = self._routed, self._selector
        excluded, version = self._attempts.excluded, self._version.required
        if not selector.uses_slots(routed):
            runner = selector.choose_runner(routed, excluded, version)
            self._runner_id = runner.runner_id
            return runner
        self._slot = await selector.acquire_slot(routed, excluded, version)
        self._runner_id = self._slot.runner_id
        found = self._context.state.find_runner(routed.service, self._runner_id)
        if found is None:
            raise RunnerFailedError(Outcome.NOT_RUN, "runner_gone")
        return found

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

    def _remaining_s(self) -> float:
        return self._routed.deadline_at_s - self._timers.now()

    async def _record_failure(self, error: RunnerFailedError) -> None:
        self._attempts.record_failure(self._runner_id, error)
        if error.is_fault:
            self._record_fault(error.reason)
        self._log(
            "attempt failed",
            reason=error.reason,
            detail=error.detail,
            parts=",".join(self._routed.request.shared_parts),
            n_events=self._n_events,
            answering_s=self._progress.answering_s,
        )
        if error.reason in CONNECTION_LOST_REASONS:
            await self._report_lost()
        await self.release()

    async def _report_lost(self) -> None:
        """Report a lost connection; before a retry, wait until it is diagnosed."""
        if self._runner is None:
            return
        is_answered = self._progress.is_answered
        lost = LostRequest(self._routed.traits, is_answered)
        diagnosis = self._context.crash_reporter.report_lost(self._runner, lost)
        if not is_answered and self._may_retry():
            await asyncio.wait([diagnosis], timeout=DIAGNOSIS_WAIT_S)
            self._attempts.n_crashes += diagnosis.done() and diagnosis.result()

    def _record_success(self) -> None:
        self._record_health(is_well=True)
        self._report_answered()

    def _record_health(self, *, is_well: bool) -> None:
        self._health_recorder(is_well)()

    def _record_fault(self, reason: str) -> None:
        """Report a runner as unhealthy if the failure proves to be its own.

        If the path to it is cut, the slot is given back: the runner's report tells
        whether it still works on the request.
        """
        if self._runner is not None:
            accuse = self._health_recorder(is_well=False)
            on_path_cut = self._slot.close if self._slot is not None else None
            self._context.runner_faults.record(
                self._runner, reason, accuse, on_path_cut
            )

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
        if self._slot is not None and self._slot.watched:
            reporter = self._context.crash_reporter
            reporter.report_answered(self._routed.service, self._slot.watched)
            self._slot.watched = ()

    def _may_retry(self) -> bool:
        return self._attempts.may_retry(self._remaining_s())

    def _fail(self, error: RunnerFailedError) -> Response:
        if self._attempts.outcome is Outcome.NOT_RUN:
            return self._refuse(error.reason, RETRY_AFTER_S)
        is_late = self._remaining_s() < MIN_REMAINING_S
        kind = Refusal.TIMED_OUT if is_late else Refusal.UNKNOWN
        self._log(
            "not completed", reason=error.reason, outcome=self._attempts.outcome.value
        )
        return refusal_response(
            kind, error.reason, request_id=self._routed.request.request_id
        )

    def _refuse(self, reason: str, retry_after_s: float) -> Response:
        """Return a refusal: not run when no attempt ran, else outcome unknown."""
        request_id = self._routed.request.request_id
        self._log("refused", reason=reason, outcome=self._attempts.outcome.value)
        if self._attempts.outcome is not Outcome.NOT_RUN:
            return refusal_response(Refusal.UNKNOWN, reason, request_id=request_id)
        return refusal_response(
            Refusal.NOT_RUN,
            reason,
            request_id=request_id,
            retry_after_s=max(retry_after_s, RETRY_AFTER_S),
        )

    # Streams

    async def events(self) -> AsyncGenerator[bytes, None]:
        """Yield complete events, resuming at another runner where that is allowed."""
        inactivity_timer = InactivityTimer(self._timers, self._report_stall)
        is_ended = False
        try:
            while True:
                try:
                    async for data in self._read_events(inactivity_timer):
                        yield data
                    break
                except RunnerFailedError as error:
                    await self._record_failure(error)
                    await self._resume(error)
            is_ended = True
            self._record_success()
            self._log("answered", status=200, n_events=self._n_events)
        except ConnectionAbortedError:
            is_ended = True
            raise
        finally:
            if not is_ended:
                self._log("abandoned by its caller", n_events=self._n_events)
            inactivity_timer.cancel()
            await self.release()

    async def _read_events(
        self, inactivity_timer: InactivityTimer
    ) -> AsyncGenerator[bytes, None]:
        runner_response = self._runner_response
        assert runner_response is not None
        check = StreamCheck(self._last_event_id)
        runner_response.body.set_stall_timeout(
            head_stall_timeout_s(
                self._routed.route, self._attempts.n_run, self._remaining_s()
            )
        )
        try:
            async for chunk in runner_response.body.chunks():
                inactivity_timer.touch()
                part = check.feed(chunk)
                self._last_event_id = check.last_event_id
                if part.events:
                    self._record_events(len(part.events))
                    yield b"".join(event.raw for event in part.events)
                if part.fault:
                    raise RunnerFailedError(
                        Outcome.RAN, "foreign_event", part.fault, is_fault=True
                    )
                remaining_s = self._remaining_s()
                if remaining_s <= 0:
                    raise RunnerFailedError(Outcome.RAN, "no_time_left")
                runner_response.body.set_stall_timeout(
                    gap_stall_timeout_s(
                        self._routed.route, self._attempts.n_run, remaining_s
                    )
                )
        except BrokenResponseError as error:
            raise RunnerFailedError(
                Outcome.RAN, "stream_cut", str(error), is_fault=True
            ) from None
        check.check_end()
        await self._context.runner_client.check_end(runner_response)

    def _record_events(self, n_events: int) -> None:
        self._n_events += n_events
        response = self._runner_response
        if response is not None and self._progress.answering_s is None:
            self._version.record_answer(
                response.runner, is_proved=response.is_process_proved
            )
        self._progress.record_event()
        if self._progress.is_answered:
            self._report_answered()

    async def _resume(self, error: RunnerFailedError) -> None:
        """Resume a broken stream at another runner.

        Raises
        ------
        ConnectionAbortedError
            When that is not allowed or no runner accepts it; the caller's connection
            is then aborted, so that the response does not look complete.
        """
        while self._routed.route.is_resumable and self._may_retry():
            try:
                runner_response = await self._send(self._last_event_id)
            except RequestError as request_error:
                self._log("not resumed", reason=request_error.reason)
                break
            except RunnerFailedError as failure:
                await self._record_failure(failure)
                continue
            if runner_response.head.status == 200:
                self._runner_response = runner_response
                self._log("resumed", last_event_id=self._last_event_id)
                return
            runner_response.body.close()
            await self._record_failure(
                RunnerFailedError(
                    Outcome.RAN, "failed", f"{runner_response.head.status}"
                )
            )
        self._log("stream given up", reason=error.reason, n_events=self._n_events)
        raise ConnectionAbortedError(error.reason)

    def _report_stall(self) -> None:
        """Report a runner that stalls as unhealthy; its response may still arrive."""
        self._log("runner silent", n_events=self._n_events)
        self._record_fault("silent")

    async def release(self) -> None:
        """Abort the response in flight and release the slot or the runner."""
        if self._runner_response is not None:
            self._runner_response.body.close()
            self._runner_response = None
        slot, self._slot = self._slot, None
        runner_id, self._runner_id = self._runner_id, ""
        if slot is not None:
            await slot.close()
        elif runner_id:
            self._selector.release_runner(runner_id)

    def _log(self, event: str, **fields: object) -> None:
        now_s = self._timers.now()
        extra = {
            "request": self._routed.request.request_id,
            "route": self._routed.route.name,
            "service": self._routed.service,
            "runner": self._runner_id,
            "n_worked": self._attempts.n_run,
            "age_ms": round((now_s - self._routed.started_at_s) * 1000.0, 1),
            "version": self._context.state.table.version,
        }
        logger.info(f"request {event}", extra={**extra, **fields})
