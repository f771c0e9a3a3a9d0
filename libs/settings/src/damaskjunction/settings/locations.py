"""Locations of keys in a YAML text, for findings made after it was parsed."""

from __future__ import annotations

import yaml

from damaskjunction.core import SourceLocation
from damaskjunction.settings.findings import FindingCollector
from damaskjunction.settings.parsing import parse


def locate_key(text: str, source: str, key: str) -> SourceLocation:
    """Return the location of the value at a dotted key; line 0 if it is missing."""
    node = parse(text, FindingCollector(source))
    for part in key.split("."):
        if not isinstance(node, yaml.MappingNode):
            return SourceLocation(source, 0, key)
        values = {entry.value: value for entry, value in node.value}
        node = values.get(part)
    if node is None or node.start_mark is None:
        return SourceLocation(source, 0, key)
    return SourceLocation(source, node.start_mark.line + 1, key)
