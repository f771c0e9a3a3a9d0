"""The configuration: models, services and dependencies, workspaces, batch limits."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

import yaml

from damaskjunction.core import (
    BatchSpec,
    CallSpec,
    Configuration,
    ModelSpec,
    PlacementSpec,
    Revision,
    ServiceKind,
    ServiceSpec,
    WorkspaceSpec,
)
from damaskjunction.core.types import EMPTY
from damaskjunction.settings.findings import FindingCollector, truncate_text
from damaskjunction.settings.parsing import Slices, parse_in_slices, run_to_completion
from damaskjunction.settings.readers import (
    KeyedNode,
    choice,
    integer,
    number,
    read_boolean,
    read_name,
    read_text,
)
from damaskjunction.settings.references import (
    DefinedNames,
    check_caller_keys,
    check_references,
    find_node,
)
from damaskjunction.settings.schema import (
    Field,
    MappingReader,
    list_of,
    read_fields_in_slices,
    section,
    set_of,
)

DAY_S = 24 * 3600.0
DIGEST_CHARACTERS = 64
HEXADECIMAL = frozenset("0123456789abcdef")


def _read_digest(item: KeyedNode, collector: FindingCollector) -> str | None:
    value = read_text(item, collector)
    if value is None:
        return None
    if len(value) != DIGEST_CHARACTERS or not HEXADECIMAL.issuperset(value):
        message = f"{truncate_text(value)!r} is not a SHA-256 digest"
        hint = f"{DIGEST_CHARACTERS} digits of 0-9 and a-f, quoted"
        collector.add(item.node, item.key, message, hint)
        return None
    return value


def _read_path(item: KeyedNode, collector: FindingCollector) -> str | None:
    value = read_text(item, collector)
    if value is None or value.startswith("/"):
        return value
    collector.add(
        item.node, item.key, f"{truncate_text(value)!r} does not begin with '/'"
    )
    return None


MODEL_FIELDS = (
    Field("version", read_name, "version of the weights"),
    Field("weights_gb", number(0.0, 10_000.0), "size of the weights in GB", 1.0),
    Field("adapters", set_of(read_name), "adapters to load with the model", ()),
)

CALL_FIELDS = (
    Field("path", _read_path, "path prefix of the calls"),
    Field("idempotent", read_boolean, "whether a call may be repeated", True),
)

SERVICE_FIELDS = (
    Field("kind", choice(ServiceKind), "engine or plain"),
    Field("model", read_name, "model that an engine serves", ""),
    Field("min_runners", integer(0, 10_000), "minimum number of runners", 1),
    Field(
        "max_runners",
        integer(0, 10_000),
        "maximum number of runners; 0: same as min_runners",
        0,
    ),
    Field("depends_on", set_of(read_name), "services that must be ready first", ()),
    Field(
        "calls",
        list_of(section(CALL_FIELDS, CallSpec)),
        "properties of calls, by path prefix",
        (),
    ),
    Field(
        "first_token_s",
        number(0.001, 60.0),
        "target for the 95th percentile of the time to the first token",
        0.83,
    ),
    Field(
        "token_interval_s",
        number(0.001, 10.0),
        "target for the 95th percentile of the time between tokens",
        0.047,
    ),
    Field("deadline_s", number(0.1, 3600.0), "default request deadline", 30.0),
    Field("min_data_centres", integer(1, 100), "minimum number of data centres", 1),
    Field(
        "in_flight_per_runner",
        number(0.01, 10_000.0),
        "online requests in flight that a runner is planned for",
        6.0,
    ),
    Field(
        "scale_down_after_s",
        number(0.0, DAY_S),
        "how long demand stays lower before runners are released",
        300.0,
    ),
    Field(
        "max_in_transition",
        integer(0, 10_000),
        "maximum number of runners that a roll-out changes at once; "
        "0: a tenth, at least one",
        0,
    ),
)

WORKSPACE_FIELDS = (
    Field("share", number(0.01, 1000.0), "fair-share weight under contention", 1.0),
    Field(
        "key_digests",
        set_of(_read_digest),
        "SHA-256 digests of callers' keys, hexadecimal",
        (),
    ),
)

BATCH_FIELDS = (
    Field("meter", read_name, "unit in which usage is billed", "tokens"),
    Field(
        "ceiling_per_minute",
        number(0.0, 1e12),
        "maximum usage in a billing minute; 0: the online peak",
        0.0,
    ),
    Field(
        "retention_s", number(60.0, 365 * DAY_S), "how long results are kept", 7 * DAY_S
    ),
    Field(
        "max_tries", integer(1, 100), "maximum number of failed attempts of an item", 3
    ),
    Field("lease_s", number(1.0, 3600.0), "lease duration of batch work", 60.0),
    Field("minute_s", number(1.0, 3600.0), "length of a billing minute", 60.0),
    Field(
        "peak_policy", read_name, "policy that limits the usage of batch", "below_peak"
    ),
)

PLACEMENT_FIELDS = (
    Field(
        "weight_store_gb_per_s",
        number(0.001, 10_000.0),
        "throughput of the weight store, shared by all loads",
        1.0,
    ),
    Field(
        "load_window_s",
        number(1.0, DAY_S),
        "concurrent loads are limited to what the store delivers in this time",
        60.0,
    ),
)


def _read_model(
    name: str, item: KeyedNode, collector: FindingCollector
) -> ModelSpec | None:
    read = section(MODEL_FIELDS, lambda **values: ModelSpec(name, **values))
    model: ModelSpec | None = read(item, collector)
    return model


def _read_service(
    name: str, item: KeyedNode, collector: FindingCollector
) -> ServiceSpec | None:
    n_before = collector.n_found
    read = section(SERVICE_FIELDS, lambda **values: ServiceSpec(name, **values))
    service: ServiceSpec | None = read(item, collector)
    if service is None:
        return None
    if service.max_runners == 0:
        service = service._replace(max_runners=service.min_runners)
    if collector.n_found == n_before:
        _check_service(service, item, collector)
    return service


def _check_service(
    service: ServiceSpec, item: KeyedNode, collector: FindingCollector
) -> None:
    """Record findings on combinations of keys that are each valid on their own."""

    def add_finding(key: str, message: str, hint: str = "") -> None:
        collector.add(find_node(item.node, (key,)), f"{item.key}.{key}", message, hint)

    if service.max_runners < service.min_runners:
        add_finding("max_runners", f"is below min_runners, {service.min_runners}")
    if service.min_data_centres > max(1, service.max_runners):
        add_finding("min_data_centres", f"is above max_runners, {service.max_runners}")
    if service.kind is ServiceKind.ENGINE and not service.model:
        add_finding("model", "is missing", "an engine needs one")
    if service.kind is ServiceKind.PLAIN and service.model:
        add_finding("model", "does not apply to a plain service", "remove it")
    if service.kind is ServiceKind.ENGINE and service.calls:
        add_finding("calls", "do not apply to an engine", "remove them")
    paths = [call.path for call in service.calls]
    for path in sorted({path for path in paths if paths.count(path) > 1}):
        add_finding("calls", f"duplicate path {truncate_text(path)!r}")


def _read_workspace(
    name: str, item: KeyedNode, collector: FindingCollector
) -> WorkspaceSpec | None:
    read = section(WORKSPACE_FIELDS, lambda **values: WorkspaceSpec(name, **values))
    workspace: WorkspaceSpec | None = read(item, collector)
    return workspace


CONFIGURATION_FIELDS = (
    Field("models", MappingReader(_read_model), "models by name", EMPTY),
    Field("services", MappingReader(_read_service), "services by name"),
    Field("workspaces", MappingReader(_read_workspace), "workspaces by name"),
    Field(
        "batch", section(BATCH_FIELDS, BatchSpec), "limits on batch work", BatchSpec()
    ),
    Field(
        "placement",
        section(PLACEMENT_FIELDS, PlacementSpec),
        "limits on loading weights",
        PlacementSpec(),
    ),
)

FIELDS_BY_SECTION: Mapping[str, tuple[Field, ...]] = {
    "": CONFIGURATION_FIELDS,
    "models.NAME": MODEL_FIELDS,
    "services.NAME": SERVICE_FIELDS,
    "services.NAME.calls[]": CALL_FIELDS,
    "workspaces.NAME": WORKSPACE_FIELDS,
    "batch": BATCH_FIELDS,
    "placement": PLACEMENT_FIELDS,
}


def read_configuration(text: str, source: str, revision: Revision = 0) -> Configuration:
    """Parse and validate a configuration from YAML.

    Raises
    ------
    FindingsError
        If the text is invalid; holds every finding with its line and key: unknown
        keys, values out of range, references to services or models that do not exist,
        circular dependencies, callers' keys that two workspaces share.
    """
    return run_to_completion(read_configuration_in_slices(text, source, revision))


def read_configuration_in_slices(
    text: str, source: str, revision: Revision = 0
) -> Slices[Configuration]:
    """Do the work of ``read_configuration`` in slices of a few milliseconds each.

    The generator yields after each slice, so that an event loop can do other work in
    between, and returns the configuration.

    Raises
    ------
    FindingsError
        If the text is invalid; holds every finding with its line and key.
    """
    collector = FindingCollector(source)
    root = yield from parse_in_slices(text, collector)
    if root is None:
        collector.finish()
    assert root is not None
    values = yield from read_fields_in_slices(
        KeyedNode(root, ""), CONFIGURATION_FIELDS, collector
    )
    _check_values(root, values, collector)
    collector.finish()
    return Configuration(
        revision=revision,
        services_by_name=values["services"],
        models_by_name=values["models"],
        workspaces_by_name=values["workspaces"],
        batch=values["batch"],
        placement=values["placement"],
    )


def _check_values(
    root: yaml.Node, values: Mapping[str, Any], collector: FindingCollector
) -> None:
    """Check references between the entries that are valid in themselves."""
    services, workspaces = values["services"] or {}, values["workspaces"] or {}
    names = DefinedNames(frozenset(services), frozenset(values["models"] or {}))
    valid_services = {
        name: service for name, service in services.items() if service is not None
    }
    check_references(root, valid_services, names, collector)
    check_caller_keys(
        root, [w for w in workspaces.values() if w is not None], collector
    )
