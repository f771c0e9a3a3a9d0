"""Check of a struct's bytes before the compiled codec reads them.

The codec believes the sizes that it reads: a list that claims two thousand million
elements of a type without bytes holds the loop for many seconds. Here every size is
held against the bytes that are left.
"""

from __future__ import annotations

from typing import Final

from damaskjunction.core import DamaskjunctionError

MAX_DEPTH: Final = 8

_STOP: Final = 0
_STRING: Final = 11
_STRUCT: Final = 12
_SET: Final = 14
_LIST: Final = 15
_SIZES_BY_TYPE: Final = {2: 1, 3: 1, 4: 8, 6: 2, 8: 4, 10: 8}
_FIELD_ID_BYTES: Final = 2
_LENGTH_BYTES: Final = 4


class LayoutError(DamaskjunctionError):
    """The bytes are no struct, or claim more than they hold."""


def check_struct(data: bytes) -> None:
    """Check that ``data`` is one struct in thrift's binary protocol, and no more.

    Raises
    ------
    LayoutError
        When it is not.
    """
    if _skip_struct(data, 0, 0) != len(data):
        raise LayoutError("bytes follow the struct")


def _skip_struct(data: bytes, at: int, depth: int) -> int:
    if depth > MAX_DEPTH:
        raise LayoutError(f"nested deeper than {MAX_DEPTH}")
    size = len(data)
    while at < size:
        kind = data[at]
        at += 1
        if kind == _STOP:
            return at
        at = _skip_value(data, at + _FIELD_ID_BYTES, kind, depth)
    raise LayoutError("the struct has no end")


def _skip_value(data: bytes, at: int, kind: int, depth: int) -> int:
    fixed = _SIZES_BY_TYPE.get(kind)
    if fixed is not None:
        return at + fixed
    if kind == _STRING:
        return at + _LENGTH_BYTES + _read_count(data, at)
    if kind == _STRUCT:
        return _skip_struct(data, at, depth + 1)
    if kind in (_LIST, _SET):
        return _skip_list(data, at, depth)
    raise LayoutError(f"type {kind} is not used")


def _skip_list(data: bytes, at: int, depth: int) -> int:
    if at >= len(data):
        raise LayoutError("the list has no type")
    kind = data[at]
    n_elements = _read_count(data, at + 1)
    at += 1 + _LENGTH_BYTES
    for _ in range(n_elements):
        at = _skip_value(data, at, kind, depth + 1)
        if at > len(data):
            raise LayoutError("the list claims more than there is")
    return at


def _read_count(data: bytes, at: int) -> int:
    """Return a size that the bytes after it can hold; each element has one at least."""
    after = at + _LENGTH_BYTES
    count = int.from_bytes(data[at:after], signed=True)
    if not 0 <= count <= len(data) - after:
        raise LayoutError("a size is more than the bytes that are left")
    return count
