"""Decoding of the settings file that the platform writes for each process."""

from __future__ import annotations

from collections.abc import Mapping
from pathlib import Path
from typing import NamedTuple

from damaskjunction.core import (
    Address,
    DataCentre,
    Finding,
    HostId,
    Region,
    SourceLocation,
    raise_findings,
)
from damaskjunction.core.units import MIB, MILLISECOND_S
from damaskjunction.routing import (
    DEFAULT_DRAIN_S,
    DEFAULT_MAX_SKEW_S,
    QuotaBounds,
)

SETTINGS_VARIABLE = "DAMASKJUNCTION_SETTINGS"
DEFAULT_METRICS_PORT = 9464
DEFAULT_MAX_DESCRIPTORS = 4096
DEFAULT_STOP_GRACE_S = 8.0
DEFAULT_RESULT_RETENTION_S = 120.0
DEFAULT_MEMORY_BYTES = 256 * MIB


class ProcessSettings(NamedTuple):
    """Settings of a process, as given by the platform; times are in seconds.

    ``caller``, ``readiness`` and ``directory`` are the addresses to listen on for
    callers, for readiness probes and for reads of the host addresses, or None where
    the process does not serve them. ``peer_port`` is the port for traffic between
    hosts, the same on every host. ``seeds`` are the hosts to contact in order to join.
    ``store`` is the address of the platform's store. ``stop_grace_s`` is the time
    between the stop request and the kill, and ``result_retention_s`` the time for which
    results must stay readable. ``drain_s`` is the time for which a leaving runner still
    serves, and ``max_skew_s`` the largest difference of clocks. ``memory_bytes`` is the
    memory beyond which the process is killed. ``n_cores`` is the
    number of processor cores that the process may use, scaled to cores of the usual
    speed. ``max_descriptors`` limits the open file descriptors. ``quota_bounds`` tells
    how far workspaces may exceed their limits. The settings file has no key for
    ``metrics_port``.
    """

    host_id: HostId
    region: Region
    data_centre: DataCentre
    ip: str
    caller: Address | None
    readiness: Address | None
    directory: Address | None
    peer_port: int
    seeds: tuple[Address, ...]
    store: Address
    regions_by_data_centre: Mapping[DataCentre, Region]
    max_descriptors: int = DEFAULT_MAX_DESCRIPTORS
    metrics_port: int = DEFAULT_METRICS_PORT
    stop_grace_s: float = DEFAULT_STOP_GRACE_S
    result_retention_s: float = DEFAULT_RESULT_RETENTION_S
    n_cores: float = 1.0
    memory_bytes: float = DEFAULT_MEMORY_BYTES
    drain_s: float = DEFAULT_DRAIN_S
    max_skew_s: float = DEFAULT_MAX_SKEW_S
    quota_bounds: QuotaBounds = QuotaBounds()


class _SettingsReader:
    """Converts values by key and collects a finding for each invalid one."""

    def __init__(self, source: str, values: Mapping[str, str]) -> None:
        self._source = source
        self._values = values
        self.findings: list[Finding] = []

    def text(self, key: str, default: str | None = None) -> str:
        value = self._values.get(key, default)
        if value is None:
            location = SourceLocation(self._source, key=key)
            self.findings.append(Finding(location, "required key is missing"))
            return ""
        return value

    def number(self, key: str, default: float) -> float:
        value = self._values.get(key, "")
        if not value:
            return default
        try:
            return float(value)
        except ValueError:
            location = SourceLocation(self._source, key=key)
            self.findings.append(Finding(location, f"expected a number, got {value!r}"))
            return default

    def seconds(self, key: str, default_s: float) -> float:
        """Return in seconds the value of a key in milliseconds."""
        return self.number(key, default_s / MILLISECOND_S) * MILLISECOND_S

    def address(self, key: str) -> Address | None:
        value = self._values.get(key, "")
        if not value:
            return None
        try:
            return Address.from_text(value)
        except ValueError as error:
            self.findings.append(
                Finding(SourceLocation(self._source, key=key), str(error))
            )
            return None

    def table(self, prefix: str) -> dict[str, str]:
        return {
            key.removeprefix(prefix): value
            for key, value in self._values.items()
            if key.startswith(prefix)
        }

    def addresses(self, key: str) -> tuple[Address, ...]:
        try:
            return tuple(
                Address.from_text(part)
                for part in self._values.get(key, "").split(",")
                if part
            )
        except ValueError as error:
            self.findings.append(
                Finding(SourceLocation(self._source, key=key), str(error))
            )
            return ()


def decode_settings(text: str, source: str) -> ProcessSettings:
    """Parse settings from lines of the form ``a.b=value``.

    Unknown keys are ignored.

    Raises
    ------
    FindingsError
        If required keys are missing or values have the wrong type; it holds a finding
        for each.
    """
    lines = (line.partition("=") for line in text.splitlines() if "=" in line)
    reader = _SettingsReader(
        source, {key.strip(): value.strip() for key, _, value in lines}
    )
    first_port = reader.text("PortRange", "0").partition(",")[0]
    store = reader.address("Platform.Addr")
    if store is None:
        location = SourceLocation(source, key="Platform.Addr")
        reader.findings.append(Finding(location, "required key is missing"))
        store = Address("", 0)
    settings = ProcessSettings(
        host_id=reader.text("NodeName"),
        region=reader.text("Region", ""),
        data_centre=reader.text("Zone", ""),
        ip=reader.text("Ip"),
        caller=reader.address("Listen.Front"),
        readiness=reader.address("Listen.Ready"),
        directory=reader.address("Listen.Directory"),
        peer_port=int(first_port) if first_port.isdigit() else 0,
        seeds=reader.addresses("Seeds"),
        store=store,
        regions_by_data_centre=reader.table("Zones."),
        max_descriptors=int(reader.number("Limits.MaxFds", DEFAULT_MAX_DESCRIPTORS)),
        stop_grace_s=reader.number("Bounds.GraceS", DEFAULT_STOP_GRACE_S),
        result_retention_s=reader.number("Bounds.StatusS", DEFAULT_RESULT_RETENTION_S),
        n_cores=reader.number("Limits.CpuShare", 1.0)
        * reader.number("Limits.Cores", 1.0),
        memory_bytes=MIB * reader.number("Limits.MemoryMb", DEFAULT_MEMORY_BYTES / MIB),
        drain_s=reader.seconds("Bounds.DrainMs", DEFAULT_DRAIN_S),
        max_skew_s=reader.seconds("Bounds.SkewMaxMs", DEFAULT_MAX_SKEW_S),
        quota_bounds=_read_quota_bounds(reader),
    )
    raise_findings(f"{source}: invalid settings", reader.findings)
    return settings


def _read_quota_bounds(reader: _SettingsReader) -> QuotaBounds:
    default = QuotaBounds()
    return QuotaBounds(
        window_s=reader.number("Bounds.QuotaWindowS", default.window_s),
        over=reader.number("Bounds.QuotaOver", default.over),
        slack=reader.number("Bounds.QuotaSlack", default.slack),
    )


def read_settings(path: Path) -> ProcessSettings:
    """Read settings from a file; raises OSError, or FindingsError if invalid."""
    return decode_settings(path.read_text(), str(path))
