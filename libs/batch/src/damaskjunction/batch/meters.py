"""Usage meters, which convert runner usage to the unit in which it is billed."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple, TypeAlias

from damaskjunction.core import Registry


class Usage(NamedTuple):
    """Runner usage: requests started, tokens generated and slot-seconds."""

    n_requests: int = 0
    n_tokens: int = 0
    busy_s: float = 0.0


UsageMeter: TypeAlias = Callable[[Usage], float]

usage_meters: Registry[UsageMeter] = Registry("usage meter")


@usage_meters.register("tokens")
def meter_tokens(usage: Usage) -> float:
    """Return usage in generated tokens."""
    return float(usage.n_tokens)


@usage_meters.register("requests")
def meter_requests(usage: Usage) -> float:
    """Return usage in started requests."""
    return float(usage.n_requests)


@usage_meters.register("busy_seconds")
def meter_busy_seconds(usage: Usage) -> float:
    """Return usage in seconds during which runner slots were busy."""
    return usage.busy_s
