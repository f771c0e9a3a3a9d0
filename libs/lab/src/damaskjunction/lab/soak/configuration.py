"""Configuration of a soak's fleet: its routes and services."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from damaskjunction.standins import (
    BATCH_ROUTE,
    ONCE_ROUTE,
    RESUMABLE_ROUTE,
    RETRYABLE_ROUTE,
    make_configuration,
    make_route,
)

HOST_NAME = "soak.example"
ENGINE, PLAIN = "llm", "api"  # names of the two services
ENGINE_SLOTS, PLAIN_SLOTS = 4, 16

# Name, kind, service and options of each route.
_ROUTES: tuple[tuple[str, str, str, Mapping[str, Any]], ...] = (
    ("ask", "streaming", ENGINE, ONCE_ROUTE),
    ("alert", "streaming", ENGINE, RESUMABLE_ROUTE),
    ("look", "idempotent", PLAIN, RETRYABLE_ROUTE),
    ("order", "non_idempotent", PLAIN, ONCE_ROUTE),
    ("night", "batch", ENGINE, BATCH_ROUTE),
)


def make_soak_configuration(version: int) -> dict[str, Any]:
    """Return a configuration with a route of each kind and a route ``v{version}``."""
    routes = [
        make_route(name, HOST_NAME, f"/{name}/", kind, service, **options)
        for name, kind, service, options in (
            *_ROUTES,
            (f"v{version}", "idempotent", PLAIN, RETRYABLE_ROUTE),
        )
    ]
    return make_configuration(
        version, routes, engine=ENGINE, plain=PLAIN, slots=ENGINE_SLOTS
    )
