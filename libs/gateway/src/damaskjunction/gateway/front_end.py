"""The front end of a host: HTTP requests of callers and of the platform."""

from __future__ import annotations

import logging

from damaskjunction.core import HostState
from damaskjunction.gateway.jobs.job_front import JobFront
from damaskjunction.gateway.requests.online import OnlineHandler
from damaskjunction.gateway.state import ServingState
from damaskjunction.http import Request, Response
from damaskjunction.platform import (
    ADDRESSES_PATH,
    READINESS_PATH,
    Refusal,
    addresses_response,
    decode_request,
    readiness_response,
    refusal_response,
)
from damaskjunction.routing import RouteKind
from damaskjunction.telemetry import Metrics

logger = logging.getLogger(__name__)

ADDRESSES_TTL_S = 2.0
RETRY_AFTER_S = 0.3


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
    metrics : Metrics
        Counts refusals.
    """

    def __init__(
        self,
        state: ServingState,
        online_handler: OnlineHandler,
        jobs: JobFront,
        metrics: Metrics,
    ) -> None:
        self._state = state
        self._online_handler = online_handler
        self._jobs = jobs
        self._metrics = metrics

    async def serve(self, request: Request) -> Response:
        """Return the response to a caller's request."""
        table = self._state.table
        if not table.version:
            self._metrics.count("refusals", reason="no_configuration")
            return refusal_response(
                Refusal.NOT_RUN, "no configuration yet", retry_after_s=RETRY_AFTER_S
            )
        response = await self._jobs.serve(request)
        if response is not None:
            return response
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
        if route.kind is RouteKind.BATCH:
            return await self._jobs.submit(caller_request, route)
        return await self._online_handler.serve(caller_request, route)

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
        addresses = [
            host.caller
            for host in self._state.view.serving_hosts()
            if host.state is HostState.LIVE
        ]
        return addresses_response(addresses, ADDRESSES_TTL_S)
