"""State dump of a process, made of sections registered by its components."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, TypeAlias

from damaskjunction.core import Registry

Section: TypeAlias = Callable[[], Any]

MAX_SECTION_ENTRIES = 200


class StateDump:
    """Registry of dump sections; each returns its component's state as JSON values."""

    def __init__(self) -> None:
        self.sections: Registry[Section] = Registry("dump section")

    def to_document(self) -> dict[str, Any]:
        """Return all sections, with their collections truncated to a maximum size."""
        return {name: _bounded(self.sections.get(name)()) for name in self.sections}


def _bounded(value: Any) -> Any:
    if isinstance(value, dict):
        kept = list(value.items())[:MAX_SECTION_ENTRIES]
        document = {str(key): _bounded(entry) for key, entry in kept}
        return _note_cut(document, len(value))
    if isinstance(value, list | tuple):
        return [_bounded(entry) for entry in value[:MAX_SECTION_ENTRIES]]
    return value


def _note_cut(document: dict[str, Any], size: int) -> dict[str, Any]:
    if size > MAX_SECTION_ENTRIES:
        document["..."] = f"{size - MAX_SECTION_ENTRIES} more"
    return document
