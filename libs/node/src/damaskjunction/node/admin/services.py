"""HTTP route for operators that shows the state of each service."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from damaskjunction.http import Request, Response, Routes, to_json_response
from damaskjunction.node.state import HostView
from damaskjunction.placement import ServiceSummary, summarize_services


class ServiceRoutes:
    """``GET /v1/services``: for each service, runner counts by state and failures.

    The response is computed from the plan active on this host, so it needs neither the
    platform nor the lease holder.

    Parameters
    ----------
    view : HostView
        Active configuration and plan, and the known runners.
    authorize : callable
        Raises ``HttpError`` for a request without access.
    """

    def __init__(self, view: HostView, authorize: Callable[[Request], None]) -> None:
        self._view = view
        self._authorize = authorize

    def register(self, routes: Routes) -> None:
        """Register the route."""
        routes.register("GET", "/v1/services")(self.show_services)

    async def show_services(self, request: Request) -> Response:
        """Return a summary of each service."""
        self._authorize(request)
        return to_json_response(self.to_document())

    def to_document(self) -> dict[str, Any]:
        """Return the summaries as a JSON document."""
        view = self._view
        region = view.own.region
        runners = [
            runner
            for runner in view.fleet.runners_by_id.values()
            if runner.region == region
        ]
        summaries = summarize_services(view.configuration, view.plan, runners)
        return {
            "region": region,
            "configuration_revision": view.configuration.revision,
            "planned_revision": view.plan.configuration_revision,
            "services": [_summary_to_document(summary) for summary in summaries],
        }


def _summary_to_document(summary: ServiceSummary) -> dict[str, Any]:
    failures = dict(summary.failures_by_runner)
    return summary._replace(failures_by_runner=failures)._asdict()
