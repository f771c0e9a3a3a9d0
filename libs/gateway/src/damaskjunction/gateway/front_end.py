"""The front end of a host: HTTP requests of callers and of the platform."""

from __future__ import annotations

import logging

from damaskjunction.core import HostState, Timers, WorkspaceSpec
from damaskjunction.gateway.jobs.job_front import JobFront
from damaskjunction.gateway.quotas.quota_gate import QuotaGate
from damaskjunction.gateway.requests.online import OnlineHandler, deadline_at_s
from damaskjunction.gateway.state import ServingState
from damaskjunction.gateway.unauthorized import UnauthorizedError
from damaskjunction.http import Request, Response
from damaskjunction.platform import (
    ADDRESSES_PATH,
    DATA_CENTRE_PARAMETER,
    MAX_ADDRESSES,
    READINESS_PATH,
    CallerRequest,
    Refusal,
    addresses_response,
    authorization_of,
    decode_request,
    for_workspace,
    readiness_response,
    refusal_response,
    request_id_of,
)
from damaskjunction.routing import (
    Caller,
    Route,
    RouteKind,
    RouteTable,
    StopSchedule,
    hosts_for_caller,
    identify_caller,
)
from damaskjunction.telemetry import Metrics

logger = logging.getLogger(__name__)

ADDRESSES_TTL_S = 2.0
RETRY_AFTER_S = 0.3
LEAVING_RETRY_AFTER_S = 0.01  # other hosts serve the request at once


class FrontEnd:
    """Dispatches callers' requests to the handlers of online requests and batch jobs.

    Parameters
    ----------
    state : ServingState
        Routes and hosts.
    online_handler : OnlineHandler
        Serves online requests.
    jobs : JobFront
        Serves requests on batch jobs.
    quota_gate : QuotaGate
        Holds workspaces to their limits.
    metrics : Metrics
        Counts refusals.
    timers : Timers
        The current time.
    """

    def __init__(
        self,
        state: ServingState,
        online_handler: OnlineHandler,
        jobs: JobFront,
        quota_gate: QuotaGate,
        *,
        metrics: Metrics,
        timers: Timers,
    ) -> None:
        self._state = state
        self._online_handler = online_handler
        self._jobs = jobs
        self._quota_gate = quota_gate
        self._metrics = metrics
        self._timers = timers
        self._stop_schedule: StopSchedule | None = None

    def begin_stop(self, schedule: StopSchedule) -> None:
        """Refuse from now on the requests that a planned stop leaves no time for."""
        self._stop_schedule = schedule

    async def serve(self, request: Request) -> Response:
        """Return the response to a caller's request."""
        table = self._state.table
        if not table.version:
            self._metrics.count("refusals", reason="no_configuration")
            return refusal_response(
                Refusal.NOT_RUN, "no configuration yet", retry_after_s=RETRY_AFTER_S
            )
        caller = identify_caller(table, authorization_of(request.headers))
        try:
            response = await self._jobs.serve(request, caller)
            if response is not None:
                return response
            return await self._serve_on_route(request, table, caller)
        except UnauthorizedError as error:
            return self._refuse_unauthorized(request, table, error)

    async def _serve_on_route(
        self, request: Request, table: RouteTable, caller: Caller
    ) -> Response:
        """Return the response to a request that a route matches, or to an unknown one.

        Raises
        ------
        UnauthorizedError
            When the route needs the key of a workspace.
        """
        caller_request = decode_request(request, await request.body.read())
        route = table.find(caller_request.host, caller_request.path)
        if route is None:
            extra = {
                "request": caller_request.request_id,
                "host": caller_request.host,
                "path": caller_request.path,
                "version": table.version,
            }
            logger.info("request without route", extra=extra)
            return refusal_response(
                Refusal.NO_ROUTE, "no such route", request_id=caller_request.request_id
            )
        if not caller.may_use(route):
            raise UnauthorizedError(caller.denial)
        workspace = caller.workspace
        if caller.is_restricted:
            caller_request = for_workspace(caller_request, caller.workspace_name)
        if route.kind is RouteKind.BATCH:
            return await self._jobs.submit(caller_request, route, caller)
        if not self._has_time_for(caller_request, route):
            return self._refuse_while_leaving(caller_request, route)
        return await self._serve_online(caller_request, route, workspace)

    async def _serve_online(
        self, request: CallerRequest, route: Route, workspace: WorkspaceSpec | None
    ) -> Response:
        """Return the response to an online request, which counts for its workspace."""
        refusal = await self._quota_gate.admit(workspace, request.request_id)
        return refusal or await self._online_handler.serve(request, route, workspace)

    def _refuse_unauthorized(
        self, request: Request, table: RouteTable, error: UnauthorizedError
    ) -> Response:
        request_id = request_id_of(request.headers)
        reason = error.denial.value
        extra = {
            "request": request_id,
            "path": request.path,
            "reason": reason,
            "version": table.version,
        }
        logger.info("request unauthorized", extra=extra)
        self._metrics.count("refusals", reason=reason)
        return refusal_response(Refusal.UNAUTHORIZED, reason, request_id=request_id)

    def _has_time_for(self, request: CallerRequest, route: Route) -> bool:
        """Return whether an online request ends before this host is to stop."""
        now_s, schedule = self._timers.now(), self._stop_schedule
        return schedule is None or schedule.admits(
            now_s, deadline_at_s(request, route, now_s)
        )

    def _refuse_while_leaving(self, request: CallerRequest, route: Route) -> Response:
        request_id = request.request_id
        extra = {
            "request": request_id,
            "route": route.name,
            "reason": "host_leaving",
            "deadline_s": request.deadline_s,
        }
        logger.info("refused", extra=extra)
        self._metrics.count("refusals", reason="host_leaving")
        return refusal_response(
            Refusal.NOT_RUN,
            "host_leaving",
            request_id=request_id,
            retry_after_s=LEAVING_RETRY_AFTER_S,
        )

    async def serve_readiness(self, request: Request) -> Response:
        """Respond to a readiness probe: whether this host accepts requests."""
        is_readiness_path = request.path == READINESS_PATH
        view = self._state.view
        return readiness_response(
            is_readiness_path and view.is_ready and not view.is_draining
        )

    async def serve_addresses(self, request: Request) -> Response:
        """Return the addresses of the live hosts that callers may connect to."""
        if request.path != ADDRESSES_PATH:
            return refusal_response(Refusal.NO_ROUTE, "nothing is served there")
        live = [
            host
            for host in self._state.view.serving_hosts()
            if host.state is HostState.LIVE
        ]
        data_centre = request.query.get(DATA_CENTRE_PARAMETER, "")
        hosts = hosts_for_caller(live, data_centre, MAX_ADDRESSES)
        return addresses_response([host.caller for host in hosts], ADDRESSES_TTL_S)
