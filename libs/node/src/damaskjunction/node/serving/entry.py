"""Entry role: forwards requests to the homes of runners and retries failures."""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import AsyncGenerator
from contextlib import aclosing
from typing import Any

from damaskjunction.core import (
    EntryHost,
    Outcome,
    RequestError,
    RunnerId,
    Timers,
)
from damaskjunction.core.units import MILLISECOND_S
from damaskjunction.node.runners.crashes import CrashTracker
from damaskjunction.node.runners.silence import AnswerMessage
from damaskjunction.node.serving.caller_request import CallerRequest
from damaskjunction.node.serving.demand import DemandMeter
from damaskjunction.node.serving.home import Home
from damaskjunction.node.serving.late_answers import next_message
from damaskjunction.node.serving.request_routes import RequestRoute, RequestRoutes
from damaskjunction.node.serving.selection import RunnerSelector
from damaskjunction.node.serving.standby import (
    EntryMessage,
    Standby,
    search_standby,
    wait_for_either,
)
from damaskjunction.routing import (
    AnswerAssembly,
    AnswerPart,
    Attempts,
    Forward,
    GiveUp,
    RetryBudget,
    RunnerLoad,
    RunnerSilent,
    Verdict,
    fingerprint_of,
)
from damaskjunction.telemetry import Metrics
from damaskjunction.wire import PeerLinks

DEADLINE_GRACE_S = 250 * MILLISECOND_S

MIN_RETRY_AFTER_S = 0.1

PERMANENT_REASONS = frozenset(("quarantined", "bad_message"))

logger = logging.getLogger(__name__)


class _RequestState:
    """State of one request across its attempts."""

    def __init__(
        self, request: CallerRequest, attempts: Attempts, *, fingerprint: str
    ) -> None:
        self.request = request
        self.attempts = attempts
        self.attempt_number = 0  # of the attempt that has the request
        self.fingerprint = fingerprint
        self.assembly = AnswerAssembly(request.from_token)
        self.tried_runners: set[RunnerId] = set()
        self.route: RequestRoute | None = None
        self.messages: AsyncGenerator[EntryMessage, None] | None = None


class RequestRouter:
    """Forwards requests to the homes of runners and retries failed attempts.

    Parameters
    ----------
    home : Home
        Home role of this host, called directly instead of over a link.
    links : PeerLinks
        Links to other hosts.
    routes : RequestRoutes
        Chooses the runner and the home of each attempt.
    selection : RunnerSelector
        Records the load of runners.
    crashes : CrashTracker
        Verdicts on requests that crash runners.
    timers : Timers
        Timer service of the process.
    rng : random.Random
        Random number generator for the jitter of retry delays.
    metrics : Metrics
        Metrics of the process.
    demand : DemandMeter
        Counts the online requests in flight.
    """

    def __init__(
        self,
        home: Home,
        links: PeerLinks,
        routes: RequestRoutes,
        selection: RunnerSelector,
        *,
        crashes: CrashTracker,
        timers: Timers,
        rng: random.Random,
        metrics: Metrics,
        demand: DemandMeter,
    ) -> None:
        self._demand = demand
        self._selection = selection
        self._routes = routes
        self._home = home
        self._links = links
        self._crashes = crashes
        self._timers = timers
        self._rng = rng
        self._metrics = metrics
        self._retry_budget = RetryBudget()

    def to_document(self) -> dict[str, Any]:
        """Return the retry budget and ejections for the state dump."""
        return {
            "retry_balance": self._retry_budget.balance,
            **self._routes.to_document(),
        }

    async def run(self, request: CallerRequest) -> AsyncGenerator[AnswerPart, None]:
        """Yield the messages of a complete answer, each token once and in order.

        Raises
        ------
        RequestError
            When no complete answer was received; ``outcome`` says whether the request
            ran, did not run, or may have run.
        """
        with self._demand.track(request.service, request.work_class):
            async with aclosing(self._run(request)) as messages:
                async for message in messages:
                    yield message

    async def _run(self, request: CallerRequest) -> AsyncGenerator[AnswerPart, None]:
        attempts = Attempts(
            idempotent=request.idempotent,
            deadline_at_s=self._timers.now() + request.deadline_s,
            budget=self._retry_budget,
            rng=self._rng,
        )
        fingerprint = fingerprint_of(request.service, request.path, request.body)
        state = _RequestState(request, attempts, fingerprint=fingerprint)
        while True:
            try:
                async with aclosing(self._attempt(state)) as messages:
                    async for message in messages:
                        yield message
                return
            except RequestError as error:
                delay_s = self._handle_failure(state, error)
            await asyncio.sleep(delay_s)

    def _handle_failure(self, state: _RequestState, error: RequestError) -> float:
        """Record a failed attempt and return the seconds until the next one.

        Raises
        ------
        RequestError
            When the request is not retried.
        """
        self._record_failure(state, error)
        effect = state.attempts.record_failure(error, self._timers.now())
        if isinstance(effect, GiveUp):
            outcome = effect.error.outcome.value
            self._metrics.count("requests_failed_total", outcome=outcome)
            raise _with_retry_after(effect.error)
        self._metrics.count("request_retries_total", reason=error.reason)
        return effect.delay_s

    def _record_failure(self, state: _RequestState, error: RequestError) -> None:
        route, state.route = state.route, None
        if route is None:
            return
        self._routes.record_failure(route, error.reason, state.tried_runners)
        logger.info(
            "attempt failed",
            extra={
                "request_id": state.request.request_id,
                "attempt": state.attempt_number,
                "runner": route.runner.runner_id,
                "reason": error.reason,
                "outcome": error.outcome.value,
            },
        )

    async def _attempt(self, state: _RequestState) -> AsyncGenerator[AnswerPart, None]:
        remaining_s = state.attempts.begin_attempt(self._timers.now())
        state.attempt_number = state.attempts.number
        state.assembly.begin_attempt(state.attempt_number)
        is_suspect = self._crashes.check(state.fingerprint) is Verdict.SUSPECT
        state.route = self._routes.choose(
            state.request, state.tried_runners, exclusive=is_suspect
        )
        forward = _make_forward(state, state.route, remaining_s, exclusive=is_suspect)
        state.messages = self._forward(state.route, forward)
        try:
            while (message := await self._next_part(state)) is not None:
                delivered = state.assembly.accept(message)
                if delivered is not None:
                    yield delivered
        finally:
            await state.messages.aclose()
        state.assembly.check_complete()
        self._routes.record_success(state.route)

    async def _next_part(self, state: _RequestState) -> AnswerPart | None:
        """Return the next part of an answer, None after the last.

        A silent runner keeps the request until another has begun to answer it.
        """
        message = await self._next_message(state)
        if not isinstance(message, RunnerSilent):
            return message
        tried: set[RunnerId] = set()
        heard = asyncio.ensure_future(self._next_heard(state))
        search = asyncio.ensure_future(
            search_standby(
                state.request.request_id, lambda: self._open_standby(state, tried)
            )
        )
        standby = await wait_for_either(heard, search)
        if standby is None:
            return heard.result()
        await self._take_over(state, standby)
        return standby.first

    async def _next_heard(self, state: _RequestState) -> AnswerPart | None:
        while isinstance(message := await self._next_message(state), RunnerSilent):
            pass
        return message

    async def _open_standby(
        self, state: _RequestState, tried: set[RunnerId]
    ) -> Standby | None:
        """Return an attempt at another runner that has begun to answer.

        It is None if there may be none.

        Raises
        ------
        RequestError
            When the attempt failed.
        """
        assert state.route is not None
        if not state.attempts.may_take_over:
            return None
        if self._crashes.check(state.fingerprint) is Verdict.SUSPECT:
            raise RequestError(Outcome.NOT_RUN, "suspect")
        silent = state.route.runner.runner_id
        tried.add(silent)
        route = self._routes.choose(state.request, tried, exclusive=False)
        tried.add(route.runner.runner_id)
        if route.runner.runner_id == silent:
            raise RequestError(Outcome.NOT_RUN, "no_runner")
        number = state.attempts.begin_standby()
        remaining_s = state.attempts.next_hop_s(self._timers.now())
        forward = _make_forward(state, route, remaining_s, exclusive=False)
        messages = self._forward(route, forward._replace(standby=True))
        try:
            first = await anext(messages, None)
            if first is None or isinstance(first, RunnerSilent):
                raise RequestError(Outcome.UNKNOWN, "runner_silent")
            return Standby(number, route, messages, first)
        except BaseException as error:
            await messages.aclose()
            if isinstance(error, RequestError):
                self._routes.record_failure(route, error.reason, tried)
            raise

    async def _take_over(self, state: _RequestState, standby: Standby) -> None:
        """Leave the silent runner and go on with the standby."""
        silent, state.messages = state.messages, standby.messages
        assert silent is not None
        await silent.aclose()
        self._record_failure(state, RequestError(Outcome.RAN, "runner_silent"))
        self._metrics.count("request_retries_total", reason="runner_silent")
        state.route = standby.route
        state.attempts.use_standby()
        state.attempt_number = standby.number
        state.assembly.begin_attempt(standby.number)

    async def _next_message(self, state: _RequestState) -> EntryMessage | None:
        """Return the next message of an attempt, None after the last.

        The home enforces the deadline too. The entry waits ``DEADLINE_GRACE_S`` longer,
        so that the home's error, which says whether the request ran, arrives first.
        """
        assert state.messages is not None
        timeout_s = state.attempts.remaining_s(self._timers.now())
        try:
            return await next_message(state.messages, timeout_s, DEADLINE_GRACE_S)
        except TimeoutError:
            is_started = state.assembly.next_position > state.request.from_token
            outcome = Outcome.RAN if is_started else Outcome.UNKNOWN
            raise RequestError(outcome, "deadline", "the deadline has passed") from None

    async def _forward(
        self, route: RequestRoute, forward: Forward
    ) -> AsyncGenerator[EntryMessage, None]:
        loads = self._selection.loads
        loads.begin_request(route.runner.runner_id)
        try:
            async with aclosing(self._send(route.home, forward)) as messages:
                async for message in messages:
                    if isinstance(message, RunnerLoad):
                        self._selection.record_load(message)
                    else:
                        yield message
        finally:
            loads.end_request(route.runner.runner_id)

    def _send(
        self, home: EntryHost | None, forward: Forward
    ) -> AsyncGenerator[AnswerMessage, None]:
        if home is None:
            return self._home.run(forward)
        return self._links.call(home.peer, forward.work_class.value, forward)


def _with_retry_after(error: RequestError) -> RequestError:
    """Return the error for the caller, who is told when to retry what did not run."""
    if (
        error.outcome is not Outcome.NOT_RUN
        or error.retry_after_s > 0.0
        or error.reason in PERMANENT_REASONS
    ):
        return error
    return RequestError(
        error.outcome, error.reason, error.detail, retry_after_s=MIN_RETRY_AFTER_S
    )


def _make_forward(
    state: _RequestState,
    route: RequestRoute,
    remaining_s: float,
    *,
    exclusive: bool,
) -> Forward:
    request = state.request
    return Forward(
        request_id=request.request_id,
        attempt=state.attempts.number,
        runner_id=route.runner.runner_id,
        service_name=request.service,
        workspace=request.workspace,
        work_class=request.work_class,
        deadline_s=remaining_s,
        idempotent=request.idempotent,
        path=request.path,
        content_type=request.content_type,
        body=request.body,
        from_token=state.assembly.next_position,
        fingerprint=state.fingerprint,
        alone=exclusive,
        accepts_silence=True,
    )
