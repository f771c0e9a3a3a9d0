"""Configuration of a soak's fleet: its routes and services."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, NamedTuple

from damaskjunction.lab.soak.workspaces import make_workspaces
from damaskjunction.standins import (
    BATCH_ROUTE,
    LONG_TIMEOUT,
    ONCE_ROUTE,
    RESUMABLE_ROUTE,
    RETRYABLE_ROUTE,
    SHORT_IDLE_TIME,
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


class ConfigurationChange(NamedTuple):
    """What a version of the configuration has besides its own route."""

    route_options: Mapping[str, Any] = {}
    limits: Mapping[str, Any] = {}


ROUTES_CHANGE = "routes"
configuration_changes: Mapping[str, ConfigurationChange] = {
    ROUTES_CHANGE: ConfigurationChange(),
    "timeouts": ConfigurationChange(route_options=LONG_TIMEOUT),
    "idle time": ConfigurationChange(limits=SHORT_IDLE_TIME),
}


def make_soak_configuration(
    version: int, change: str = ROUTES_CHANGE
) -> dict[str, Any]:
    """Return a configuration with a route of each kind and a route ``v{version}``."""
    route_options, limits = configuration_changes[change]
    routes = [
        make_route(
            name, HOST_NAME, f"/{name}/", kind, service, **{**options, **route_options}
        )
        for name, kind, service, options in (
            *_ROUTES,
            (f"v{version}", "idempotent", PLAIN, RETRYABLE_ROUTE),
        )
    ]
    return make_configuration(
        version,
        routes,
        engine=ENGINE,
        plain=PLAIN,
        slots=ENGINE_SLOTS,
        limits=limits,
        workspaces=make_workspaces(),
    )
