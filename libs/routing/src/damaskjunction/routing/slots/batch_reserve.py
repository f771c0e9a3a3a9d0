"""The free slots that batch requests leave to online requests."""

from __future__ import annotations

import math
from collections.abc import Iterable

RESERVE_SHARE = 0.06  # fraction of the slots that batch leaves free


def n_reserved_slots(capacities: Iterable[float]) -> int:
    """Return how many free slots batch requests leave.

    That is fewer than the runners have when they are idle, since batch requests would
    wait forever otherwise.

    Parameters
    ----------
    capacities : iterable of float
        The requests that each usable runner takes at once when it is idle.
    """
    n_usable = int(sum(capacities))
    return max(0, min(math.ceil(RESERVE_SHARE * n_usable), n_usable - 1))
