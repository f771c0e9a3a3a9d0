"""Validation of YAML documents against a schema, with the location of each finding.

A schema is a tuple of ``Field``. A value reader takes a YAML node and a
``FindingCollector`` and returns the value, or None after a finding.
"""

from __future__ import annotations

import difflib
import ipaddress
import re
from collections.abc import Callable, Generator, Iterable, Mapping
from enum import StrEnum
from typing import Any, NamedTuple, TypeAlias, TypeVar

import yaml

from damaskjunction.core import Address, Finding, SourceLocation, raise_findings
from damaskjunction.settings.composer import Composer

MAX_DOCUMENT_CHARACTERS = 1_000_000
MAX_DEPTH = 20
_LOADER: Any = getattr(yaml, "CSafeLoader", yaml.SafeLoader)
MAX_FINDINGS = 100
MAX_SHOWN_CHARACTERS = 80
MAX_NAME_CHARACTERS = 64
MAX_PORT = 65_535

# On a configuration of 4,100 workspaces, the C parser is ten times as fast as the one
# in Python, which is used if PyYAML was built without libyaml.
YAML_LOADER: Any = getattr(yaml, "CSafeLoader", yaml.SafeLoader)

# A slice of these sizes takes a few milliseconds.
EVENTS_PER_SLICE = 500
ENTRIES_PER_SLICE = 100

T = TypeVar("T")

_NUMBER = re.compile(r"[-+]?(\d+(\.\d*)?|\.\d+)([eE][-+]?\d+)?")


class FindingCollector:
    """Collects the findings on one document.

    Parameters
    ----------
    source : str
        Name of the document in findings, such as its file name.
    """

    def __init__(self, source: str) -> None:
        self.source = source
        self.findings: list[Finding] = []
        self.n_found = 0

    def add(
        self, node: yaml.Node | None, key: str, message: str, hint: str = ""
    ) -> None:
        """Record a finding at a node."""
        line = node.start_mark.line + 1 if node is not None else 0
        self.add_at(line, key, message, hint)

    def add_at(self, line: int, key: str, message: str, hint: str = "") -> None:
        """Record a finding at a line; beyond ``MAX_FINDINGS`` they are only counted."""
        self.n_found += 1
        if self.is_full:
            return
        location = SourceLocation(self.source, line, truncate_text(key))
        self.findings.append(Finding(location, message, hint))

    @property
    def is_full(self) -> bool:
        """Whether the limit is reached, so that further findings are only counted."""
        return len(self.findings) >= MAX_FINDINGS

    def finish(self) -> None:
        """Raise the findings, if any.

        Raises
        ------
        FindingsError
            If there are findings.
        """
        findings = self.findings
        if self.n_found > len(findings):
            message = f"{self.n_found - len(findings)} more findings are not shown"
            findings = [*findings, Finding(SourceLocation(self.source), message)]
        raise_findings(f"{self.source} has {self.n_found} findings", findings)


def truncate_text(text: str) -> str:
    """Return the text truncated to ``MAX_SHOWN_CHARACTERS``, for messages."""
    if len(text) <= MAX_SHOWN_CHARACTERS:
        return text
    return f"{text[:MAX_SHOWN_CHARACTERS]}..."


class KeyedNode(NamedTuple):
    """A node of the document and its dotted key."""

    node: yaml.Node
    key: str


Reader: TypeAlias = Callable[[KeyedNode, FindingCollector], Any]
Slices: TypeAlias = Generator[None, None, T]

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


def parse(text: str, collector: FindingCollector) -> yaml.Node | None:
    """Return the root node of a YAML text, or None after a finding."""
    return run_to_completion(parse_in_slices(text, collector))


def parse_in_slices(text: str, collector: FindingCollector) -> Slices[yaml.Node | None]:
    """Do the work of ``parse`` in slices; the generator yields after each."""
    if len(text) > MAX_DOCUMENT_CHARACTERS:
        message = f"the text has more than {MAX_DOCUMENT_CHARACTERS} characters"
        collector.add(None, "", message)
        return None
    composer = Composer(MAX_DEPTH, collector.add_at)
    try:
        for number, event in enumerate(yaml.parse(text, Loader=YAML_LOADER)):
            if not composer.handle_event(event):
                return None
            if number % EVENTS_PER_SLICE == EVENTS_PER_SLICE - 1:
                yield
    except yaml.MarkedYAMLError as error:
        line = error.problem_mark.line + 1 if error.problem_mark else 0
        collector.add_at(line, "", f"invalid YAML: {error.problem}")
        return None
    except (yaml.YAMLError, UnicodeError) as error:
        collector.add(None, "", f"invalid YAML: {truncate_text(str(error))}")
        return None
    if composer.root is None:
        collector.add(None, "", "the text is empty")
    return composer.root


def run_to_completion(slices: Slices[T]) -> T:
    """Run all slices without a pause and return the result."""
    while True:
        try:
            next(slices)
        except StopIteration as stop:
            result: T = stop.value
            return result


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


def suggestion_hint(name: str, known: Iterable[str]) -> str:
    """Return a hint on an unknown name: the closest known name, or all known names."""
    names = sorted(known)
    matches = difflib.get_close_matches(name[:MAX_NAME_CHARACTERS], names, n=1)
    if matches:
        return f"did you mean {matches[0]!r}?"
    return f"known: {truncate_text(', '.join(names)) or 'none'}"


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
    if value is not None and not _is_name(value):
        collector.add(
            item.node, item.key, f"invalid name {truncate_text(value)!r}", NAME_HINT
        )
    return value


NAME_HINT = f"letters, digits, '.', '-' and '_', at most {MAX_NAME_CHARACTERS}"


def _is_name(value: str) -> bool:
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
            if not _is_name(name):
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
