"""Decoding of JSON that others wrote: entries of the store, callers, runners, peers.

What is accepted is harmless to hold, to compare and to encode again: its nesting is
bounded, its integers fit 64 bits, its numbers are finite and its texts valid Unicode.
The elements of an array can be decoded one by one, so that an odd one costs itself
alone.
"""

from __future__ import annotations

import ipaddress
import json
import math
import re
from collections.abc import Mapping
from typing import Any, Final

from damaskjunction.core.errors import DamaskjunctionError
from damaskjunction.core.types import Address

MAX_DEPTH: Final = 32
MAX_PORT: Final = 65_535
MIN_INTEGER: Final = -(2**63)
MAX_INTEGER: Final = 2**63 - 1

# What reading fields of a document of an unexpected shape may raise.
SHAPE_ERRORS: Final = (
    ArithmeticError,
    AttributeError,
    LookupError,
    TypeError,
    ValueError,
)

_MAX_INTEGER_CHARACTERS = len(str(MIN_INTEGER))
_STRING = rb'"[^"\\]*+(?:\\.[^"\\]*+)*+"'
_STRINGS = re.compile(_STRING, re.DOTALL)
_SPACE = b" \t\r\n"
_VALUE_MARKS = (b",", b"[", b"{")  # each value but one begins at, or after, one of them
_OPENERS = rb"(?P<openers>(?:[\[{]\s*+(?:" + _STRING + rb"\s*+:\s*+)?+)++)"
_CLOSERS = rb"(?P<closers>(?:[\]}]\s*+)++)"
_INNER_MARK = re.compile(
    rb'(?:[^"\[\]{}]++|' + _STRING + rb")*+(?:" + _OPENERS + b"|" + _CLOSERS + b")",
    re.DOTALL,
)
_OUTER_MARK = re.compile(
    rb'(?:[^",\[\]{}]++|'
    + _STRING
    + rb")*+(?:(?P<comma>,)|"
    + _OPENERS
    + b"|"
    + _CLOSERS
    + b")",
    re.DOTALL,
)
_MEMBER = re.compile(rb"\s*(" + _STRING + rb")\s*:(.*)", re.DOTALL)
_SURROGATE = re.compile(r"\\u[dD][89a-fA-F]")
_DIGITS = re.compile(r"[0-9]{1,18}", re.ASCII)
_PORT = re.compile(r"[1-9][0-9]{0,4}", re.ASCII)


class MalformedError(DamaskjunctionError, ValueError):
    """What another wrote can't be decoded."""


def parse_json(data: bytes) -> Any:
    """Return the value of a JSON text in UTF-8.

    Of several members with one key the last one holds.

    Raises
    ------
    MalformedError
        If the text is not valid, is nested deeper than ``MAX_DEPTH``, or holds a number
        or a text that is not harmless.
    """
    try:
        text = data.decode()
        value = json.loads(
            text,
            parse_int=_parse_integer,
            parse_float=_parse_float,
            parse_constant=_refuse_constant,
        )
        _check_depth(value)
        if _SURROGATE.search(text):
            json.dumps(value, ensure_ascii=False).encode()  # raises for a lone one
    except (ValueError, RecursionError) as error:
        raise MalformedError(f"invalid JSON: {str(error)[:200]}") from None
    return value


def check_n_values(data: bytes, most: int) -> None:
    """Check how many values a JSON text holds before it is parsed.

    A value of two bytes takes some 60 bytes once it is parsed.

    Raises
    ------
    MalformedError
        If it holds more than ``most``, keys of objects left out of account.
    """
    if _count_marks(data) < most:
        return
    if _count_marks(_STRINGS.sub(b"", data)) >= most:
        raise MalformedError(f"more than {most} values")


def _count_marks(data: bytes) -> int:
    return sum(data.count(mark) for mark in _VALUE_MARKS)


def parse_json_or_none(data: bytes) -> Any:
    """Return the value of a JSON text, None if it can't be read."""
    try:
        return parse_json(data)
    except MalformedError:
        return None


def split_array(data: bytes) -> list[bytes]:
    """Return the JSON texts of an array's elements, which may be invalid themselves.

    Raises
    ------
    MalformedError
        If the text is no array whose elements can be told apart.
    """
    return _split(data, b"[", b"]")


def split_object(data: bytes) -> dict[str, bytes]:
    """Return the JSON texts of an object's values by their keys.

    Raises
    ------
    MalformedError
        If the text is no object whose members can be told apart.
    """
    members = {}
    for part in _split(data, b"{", b"}"):
        match = _MEMBER.fullmatch(part)
        if match is None:
            raise MalformedError("invalid JSON: a member without a key")
        members[str(parse_json(match[1]))] = match[2]
    return members


def _split(data: bytes, opening: bytes, closing: bytes) -> list[bytes]:
    """Return the parts between the commas of the outermost array or object.

    Runs of brackets are stepped over at once, so that deep nesting takes little time.
    """
    data = data.strip()
    if not (data.startswith(opening) and data.endswith(closing) and len(data) > 1):
        raise MalformedError("invalid JSON: not the expected array or object")
    parts = []
    start = position = 1
    end = len(data) - 1
    depth = 0
    while mark := (_INNER_MARK if depth else _OUTER_MARK).match(data, position, end):
        position = mark.end()
        if mark.lastgroup == "comma":
            parts.append(data[start : mark.start("comma")])
            start = position
        else:
            depth += _change_of_depth(mark)
        if depth < 0:
            raise MalformedError("invalid JSON: unbalanced brackets")
    if depth:
        raise MalformedError("invalid JSON: unbalanced brackets")
    last = data[start:end]
    return [*parts, last] if parts or last.strip() else []


def _change_of_depth(mark: re.Match[bytes]) -> int:
    """Return by how much a run of brackets that open, or that close, changes it."""
    if mark["closers"]:
        return -len(mark["closers"].translate(None, _SPACE))
    openers = _STRINGS.sub(b"", mark["openers"])
    return openers.count(b"[") + openers.count(b"{")


def _check_depth(value: Any) -> None:
    """Check the nesting of a value level by level, without recursion."""
    level = [value]
    for _ in range(MAX_DEPTH):
        children: list[Any] = []
        for node in level:
            if isinstance(node, dict):
                children.extend(node.values())
            elif isinstance(node, list):
                children.extend(node)
        if not children:
            return
        level = children
    raise MalformedError(f"nested deeper than {MAX_DEPTH}")


def _parse_integer(text: str) -> int:
    if len(text) > _MAX_INTEGER_CHARACTERS:
        raise ValueError(f"an integer of {len(text)} characters")
    return read_integer(int(text))


def _parse_float(text: str) -> float:
    return read_number(float(text))


def _refuse_constant(text: str) -> float:
    raise ValueError(f"{text} is no number")


# Values


def parse_digits(text: str) -> int | None:
    """Return the integer that a text of at most 18 digits gives, None for any other."""
    return int(text) if _DIGITS.fullmatch(text) else None


def read_text(value: object, *, may_be_empty: bool = True) -> str:
    """Return a value that has to be a text.

    Raises
    ------
    MalformedError
        If it is not.
    """
    if not isinstance(value, str) or not (value or may_be_empty):
        raise MalformedError(f"expected a text, got {_describe(value)}")
    return value


def read_integer(
    value: object, *, least: int = MIN_INTEGER, most: int = MAX_INTEGER
) -> int:
    """Return a value that has to be an integer within bounds; a boolean is none.

    Raises
    ------
    MalformedError
        If it is not.
    """
    if isinstance(value, bool) or not isinstance(value, int):
        raise MalformedError(f"expected an integer, got {_describe(value)}")
    if not least <= value <= most:
        raise MalformedError(f"expected an integer from {least} to {most}")
    return value


def read_number(value: object) -> float:
    """Return a value that has to be a finite number; a boolean is none.

    Raises
    ------
    MalformedError
        If it is not.
    """
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise MalformedError(f"expected a number, got {_describe(value)}")
    number = float(value)
    if not math.isfinite(number):
        raise MalformedError("expected a finite number")
    return number


def read_bool(value: object) -> bool:
    """Return a value that has to be a boolean.

    Raises
    ------
    MalformedError
        If it is not.
    """
    if not isinstance(value, bool):
        raise MalformedError(f"expected true or false, got {_describe(value)}")
    return value


def read_list(value: object) -> list[Any]:
    """Return a value that has to be a list.

    Raises
    ------
    MalformedError
        If it is not.
    """
    if not isinstance(value, list):
        raise MalformedError(f"expected a list, got {_describe(value)}")
    return value


def read_object(value: object) -> Mapping[str, Any]:
    """Return a value that has to be a JSON object.

    Raises
    ------
    MalformedError
        If it is not.
    """
    if not isinstance(value, Mapping):
        raise MalformedError(f"expected an object, got {_describe(value)}")
    return value


def read_address(value: object) -> Address:
    """Return the address that a text such as ``"10.0.0.1:7000"`` names.

    Only a dotted IPv4 address is one: a name would have to be looked up.

    Raises
    ------
    MalformedError
        If the value is no such text, or the port is out of range.
    """
    ip, _, port = read_text(value).rpartition(":")
    if not _PORT.fullmatch(port) or int(port) > MAX_PORT:
        raise MalformedError(f"expected a port, got {_describe(port)}")
    try:
        ipaddress.IPv4Address(ip)
    except ValueError:
        raise MalformedError(f"expected an IPv4 address, got {_describe(ip)}") from None
    return Address(ip, int(port))


def _describe(value: object) -> str:
    """Return a short description of a value, which may be large."""
    if isinstance(value, str):
        return repr(value[:80])
    return type(value).__name__
