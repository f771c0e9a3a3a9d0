"""Grants permits for the requests of the workspaces that this host counts for."""

from __future__ import annotations

from damaskjunction.core import HostId, Timers
from damaskjunction.gateway.quotas.counter_view import CounterView
from damaskjunction.gateway.quotas.permit_client import PermitClient
from damaskjunction.gateway.state import ServingState
from damaskjunction.node import PeerHandlers
from damaskjunction.routing import (
    GRANTED,
    AskStep,
    PermitAsk,
    PermitReply,
    QuotaBounds,
    RequestCounter,
    next_step,
    passed_ask,
    quota_of,
)
from damaskjunction.telemetry import Metrics
from damaskjunction.wire import Reply


class PermitHome:
    """Counts asks for permits, or passes them on to the host that counts.

    Parameters
    ----------
    state : ServingState
        The limits of workspaces.
    view : CounterView
        Tells which host counts.
    client : PermitClient
        Passes asks on.
    counter : RequestCounter
        Counts the requests.
    bounds : QuotaBounds
        How far limits may be exceeded.
    timers : Timers
        The process's timer service.
    metrics : Metrics
        Counts what is passed on.
    """

    def __init__(
        self,
        state: ServingState,
        view: CounterView,
        client: PermitClient,
        counter: RequestCounter,
        bounds: QuotaBounds,
        *,
        timers: Timers,
        metrics: Metrics,
    ) -> None:
        self._state = state
        self._view = view
        self._client = client
        self._counter = counter
        self._bounds = bounds
        self._timers = timers
        self._metrics = metrics

    @property
    def _own_id(self) -> HostId:
        return self._state.view.own.host_id

    def register(self, handlers: PeerHandlers) -> None:
        """Register the handler for asks of other hosts."""

        @handlers.register(PermitAsk)
        async def reply_to_ask(ask: PermitAsk, reply: Reply) -> None:
            await reply(await self.decide(ask))

    async def decide(self, ask: PermitAsk) -> PermitReply:
        """Return the reply to an ask, by this host or by the one that counts."""
        step = next_step(ask, self._view.place_for(ask))
        if step is not AskStep.COUNT:
            reply = await self._pass_on(ask, step)
            if reply is not None:
                return reply
        workspace = self._state.table.workspaces_by_name.get(ask.workspace)
        quota = workspace and quota_of(workspace, self._bounds)
        if quota is None:
            return GRANTED
        place = self._view.place_for(ask)
        return self._counter.count(ask, quota, place, self._timers.now())

    async def _pass_on(self, ask: PermitAsk, step: AskStep) -> PermitReply | None:
        passed = passed_ask(ask, step, self._own_id)
        host_id = self._view.target(passed)
        if not host_id or host_id == self._own_id:
            return None
        self._metrics.count("permits_passed_on", step=step.value)
        return await self._client.ask(host_id, passed)
