"""Incremental composition of YAML nodes, so that a long text is read in slices."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol, TypeAlias

import yaml

CollectionNode: TypeAlias = yaml.MappingNode | yaml.SequenceNode


class ReportFinding(Protocol):
    """Callback that records a finding at a line."""

    def __call__(self, line: int, key: str, message: str, hint: str = "") -> None:
        """Record the finding."""


class Composer:
    """Builds the node tree of one document; rejects aliases and limits the depth.

    Parameters
    ----------
    max_depth : int
        Maximum nesting depth of collections.
    report_finding : callable
        Records findings.
    """

    def __init__(self, max_depth: int, report_finding: ReportFinding) -> None:
        self.root: yaml.Node | None = None
        self._max_depth = max_depth
        self._report_finding = report_finding
        self._open_collections: list[CollectionNode] = []
        self._pending_keys: list[yaml.Node | None] = []
        self._resolver: Any = yaml.resolver.Resolver()
        self._handlers_by_type: dict[type[Any], Callable[[Any], bool]] = {
            yaml.ScalarEvent: self._handle_scalar,
            yaml.MappingStartEvent: self._handle_mapping_start,
            yaml.SequenceStartEvent: self._handle_sequence_start,
            yaml.MappingEndEvent: self._handle_collection_end,
            yaml.SequenceEndEvent: self._handle_collection_end,
            yaml.DocumentStartEvent: self._handle_document_start,
            yaml.AliasEvent: self._handle_alias,
        }

    def handle_event(self, event: yaml.Event) -> bool:
        """Handle the next parser event; return False after a finding, else True."""
        handler = self._handlers_by_type.get(type(event))
        return handler is None or handler(event)

    def _handle_scalar(self, event: Any) -> bool:
        tag = event.tag
        if tag is None or tag == "!":
            tag = self._resolver.resolve(yaml.ScalarNode, event.value, event.implicit)
        marks = event.start_mark, event.end_mark
        self._add_node(yaml.ScalarNode(tag, event.value, *marks))
        return True

    def _handle_mapping_start(self, event: Any) -> bool:
        marks = event.start_mark, event.end_mark
        return self._open_collection(yaml.MappingNode(event.tag or "", [], *marks))

    def _handle_sequence_start(self, event: Any) -> bool:
        marks = event.start_mark, event.end_mark
        return self._open_collection(yaml.SequenceNode(event.tag or "", [], *marks))

    def _open_collection(self, node: CollectionNode) -> bool:
        if len(self._open_collections) >= self._max_depth:
            line = node.start_mark.line + 1
            self._report_finding(line, "", f"nested deeper than {self._max_depth}")
            return False
        self._add_node(node)
        self._open_collections.append(node)
        self._pending_keys.append(None)
        return True

    def _handle_collection_end(self, event: yaml.Event) -> bool:
        self._open_collections.pop()
        self._pending_keys.pop()
        return True

    def _handle_document_start(self, event: Any) -> bool:
        if self.root is None:
            return True
        line = event.start_mark.line + 1
        self._report_finding(
            line, "", "a second document begins", "write a single document"
        )
        return False

    def _handle_alias(self, event: Any) -> bool:
        line = event.start_mark.line + 1
        self._report_finding(line, "", "aliases are not supported", "repeat the value")
        return False

    def _add_node(self, node: yaml.Node) -> None:
        if not self._open_collections:
            self.root = node
            return
        parent, key = self._open_collections[-1], self._pending_keys[-1]
        if isinstance(parent, yaml.SequenceNode):
            parent.value.append(node)
        elif key is None:
            self._pending_keys[-1] = node
        else:
            parent.value.append((key, node))
            self._pending_keys[-1] = None
