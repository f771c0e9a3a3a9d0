"""Random fault schedule of a soak, determined by its seed."""

from __future__ import annotations

import random
from collections.abc import Sequence
from typing import NamedTuple

GAP_S = (0.2, 2.5)
LENGTH_S = (0.3, 4.0)


class Strike(NamedTuple):
    """A fault to inject: its start and duration in seconds, and its kind.

    ``draw`` is a random number from 0 to 1 that selects the target and the variant.
    """

    at_s: float
    kind: str
    for_s: float
    draw: float


def make_schedule(
    seed: int, length_s: float, kinds: Sequence[str]
) -> tuple[Strike, ...]:
    """Return the faults of a soak in order of their start; they may overlap."""
    chance = random.Random(seed)
    strikes = []
    at_s = chance.uniform(*GAP_S)
    while at_s < length_s:
        strikes.append(
            Strike(
                round(at_s, 3),
                chance.choice(kinds),
                round(min(chance.uniform(*LENGTH_S), length_s - at_s), 3),
                chance.random(),
            )
        )
        at_s += chance.uniform(*GAP_S)
    return tuple(strikes)
