"""The execution of one caller's request: its attempts, its response and its stream."""

from __future__ import annotations

from collections.abc import AsyncGenerator
from contextlib import aclosing

from damaskjunction.core import Outcome, RequestError
from damaskjunction.gateway.dispatch_context import DispatchContext
from damaskjunction.gateway.requests.answer_stream import StreamBody
from damaskjunction.gateway.requests.attempt_history import (
    MIN_REMAINING_S,
)
from damaskjunction.gateway.requests.request_attempts import RequestAttempts
from damaskjunction.gateway.requests.runner_selector import (
    RETRY_AFTER_S,
    RoutedRequest,
    RunnerSelector,
)
from damaskjunction.gateway.requests.stream_check import StreamCheck
from damaskjunction.gateway.runners.runner_responses import (
    RunnerFailedError,
    RunnerResponse,
)
from damaskjunction.http import (
    BrokenResponseError,
    Response,
    StalledResponseError,
)
from damaskjunction.platform import Refusal, caller_response, refusal_response
from damaskjunction.routing import CAPACITY_REASONS, RouteKind


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
        self._runner_client = context.runner_client
        self._routed = routed
        self._attempts = RequestAttempts(context, selector, routed)
        self._history = self._attempts.history
        self._last_event_id = routed.request.last_event_id
        self._stream: RunnerResponse | None = None

    async def run(self) -> Response:
        """Return the response for the caller; the body of a stream is read later."""
        try:
            response = await self._run_attempts()
        except BaseException as error:
            self._attempts.log("ended without response", reason=repr(error))
            await self._attempts.release()
            raise
        if self._stream is None:
            await self._attempts.release()
        return response

    async def _run_attempts(self) -> Response:
        while True:
            try:
                return await self._run_attempt()
            except RequestError as error:
                if not self._attempts.are_others_silent(error):
                    return self._refuse(error.reason, error.retry_after_s)
                await self._attempts.wait_for_capacity(error)
            except RunnerFailedError as error:
                await self._attempts.record_failure(error)
                if not self._attempts.may_retry:
                    return self._fail(error)

    async def _run_attempt(self) -> Response:
        runner_response = await self._attempts.begin(self._routed.request.last_event_id)
        status = runner_response.head.status
        if self._routed.route.kind is RouteKind.STREAM and status == 200:
            self._stream = runner_response
            return Response(
                200,
                StreamBody(self.events(), self._attempts.release),
                None,
                runner_response.head.headers,
            )
        body = await self._attempts.read_body()
        may_retry = self._history.may_retry_failed_response(self._attempts.remaining_s)
        if status >= 500 and may_retry:
            raise RunnerFailedError(Outcome.RAN, "failed", f"{status}")
        self._attempts.record_success()
        self._attempts.log("answered", status=status)
        return caller_response(runner_response.head, body)

    def _fail(self, error: RunnerFailedError) -> Response:
        if self._history.outcome is Outcome.NOT_RUN:
            return self._refuse(error.reason, RETRY_AFTER_S)
        is_late = self._attempts.remaining_s < MIN_REMAINING_S
        kind = Refusal.TIMED_OUT if is_late else Refusal.UNKNOWN
        self._attempts.log(
            "not completed",
            reason=error.reason,
            outcome=self._history.outcome.value,
        )
        return refusal_response(
            kind, error.reason, request_id=self._routed.request.request_id
        )

    def _refuse(self, reason: str, retry_after_s: float) -> Response:
        """Return a refusal: not run when no attempt ran, else outcome unknown."""
        request_id = self._routed.request.request_id
        self._attempts.log(
            "refused", reason=reason, outcome=self._history.outcome.value
        )
        if self._history.outcome is not Outcome.NOT_RUN:
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
        is_ended = False
        try:
            while True:
                try:
                    async for data in self._read_events():
                        yield data
                    break
                except RunnerFailedError as error:
                    await self._attempts.record_failure(error)
                    await self._resume(error)
            is_ended = True
            self._attempts.record_success()
            self._attempts.log("answered", status=200, n_events=self._attempts.n_events)
        except ConnectionAbortedError:
            is_ended = True
            raise
        finally:
            if not is_ended:
                self._attempts.log(
                    "abandoned by its caller", n_events=self._attempts.n_events
                )
            await self._attempts.release()

    async def _read_events(self) -> AsyncGenerator[bytes, None]:
        runner_response = self._stream
        assert runner_response is not None
        check = StreamCheck(self._last_event_id)
        runner_response.body.set_stall_timeout(self._attempts.remaining_s)
        try:
            async with aclosing(runner_response.body.chunks()) as chunks:
                while chunk := await self._attempts.read_part(anext(chunks, b"")):
                    part = check.feed(chunk)
                    runner_response.body.keep(check.n_buffered)
                    self._last_event_id = check.last_event_id
                    if part.events:
                        self._attempts.record_events(len(part.events))
                        yield b"".join(event.raw for event in part.events)
                    if part.fault:
                        raise RunnerFailedError(
                            Outcome.RAN, "foreign_event", part.fault, is_fault=True
                        )
                    remaining_s = self._attempts.remaining_s
                    if remaining_s <= 0:
                        raise RunnerFailedError(Outcome.RAN, "no_time_left")
                    runner_response.body.set_stall_timeout(remaining_s)
        except StalledResponseError as error:
            raise RunnerFailedError(Outcome.RAN, "silent", str(error)) from None
        except BrokenResponseError as error:
            raise RunnerFailedError(
                Outcome.RAN, "stream_cut", str(error), is_fault=True
            ) from None
        check.check_end()
        await self._runner_client.check_end(runner_response)

    async def _resume(self, error: RunnerFailedError) -> None:
        """Resume a broken stream at another runner.

        Raises
        ------
        ConnectionAbortedError
            When that is not allowed or no runner accepts it; the caller's connection
            is then aborted, so that the response does not look complete.
        """
        while self._routed.route.is_resumable and self._attempts.may_retry:
            try:
                runner_response = await self._attempts.begin(self._last_event_id)
            except RequestError as refusal:
                self._attempts.log("not resumed", reason=refusal.reason)
                if refusal.reason not in CAPACITY_REASONS:
                    break
                await self._attempts.wait_for_capacity(refusal)
                continue
            except RunnerFailedError as failure:
                await self._attempts.record_failure(failure)
                continue
            if runner_response.head.status == 200:
                self._stream = runner_response
                self._attempts.log("resumed", last_event_id=self._last_event_id)
                return
            runner_response.body.close()
            await self._attempts.record_failure(
                RunnerFailedError(
                    Outcome.RAN, "failed", f"{runner_response.head.status}"
                )
            )
        self._attempts.log(
            "stream given up", reason=error.reason, n_events=self._attempts.n_events
        )
        raise ConnectionAbortedError(error.reason)
