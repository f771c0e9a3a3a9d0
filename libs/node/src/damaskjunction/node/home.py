"""The home role: admits requests to the runners whose home this host is."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncGenerator, Iterable
from contextlib import aclosing
from typing import Any

from damaskjunction.core import (
    Outcome,
    RequestError,
    RequestId,
    Runner,
    RunnerId,
    Timers,
    WorkClass,
)
from damaskjunction.http import HttpClient
from damaskjunction.node.crashes import CrashWatch
from damaskjunction.node.runners import runner_protocols
from damaskjunction.node.state import HostView
from damaskjunction.routing import (
    Admit,
    AnswerMessage,
    Effect,
    Forward,
    Preempt,
    Refuse,
    RunnerGate,
    Ticket,
)

RUNNER_IDLE_S = 1.0


class Home:
    """Runs forwarded requests on runners, each admitted by its runner's gate.

    Online and batch use separate connections to runners.

    Parameters
    ----------
    view : HostView
        Tells which runners there are.
    crashes : CrashWatch
        Watches over the requests at each runner.
    timers : Timers
        The process's timer service.
    """

    def __init__(self, view: HostView, crashes: CrashWatch, timers: Timers) -> None:
        self._view = view
        self._crashes = crashes
        self._timers = timers
        self._clients_by_class = {
            work_class: HttpClient(timers, idle_limit_s=RUNNER_IDLE_S)
            for work_class in WorkClass
        }
        self._gates_by_runner: dict[RunnerId, RunnerGate] = {}
        self._admitted_by_id: dict[RequestId, asyncio.Future[None]] = {}
        self._preempted_by_id: dict[RequestId, asyncio.Future[None]] = {}

    def close(self) -> None:
        """Close the connections to runners."""
        for client in self._clients_by_class.values():
            client.close()

    def to_document(self) -> dict[str, Any]:
        """Return the gates for the state dump."""
        return {
            runner_id: {"slots": gate.slots, "running": gate.n_running}
            for runner_id, gate in self._gates_by_runner.items()
        }

    async def run(self, forward: Forward) -> AsyncGenerator[AnswerMessage]:
        """Admit a request to its runner and yield the messages of its answer.

        Raises
        ------
        RequestError
            When it was refused, or its answer is not whole.
        """
        runner = self._view.fleet.runners_by_id.get(forward.runner_id)
        if runner is None:
            detail = f"no runner {forward.runner_id!r} is known here"
            raise RequestError(Outcome.NOT_RUN, "unknown_runner", detail)
        deadline_at_s = self._timers.now() + forward.deadline_s
        ticket = Ticket(
            f"{forward.request_id}.{forward.attempt}",
            forward.workspace,
            forward.work_class,
            deadline_at_s,
        )
        gate = self._gate(runner)
        try:
            async with self._crashes.guard(runner, forward, deadline_at_s) as guard:
                await self._wait_for_admission(gate, ticket)
                guard.begin()
                answer = self._run_admitted(runner, forward, ticket)
                async with aclosing(answer) as messages:
                    async for message in messages:
                        yield message
        finally:
            self._admitted_by_id.pop(ticket.request_id, None)
            self._apply(gate.finish(ticket.request_id))

    def _gate(self, runner: Runner) -> RunnerGate:
        gate = self._gates_by_runner.get(runner.runner_id)
        if gate is None:
            gate = RunnerGate(runner.slots)
            self._gates_by_runner[runner.runner_id] = gate
        return gate

    async def _wait_for_admission(self, gate: RunnerGate, ticket: Ticket) -> None:
        admitted: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._admitted_by_id[ticket.request_id] = admitted
        self._apply(gate.submit(ticket))
        try:
            async with asyncio.timeout(ticket.deadline_at_s - self._timers.now()):
                await admitted
        except TimeoutError:
            detail = "no runner was free before the deadline"
            raise RequestError(Outcome.NOT_RUN, "deadline", detail) from None

    def _run_admitted(
        self, runner: Runner, forward: Forward, ticket: Ticket
    ) -> AsyncGenerator[AnswerMessage]:
        client = self._clients_by_class[forward.work_class]
        answer = runner_protocols.get(runner.kind.value)(client, runner, forward)
        if forward.work_class is WorkClass.ONLINE:
            return answer
        return self._run_preemptible(answer, ticket.request_id)

    async def _run_preemptible(
        self, answer: AsyncGenerator[AnswerMessage], request_id: RequestId
    ) -> AsyncGenerator[AnswerMessage]:
        """Yield the messages of an answer until the gate wants its slot back."""
        preempted: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._preempted_by_id[request_id] = preempted
        following: asyncio.Future[AnswerMessage] | None = None
        try:
            while True:
                following = asyncio.ensure_future(anext(answer))
                await asyncio.wait(
                    (following, preempted), return_when=asyncio.FIRST_COMPLETED
                )
                if preempted.done():
                    detail = "the slot went to online work"
                    raise RequestError(Outcome.RAN, "preempted", detail)
                try:
                    yield following.result()
                except StopAsyncIteration:
                    return
        finally:
            del self._preempted_by_id[request_id]
            if following is not None:
                following.cancel()
                await asyncio.gather(following, return_exceptions=True)
            await answer.aclose()

    def _apply(self, effects: Iterable[Effect]) -> None:
        for effect in effects:
            match effect:
                case Admit(request_id):
                    _resolve(self._admitted_by_id.get(request_id))
                case Preempt(request_id):
                    _resolve(self._preempted_by_id.get(request_id))
                case Refuse(request_id, reason, retry_after_s):
                    error = RequestError(
                        Outcome.NOT_RUN, reason, retry_after_s=retry_after_s
                    )
                    _resolve(self._admitted_by_id.get(request_id), error)


def _resolve(
    future: asyncio.Future[None] | None, error: RequestError | None = None
) -> None:
    if future is None or future.done():
        return
    if error is not None:
        future.set_exception(error)
    else:
        future.set_result(None)
