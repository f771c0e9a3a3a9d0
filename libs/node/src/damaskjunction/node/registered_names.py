"""Check of the names in an operators' text against the registries they choose from."""

from __future__ import annotations

from typing import Any, NamedTuple

from damaskjunction.batch import peak_policies, usage_meters
from damaskjunction.core import Configuration, Finding, Registry, raise_findings
from damaskjunction.settings import locate_key


class _Choice(NamedTuple):
    """A key of the text, its value and the registry that it names an entry of."""

    key: str
    value: str
    registry: Registry[Any]


def check_registered_names(
    configuration: Configuration, text: str, source: str
) -> None:
    """Check that each name which chooses behaviour is registered.

    Raises
    ------
    FindingsError
        With the place of each name that is not, and the known ones.
    """
    batch = configuration.batch
    choices = (
        _Choice("batch.meter", batch.meter, usage_meters),
        _Choice("batch.peak_policy", batch.peak_policy, peak_policies),
    )
    findings = [
        Finding(
            locate_key(text, source, choice.key),
            f"no {choice.registry.kind} is called {choice.value!r}",
            f"known: {', '.join(choice.registry)}",
        )
        for choice in choices
        if choice.value not in choice.registry
    ]
    raise_findings(f"{source} has faults", findings)
