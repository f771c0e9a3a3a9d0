"""Random fault schedule of a soak, determined by its seed."""

from __future__ import annotations

import random
from collections.abc import Sequence
from typing import NamedTuple

# Minimum and maximum of the random values.
START_INTERVAL_S = (0.2, 2.5)
DURATION_S = (0.3, 4.0)
SERIES_S = 8.0  # of faults between two lulls


class ScheduledFault(NamedTuple):
    """A fault to inject: its start and duration in seconds, and its kind.

    ``draw`` is a random number from 0 to 1 that selects the target and the variant.
    """

    at_s: float
    kind: str
    for_s: float
    draw: float


def make_schedule(
    seed: int, period_s: float, kinds: Sequence[str], *, lull_s: float = 0.0
) -> tuple[ScheduledFault, ...]:
    """Return the faults of a soak in order of their start; they may overlap.

    A lull of ``lull_s`` seconds without faults follows each ``SERIES_S`` of the
    ``period_s`` seconds of faults.
    """
    rng = random.Random(seed)
    schedule = []
    at_s = rng.uniform(*START_INTERVAL_S)
    while at_s < period_s:
        schedule.append(
            ScheduledFault(
                round(at_s, 3),
                rng.choice(kinds),
                round(min(rng.uniform(*DURATION_S), period_s - at_s), 3),
                rng.random(),
            )
        )
        at_s += rng.uniform(*START_INTERVAL_S)
    if not lull_s:
        return tuple(schedule)
    return tuple(_shift(fault, lull_s) for fault in schedule)


def _shift(fault: ScheduledFault, lull_s: float) -> ScheduledFault:
    """Return a fault shifted by the lulls before it, which ends with its series."""
    n_before, since_s = divmod(fault.at_s, SERIES_S)
    return fault._replace(
        at_s=round(fault.at_s + n_before * lull_s, 3),
        for_s=round(min(fault.for_s, SERIES_S - since_s), 3),
    )
