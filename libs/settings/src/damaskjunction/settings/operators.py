"""The operators' text: services, what each depends on, workspaces and batch limits."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

import yaml

from damaskjunction.core import (
    BatchSpec,
    CallSpec,
    Configuration,
    ModelSpec,
    Revision,
    ServiceKind,
    ServiceSpec,
    WorkspaceSpec,
)
from damaskjunction.core.types import EMPTY
from damaskjunction.settings.schema import (
    Check,
    Field,
    Item,
    choice,
    integer,
    list_of,
    mapping_of,
    number,
    parse,
    read_boolean,
    read_fields,
    read_name,
    read_text,
    section,
)

DAY_S = 24 * 3600.0

MODEL_FIELDS = (
    Field("version", read_name, "version of the weights"),
    Field("weights_gb", number(0.0, 10_000.0), "size of the weights in GB", 1.0),
    Field("adapters", list_of(read_name), "adapters to load with it", ()),
)

CALL_FIELDS = (
    Field("path", read_text, "path prefix of the calls"),
    Field("idempotent", read_boolean, "whether a call may be repeated", True),
)

SERVICE_FIELDS = (
    Field("kind", choice(ServiceKind), "engine or plain"),
    Field("model", read_name, "model that an engine serves", ""),
    Field("min_runners", integer(0, 10_000), "fewest runners", 1),
    Field("max_runners", integer(0, 10_000), "most runners; 0: as min_runners", 0),
    Field("depends_on", list_of(read_name), "services that must be ready first", ()),
    Field("calls", list_of(section(CALL_FIELDS, CallSpec)), "calls by path", ()),
    Field("first_token_s", number(0.001, 60.0), "target at 95 in 100", 0.83),
    Field("token_interval_s", number(0.001, 10.0), "target at 95 in 100", 0.047),
    Field("deadline_s", number(0.1, 3600.0), "for callers that name none", 30.0),
)

WORKSPACE_FIELDS = (
    Field("share", number(0.01, 1000.0), "share under contention", 1.0),
    Field("key_digests", list_of(read_text), "SHA-256 digests of callers' keys", ()),
)

BATCH_FIELDS = (
    Field("meter", read_name, "unit of the bill", "tokens"),
    Field(
        "ceiling_per_minute",
        number(0.0, 1e12),
        "most usage in a billing minute; 0: the online peak",
        0.0,
    ),
    Field("retention_s", number(60.0, 365 * DAY_S), "how long results stay", 7 * DAY_S),
    Field("max_tries", integer(1, 100), "runs of an item that fails", 3),
    Field("lease_s", number(1.0, 3600.0), "how long a host holds work", 60.0),
    Field("minute_s", number(1.0, 3600.0), "length of a billing minute", 60.0),
    Field("peak_policy", read_name, "how batch keeps below the peak", "below_peak"),
)


def _read_model(name: str, item: Item, check: Check) -> ModelSpec | None:
    read = section(MODEL_FIELDS, lambda **values: ModelSpec(name, **values))
    model: ModelSpec | None = read(item, check)
    return model


def _read_service(name: str, item: Item, check: Check) -> ServiceSpec | None:
    read = section(SERVICE_FIELDS, lambda **values: ServiceSpec(name, **values))
    service: ServiceSpec | None = read(item, check)
    if service is None:
        return None
    if service.max_runners == 0:
        service = service._replace(max_runners=service.min_runners)
    if service.max_runners < service.min_runners:
        check.add(item.node, f"{item.key}.max_runners", "is below min_runners")
    if service.kind is ServiceKind.ENGINE and not service.model:
        check.add(item.node, f"{item.key}.model", "is missing", "an engine needs one")
    return service


def _read_workspace(name: str, item: Item, check: Check) -> WorkspaceSpec | None:
    read = section(WORKSPACE_FIELDS, lambda **values: WorkspaceSpec(name, **values))
    workspace: WorkspaceSpec | None = read(item, check)
    return workspace


TEXT_FIELDS = (
    Field("models", mapping_of(_read_model), "models by name", EMPTY),
    Field("services", mapping_of(_read_service), "services by name"),
    Field("workspaces", mapping_of(_read_workspace), "workspaces by name"),
    Field("batch", section(BATCH_FIELDS, BatchSpec), "limits of batch", BatchSpec()),
)


def read_configuration(text: str, source: str, revision: Revision = 0) -> Configuration:
    """Return the configuration in an operators' text.

    Raises
    ------
    FindingsError
        With every finding, its line and key: unknown keys, values out of range,
        services or models that are named and not there, circular dependencies.
    """
    check = Check(source)
    root = parse(text, check)
    if root is None:
        check.finish()
    assert root is not None
    values = read_fields(Item(root, ""), TEXT_FIELDS, check)
    services = {
        name: service
        for name, service in (values["services"] or {}).items()
        if service is not None
    }
    _check_references(root, services, values["services"] or {}, values["models"], check)
    check.finish()
    return Configuration(
        revision=revision,
        services_by_name=services,
        models_by_name=values["models"],
        workspaces_by_name=values["workspaces"],
        batch=values["batch"],
    )


def _check_references(
    root: yaml.Node,
    services: dict[str, ServiceSpec],
    named: dict[str, Any],
    models: dict[str, Any],
    check: Check,
) -> None:
    for service in services.values():
        key = f"services.{service.name}"
        node = _find_node(root, ("services", service.name))
        if service.model and service.model not in models:
            known = ", ".join(sorted(models)) or "none"
            message = f"no model is called {service.model!r}"
            check.add(node, f"{key}.model", message, f"known: {known}")
        for other in service.depends_on:
            if other not in named:
                message = f"no service is called {other!r}"
                check.add(node, f"{key}.depends_on", message)
    cycle = find_cycle(services.values())
    if cycle:
        node = _find_node(root, ("services", cycle[0]))
        message = f"circular dependency: {' -> '.join((*cycle, cycle[0]))}"
        check.add(node, f"services.{cycle[0]}.depends_on", message)


def _find_node(root: yaml.Node, keys: tuple[str, ...]) -> yaml.Node:
    node = root
    for key in keys:
        if not isinstance(node, yaml.MappingNode):
            return node
        entries = {entry.value: value for entry, value in node.value}
        node = entries.get(key, node)
    return node


def find_cycle(services: Iterable[ServiceSpec]) -> tuple[str, ...]:
    """Return the names on one circular dependency, empty when there is none."""
    waiting = {service.name: set(service.depends_on) for service in services}
    while True:
        ready = {name for name, needs in waiting.items() if not needs & waiting.keys()}
        if not ready:
            break
        for name in ready:
            del waiting[name]
    if not waiting:
        return ()
    path = [min(waiting)]
    while True:
        following = min(waiting[path[-1]] & waiting.keys())
        if following in path:
            return tuple(path[path.index(following) :])
        path.append(following)
