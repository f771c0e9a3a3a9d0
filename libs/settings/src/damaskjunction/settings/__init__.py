"""Checked settings of a host and the operators' text."""

from damaskjunction.settings.host import HOST_FIELDS, HostSettings, read_host_settings
from damaskjunction.settings.operators import (
    TEXT_FIELDS,
    find_cycle,
    read_configuration,
)
from damaskjunction.settings.schema import Field

__all__ = [
    "HOST_FIELDS",
    "TEXT_FIELDS",
    "Field",
    "HostSettings",
    "find_cycle",
    "read_configuration",
    "read_host_settings",
]
