"""Deltas between two byte strings: the bytes between common prefix and suffix."""

from __future__ import annotations

from typing import NamedTuple


class Delta(NamedTuple):
    """A byte string encoded against a base, with the same prefix and suffix.

    ``n_prefix`` and ``n_suffix`` are the lengths of the shared ends, in bytes.
    """

    n_prefix: int
    n_suffix: int
    middle: bytes


def make_delta(base: bytes, target: bytes) -> Delta:
    """Return the delta that turns ``base`` into ``target``."""
    n_prefix = _common_prefix_length(base, target)
    limit = min(len(base), len(target)) - n_prefix
    n_suffix = _common_prefix_length(
        base[len(base) - limit :][::-1], target[len(target) - limit :][::-1]
    )
    return Delta(n_prefix, n_suffix, target[n_prefix : len(target) - n_suffix])


def _common_prefix_length(first: bytes, second: bytes) -> int:
    """Return the length in bytes of the common prefix, found by bisection."""
    low, high = 0, min(len(first), len(second))
    while low < high:
        middle = (low + high + 1) // 2
        if first[low:middle] == second[low:middle]:
            low = middle
        else:
            high = middle - 1
    return low


def apply_delta(base: bytes, delta: Delta) -> bytes:
    """Return the bytes that result from applying a delta to ``base``.

    Raises
    ------
    ValueError
        When ``base`` is shorter than the prefix and suffix that the delta shares.
    """
    if delta.n_prefix + delta.n_suffix > len(base):
        raise ValueError(f"base of {len(base)} bytes is too short for the delta")
    suffix = base[len(base) - delta.n_suffix :]
    return base[: delta.n_prefix] + delta.middle + suffix
