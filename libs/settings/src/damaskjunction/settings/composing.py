"""Incremental composition of YAML nodes, so that a long text is read in slices."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol, TypeAlias

import yaml

OpenNode: TypeAlias = yaml.MappingNode | yaml.SequenceNode


class NoteFinding(Protocol):
    """Callback that records a finding at a line."""

    def __call__(self, line: int, key: str, message: str, hint: str = "") -> None:
        """Record the finding."""


class Composer:
    """Builds the node tree of one document; rejects aliases and limits the depth.

    Parameters
    ----------
    max_depth : int
        Maximum nesting depth of collections.
    note : callable
        Records findings.
    """

    def __init__(self, max_depth: int, note: NoteFinding) -> None:
        self.root: yaml.Node | None = None
        self._max_depth = max_depth
        self._note = note
        self._open: list[OpenNode] = []
        self._keys: list[yaml.Node | None] = []
        self._resolver: Any = yaml.resolver.Resolver()
        self._takers: dict[type[Any], Callable[[Any], bool]] = {
            yaml.ScalarEvent: self._take_scalar,
            yaml.MappingStartEvent: self._take_mapping,
            yaml.SequenceStartEvent: self._take_sequence,
            yaml.MappingEndEvent: self._take_end,
            yaml.SequenceEndEvent: self._take_end,
            yaml.DocumentStartEvent: self._take_document,
            yaml.AliasEvent: self._take_alias,
        }

    def take(self, event: yaml.Event) -> bool:
        """Handle the next parser event; return False after a finding, else True."""
        taker = self._takers.get(type(event))
        return taker is None or taker(event)

    def _take_scalar(self, event: Any) -> bool:
        tag = event.tag
        if tag is None or tag == "!":
            tag = self._resolver.resolve(yaml.ScalarNode, event.value, event.implicit)
        marks = event.start_mark, event.end_mark
        self._add(yaml.ScalarNode(tag, event.value, *marks))
        return True

    def _take_mapping(self, event: Any) -> bool:
        marks = event.start_mark, event.end_mark
        return self._begin(yaml.MappingNode(event.tag or "", [], *marks))

    def _take_sequence(self, event: Any) -> bool:
        marks = event.start_mark, event.end_mark
        return self._begin(yaml.SequenceNode(event.tag or "", [], *marks))

    def _begin(self, node: OpenNode) -> bool:
        if len(self._open) >= self._max_depth:
            line = node.start_mark.line + 1
            self._note(line, "", f"nested deeper than {self._max_depth}")
            return False
        self._add(node)
        self._open.append(node)
        self._keys.append(None)
        return True

    def _take_end(self, event: yaml.Event) -> bool:
        self._open.pop()
        self._keys.pop()
        return True

    def _take_document(self, event: Any) -> bool:
        if self.root is None:
            return True
        line = event.start_mark.line + 1
        self._note(line, "", "a second document begins", "write a single document")
        return False

    def _take_alias(self, event: Any) -> bool:
        line = event.start_mark.line + 1
        self._note(line, "", "aliases are not supported", "repeat the value")
        return False

    def _add(self, node: yaml.Node) -> None:
        if not self._open:
            self.root = node
            return
        parent, key = self._open[-1], self._keys[-1]
        if isinstance(parent, yaml.SequenceNode):
            parent.value.append(node)
        elif key is None:
            self._keys[-1] = node
        else:
            parent.value.append((key, node))
            self._keys[-1] = None
