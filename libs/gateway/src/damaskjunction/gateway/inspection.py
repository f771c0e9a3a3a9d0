"""What operators see of a host: its metrics and the dump of its state."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any

from damaskjunction.http import Request, Response, Routes, to_json_response
from damaskjunction.telemetry import Metrics, StateDump


def make_inspection_routes(metrics: Metrics, dump: StateDump) -> Routes:
    """Return the routes that serve the metrics and the dump."""
    routes = Routes()

    @routes.register("GET", "/metrics")
    async def show_metrics(request: Request) -> Response:
        return Response(200, metrics.to_text().encode(), "text/plain")

    @routes.register("GET", "/dump")
    async def show_state(request: Request) -> Response:
        return to_json_response(dump.to_document())

    return routes


def register_sections(
    dump: StateDump, documents_by_name: Mapping[str, Callable[[], Any]]
) -> None:
    """Register what returns each section of a dump."""
    for name, to_document in documents_by_name.items():
        dump.sections.register(name)(to_document)
