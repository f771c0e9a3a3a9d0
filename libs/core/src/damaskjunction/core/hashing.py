"""Stable hashes, equal on every host and across restarts."""

from __future__ import annotations

import math
from collections.abc import Iterable

import xxhash

_SEPARATOR = "\x1f"
_HASH_RANGE = float(1 << 64)


def stable_hash(*parts: str) -> int:
    """Return a 64-bit hash of the parts in their order."""
    return xxhash.xxh3_64_intdigest(_SEPARATOR.join(parts).encode())


def rendezvous_order(
    key: str, weights_by_name: Iterable[tuple[str, float]]
) -> list[str]:
    """Return the names by falling weighted rendezvous score for ``key``.

    Taking a name out leaves the order of the others as it was, so a key moves only
    when its own first name goes or a better one comes.
    """
    scored = [
        (_score(key, name, weight), name)
        for name, weight in weights_by_name
        if weight > 0
    ]
    scored.sort(reverse=True)
    return [name for _, name in scored]


def _score(key: str, name: str, weight: float) -> float:
    fraction = (stable_hash(key, name) + 1) / (_HASH_RANGE + 2)
    return -weight / math.log(fraction)
