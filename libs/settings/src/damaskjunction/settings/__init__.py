"""Parsing and validation of host settings and of the configuration."""

from damaskjunction.settings.configuration import (
    CONFIGURATION_FIELDS,
    FIELDS_BY_SECTION,
    read_configuration,
    read_configuration_in_slices,
)
from damaskjunction.settings.host import HOST_FIELDS, HostSettings, read_host_settings
from damaskjunction.settings.locations import locate_key
from damaskjunction.settings.references import find_cycle, find_cycles
from damaskjunction.settings.schema import Field

__all__ = [
    "CONFIGURATION_FIELDS",
    "FIELDS_BY_SECTION",
    "HOST_FIELDS",
    "Field",
    "HostSettings",
    "find_cycle",
    "find_cycles",
    "locate_key",
    "read_configuration",
    "read_configuration_in_slices",
    "read_host_settings",
]
