"""Validation of an encoded struct before the compiled codec decodes it.

The codec trusts the sizes that it reads: a list that declares two thousand million
elements of a zero-byte type blocks the event loop for many seconds. Every size is
therefore checked against the number of remaining bytes.
"""

from __future__ import annotations

from typing import Final

from damaskjunction.core import DamaskjunctionError

MAX_DEPTH: Final = 8
MAX_ELEMENTS: Final = 200_000  # of all lists of a struct

_STOP: Final = 0
_STRING: Final = 11
_STRUCT: Final = 12
_SET: Final = 14
_LIST: Final = 15
# Bytes of a bool, byte, double, i16, i32 and i64.
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
        If it is not, or if its lists have more than ``MAX_ELEMENTS`` structs, texts and
        lists.
    """
    if _Layout(data).skip_struct(0, 0) != len(data):
        raise LayoutError("trailing bytes after the struct")


class _Layout:
    """Steps over the parts of an encoded struct."""

    def __init__(self, data: bytes) -> None:
        self._data = data
        self._n_elements = 0

    def skip_struct(self, offset: int, depth: int) -> int:
        """Return the offset behind the struct that begins at an offset."""
        if depth > MAX_DEPTH:
            raise LayoutError(f"nested deeper than {MAX_DEPTH}")
        data = self._data
        size = len(data)
        while offset < size:
            kind = data[offset]
            offset += 1
            if kind == _STOP:
                return offset
            offset = self._skip_value(offset + _FIELD_ID_BYTES, kind, depth)
        raise LayoutError("the struct is truncated")

    def _skip_value(self, offset: int, kind: int, depth: int) -> int:
        fixed = _SIZES_BY_TYPE.get(kind)
        if fixed is not None:
            return offset + fixed
        if kind == _STRING:
            return offset + _LENGTH_BYTES + _read_count(self._data, offset)
        if kind == _STRUCT:
            return self.skip_struct(offset, depth + 1)
        if kind in (_LIST, _SET):
            return self._skip_list(offset, depth)
        raise LayoutError(f"unsupported type {kind}")

    def _skip_list(self, offset: int, depth: int) -> int:
        if offset >= len(self._data):
            raise LayoutError("the list has no element type")
        kind = self._data[offset]
        n_elements = _read_count(self._data, offset + 1)
        offset += 1 + _LENGTH_BYTES
        fixed = _SIZES_BY_TYPE.get(kind)
        if fixed is not None:
            return offset + fixed * n_elements
        self._n_elements += n_elements
        if self._n_elements > MAX_ELEMENTS:
            raise LayoutError(f"more than {MAX_ELEMENTS} elements")
        for _ in range(n_elements):
            offset = self._skip_value(offset, kind, depth + 1)
            if offset > len(self._data):
                raise LayoutError("the list is truncated")
        return offset


def _read_count(data: bytes, offset: int) -> int:
    """Return a count, which may not exceed the number of bytes after it.

    It counts bytes or elements; every element takes at least one byte.
    """
    end = offset + _LENGTH_BYTES
    count = int.from_bytes(data[offset:end], signed=True)
    if not 0 <= count <= len(data) - end:
        raise LayoutError("a size exceeds the remaining bytes")
    return count
