"""Usage meters: what a billing minute is counted in."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple, TypeAlias

from damaskjunction.core import Registry


class Usage(NamedTuple):
    """Use of runners: requests begun, tokens made and seconds that a slot was busy."""

    n_requests: int = 0
    n_tokens: int = 0
    busy_s: float = 0.0


UsageMeter: TypeAlias = Callable[[Usage], float]

usage_meters: Registry[UsageMeter] = Registry("usage meter")


@usage_meters.register("tokens")
def meter_tokens(usage: Usage) -> float:
    """Return usage in tokens made."""
    return float(usage.n_tokens)


@usage_meters.register("requests")
def meter_requests(usage: Usage) -> float:
    """Return usage in requests begun."""
    return float(usage.n_requests)


@usage_meters.register("busy_seconds")
def meter_busy_seconds(usage: Usage) -> float:
    """Return usage in seconds that slots of runners were busy."""
    return usage.busy_s
