"""Online requests: their deadlines and their metrics."""

from __future__ import annotations

import logging
from contextlib import AbstractContextManager, nullcontext

from damaskjunction.core import RequestError, WorkspaceSpec, stable_hash
from damaskjunction.gateway.dispatch_context import DispatchContext
from damaskjunction.gateway.requests.plain_places import PlainPlaces
from damaskjunction.gateway.requests.request_execution import RequestExecution
from damaskjunction.gateway.requests.runner_selector import (
    RoutedRequest,
    RunnerSelector,
)
from damaskjunction.http import Response
from damaskjunction.platform import CallerRequest, Refusal, refusal_response
from damaskjunction.routing import Route, RouteKind, fingerprint_of, prioritize

logger = logging.getLogger(__name__)

DEFAULT_DEADLINE_S = 30.0
RETRY_TIMEOUT_FRACTION = 0.98  # of the longest time stated on the route


def deadline_at_s(request: CallerRequest, route: Route, now_s: float) -> float:
    """Return when a request that comes now has to be answered at the latest."""
    return now_s + min(_caller_timeout_s(request), route.timeout_s)


def _caller_timeout_s(request: CallerRequest) -> float:
    deadline_s = request.deadline_s
    return DEFAULT_DEADLINE_S if deadline_s is None else deadline_s


class OnlineHandler:
    """Serves plain requests and streams.

    Parameters
    ----------
    context : DispatchContext
        The dependencies for sending requests to runners.
    plain_places : PlainPlaces
        Bounds the requests at plain runners.
    """

    def __init__(self, context: DispatchContext, plain_places: PlainPlaces) -> None:
        self._context = context
        self._plain_places = plain_places
        self._selector = RunnerSelector(context)
        self._longest_timeout_s_by_route: dict[str, float] = {}

    async def serve(
        self,
        request: CallerRequest,
        route: Route,
        workspace: WorkspaceSpec | None = None,
    ) -> Response:
        """Return the response to a request on a route, sent by a workspace if any."""
        route = prioritize(route, workspace)
        now_s = self._context.timers.now()
        origin = None
        if request.last_event_id is not None and route.kind is RouteKind.STREAM:
            try:
                origin = await self._context.take_ups.resolve(request, route)
            except RequestError as error:
                return self._refuse(request, error, route.kind)
        service = (
            route.service_for(stable_hash(request.request_id))
            if origin is None
            else origin.service_name
        )
        is_repeated = self._is_repeated(route, _caller_timeout_s(request))
        fingerprint = fingerprint_of(service, request.target, request.body)
        routed = RoutedRequest(
            request,
            route,
            service,
            now_s,
            deadline_at_s(request, route, now_s),
            is_repeated,
            fingerprint,
            origin,
            "" if workspace is None else workspace.name,
        )
        try:
            place = self._take_place(routed)
        except RequestError as error:
            return self._refuse(request, error, route.kind)
        with place:
            execution = RequestExecution(self._context, self._selector, routed)
            response = await execution.run()
        metrics = self._context.metrics
        status, kind = str(response.status), route.kind.value
        metrics.count("requests", kind=kind, status=status)
        took_s = self._context.timers.now() - now_s
        metrics.observe_duration("answer_head_s", took_s, kind=kind)
        return response

    def _take_place(self, routed: RoutedRequest) -> AbstractContextManager[None]:
        """Return the place of a request; streams have the slots of their runners."""
        if routed.route.kind is RouteKind.STREAM:
            return nullcontext()
        return self._plain_places.take(routed.service)

    def _refuse(
        self, request: CallerRequest, error: RequestError, kind: RouteKind
    ) -> Response:
        extra = {
            "request": request.request_id,
            "reason": error.reason,
            "detail": error.detail,
        }
        logger.info("refused", extra=extra)
        self._context.metrics.count("requests", kind=kind.value, status="503")
        return refusal_response(
            Refusal.NOT_RUN,
            error.reason,
            request_id=request.request_id,
            retry_after_s=error.retry_after_s,
        )

    def _is_repeated(self, route: Route, caller_timeout_s: float) -> bool:
        """Return whether a request seems to be a caller's retry.

        Callers state the time that remains to them, so a retry states less than the
        longest time stated on its route.
        """
        longest_s = max(
            caller_timeout_s, self._longest_timeout_s_by_route.get(route.name, 0.0)
        )
        self._longest_timeout_s_by_route[route.name] = longest_s
        return caller_timeout_s < RETRY_TIMEOUT_FRACTION * longest_s
