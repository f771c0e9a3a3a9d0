"""Validation of an encoded struct before the compiled codec decodes it.

The codec trusts the sizes that it reads: a list that claims two thousand million
elements of a zero-byte type blocks the event loop for many seconds. Every size is
therefore checked against the number of remaining bytes.
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
    """The bytes are not a valid struct, or declare more data than they hold."""


def check_struct(data: bytes) -> None:
    """Check that ``data`` is exactly one struct in thrift's binary protocol.

    Raises
    ------
    LayoutError
        If it is not.
    """
    if _skip_struct(data, 0, 0) != len(data):
        raise LayoutError("trailing bytes after the struct")


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
    raise LayoutError("the struct is truncated")


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
    raise LayoutError(f"unsupported type {kind}")


def _skip_list(data: bytes, at: int, depth: int) -> int:
    if at >= len(data):
        raise LayoutError("the list has no element type")
    kind = data[at]
    n_elements = _read_count(data, at + 1)
    at += 1 + _LENGTH_BYTES
    for _ in range(n_elements):
        at = _skip_value(data, at, kind, depth + 1)
        if at > len(data):
            raise LayoutError("the list is truncated")
    return at


def _read_count(data: bytes, at: int) -> int:
    """Return a count, which may not exceed the number of bytes after it.

    It counts bytes or elements; every element takes at least one byte.
    """
    after = at + _LENGTH_BYTES
    count = int.from_bytes(data[at:after], signed=True)
    if not 0 <= count <= len(data) - after:
        raise LayoutError("a size exceeds the remaining bytes")
    return count
