"""Validation of YAML documents against a schema, with the location of each finding.

A schema is a tuple of ``Field``. A value reader takes a YAML node and a
``FindingCollector`` and returns the value, or None after a finding.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from typing import Any, NamedTuple

import yaml

from damaskjunction.settings.findings import (
    FindingCollector,
    suggestion_hint,
    truncate_text,
)
from damaskjunction.settings.parsing import Slices, run_to_completion
from damaskjunction.settings.readers import NAME_HINT, KeyedNode, Reader, is_name

ENTRIES_PER_SLICE = 100

_REQUIRED: Any = object()


class Field(NamedTuple):
    """One key of a mapping.

    ``default`` is used when the key is absent; a field without one is required.
    """

    key: str
    read: Reader
    doc: str
    default: Any = _REQUIRED

    @property
    def is_required(self) -> bool:
        """Whether the key has no default."""
        return self.default is _REQUIRED


def _child_key(parent: str, key: str) -> str:
    return f"{parent}.{key}" if parent else key


def _mapping_entries(
    item: KeyedNode, collector: FindingCollector
) -> dict[str, tuple[yaml.Node, yaml.Node]]:
    """Return the key and value nodes of a mapping, by key."""
    if not isinstance(item.node, yaml.MappingNode):
        collector.add(item.node, item.key, "expected a mapping")
        return {}
    entries: dict[str, tuple[yaml.Node, yaml.Node]] = {}
    for key_node, value_node in item.node.value:
        if not isinstance(key_node, yaml.ScalarNode):
            collector.add(key_node, item.key, "expected a scalar key")
        elif key_node.value in entries:
            key = _child_key(item.key, key_node.value)
            collector.add(key_node, key, "duplicate key")
        else:
            entries[key_node.value] = (key_node, value_node)
    return entries


def read_fields(
    item: KeyedNode, fields: Iterable[Field], collector: FindingCollector
) -> dict[str, Any]:
    """Return the values of a mapping by key, with defaults for missing keys.

    An unknown key is a finding that suggests the closest known key.
    """
    return run_to_completion(read_fields_in_slices(item, fields, collector))


def read_fields_in_slices(
    item: KeyedNode, fields: Iterable[Field], collector: FindingCollector
) -> Slices[dict[str, Any]]:
    """Do the work of ``read_fields`` with nested mappings read in slices."""
    entries = _mapping_entries(item, collector)
    values: dict[str, Any] = {}
    known = []
    for field in fields:
        known.append(field.key)
        values[field.key] = None if field.is_required else field.default
        if field.key in entries:
            inner = KeyedNode(
                entries.pop(field.key)[1], _child_key(item.key, field.key)
            )
            if isinstance(field.read, MappingReader):
                values[field.key] = yield from field.read.read_in_slices(
                    inner, collector
                )
            else:
                values[field.key] = field.read(inner, collector)
        elif field.is_required:
            collector.add(
                item.node, _child_key(item.key, field.key), "is missing", field.doc
            )
    for key, (key_node, _) in entries.items():
        hint = "" if collector.is_full else suggestion_hint(key, known)
        collector.add(key_node, _child_key(item.key, key), "unknown key", hint)
    return values


def list_of(read_entry: Reader) -> Reader:
    """Return a reader of a list whose entries are read by ``read_entry``."""

    def read(item: KeyedNode, collector: FindingCollector) -> tuple[Any, ...]:
        if not isinstance(item.node, yaml.SequenceNode):
            collector.add(item.node, item.key, "expected a list")
            return ()
        return tuple(
            read_entry(KeyedNode(node, f"{item.key}[{index}]"), collector)
            for index, node in enumerate(item.node.value)
        )

    return read


def set_of(read_entry: Reader) -> Reader:
    """Return a reader of a list without duplicate entries."""
    read_list = list_of(read_entry)

    def read(item: KeyedNode, collector: FindingCollector) -> tuple[Any, ...]:
        values: tuple[Any, ...] = read_list(item, collector)
        seen = set()
        for index, value in enumerate(values):
            if value is not None and value in seen:
                node = item.node.value[index]
                collector.add(
                    node, f"{item.key}[{index}]", f"duplicate entry {value!r}"
                )
            seen.add(value)
        return values

    return read


class MappingReader:
    """Reader of a mapping from names to values read by ``read_entry``.

    The mapping can be read in one go or in slices.
    """

    def __init__(
        self, read_entry: Callable[[str, KeyedNode, FindingCollector], Any]
    ) -> None:
        self._read_entry = read_entry

    def __call__(
        self, item: KeyedNode, collector: FindingCollector
    ) -> Mapping[str, Any]:
        """Return the values by name."""
        return run_to_completion(self.read_in_slices(item, collector))

    def read_in_slices(
        self, item: KeyedNode, collector: FindingCollector
    ) -> Slices[Mapping[str, Any]]:
        """Do the work of a call in slices; the generator yields after each."""
        values = {}
        entries = _mapping_entries(item, collector).items()
        for number, (name, (key_node, node)) in enumerate(entries):
            key = _child_key(item.key, name)
            if not is_name(name):
                message = f"invalid name {truncate_text(name)!r}"
                collector.add(key_node, key, message, NAME_HINT)
            values[name] = self._read_entry(name, KeyedNode(node, key), collector)
            if number % ENTRIES_PER_SLICE == ENTRIES_PER_SLICE - 1:
                yield
        return values


def section(fields: tuple[Field, ...], build: Callable[..., Any]) -> Reader:
    """Return a reader of a mapping with fixed keys, passed to ``build`` as keywords.

    After a finding on a key its default is used, so that the rest is checked too.
    """

    def read(item: KeyedNode, collector: FindingCollector) -> Any:
        values = read_fields(item, fields, collector)
        for field in fields:
            if values[field.key] is None and not field.is_required:
                values[field.key] = field.default
        return None if None in values.values() else build(**values)

    return read
