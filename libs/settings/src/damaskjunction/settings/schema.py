"""Reading a YAML document by a schema, with every finding and its place.

A schema is a tuple of ``Field``; a value reader takes a YAML node and the ``Check``
that collects findings, and returns the value, or None after a finding.
"""

from __future__ import annotations

import difflib
from collections.abc import Callable, Iterable, Mapping
from enum import StrEnum
from typing import Any, NamedTuple, TypeAlias

import yaml

from damaskjunction.core import Address, Finding, Place, raise_findings

MAX_DOCUMENT_CHARACTERS = 1_000_000
MAX_DEPTH = 20


class Check:
    """Collects findings on one document.

    Parameters
    ----------
    source : str
        Name of the document in findings, such as its file's name.
    """

    def __init__(self, source: str) -> None:
        self.source = source
        self.findings: list[Finding] = []

    def add(
        self, node: yaml.Node | None, key: str, message: str, hint: str = ""
    ) -> None:
        """Note a finding at a node."""
        line = node.start_mark.line + 1 if node is not None else 0
        self.findings.append(Finding(Place(self.source, line, key), message, hint))

    def finish(self) -> None:
        """Raise what was found.

        Raises
        ------
        FindingsError
            When there are findings.
        """
        raise_findings(f"{self.source} has faults", self.findings)


class Item(NamedTuple):
    """A node of the document and the dotted key that leads to it."""

    node: yaml.Node
    key: str


Reader: TypeAlias = Callable[[Item, Check], Any]

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
        """Whether the key must be there."""
        return self.default is _REQUIRED


def parse(text: str, check: Check) -> yaml.Node | None:
    """Return the root node of a YAML text, None after a finding."""
    if len(text) > MAX_DOCUMENT_CHARACTERS:
        message = f"the text has more than {MAX_DOCUMENT_CHARACTERS} characters"
        check.add(None, "", message)
        return None
    try:
        if not _is_flat(text, check):
            return None
        root = yaml.compose(text, Loader=yaml.SafeLoader)
    except yaml.MarkedYAMLError as error:
        line = error.problem_mark.line + 1 if error.problem_mark else 0
        message = f"not YAML: {error.problem}"
        check.findings.append(Finding(Place(check.source, line), message))
        return None
    except yaml.YAMLError as error:
        check.add(None, "", f"not YAML: {error}")
        return None
    if root is None:
        check.add(None, "", "the text is empty")
    return root


def _is_flat(text: str, check: Check) -> bool:
    """Note aliases and deep nesting before the composer recurses into them."""
    depth = 0
    for event in yaml.parse(text, Loader=yaml.SafeLoader):
        depth += isinstance(event, yaml.CollectionStartEvent)
        depth -= isinstance(event, yaml.CollectionEndEvent)
        mark = event.start_mark
        place = Place(check.source, mark.line + 1 if mark is not None else 0)
        if isinstance(event, yaml.AliasEvent):
            check.findings.append(Finding(place, "aliases are not taken"))
            return False
        if depth > MAX_DEPTH:
            check.findings.append(Finding(place, f"nested deeper than {MAX_DEPTH}"))
            return False
    return True


def _child(parent: str, key: str) -> str:
    return f"{parent}.{key}" if parent else key


def _entries(item: Item, check: Check) -> dict[str, tuple[yaml.Node, yaml.Node]]:
    """Return key and value nodes of a mapping by key."""
    if not isinstance(item.node, yaml.MappingNode):
        check.add(item.node, item.key, "expected a mapping")
        return {}
    entries: dict[str, tuple[yaml.Node, yaml.Node]] = {}
    for key_node, value_node in item.node.value:
        if not isinstance(key_node, yaml.ScalarNode):
            check.add(key_node, item.key, "expected a plain key")
        elif key_node.value in entries:
            key = _child(item.key, key_node.value)
            check.add(key_node, key, "stands twice")
        else:
            entries[key_node.value] = (key_node, value_node)
    return entries


def read_fields(item: Item, fields: Iterable[Field], check: Check) -> dict[str, Any]:
    """Return the values of a mapping by key, defaults filled in.

    An unknown key is a finding that names the nearest known one.
    """
    entries = _entries(item, check)
    values: dict[str, Any] = {}
    known = []
    for field in fields:
        known.append(field.key)
        if field.key in entries:
            node = entries.pop(field.key)[1]
            values[field.key] = field.read(
                Item(node, _child(item.key, field.key)), check
            )
            continue
        values[field.key] = None if field.is_required else field.default
        if field.is_required:
            check.add(item.node, _child(item.key, field.key), "is missing", field.doc)
    for key, (key_node, _) in entries.items():
        near = difflib.get_close_matches(key, known, n=1)
        hint = f"did you mean {near[0]!r}?" if near else f"known: {', '.join(known)}"
        check.add(key_node, _child(item.key, key), "is no known key", hint)
    return values


def _scalar(item: Item, check: Check, tags: tuple[str, ...], wanted: str) -> str | None:
    node = item.node
    if isinstance(node, yaml.ScalarNode) and node.tag.rpartition(":")[2] in tags:
        return str(node.value)
    shown = node.value if isinstance(node, yaml.ScalarNode) else "a collection"
    check.add(node, item.key, f"expected {wanted}, got {shown!r}")
    return None


def read_text(item: Item, check: Check) -> str | None:
    """Read a text that is not empty."""
    value = _scalar(item, check, ("str", "int", "float"), "a text")
    if value == "":
        check.add(item.node, item.key, "is empty")
    return value


def read_name(item: Item, check: Check) -> str | None:
    """Read a name of lower-case letters, digits, dots, dashes and underscores."""
    value = read_text(item, check)
    if value is not None and not _is_name(value):
        check.add(item.node, item.key, f"{value!r} is no name", NAME_HINT)
    return value


NAME_HINT = "letters, digits, '.', '-' and '_', at most 64"


def _is_name(value: str) -> bool:
    plain = value.replace("-", "").replace("_", "").replace(".", "")
    return plain.isalnum() and plain.isascii() and len(value) <= 64


def read_boolean(item: Item, check: Check) -> bool | None:
    """Read true or false."""
    value = _scalar(item, check, ("bool",), "true or false")
    return None if value is None else value.lower() in ("true", "yes", "on")


def number(low: float, high: float) -> Reader:
    """Return a reader of a number in a range."""

    def read(item: Item, check: Check) -> float | None:
        text = _scalar(item, check, ("int", "float"), "a number")
        if text is None:
            return None
        try:
            value = float(text.replace("_", ""))
        except ValueError:
            check.add(item.node, item.key, f"expected a number, got {text!r}")
            return None
        if not low <= value <= high:
            message = f"{value:g} is not between {low:g} and {high:g}"
            check.add(item.node, item.key, message)
            return None
        return value

    return read


def integer(low: int, high: int) -> Reader:
    """Return a reader of a whole number in a range."""
    read_number = number(low, high)

    def read(item: Item, check: Check) -> int | None:
        value = read_number(item, check)
        if value is None:
            return None
        if value != int(value):
            check.add(item.node, item.key, f"expected a whole number, got {value:g}")
            return None
        return int(value)

    return read


def read_address(item: Item, check: Check) -> Address | None:
    """Read ``ip:port``."""
    text = read_text(item, check)
    if text is None:
        return None
    try:
        return Address.from_text(text)
    except ValueError as error:
        check.add(item.node, item.key, str(error))
        return None


def choice(kind: type[StrEnum]) -> Reader:
    """Return a reader of one of the values of an enumeration."""
    values = [member.value for member in kind]

    def read(item: Item, check: Check) -> StrEnum | None:
        text = read_text(item, check)
        if text is None:
            return None
        if text not in values:
            hint = f"one of {', '.join(values)}"
            check.add(item.node, item.key, f"{text!r} is not known", hint)
            return None
        return kind(text)

    return read


def list_of(read_entry: Reader) -> Reader:
    """Return a reader of a list whose entries are read by ``read_entry``."""

    def read(item: Item, check: Check) -> tuple[Any, ...]:
        if not isinstance(item.node, yaml.SequenceNode):
            check.add(item.node, item.key, "expected a list")
            return ()
        return tuple(
            read_entry(Item(node, f"{item.key}[{index}]"), check)
            for index, node in enumerate(item.node.value)
        )

    return read


def mapping_of(read_entry: Callable[[str, Item, Check], Any]) -> Reader:
    """Return a reader of a mapping from names to what ``read_entry`` reads."""

    def read(item: Item, check: Check) -> Mapping[str, Any]:
        values = {}
        for name, (key_node, node) in _entries(item, check).items():
            key = _child(item.key, name)
            if not _is_name(name):
                check.add(key_node, key, f"{name!r} is no name", NAME_HINT)
            values[name] = read_entry(name, Item(node, key), check)
        return values

    return read


def section(fields: tuple[Field, ...], build: Callable[..., Any]) -> Reader:
    """Return a reader of a mapping with known keys, passed to ``build`` by name."""

    def read(item: Item, check: Check) -> Any:
        n_before = len(check.findings)
        values = read_fields(item, fields, check)
        return build(**values) if len(check.findings) == n_before else None

    return read
