"""Hashes and rendezvous hashing, equal on every host and across restarts."""

from __future__ import annotations

import math
from collections.abc import Iterable

import xxhash

_SEPARATOR = "\x1f"
_HASH_RANGE = float(1 << 64)


def stable_hash(*parts: str) -> int:
    """Return a 64-bit hash of the parts; their order matters."""
    return xxhash.xxh3_64_intdigest(_SEPARATOR.join(parts).encode())


def rendezvous_order(
    key: str, weights_by_name: Iterable[tuple[str, float]]
) -> list[str]:
    """Return the names by descending weighted rendezvous score for ``key``.

    Removing a name leaves the order of the others unchanged, so a key moves only when
    its own first name is removed or a name with a higher score is added. Names whose
    weight is not positive are left out.
    """
    scored = [
        (_score(key, name, weight), name)
        for name, weight in weights_by_name
        if weight > 0
    ]
    scored.sort(reverse=True)
    return [name for _, name in scored]


def _score(key: str, name: str, weight: float) -> float:
    # The + 1 keeps the fraction above 0, which has no logarithm.
    fraction = (stable_hash(key, name) + 1) / (_HASH_RANGE + 2)
    return -weight / math.log(fraction)
