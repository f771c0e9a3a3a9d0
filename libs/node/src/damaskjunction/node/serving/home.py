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
    Timers,
    WorkClass,
    WorkspaceSpec,
)
from damaskjunction.http import Connector, HttpClient, ReceiveBudget
from damaskjunction.node.runners.crashes import CrashTracker
from damaskjunction.node.runners.protocols import (
    RunnerStream,
    read_answer,
    runner_checks,
    stream_cancels,
)
from damaskjunction.node.runners.reports import LoadReader
from damaskjunction.node.runners.runner_occupancy import RunnerGuard
from damaskjunction.node.runners.silence import AnswerMessage
from damaskjunction.node.serving.admission_controllers import AdmissionControllers
from damaskjunction.node.serving.home_request import HomeRequest
from damaskjunction.node.serving.selection import RunnerSelector
from damaskjunction.node.state import HostView
from damaskjunction.node.tasks import cancel_tasks
from damaskjunction.routing import (
    AdmissionController,
    AdmissionEffect,
    AdmissionTicket,
    Admit,
    Forward,
    Preempt,
    Refuse,
    RunnerLoad,
    RunnerSilent,
    Token,
)
from damaskjunction.telemetry import Metrics

ADMITTED_TOTAL = "admission_admitted_total"
REFUSED_TOTAL = "admission_refused_total"
PREEMPTED_TOTAL = "admission_preempted_total"
ADMISSION_WAIT_SECONDS = "admission_wait_seconds"

CONNECTION_IDLE_TIMEOUT_S = 1.0
# Runners that were silent together may go on one after another.
STANDBY_PAUSE_S = 0.25

logger = logging.getLogger(__name__)


class Home:
    """Runs forwarded requests on runners, subject to admission control per runner.

    Online and batch requests use separate connections to runners. A preempted batch
    request resumes at its token position when its runner has capacity again.

    Parameters
    ----------
    view : HostView
        Known runners, services and workspaces.
    selection : RunnerSelector
        Says which runners have this host as their home.
    crashes : CrashTracker
        Diagnoses runner crashes and quarantines poison requests.
    timers : Timers
        Timer service of the process.
    metrics : Metrics
        Records admissions and queueing times.
    connector : Connector
        Opens connections to runners.
    budget : ReceiveBudget
        Bounds what is kept of all answers.
    """

    def __init__(
        self,
        view: HostView,
        selection: RunnerSelector,
        crashes: CrashTracker,
        timers: Timers,
        metrics: Metrics,
        *,
        connector: Connector,
        budget: ReceiveBudget,
    ) -> None:
        self._view = view
        self._crashes = crashes
        self._timers = timers
        self._metrics = metrics
        self._clients_by_class = {
            work_class: HttpClient(
                timers,
                idle_timeout_s=CONNECTION_IDLE_TIMEOUT_S,
                connector=connector,
                budget=budget,
            )
            for work_class in WorkClass
        }
        self._control_client = HttpClient(timers, connector=connector)
        self._controllers = AdmissionControllers(view, selection, timers, self._apply)
        self._load_reader = LoadReader(
            timers,
            self._controllers.reporting_runners,
            self._controllers.record_report,
            connector,
        )
        self._requests_by_id: dict[RequestId, HomeRequest] = {}
        self._cancel_tasks: set[asyncio.Task[None]] = set()
        self._request_ended = asyncio.Event()

    async def start(self) -> None:
        """Subscribe to changes of the view and start reading load reports."""
        self._view.subscribe(self._controllers.update)
        await self._load_reader.start()

    async def drain(self) -> None:
        """Return when no request is left.

        With a policy that admits at homes, a draining host is no runner's home any
        more, so the update refuses all queued requests and preempts running batch ones.
        """
        self._controllers.update()
        while self._requests_by_id:
            self._request_ended.clear()
            await self._request_ended.wait()

    async def close(self) -> None:
        """Close the connections to runners."""
        await self._load_reader.close()
        await cancel_tasks(self._cancel_tasks)
        for client in (*self._clients_by_class.values(), self._control_client):
            client.close()

    def to_document(self) -> dict[str, Any]:
        """Return the state of each admission controller for the state dump."""
        return self._controllers.to_document()

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
        controller = self._controllers.controller_for(runner, forward.service_name)
        deadline_at_s = self._timers.now() + forward.deadline_s
        try:
            async with self._crashes.guard(runner, forward, deadline_at_s) as guard:
                remaining_s = deadline_at_s - self._timers.now()
                forward = forward._replace(deadline_s=remaining_s)
                async with aclosing(
                    self._admit(controller, runner, forward, guard)
                ) as answer:
                    async for message in answer:
                        yield message
        except RequestError:
            yield _runner_load(runner, controller)
            raise

    async def _admit(
        self,
        controller: AdmissionController,
        runner: Runner,
        forward: Forward,
        guard: RunnerGuard,
    ) -> AsyncGenerator[AnswerMessage, None]:
        request = HomeRequest(self._make_ticket(forward), guard)
        request_id = request.ticket.request_id
        self._requests_by_id[request_id] = request
        expiry = self._timers.once(forward.deadline_s, request.expire)
        try:
            async with aclosing(
                self._run_to_completion(controller, runner, forward, request)
            ) as answer:
                async for message in answer:
                    yield message
        finally:
            expiry.cancel()
            del self._requests_by_id[request_id]
            self._request_ended.set()
            self._apply(controller.finish(request_id, self._timers.now()))

    async def _run_to_completion(
        self,
        controller: AdmissionController,
        runner: Runner,
        forward: Forward,
        request: HomeRequest,
    ) -> AsyncGenerator[AnswerMessage, None]:
        """Yield an answer, sending the request again after each preemption."""
        request_id = request.ticket.request_id
        work_class = request.ticket.work_class
        position = forward.from_token
        self._apply(controller.submit(request.ticket, self._timers.now()))
        for send_number in itertools.count():
            forward = forward._replace(from_token=position)
            begin_s = self._timers.now()
            await request.wait_for_admission()
            waited_s = self._timers.now() - begin_s
            self._metrics.observe_duration(
                ADMISSION_WAIT_SECONDS, waited_s, work_class=work_class.value
            )
            stream = RunnerStream(
                f"{request_id}.{send_number}" if send_number else request_id
            )
            try:
                if forward.standby:
                    await self._check_standby(runner, waited_s)
                async with aclosing(
                    self._send_once(controller, runner, forward, request, stream)
                ) as answer:
                    async for message in answer:
                        if isinstance(message, Token):
                            position = message.position + 1
                            request.record_position(position)
                        yield message
                return
            except RequestError as error:
                if request.is_expired or not request.is_preempted:
                    raise request.to_request_error(error) from None
            request.reset_admission()
            self._apply(controller.requeue(request_id, self._timers.now()))

    async def _check_standby(self, runner: Runner, waited_s: float) -> None:
        """Check that a runner lives, and leave the silent one time to go on, too.

        Raises
        ------
        RequestError
            ``NOT_RUN`` when the runner does not answer.
        """
        await runner_checks.get(runner.kind.value)(self._control_client, runner)
        await asyncio.sleep(max(0.0, STANDBY_PAUSE_S - waited_s))

    async def _send_once(
        self,
        controller: AdmissionController,
        runner: Runner,
        forward: Forward,
        request: HomeRequest,
        stream: RunnerStream,
    ) -> AsyncGenerator[AnswerMessage, None]:
        """Send a request to its runner once and yield the messages of the answer."""
        request_id = request.ticket.request_id
        is_ended = False
        request.attach(stream)
        try:
            client = self._clients_by_class[forward.work_class]
            async with aclosing(read_answer(client, runner, forward, stream)) as answer:
                async for message in answer:
                    if isinstance(message, Token):
                        now_s = self._timers.now()
                        self._apply(controller.observe_token(request_id, now_s))
                    elif not isinstance(message, RunnerSilent):
                        is_ended = True
                        yield _runner_load(runner, controller)
                    yield message
        except RequestError:
            if not is_ended:
                raise
        finally:
            if stream.is_sent and not is_ended:
                self._cancel_at_runner(runner, stream)

    def _cancel_at_runner(self, runner: Runner, stream: RunnerStream) -> None:
        cancel = stream_cancels.get(runner.kind.value)
        task = asyncio.ensure_future(
            cancel(self._control_client, runner, stream.stream_id)
        )
        self._cancel_tasks.add(task)
        task.add_done_callback(self._cancel_tasks.discard)

    def _make_ticket(self, forward: Forward) -> AdmissionTicket:
        workspaces = self._view.configuration.workspaces_by_name
        workspace = workspaces.get(forward.workspace, WorkspaceSpec(forward.workspace))
        return AdmissionTicket(
            f"{forward.request_id}.{forward.attempt}",
            forward.workspace,
            forward.work_class,
            self._timers.now() + forward.deadline_s,
            workspace.share,
        )

    def _apply(self, effects: Iterable[AdmissionEffect]) -> None:
        for effect in effects:
            request = self._requests_by_id.get(effect.request_id)
            if request is None:
                continue
            work_class = request.ticket.work_class.value
            match effect:
                case Admit():
                    self._metrics.count(ADMITTED_TOTAL, work_class=work_class)
                    request.admit()
                case Preempt():
                    self._metrics.count(PREEMPTED_TOTAL)
                    request.preempt()
                case Refuse(_, reason, retry_after_s):
                    self._metrics.count(
                        REFUSED_TOTAL, work_class=work_class, reason=reason
                    )
                    request.refuse(reason, retry_after_s)


def _runner_load(runner: Runner, controller: AdmissionController) -> RunnerLoad:
    state = controller.state
    return RunnerLoad(
        runner.runner_id,
        state.capacity,
        state.n_online + state.n_online_waiting,
        state.n_batch + state.n_batch_waiting,
    )
