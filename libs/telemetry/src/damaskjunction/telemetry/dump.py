"""State dump of a process, made of sections registered by its components."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, TypeAlias

from damaskjunction.core import Registry

Section: TypeAlias = Callable[[], Any]

MAX_COLLECTION_ENTRIES = 200


class StateDump:
    """Registry of dump sections; each returns its component's state as JSON values."""

    def __init__(self) -> None:
        self.sections: Registry[Section] = Registry("dump section")

    def to_document(self) -> dict[str, Any]:
        """Return all sections, with their collections truncated to a maximum size."""
        return {name: _truncate(self.sections.get(name)()) for name in self.sections}


def _truncate(value: Any) -> Any:
    if isinstance(value, dict):
        first_entries = list(value.items())[:MAX_COLLECTION_ENTRIES]
        document = {str(key): _truncate(entry) for key, entry in first_entries}
        return _mark_truncated(document, len(value))
    if isinstance(value, list | tuple):
        return [_truncate(entry) for entry in value[:MAX_COLLECTION_ENTRIES]]
    return value


def _mark_truncated(document: dict[str, Any], size: int) -> dict[str, Any]:
    if size > MAX_COLLECTION_ENTRIES:
        document["..."] = f"{size - MAX_COLLECTION_ENTRIES} more"
    return document
