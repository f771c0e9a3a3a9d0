"""Home role: admits requests to the runners whose home this host is."""

from __future__ import annotations

import asyncio
import itertools
import logging
from collections.abc import AsyncGenerator, Iterable
from contextlib import aclosing
from typing import Any

from damaskjunction.core import (
    Outcome,
    RequestError,
    RequestId,
    Runner,
    RunnerId,
    ServiceKind,
    ServiceSpec,
    Timers,
    WorkClass,
    WorkspaceSpec,
)
from damaskjunction.http import HttpClient
from damaskjunction.node.crashes import CrashWatch, RunnerGuard
from damaskjunction.node.reports import LoadReader
from damaskjunction.node.runners import (
    AnswerMessage,
    RunnerStream,
    runner_protocols,
    stream_cancels,
)
from damaskjunction.node.selection import Selection
from damaskjunction.node.state import HostView
from damaskjunction.node.tasks import end_tasks
from damaskjunction.routing import (
    AdmissionController,
    AdmissionEffect,
    AdmissionTicket,
    Admit,
    Forward,
    LatencyTargets,
    LimitInput,
    Preempt,
    Refuse,
    RunnerLoad,
    Token,
)
from damaskjunction.telemetry import Metrics

ADMITTED = "admission_admitted_total"
REFUSED = "admission_refused_total"
PREEMPTED = "admission_preempted_total"
WAIT = "admission_wait_seconds"

RUNNER_IDLE_S = 1.0

logger = logging.getLogger(__name__)


class Home:
    """Runs forwarded requests on runners, subject to admission control per runner.

    Online and batch requests use separate connections to runners. A preempted batch
    request resumes at its token position when its runner has capacity again.

    Parameters
    ----------
    view : HostView
        Known runners, services and workspaces.
    selection : Selection
        Says which runners have this host as their home.
    crashes : CrashWatch
        Diagnoses runner crashes and quarantines poison requests.
    timers : Timers
        Timer service of the process.
    metrics : Metrics
        Records admissions and queueing times.
    """

    def __init__(
        self,
        view: HostView,
        selection: Selection,
        crashes: CrashWatch,
        timers: Timers,
        metrics: Metrics,
    ) -> None:
        self._view = view
        self._selection = selection
        self._crashes = crashes
        self._timers = timers
        self._metrics = metrics
        self._clients_by_class = {
            work_class: HttpClient(timers, idle_timeout_s=RUNNER_IDLE_S)
            for work_class in WorkClass
        }
        self._control = HttpClient(timers)
        self._reports = LoadReader(timers, self._reporting_runners, self._take_report)
        self._gates_by_runner: dict[RunnerId, AdmissionController] = {}
        self._requests_by_id: dict[RequestId, _Request] = {}
        self._cancels: set[asyncio.Task[None]] = set()
        self._ended = asyncio.Event()

    async def start(self) -> None:
        """Subscribe to changes of the view and start reading load reports."""
        self._view.subscribe(self._follow_view)
        await self._reports.start()

    async def drain(self) -> None:
        """Return when no request is left.

        With a policy that admits at homes, a draining host is no runner's home any
        more, so the update preempts running batch requests and refuses queued ones.
        """
        self._follow_view()
        while self._requests_by_id:
            self._ended.clear()
            await self._ended.wait()

    async def close(self) -> None:
        """Close the connections to runners."""
        await self._reports.close()
        await end_tasks(self._cancels)
        for client in (*self._clients_by_class.values(), self._control):
            client.close()

    def to_document(self) -> dict[str, Any]:
        """Return the state of each admission controller for the state dump."""
        return {
            runner_id: gate.state._asdict()
            for runner_id, gate in self._gates_by_runner.items()
        }

    async def run(self, forward: Forward) -> AsyncGenerator[AnswerMessage, None]:
        """Admit a request to its runner and yield the messages of its answer.

        A ``RunnerLoad`` message precedes the last message or the error.

        Raises
        ------
        RequestError
            When the request was refused or its answer is incomplete.
        """
        runner = self._view.fleet.runners_by_id.get(forward.runner_id)
        if runner is None:
            detail = f"this host knows no runner {forward.runner_id!r}"
            raise RequestError(Outcome.NOT_RUN, "unknown_runner", detail)
        gate = self._gate(runner, forward)
        end_s = self._timers.now() + forward.deadline_s
        try:
            async with self._crashes.guard(runner, forward, end_s) as guard:
                left_s = end_s - self._timers.now()
                forward = forward._replace(deadline_s=left_s)
                async with aclosing(
                    self._admit(gate, runner, forward, guard)
                ) as answer:
                    async for message in answer:
                        yield message
        except RequestError:
            yield _to_load(runner, gate)
            raise

    async def _admit(
        self,
        gate: AdmissionController,
        runner: Runner,
        forward: Forward,
        guard: RunnerGuard,
    ) -> AsyncGenerator[AnswerMessage, None]:
        request = _Request(self._ticket(forward), guard)
        request_id = request.ticket.request_id
        self._requests_by_id[request_id] = request
        expiry = self._timers.once(forward.deadline_s, request.expire)
        try:
            async with aclosing(self._answer(gate, runner, forward, request)) as answer:
                async for message in answer:
                    yield message
        finally:
            expiry.cancel()
            del self._requests_by_id[request_id]
            self._ended.set()
            self._apply(gate.finish(request_id, self._timers.now()))

    async def _answer(
        self,
        gate: AdmissionController,
        runner: Runner,
        forward: Forward,
        request: _Request,
    ) -> AsyncGenerator[AnswerMessage, None]:
        """Yield an answer, sending the request again after each preemption."""
        request_id = request.ticket.request_id
        work_class = request.ticket.work_class
        position = forward.from_token
        self._apply(gate.submit(request.ticket, self._timers.now()))
        for turn in itertools.count():
            forward = forward._replace(from_token=position)
            begin_s = self._timers.now()
            await request.wait_for_admission()
            self._metrics.observe_duration(
                WAIT, self._timers.now() - begin_s, work_class=work_class.value
            )
            stream = RunnerStream(f"{request_id}.{turn}" if turn else request_id)
            try:
                async with aclosing(
                    self._run_turn(gate, runner, forward, request, stream)
                ) as answer:
                    async for message in answer:
                        if isinstance(message, Token):
                            position = message.position + 1
                        yield message
                return
            except RequestError as error:
                if request.is_expired or not request.is_preempted:
                    raise request.correct(error) from None
            request.wait_again()
            self._apply(gate.requeue(request_id, self._timers.now()))

    async def _run_turn(
        self,
        gate: AdmissionController,
        runner: Runner,
        forward: Forward,
        request: _Request,
        stream: RunnerStream,
    ) -> AsyncGenerator[AnswerMessage, None]:
        """Send a request to its runner once and yield the messages of the answer."""
        client = self._clients_by_class[forward.work_class]
        request_id = request.ticket.request_id
        protocol = runner_protocols.get(runner.kind.value)
        is_ended = False
        request.attach(stream)
        try:
            async with aclosing(protocol(client, runner, forward, stream)) as answer:
                async for message in answer:
                    if isinstance(message, Token):
                        now_s = self._timers.now()
                        self._apply(gate.observe_token(request_id, now_s))
                    else:
                        is_ended = True
                        yield _to_load(runner, gate)
                    yield message
        except RequestError:
            if not is_ended:
                raise
        finally:
            if stream.is_sent and not is_ended:
                self._cancel_at_runner(runner, stream)

    def _cancel_at_runner(self, runner: Runner, stream: RunnerStream) -> None:
        cancel = stream_cancels.get(runner.kind.value)
        task = asyncio.ensure_future(cancel(self._control, runner, stream.stream_id))
        self._cancels.add(task)
        task.add_done_callback(self._cancels.discard)

    def _ticket(self, forward: Forward) -> AdmissionTicket:
        workspaces = self._view.configuration.workspaces_by_name
        workspace = workspaces.get(forward.workspace, WorkspaceSpec(forward.workspace))
        return AdmissionTicket(
            f"{forward.request_id}.{forward.attempt}",
            forward.workspace,
            forward.work_class,
            self._timers.now() + forward.deadline_s,
            workspace.share,
        )

    def _gate(self, runner: Runner, forward: Forward) -> AdmissionController:
        gate = self._gates_by_runner.get(runner.runner_id)
        if gate is None:
            targets = self._targets(forward.service_name)
            n_hosts = len(self._view.fleet.live_hosts())
            given = LimitInput(runner.slots, targets, n_hosts)
            gate = AdmissionController(self._selection.policy.make_limits(given))
            gate.set_home(self._selection.is_own(runner), self._timers.now())
            self._gates_by_runner[runner.runner_id] = gate
        return gate

    def _targets(self, service: str) -> LatencyTargets:
        spec = self._view.configuration.services_by_name.get(
            service, ServiceSpec(service, ServiceKind.ENGINE)
        )
        return LatencyTargets(spec.first_token_s, spec.token_interval_s)

    def _follow_view(self) -> None:
        """Update targets and home state of the admission controllers.

        The idle controller of a runner that has left the fleet is removed.
        """
        now_s = self._timers.now()
        assignments = self._view.plan.assignments_by_runner
        for runner_id, gate in list(self._gates_by_runner.items()):
            runner = self._view.fleet.runners_by_id.get(runner_id)
            if runner is None and gate.is_idle:
                del self._gates_by_runner[runner_id]
            if runner is None:
                continue
            if runner_id in assignments:
                gate.set_targets(self._targets(assignments[runner_id].service))
            self._apply(gate.set_home(self._selection.is_own(runner), now_s))

    def _reporting_runners(self) -> Iterable[Runner]:
        runners_by_id = self._view.fleet.runners_by_id
        if not self._selection.policy.uses_home_load:
            return runners_by_id.values()
        return [
            runners_by_id[runner_id]
            for runner_id in self._gates_by_runner
            if runner_id in runners_by_id
        ]

    def _take_report(self, runner: Runner, n_running: int) -> None:
        self._selection.note_report(runner, n_running)
        gate = self._gates_by_runner.get(runner.runner_id)
        if gate is not None and self._selection.policy.uses_runner_reports:
            self._apply(gate.observe_report(n_running, self._timers.now()))

    def _apply(self, effects: Iterable[AdmissionEffect]) -> None:
        for effect in effects:
            request = self._requests_by_id.get(effect.request_id)
            if request is None:
                continue
            work_class = request.ticket.work_class.value
            match effect:
                case Admit():
                    self._metrics.count(ADMITTED, work_class=work_class)
                    request.admit()
                case Preempt():
                    self._metrics.count(PREEMPTED)
                    request.preempt()
                case Refuse(_, reason, retry_after_s):
                    self._metrics.count(REFUSED, work_class=work_class, reason=reason)
                    request.refuse(reason, retry_after_s)


class _Request:
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
            stream.break_off()

    def wait_again(self) -> None:
        """Prepare to wait for another admission after a preemption."""
        self._guard.end()
        self.is_preempted = False
        self._was_sent = self._outcome() is Outcome.RAN
        self._stream = None
        self._admitted = _new_future()

    def correct(self, error: RequestError) -> RequestError:
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
            self._stream.break_off()

    def expire(self) -> None:
        """Fail the request because its deadline has passed."""
        self.is_expired = True
        self.refuse("deadline", 0.0)
        if self._stream is not None:
            self._stream.break_off()

    def _outcome(self) -> Outcome:
        is_sent = self._stream is not None and self._stream.is_sent
        return Outcome.RAN if self._was_sent or is_sent else Outcome.NOT_RUN


def _new_future() -> asyncio.Future[None]:
    return asyncio.get_running_loop().create_future()


def _to_load(runner: Runner, gate: AdmissionController) -> RunnerLoad:
    state = gate.state
    return RunnerLoad(
        runner.runner_id,
        state.capacity,
        state.n_online + state.n_online_waiting,
        state.n_batch + state.n_batch_waiting,
    )
