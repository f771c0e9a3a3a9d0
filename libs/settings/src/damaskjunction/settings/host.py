"""Settings of a host, parsed from YAML."""

from __future__ import annotations

from typing import NamedTuple

from damaskjunction.core import Address, EntryHost
from damaskjunction.settings.findings import FindingCollector
from damaskjunction.settings.parsing import parse
from damaskjunction.settings.readers import (
    KeyedNode,
    integer,
    read_address,
    read_name,
    read_text,
)
from damaskjunction.settings.schema import Field, list_of, read_fields

DEFAULT_MEMORY_MB = 1024
DEFAULT_MAX_DESCRIPTORS = 10_240
MIN_MEMORY_MB = 64
MIN_DESCRIPTORS = 100
MAX_LIMIT = 1_000_000


class HostSettings(NamedTuple):
    """The settings of a host; ``HOST_FIELDS`` describes each of them."""

    host_id: str
    region: str
    data_centre: str
    caller: Address
    peer: Address
    probe: Address
    platform: Address
    data_folder: str = ""
    admin_token_file: str = ""
    log_level: str = "info"
    seed: str = ""
    seeds: tuple[Address, ...] = ()
    admission: str = "home"
    memory_mb: int = DEFAULT_MEMORY_MB
    max_descriptors: int = DEFAULT_MAX_DESCRIPTORS

    def to_entry_host(self) -> EntryHost:
        """Return the entry of this host in the host list."""
        return EntryHost(
            self.host_id,
            self.region,
            self.data_centre,
            self.caller,
            self.peer,
            self.probe,
        )


HOST_FIELDS: tuple[Field, ...] = (
    Field("host_id", read_name, "name of this host, unique in the fleet"),
    Field("region", read_name, "region that the host is in"),
    Field("data_centre", read_name, "data centre that the host is in"),
    Field("caller", read_address, "ip:port where callers and operators connect"),
    Field("peer", read_address, "ip:port where other hosts connect (TCP)"),
    Field("probe", read_address, "ip:port of membership datagrams (UDP)"),
    Field("platform", read_address, "ip:port of the platform's service"),
    Field("data_folder", read_text, "folder for bulk data; empty: keep none", ""),
    Field(
        "admin_token_file",
        read_text,
        "file with the administration token; empty: loopback callers only",
        "",
    ),
    Field("log_level", read_name, "debug, info, warning or error", "info"),
    Field(
        "seeds",
        list_of(read_address),
        "probe addresses of other hosts, used if the platform is unavailable at start",
        (),
    ),
    Field("seed", read_name, "seed of random choices; empty: the host_id", ""),
    Field(
        "admission",
        read_name,
        "admission policy, the same on every host: home, fixed_limit, static_share "
        "or least_reported_load",
        "home",
    ),
    Field(
        "memory_mb",
        integer(MIN_MEMORY_MB, MAX_LIMIT),
        "MB of memory of the process, from which follows what it holds for clients",
        DEFAULT_MEMORY_MB,
    ),
    Field(
        "max_descriptors",
        integer(MIN_DESCRIPTORS, MAX_LIMIT),
        "file descriptors of the process, from which follow its connections",
        DEFAULT_MAX_DESCRIPTORS,
    ),
)


def read_host_settings(text: str, source: str) -> HostSettings:
    """Parse and validate the settings of a host from YAML.

    Raises
    ------
    FindingsError
        If the text is invalid; holds every finding with its line.
    """
    collector = FindingCollector(source)
    root = parse(text, collector)
    values = (
        {} if root is None else read_fields(KeyedNode(root, ""), HOST_FIELDS, collector)
    )
    collector.finish()
    return HostSettings(**values)
