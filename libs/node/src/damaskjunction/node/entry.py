"""The entry role: takes a caller's request to the home of a runner, and retries."""

from __future__ import annotations

from collections.abc import AsyncGenerator
from contextlib import aclosing
from typing import NamedTuple

from damaskjunction.core import (
    EntryHost,
    Outcome,
    RequestError,
    RequestId,
    Runner,
    ServiceName,
    Timers,
    WorkClass,
    WorkspaceName,
)
from damaskjunction.node.demand import DemandMeter
from damaskjunction.node.home import Home
from damaskjunction.node.runners import AnswerMessage
from damaskjunction.node.selection import Selection
from damaskjunction.node.state import HostView
from damaskjunction.routing import Forward, RunnerLoad, Token
from damaskjunction.wire import PeerLinks

MAX_ATTEMPTS = 3


class CallerRequest(NamedTuple):
    """A request as the entry host takes it from a caller or a batch worker."""

    request_id: RequestId
    service: ServiceName
    workspace: WorkspaceName
    work_class: WorkClass
    deadline_s: float
    idempotent: bool
    path: str
    content_type: str
    body: bytes
    prompt: str = ""
    from_token: int = 0


class Entry:
    """Routes requests to homes of runners.

    Parameters
    ----------
    view : HostView
        Tells runners and hosts.
    home : Home
        The home role of this host, used without a link.
    links : PeerLinks
        Links to other hosts.
    selection : Selection
        Chooses runners and their homes.
    timers : Timers
        The process's timer service.
    demand : DemandMeter
        Counts online requests under way.
    """

    def __init__(
        self,
        view: HostView,
        home: Home,
        links: PeerLinks,
        selection: Selection,
        timers: Timers,
        *,
        demand: DemandMeter,
    ) -> None:
        self._demand = demand
        self._view = view
        self._home = home
        self._links = links
        self._timers = timers
        self._selection = selection

    async def run(self, request: CallerRequest) -> AsyncGenerator[AnswerMessage, None]:
        """Yield the messages of a whole answer, each token once and in order.

        Raises
        ------
        RequestError
            When there is no whole answer; its outcome says whether the request ran.
        """
        with self._demand.track(request.service, request.work_class):
            async with aclosing(self._run(request)) as answer:
                async for message in answer:
                    yield message

    async def _run(self, request: CallerRequest) -> AsyncGenerator[AnswerMessage, None]:
        end_s = self._timers.now() + request.deadline_s
        position = request.from_token
        for attempt in range(1, MAX_ATTEMPTS + 1):
            left_s = end_s - self._timers.now()
            runner = self._choose(request, attempt)
            forward = _to_forward(request, runner, attempt, left_s, position)
            try:
                async with aclosing(self._forward(runner, forward)) as answer:
                    async for message in answer:
                        if isinstance(message, Token):
                            if message.position != position:
                                continue
                            position += 1
                        yield message
                return
            except RequestError as error:
                if not _may_retry(request, error, attempt, end_s - self._timers.now()):
                    raise

    def _choose(self, request: CallerRequest, attempt: int) -> Runner:
        order = self._selection.runners(
            request.service, request.work_class, request.prompt
        )
        if not order:
            detail = f"no runner serves {request.service!r} now"
            raise RequestError(Outcome.NOT_RUN, "no_runner", detail, retry_after_s=2.0)
        return order[(attempt - 1) % len(order)]

    async def _forward(
        self, runner: Runner, forward: Forward
    ) -> AsyncGenerator[AnswerMessage, None]:
        home = self._selection.admitting_host(runner)
        loads = self._selection.loads
        loads.begin(runner.runner_id)
        try:
            async with aclosing(self._send(home, forward)) as answer:
                async for message in answer:
                    if isinstance(message, RunnerLoad):
                        self._selection.note(message)
                    else:
                        yield message
        finally:
            loads.end(runner.runner_id)

    def _send(
        self, home: EntryHost | None, forward: Forward
    ) -> AsyncGenerator[AnswerMessage, None]:
        if home is None or home.host_id == self._view.own.host_id:
            return self._home.run(forward)
        return self._links.call(home.peer, forward.work_class.value, forward)


def _to_forward(
    request: CallerRequest,
    runner: Runner,
    attempt: int,
    left_s: float,
    position: int,
) -> Forward:
    return Forward(
        request_id=request.request_id,
        attempt=attempt,
        runner_id=runner.runner_id,
        service_name=request.service,
        workspace=request.workspace,
        work_class=request.work_class,
        deadline_s=left_s,
        idempotent=request.idempotent,
        path=request.path,
        content_type=request.content_type,
        body=request.body,
        from_token=position,
    )


def _may_retry(
    request: CallerRequest, error: RequestError, attempt: int, left_s: float
) -> bool:
    if attempt == MAX_ATTEMPTS or left_s <= 0 or error.reason == "overloaded":
        return False
    return request.idempotent or error.outcome is Outcome.NOT_RUN
