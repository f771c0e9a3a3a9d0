"""Types shared by every library: identifiers, hosts, runners and configuration.

Values are immutable ``NamedTuple`` records, changed with ``_replace``. Mappings are
named after their key (``services_by_name``). Names of quantities end in their unit
(``deadline_s``: seconds).
"""

from __future__ import annotations

from collections.abc import Mapping
from enum import StrEnum
from types import MappingProxyType
from typing import Any, NamedTuple, TypeAlias

HostId: TypeAlias = str
RunnerId: TypeAlias = str
DataCentre: TypeAlias = str
Region: TypeAlias = str
WorkspaceName: TypeAlias = str
ServiceName: TypeAlias = str
RequestId: TypeAlias = str
JobId: TypeAlias = str
Revision: TypeAlias = int

EMPTY: Mapping[str, Any] = MappingProxyType({})


class WorkClass(StrEnum):
    """Priority class of a request; online always takes precedence over batch."""

    ONLINE = "online"
    BATCH = "batch"


class Outcome(StrEnum):
    """Whether a request that ended without a complete response ran."""

    NOT_RUN = "not_run"
    RAN = "ran"
    UNKNOWN = "unknown"


class ServiceKind(StrEnum):
    """Kind of backend server that a service runs on.

    ``ENGINE`` generates tokens with a model, ``PLAIN`` handles HTTP calls.
    """

    ENGINE = "engine"
    PLAIN = "plain"


class HostState(StrEnum):
    """State of an entry host or a runner in the platform's host list."""

    LIVE = "live"
    LEAVING = "leaving"


class Address(NamedTuple):
    """An IP address and a port."""

    ip: str
    port: int

    def __str__(self) -> str:
        return f"{self.ip}:{self.port}"

    @classmethod
    def from_text(cls, text: str) -> Address:
        """Parse an address such as ``"127.0.0.1:7000"``.

        Raises
        ------
        ValueError
            If the text has no port or the port is not a number.
        """
        ip, separator, port = text.rpartition(":")
        if not separator:
            raise ValueError(f"expected 'ip:port', got {text!r}")
        return cls(ip, int(port))


class EntryHost(NamedTuple):
    """A host of the system, with its addresses for callers, peers and probes."""

    host_id: HostId
    region: Region
    data_centre: DataCentre
    caller: Address
    peer: Address
    probe: Address
    state: HostState = HostState.LIVE


class Runner(NamedTuple):
    """A backend server: a model engine or a plain service.

    ``service`` names the one service that a plain runner provides; it is empty for an
    engine, which serves the model assigned to it. ``slots`` is the maximum number of
    concurrent requests. ``version`` is the version of its software, empty if it states
    none, and ``born_ms`` the Unix millisecond at which its process started by its own
    clock, 0 if unknown.
    """

    runner_id: RunnerId
    region: Region
    data_centre: DataCentre
    address: Address
    kind: ServiceKind
    service: ServiceName = ""
    accelerators: int = 1
    slots: int = 8
    state: HostState = HostState.LIVE
    version: str = ""
    born_ms: int = 0


class CallSpec(NamedTuple):
    """Properties of the calls to a plain service whose path has the prefix ``path``."""

    path: str
    idempotent: bool = True


class ModelSpec(NamedTuple):
    """A model; engines load its weights from the weight store."""

    name: str
    version: str
    weights_gb: float = 1.0
    adapters: tuple[str, ...] = ()


class ServiceSpec(NamedTuple):
    """A service as defined by the configuration.

    ``first_token_s`` and ``token_interval_s`` are targets for the 95th percentile;
    ``deadline_s`` is the default deadline of a request.

    ``min_data_centres`` is the minimum number of data centres that the runners are
    distributed over, ``in_flight_per_runner`` the number of online requests in flight
    that one runner is planned for, and ``scale_down_after_s`` how long demand has to
    stay lower before runners are released. ``max_in_transition`` limits the runners
    that a roll-out changes at once; 0 means a tenth of them.
    """

    name: ServiceName
    kind: ServiceKind
    model: str = ""
    min_runners: int = 1
    max_runners: int = 1
    depends_on: tuple[ServiceName, ...] = ()
    calls: tuple[CallSpec, ...] = ()
    first_token_s: float = 0.83
    token_interval_s: float = 0.047
    deadline_s: float = 30.0
    min_data_centres: int = 1
    in_flight_per_runner: float = 6.0
    scale_down_after_s: float = 300.0
    max_in_transition: int = 0


class WorkspaceSpec(NamedTuple):
    """A workspace (tenant): its weight under contention and its callers' keys.

    ``share`` is the fair-share weight; ``key_digests`` are hexadecimal SHA-256 digests
    of the callers' API keys. All hosts together admit ``requests_per_s`` requests a
    second of its callers and ``burst`` more at once; 0 requests a second means no
    limit. ``priority`` goes before that of a route; None leaves the route's.
    """

    name: WorkspaceName
    share: float = 1.0
    key_digests: tuple[str, ...] = ()
    requests_per_s: float = 0.0
    burst: float = 0.0
    priority: int | None = None


class BatchSpec(NamedTuple):
    """Limits on batch work.

    ``ceiling_per_minute`` is the maximum usage, in units of ``meter``, in a billing
    minute; 0 lets batch use up to the highest online usage observed so far.
    ``lease_s`` is how long a host holds work without renewing its lease, which bounds
    how long a cancelled job may continue on a host that is unreachable. ``minute_s``
    is the length of a billing minute.
    """

    meter: str = "tokens"
    ceiling_per_minute: float = 0.0
    retention_s: float = 7 * 24 * 3600.0
    max_tries: int = 3
    lease_s: float = 60.0
    minute_s: float = 60.0
    peak_policy: str = "below_peak"


class PlacementSpec(NamedTuple):
    """Limits on loading weights, the same in every region.

    The number of concurrent loads is limited so that, at ``weight_store_gb_per_s`` in
    total, they finish within ``load_window_s``; at least one is always allowed.
    """

    weight_store_gb_per_s: float = 1.0
    load_window_s: float = 60.0


class Configuration(NamedTuple):
    """The validated configuration at one revision of the platform's store."""

    revision: Revision = 0
    services_by_name: Mapping[ServiceName, ServiceSpec] = EMPTY
    models_by_name: Mapping[str, ModelSpec] = EMPTY
    workspaces_by_name: Mapping[WorkspaceName, WorkspaceSpec] = EMPTY
    batch: BatchSpec = BatchSpec()
    placement: PlacementSpec = PlacementSpec()


class Assignment(NamedTuple):
    """The model and service that an engine is assigned."""

    runner_id: RunnerId
    service: ServiceName
    model: str
    version: str
    adapters: tuple[str, ...] = ()
    role: str = "serve"


class Plan(NamedTuple):
    """The placement plan of one region, derived from one configuration.

    ``revision`` is the plan's own revision in the platform's store and
    ``configuration_revision`` that of the configuration it was derived from.
    ``ready_runners`` are those that serve their assignment, ``failures_by_runner``
    gives the reason why others can't, and ``notes_by_service`` why a service has fewer
    runners than it requires.
    """

    revision: Revision = 0
    configuration_revision: Revision = 0
    assignments_by_runner: Mapping[RunnerId, Assignment] = EMPTY
    ready_runners: frozenset[RunnerId] = frozenset()
    failures_by_runner: Mapping[RunnerId, str] = EMPTY
    notes_by_service: Mapping[ServiceName, str] = EMPTY
