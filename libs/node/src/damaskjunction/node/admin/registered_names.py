"""Validation of names in the configuration against the registries they refer to."""

from __future__ import annotations

from typing import Any, NamedTuple

from damaskjunction.batch import peak_policies, usage_meters
from damaskjunction.core import Configuration, Finding, Registry, raise_findings
from damaskjunction.settings import locate_key


class _RegistryReference(NamedTuple):
    """Key and value of a configured name, and the registry that must contain it."""

    key: str
    value: str
    registry: Registry[Any]


def check_registered_names(
    configuration: Configuration, text: str, source: str
) -> None:
    """Check that the meter and the peak policy of a configuration are registered.

    Raises
    ------
    FindingsError
        With the location of each unknown name, and the known names.
    """
    batch = configuration.batch
    references = (
        _RegistryReference("batch.meter", batch.meter, usage_meters),
        _RegistryReference("batch.peak_policy", batch.peak_policy, peak_policies),
    )
    findings = [
        Finding(
            locate_key(text, source, reference.key),
            f"no {reference.registry.kind} is called {reference.value!r}",
            f"known: {', '.join(reference.registry)}",
        )
        for reference in references
        if reference.value not in reference.registry
    ]
    raise_findings(f"{source} is invalid", findings)
