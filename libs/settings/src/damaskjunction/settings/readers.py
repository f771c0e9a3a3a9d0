"""Readers of scalar values: strings, names, numbers, addresses and choices.

A reader takes a YAML node and a ``FindingCollector`` and returns the value, or None
after a finding.
"""

from __future__ import annotations

import ipaddress
import re
from collections.abc import Callable
from enum import StrEnum
from typing import Any, NamedTuple, TypeAlias

import yaml

from damaskjunction.core import Address
from damaskjunction.settings.findings import (
    MAX_NAME_CHARACTERS,
    FindingCollector,
    truncate_text,
)

MAX_PORT = 65_535

_NUMBER = re.compile(r"[-+]?(\d+(\.\d*)?|\.\d+)([eE][-+]?\d+)?")


class KeyedNode(NamedTuple):
    """A node of the document and its dotted key."""

    node: yaml.Node
    key: str


Reader: TypeAlias = Callable[[KeyedNode, FindingCollector], Any]


def _read_scalar(
    item: KeyedNode, collector: FindingCollector, tags: tuple[str, ...], expected: str
) -> str | None:
    node = item.node
    if isinstance(node, yaml.ScalarNode) and node.tag.rpartition(":")[2] in tags:
        return str(node.value)
    if isinstance(node, yaml.ScalarNode):
        shown = repr(truncate_text(node.value))
    else:
        shown = "a collection"
    collector.add(node, item.key, f"expected {expected}, got {shown}")
    return None


def read_text(item: KeyedNode, collector: FindingCollector) -> str | None:
    """Read a string that is not empty; a number is returned as it is written."""
    value = _read_scalar(item, collector, ("str", "int", "float"), "a string")
    if value == "":
        collector.add(item.node, item.key, "is empty")
    return value


def read_name(item: KeyedNode, collector: FindingCollector) -> str | None:
    """Read a name of ASCII letters, digits, dots, dashes and underscores."""
    value = read_text(item, collector)
    if value is not None and not is_name(value):
        collector.add(
            item.node, item.key, f"invalid name {truncate_text(value)!r}", NAME_HINT
        )
    return value


NAME_HINT = f"letters, digits, '.', '-' and '_', at most {MAX_NAME_CHARACTERS}"


def is_name(value: str) -> bool:
    """Return whether a text is a name, see ``NAME_HINT``."""
    plain = value.replace("-", "").replace("_", "").replace(".", "")
    return plain.isalnum() and plain.isascii() and len(value) <= MAX_NAME_CHARACTERS


def read_boolean(item: KeyedNode, collector: FindingCollector) -> bool | None:
    """Read a boolean."""
    value = _read_scalar(item, collector, ("bool",), "true or false")
    return None if value is None else value.lower() in ("true", "yes", "on")


def number(low: float, high: float) -> Reader:
    """Return a reader of numbers in a range, bounds included."""

    def read(item: KeyedNode, collector: FindingCollector) -> float | None:
        text = _read_scalar(item, collector, ("int", "float"), "a number")
        if text is None:
            return None
        if _NUMBER.fullmatch(text) is None:
            message = f"expected a decimal number, got {truncate_text(text)!r}"
            collector.add(item.node, item.key, message)
            return None
        value = float(text)
        if not low <= value <= high:
            message = f"{value:g} is not between {low:g} and {high:g}"
            collector.add(item.node, item.key, message)
            return None
        return value

    return read


def integer(low: int, high: int) -> Reader:
    """Return a reader of integers in a range, bounds included."""
    read_number = number(low, high)

    def read(item: KeyedNode, collector: FindingCollector) -> int | None:
        value = read_number(item, collector)
        if value is None:
            return None
        if value != int(value):
            collector.add(
                item.node, item.key, f"expected a whole number, got {value:g}"
            )
            return None
        return int(value)

    return read


def read_address(item: KeyedNode, collector: FindingCollector) -> Address | None:
    """Read an address ``ip:port``."""
    text = read_text(item, collector)
    if text is None:
        return None
    try:
        address = Address.from_text(text)
        ipaddress.ip_address(address.ip)
    except ValueError:
        message = f"expected 'ip:port', got {truncate_text(text)!r}"
        collector.add(item.node, item.key, message, "such as '10.0.0.1:7000'")
        return None
    if not 0 < address.port <= MAX_PORT:
        message = f"port {address.port} is not between 1 and {MAX_PORT}"
        collector.add(item.node, item.key, message)
        return None
    return address


def choice(kind: type[StrEnum]) -> Reader:
    """Return a reader of the values of an enumeration."""
    values = [member.value for member in kind]

    def read(item: KeyedNode, collector: FindingCollector) -> StrEnum | None:
        text = read_text(item, collector)
        if text is None:
            return None
        if text not in values:
            hint = f"one of {', '.join(values)}"
            message = f"unknown value {truncate_text(text)!r}"
            collector.add(item.node, item.key, message, hint)
            return None
        return kind(text)

    return read
