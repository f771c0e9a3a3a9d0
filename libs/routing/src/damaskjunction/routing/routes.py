"""Routes from callers' requests to services, and route lookup."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from enum import StrEnum
from typing import NamedTuple

from damaskjunction.core import Revision, ServiceName, WorkspaceName, WorkspaceSpec
from damaskjunction.core.types import EMPTY
from damaskjunction.routing.workspaces.keys import WorkspaceKeys

HASH_RANGE = 1 << 32


class RouteKind(StrEnum):
    """How requests of a route are answered, and whether they may run repeatedly."""

    IDEMPOTENT = "idempotent"
    ONCE = "once"
    STREAM = "stream"
    BATCH = "batch"


class WeightedService(NamedTuple):
    """A service and its relative weight in the traffic split of a route."""

    service: ServiceName
    weight: float


class Route(NamedTuple):
    """One route of the operators' configuration; times are in seconds.

    ``max_attempts`` bounds the runners that may process one request. ``priority`` is
    added to the due time of the route's online requests. ``token_interval_goal_s`` is
    the goal for the interval between two tokens of a stream. ``completion_target_s``
    counts from the submission of a batch job. ``max_waiting_tokens`` bounds the tokens
    of accepted batch items that wait; 0 means no bound. ``retention_s`` is how long an
    item may be retried, counted from the submission of its job. A request on a route
    that is not ``is_public`` needs the key of a workspace, if there are workspaces.
    """

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    services: tuple[WeightedService, ...]
    timeout_s: float
    latency_goal_s: float
    max_attempts: int = 1
    priority: int = 0
    is_resumable: bool = False
    token_interval_goal_s: float = 0.0
    completion_target_s: float = 0.0
    retention_s: float = 0.0
    max_waiting_tokens: int = 0
    is_public: bool = False

    @property
    def may_repeat(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind is RouteKind.IDEMPOTENT or self.is_resumable

    def service_for(self, key_hash: int) -> ServiceName:
        """Return the service for a request, split by weight on a hash of its id."""
        total = sum(part.weight for part in self.services)
        point = (key_hash % HASH_RANGE) / HASH_RANGE * total
        for part in self.services:
            point -= part.weight
            if point < 0:
                return part.service
        return self.services[-1].service


class EngineSpec(NamedTuple):
    """Concurrency and memory of each engine of a service; memory is in tokens."""

    slots: int
    memory_tokens: int


class BackendSpec(NamedTuple):
    """A service that routes refer to; ``engine`` is None for a plain service."""

    name: ServiceName
    health_path: str
    max_connections: int
    engine: EngineSpec | None = None


class CallerLimits(NamedTuple):
    """Limits on the requests of one caller, in bytes and seconds."""

    header_bytes: int = 16 * 1024
    body_bytes: int = 4 * 1024 * 1024
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class RouteTable(NamedTuple):
    """One version of the operators' route configuration.

    ``keys`` are those of its workspaces.
    """

    version: Revision = 0
    routes_by_host: Mapping[str, tuple[Route, ...]] = EMPTY
    services_by_name: Mapping[ServiceName, BackendSpec] = EMPTY
    limits: CallerLimits = CallerLimits()
    workspaces_by_name: Mapping[WorkspaceName, WorkspaceSpec] = EMPTY
    keys: WorkspaceKeys = WorkspaceKeys()

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching prefix of ``path``, if any."""
        for route in self.routes_by_host.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    def find_by_name(self, name: str) -> Route | None:
        """Return the route with the given name, None if there is none."""
        for routes in self.routes_by_host.values():
            for route in routes:
                if route.name == name:
                    return route
        return None


def make_route_table(
    version: Revision,
    routes: list[Route],
    services: list[BackendSpec],
    limits: CallerLimits,
    workspaces: Iterable[WorkspaceSpec] = (),
) -> RouteTable:
    """Return a route table in which each host's longest prefixes come first."""
    workspaces_by_name = {workspace.name: workspace for workspace in workspaces}
    routes_by_host: dict[str, list[Route]] = {}
    for route in sorted(routes, key=lambda route: -len(route.path_prefix)):
        routes_by_host.setdefault(route.host, []).append(route)
    return RouteTable(
        version,
        {host: tuple(listed) for host, listed in routes_by_host.items()},
        {service.name: service for service in services},
        limits,
        workspaces_by_name,
        WorkspaceKeys.from_workspaces(workspaces_by_name.values()),
    )
