"""Decoding of the operators' configuration and of the runners' entries."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from damaskjunction.core import (
    SHAPE_ERRORS,
    Finding,
    FindingError,
    HostState,
    Region,
    Runner,
    ServiceKind,
    SourceLocation,
    read_address,
    read_integer,
    read_list,
    read_number,
    read_text,
)
from damaskjunction.core.units import MILLISECOND_S
from damaskjunction.platform.header_values import read_header_value
from damaskjunction.platform.requests import read_start_time
from damaskjunction.platform.store_objects import PlatformObject
from damaskjunction.platform.workspaces import decode_workspace
from damaskjunction.routing import (
    BackendSpec,
    CallerLimits,
    EngineSpec,
    Route,
    RouteKind,
    RouteTable,
    WeightedService,
    make_route_table,
)

CONFIGURATION_KIND = "config"
CONFIGURATION_NAME = "main"
RUNNERS_KIND = "servers"
RETIREMENTS_KIND = "retirements"

_KINDS_BY_VALUE = {
    "idempotent": RouteKind.IDEMPOTENT,
    "non_idempotent": RouteKind.ONCE,
    "streaming": RouteKind.STREAM,
    "batch": RouteKind.BATCH,
}
_STATES_BY_VALUE = {"ready": HostState.LIVE, "draining": HostState.LEAVING}
DEFAULT_TIMEOUT_MS = 30_000.0
DEFAULT_LATENCY_GOAL_MS = 1_000.0
DEFAULT_SLOTS = 8
MAX_SLOTS = 1_000_000


def decode_configuration(stored: PlatformObject) -> RouteTable:
    """Decode the routes, services, limits and workspaces of a configuration object.

    Raises
    ------
    FindingError
        If the document is not a valid configuration.
    """
    document = stored.content
    try:
        routes = [_decode_route(entry) for entry in document.get("Routes") or []]
        services = [_decode_service(entry) for entry in document.get("Services") or []]
        limits = _decode_limits(document.get("Limits") or {})
        workspaces = map(decode_workspace, read_list(document.get("Tenants") or []))
        return make_route_table(
            int(document["Version"]), routes, services, limits, workspaces
        )
    except SHAPE_ERRORS as error:
        location = SourceLocation(f"{stored.kind}/{stored.name}")
        raise FindingError(
            Finding(location, f"invalid configuration: {error!r}")
        ) from None


def _decode_route(entry: Mapping[str, Any]) -> Route:
    split = entry.get("Split")
    if split:
        services = tuple(
            WeightedService(read_text(part["Service"]), read_number(part["Weight"]))
            for part in split
        )
    else:
        services = (WeightedService(read_text(entry["Service"]), 1.0),)
    return Route(
        name=read_text(entry["Name"]),
        host=read_text(entry["Host"]).lower(),
        path_prefix=read_text(entry["PathPrefix"]),
        kind=_KINDS_BY_VALUE.get(entry.get("Kind", ""), RouteKind.ONCE),
        services=services,
        timeout_s=_read_seconds(entry, "TimeoutMs", DEFAULT_TIMEOUT_MS),
        latency_goal_s=_read_seconds(entry, "LatencyGoalMs", DEFAULT_LATENCY_GOAL_MS),
        max_attempts=max(1, int(entry.get("MaxAttempts") or 1)),
        priority=int(entry.get("Priority") or 0),
        is_resumable=bool(entry.get("Resumable")),
        token_interval_goal_s=_read_seconds(entry, "GapAimMs", 0.0),
        completion_target_s=_read_seconds(entry, "CompletionTargetMs", 0.0),
        retention_s=float(entry.get("RetentionS") or 0.0),
        # The format names this bound "Cap", as it does other bounds.
        max_waiting_tokens=int(entry.get("Cap") or 0),
        is_public=bool(entry.get("Public")),
    )


def _decode_service(entry: Mapping[str, Any]) -> BackendSpec:
    engine = entry.get("Engine")
    return BackendSpec(
        name=read_text(entry["Name"]),
        health_path=entry.get("HealthPath") or "/health",
        max_connections=int(entry.get("MaxConns") or 0),
        engine=EngineSpec(int(engine["Slots"]), int(engine["KvCapacity"]))
        if engine
        else None,
    )


def _decode_limits(entry: Mapping[str, Any]) -> CallerLimits:
    default = CallerLimits()
    return CallerLimits(
        int(entry.get("HeaderBytes") or default.header_bytes),
        int(entry.get("BodyBytes") or default.body_bytes),
        _read_seconds(
            entry, "HeaderTimeoutMs", default.header_timeout_s / MILLISECOND_S
        ),
        _read_seconds(entry, "IdleTimeoutMs", default.idle_timeout_s / MILLISECOND_S),
    )


def _read_seconds(entry: Mapping[str, Any], key: str, default_ms: float) -> float:
    """Return in seconds the value of a key in milliseconds, or the default."""
    value = entry.get(key)
    return float(default_ms if value is None else value) * MILLISECOND_S


def encode_completed_retirement() -> dict[str, str]:
    """Return the status that lets the platform remove a machine."""
    return {"State": "completed"}


def decode_runner(
    stored: PlatformObject, regions_by_data_centre: Mapping[str, Region]
) -> Runner:
    """Decode a runner's entry.

    An entry does not state the kind of the service, so ``kind`` is always ``PLAIN``;
    the kind follows from the configuration. An entry without a version of the software
    or a time of the start is valid.

    Raises
    ------
    FindingError
        If the entry is invalid.
    """
    location = SourceLocation(f"{stored.kind}/{stored.name}")
    entry = stored.content
    try:
        runner_id = read_header_value(stored.name)
        state = _STATES_BY_VALUE[entry["State"]]
        address = read_address(entry["Addr"])
        service = read_text(entry["Service"], may_be_empty=False)
        zone = read_text(entry["Zone"])
        slots = read_integer(entry.get("Slots", DEFAULT_SLOTS), least=1, most=MAX_SLOTS)
    except SHAPE_ERRORS as error:
        raise FindingError(
            Finding(location, f"invalid runner entry: {error!r}")
        ) from None
    return Runner(
        runner_id=runner_id,
        region=regions_by_data_centre.get(zone, ""),
        data_centre=zone,
        address=address,
        kind=ServiceKind.PLAIN,
        service=service,
        slots=slots,
        state=state,
        version=_read_version(entry),
        born_ms=read_start_time(entry),
    )


def _read_version(entry: Mapping[str, Any]) -> str:
    """Return the version of a runner's software, empty if it states none."""
    version = entry.get("Version")
    if isinstance(version, bool) or not isinstance(version, str | int):
        return ""
    return str(version)
