"""The attempts at one request: the runner that each has, and what came of it."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from functools import partial

from damaskjunction.core import Outcome, Runner, RunnerId
from damaskjunction.core.units import MILLISECOND_S
from damaskjunction.gateway.dispatch_context import DispatchContext
from damaskjunction.gateway.requests.answer_stream import AnswerProgress
from damaskjunction.gateway.requests.attempt_history import (
    MIN_REMAINING_S,
    AttemptHistory,
)
from damaskjunction.gateway.requests.runner_selector import (
    RoutedRequest,
    RunnerSelector,
)
from damaskjunction.gateway.requests.stall_timeouts import head_stall_timeout_s
from damaskjunction.gateway.runners.crash_reporter import LostRequest
from damaskjunction.gateway.runners.runner_responses import (
    CONNECTION_LOST_REASONS,
    RunnerFailedError,
    RunnerResponse,
)
from damaskjunction.gateway.slots.slot import Slot
from damaskjunction.gateway.versions.stream_version import StreamVersion
from damaskjunction.routing import RouteKind

logger = logging.getLogger(__name__)

HOP_ALLOWANCE_S = 2 * MILLISECOND_S  # subtracted from the runner's remaining time
DIAGNOSIS_WAIT_S = 0.1


class RequestAttempts:
    """The attempts at one request, one at a time, until ``release``.

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
        self._slot: Slot | None = None
        self._runner_id: RunnerId = ""
        self._runner: Runner | None = None
        self._response: RunnerResponse | None = None
        self._progress = AnswerProgress(context.timers)
        self._version = StreamVersion(
            routed.request.request_id,
            context.state,
            context.timers,
            routed.origin,
            context.origin_keeper.record if routed.route.is_resumable else None,
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
        routed = self._routed
        runner = await self._choose_runner()
        self._check_version(runner)
        remaining_s = self.remaining_s
        if remaining_s < MIN_REMAINING_S:
            raise RunnerFailedError(Outcome.NOT_RUN, "no_time_left")
        self._runner, self._progress = runner, AnswerProgress(self._timers)
        home_id = self._slot.home_id if self._slot is not None else ""
        self.log("sent", home=home_id, left_ms=round(remaining_s * 1000.0))
        self._response = await self._context.runner_client.send(
            runner,
            routed.request,
            remaining_s=remaining_s - HOP_ALLOWANCE_S,
            stall_s=head_stall_timeout_s(routed.route, self.history.n_run, remaining_s),
            last_event_id=last_event_id,
            new_connection=not routed.route.may_repeat
            or self._runner_id in self.history.excluded,
            is_stream=routed.route.kind is RouteKind.STREAM,
            is_process_checked=routed.route.is_resumable
            and self._context.state.has_engines(routed.service),
        )
        return self._response

    async def _choose_runner(self) -> Runner:
        """Return the runner for an attempt, and hold it or a slot of it."""
        routed, selector = self._routed, self._selector
        excluded, version = self.history.excluded, self._version.required
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
        self.history.record_failure(self._runner_id, error)
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
        await self.release()

    async def _report_lost(self) -> None:
        """Report a lost connection; before a retry, wait until it is diagnosed."""
        if self._runner is None:
            return
        is_answered = self._progress.is_answered
        lost = LostRequest(self._routed.traits, is_answered)
        diagnosis = self._context.crash_reporter.report_lost(self._runner, lost)
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

        If the response comes over a path that is cut, the slot is given back: the
        runner's report tells whether it still works on the request.
        """
        if self._runner is not None:
            accuse = self._health_recorder(is_well=False)
            response, slot = self._response, self._slot
            is_direct = response is not None and not response.body.is_relayed
            on_path_cut = slot.close if slot is not None and is_direct else None
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

    async def release(self) -> None:
        """Abort the response in flight and release the slot or the runner."""
        if self._response is not None:
            self._response.body.close()
            self._response = None
        slot, self._slot = self._slot, None
        runner_id, self._runner_id = self._runner_id, ""
        if slot is not None:
            await slot.close()
        elif runner_id:
            self._selector.release_runner(runner_id)

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
