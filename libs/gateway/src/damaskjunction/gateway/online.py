"""Online requests: their deadlines and their metrics."""

from __future__ import annotations

from damaskjunction.core import stable_hash
from damaskjunction.gateway.dispatch_context import DispatchContext
from damaskjunction.gateway.request_execution import RequestExecution
from damaskjunction.gateway.runner_selector import RoutedRequest, RunnerSelector
from damaskjunction.http import Response
from damaskjunction.platform import CallerRequest
from damaskjunction.routing import Route, fingerprint_of

DEFAULT_DEADLINE_S = 30.0
RETRY_TIMEOUT_FRACTION = 0.98  # of the longest time stated on the route


class OnlineHandler:
    """Serves plain requests and streams.

    Parameters
    ----------
    context : DispatchContext
        The dependencies for sending requests to runners.
    """

    def __init__(self, context: DispatchContext) -> None:
        self._context = context
        self._selector = RunnerSelector(context)
        self._longest_timeout_s_by_route: dict[str, float] = {}

    async def serve(self, request: CallerRequest, route: Route) -> Response:
        """Return the response to a request on a route."""
        now_s = self._context.timers.now()
        deadline_s = request.deadline_s
        caller_timeout_s = DEFAULT_DEADLINE_S if deadline_s is None else deadline_s
        service = route.service_for(stable_hash(request.request_id))
        deadline_at_s = now_s + min(caller_timeout_s, route.timeout_s)
        is_repeated = self._is_repeated(route, caller_timeout_s)
        fingerprint = fingerprint_of(service, request.target, request.body)
        routed = RoutedRequest(
            request, route, service, now_s, deadline_at_s, is_repeated, fingerprint
        )
        response = await RequestExecution(self._context, self._selector, routed).run()
        metrics = self._context.metrics
        status, kind = str(response.status), route.kind.value
        metrics.count("requests", kind=kind, status=status)
        took_s = self._context.timers.now() - now_s
        metrics.observe_duration("answer_head_s", took_s, kind=kind)
        return response

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
