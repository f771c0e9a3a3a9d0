"""Holds the requests of workspaces to their limits, before they are sent to runners."""

from __future__ import annotations

import asyncio
import logging
import math
from typing import Any

from damaskjunction.core import RequestId, Timers, WorkspaceName, WorkspaceSpec
from damaskjunction.gateway.quotas.counter_view import CounterView
from damaskjunction.gateway.quotas.permit_client import PermitClient
from damaskjunction.gateway.quotas.permit_home import PermitHome
from damaskjunction.gateway.state import ServingState
from damaskjunction.http import Response
from damaskjunction.node import PeerHandlers
from damaskjunction.platform import Refusal, refusal_response
from damaskjunction.routing import (
    ASK_LIMIT_S,
    OVER_LIMIT,
    PermitAsk,
    PermitReply,
    Quota,
    QuotaBounds,
    RequestCounter,
    UncountedRequests,
    quota_of,
)
from damaskjunction.telemetry import Metrics
from damaskjunction.wire import PeerLinks

logger = logging.getLogger(__name__)

ALONE_WARNING_PERIOD_S = 1.0


class QuotaGate:
    """Admits requests of workspaces with a limit by the host that counts for them.

    Parameters
    ----------
    state : ServingState
        Known hosts, and the limits of workspaces.
    links : PeerLinks
        Links to other hosts.
    timers : Timers
        The process's timer service.
    metrics : Metrics
        Counts asks and refusals.
    bounds : QuotaBounds
        How far limits may be exceeded.
    """

    def __init__(
        self,
        state: ServingState,
        links: PeerLinks,
        timers: Timers,
        metrics: Metrics,
        *,
        bounds: QuotaBounds,
    ) -> None:
        self._state = state
        self._timers = timers
        self._metrics = metrics
        self._bounds = bounds
        self._own_id = state.view.own.host_id
        self._warned_at_s = -math.inf
        self._uncounted = UncountedRequests(bounds.window_s)
        self._counter = RequestCounter(self._own_id)
        self._view = view = CounterView(state, timers)
        self._client = client = PermitClient(view, links, timers, metrics)
        self._home = PermitHome(
            state,
            view,
            client,
            self._counter,
            bounds,
            timers=timers,
            metrics=metrics,
        )
        state.view.subscribe(self._retain_workspaces)
        metrics.gauge(
            "quota_buckets_started_over", lambda: float(self._counter.n_started_over)
        )

    async def start(self) -> None:
        """Observe the fleet from now on."""
        self._view.start()

    async def close(self) -> None:
        """End the observation of the fleet."""
        self._view.close()

    def register(self, handlers: PeerHandlers) -> None:
        """Register the handlers for asks of other hosts."""
        self._home.register(handlers)

    async def admit(
        self, workspace: WorkspaceSpec | None, request_id: RequestId
    ) -> Response | None:
        """Return the refusal of a request, None if it may be sent to a runner."""
        if workspace is None:
            return None
        quota = quota_of(workspace, self._bounds)
        if quota is None:
            return None
        began_at_s = self._timers.now()
        reply = await self._ask(workspace.name, quota)
        took_s = self._timers.now() - began_at_s
        self._metrics.observe_duration("permit_wait_s", took_s)
        return self._refuse(workspace.name, request_id, reply) if reply.reason else None

    def record_repeat(self, workspace: WorkspaceName) -> None:
        """Count one more run of a request, which had a permit if it needs one."""
        spec = self._state.table.workspaces_by_name.get(workspace)
        if spec is not None and quota_of(spec, self._bounds) is not None:
            self._uncounted.record(workspace, self._timers.now())

    def to_document(self) -> dict[str, Any]:
        """Return the state for the dump."""
        return {
            **self._view.to_document(),
            "workspaces": self._counter.to_document(),
        }

    async def _ask(self, workspace: WorkspaceName, quota: Quota) -> PermitReply:
        """Return the reply of the first host that answers, else that of this one."""
        began_at_s = self._timers.now()
        n_uncounted = self._uncounted.take(workspace, began_at_s)
        try:
            reply = await self._ask_hosts(workspace, n_uncounted, began_at_s)
        except asyncio.CancelledError:
            self._uncounted.record(workspace, began_at_s, n_uncounted)
            raise
        if reply is not None:
            return reply
        now_s = self._timers.now()
        reply = self._counter.count_alone(workspace, quota, self._view.n_hosts, now_s)
        n_uncounted += not reply.reason
        self._uncounted.record(workspace, now_s, n_uncounted)
        self._metrics.count("permits_alone", result=reply.reason or "granted")
        if now_s - self._warned_at_s > ALONE_WARNING_PERIOD_S:
            self._warned_at_s = now_s
            extra = {"workspace": workspace, "reason": reply.reason}
            logger.warning("no host counts for workspace", extra=extra)
        return reply

    async def _ask_hosts(
        self, workspace: WorkspaceName, n_uncounted: int, began_at_s: float
    ) -> PermitReply | None:
        """Return the reply of the first host that answers, None if none does."""
        ask = PermitAsk(workspace, n_uncounted=n_uncounted)
        for host_id in self._view.candidates(workspace):
            if host_id == self._own_id:
                return await self._home.decide(ask)
            reply = await self._client.ask(host_id, ask)
            if reply is not None:
                return reply
            if self._timers.now() - began_at_s >= ASK_LIMIT_S:
                break
        return None

    def _refuse(
        self, workspace: WorkspaceName, request_id: RequestId, reply: PermitReply
    ) -> Response:
        extra = {
            "request": request_id,
            "workspace": workspace,
            "reason": reply.reason,
            "retry_after_s": round(reply.retry_after_s, 3),
        }
        logger.info("request refused", extra=extra)
        self._metrics.count("refusals", reason=reply.reason)
        # The workspaces are those of the configuration, so their number is bounded.
        self._metrics.count("workspace_refusals", workspace=workspace)
        is_over = reply.reason == OVER_LIMIT
        return refusal_response(
            Refusal.TOO_MUCH if is_over else Refusal.NOT_RUN,
            reply.reason,
            request_id=request_id,
            retry_after_s=reply.retry_after_s,
        )

    def _retain_workspaces(self) -> None:
        self._counter.retain_workspaces(self._state.table.workspaces_by_name.keys())
