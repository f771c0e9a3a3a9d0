"""Types shared by every library: identifiers, hosts, runners and configuration.

Values are immutable ``NamedTuple`` records; a change is made with ``_replace``.
Collections are named by their key (``services_by_name``). Quantities carry their
unit in their name (``deadline_s``: seconds).
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
    """Class of a request; online goes before batch everywhere."""

    ONLINE = "online"
    BATCH = "batch"


class Outcome(StrEnum):
    """What is known of a request that did not end with a whole answer."""

    NOT_RUN = "not_run"
    RAN = "ran"
    UNKNOWN = "unknown"


class ServiceKind(StrEnum):
    """What stands behind a service."""

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
        """Read ``"127.0.0.1:7000"``.

        Raises
        ------
        ValueError
            When the text has no port or the port is no number.
        """
        ip, separator, port = text.rpartition(":")
        if not separator:
            raise ValueError(f"expected 'ip:port', got {text!r}")
        return cls(ip, int(port))


class EntryHost(NamedTuple):
    """One host of the system, as the host list and its peers name it."""

    host_id: HostId
    region: Region
    data_centre: DataCentre
    caller: Address
    peer: Address
    probe: Address
    state: HostState = HostState.LIVE


class Runner(NamedTuple):
    """One backend server: a model engine or a plain service.

    ``service`` names the one service that a plain runner provides; it is empty for an
    engine, which serves what it is ordered to. ``slots`` is the largest number of
    requests the runner takes at once.
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


class CallSpec(NamedTuple):
    """How calls below one path of a plain service may be treated."""

    path: str
    idempotent: bool = True


class ModelSpec(NamedTuple):
    """A model whose weights lie in the weight store."""

    name: str
    version: str
    weights_gb: float = 1.0
    adapters: tuple[str, ...] = ()


class ServiceSpec(NamedTuple):
    """One service of the operators' text.

    ``first_token_s`` and ``token_interval_s`` are targets for 95 in 100 requests;
    ``deadline_s`` bounds a request whose caller names no deadline.

    ``min_data_centres`` is the spread wanted, ``in_flight_per_runner`` the online
    requests under way that one runner is planned for, and ``scale_down_after_s`` how
    long demand has to stay lower before runners are given up. ``max_in_transition``
    bounds the runners that a roll-out changes at once; 0 is a tenth of them.
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
    """A workspace: whose requests these are, and its share under contention.

    ``key_digests`` are hexadecimal SHA-256 digests of the callers' keys.
    """

    name: WorkspaceName
    share: float = 1.0
    key_digests: tuple[str, ...] = ()


class BatchSpec(NamedTuple):
    """Limits on batch work.

    ``ceiling_per_minute`` is the usage, in units of ``meter``, that a billing minute
    may not pass; 0 lets batch fill up to the online peak seen so far. ``lease_s`` is
    how long a host holds work without renewal, and bounds how long a cancelled job may
    go on when a host can't be reached. ``minute_s`` is the length of a billing minute.
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

    Weights are loaded by as many runners at once as ``weight_store_gb_per_s`` brings
    home within ``load_window_s``, and by one at least.
    """

    weight_store_gb_per_s: float = 1.0
    load_window_s: float = 60.0


class Configuration(NamedTuple):
    """The operators' text, checked, at one revision of the platform's store."""

    revision: Revision = 0
    services_by_name: Mapping[ServiceName, ServiceSpec] = EMPTY
    models_by_name: Mapping[str, ModelSpec] = EMPTY
    workspaces_by_name: Mapping[WorkspaceName, WorkspaceSpec] = EMPTY
    batch: BatchSpec = BatchSpec()
    placement: PlacementSpec = PlacementSpec()


class Assignment(NamedTuple):
    """What one engine is wanted to serve."""

    runner_id: RunnerId
    service: ServiceName
    model: str
    version: str
    adapters: tuple[str, ...] = ()
    role: str = "serve"


class Plan(NamedTuple):
    """What runs where in one region, derived from one configuration.

    ``revision`` is the plan's own revision in the platform's store and
    ``configuration_revision`` that of the text it was made from. ``ready_runners`` are
    those that serve what they are assigned to, ``failures_by_runner`` tells why others
    can't, and ``notes_by_service`` why a service has less than it wants.
    """

    revision: Revision = 0
    configuration_revision: Revision = 0
    assignments_by_runner: Mapping[RunnerId, Assignment] = EMPTY
    ready_runners: frozenset[RunnerId] = frozenset()
    failures_by_runner: Mapping[RunnerId, str] = EMPTY
    notes_by_service: Mapping[ServiceName, str] = EMPTY
