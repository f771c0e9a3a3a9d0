"""The objects of one kind as last read from the platform's store."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple, TypeAlias

from damaskjunction.core import Revision
from damaskjunction.platform import ObjectChange, PlatformObject

ApplyAll: TypeAlias = Callable[[tuple[PlatformObject, ...]], None]
ApplyChange: TypeAlias = Callable[[ObjectChange], None]
StripObject: TypeAlias = Callable[[PlatformObject], PlatformObject]


class KindUpdate(NamedTuple):
    """An update of a kind: a snapshot when ``is_snapshot``, else only what changed."""

    kind: str
    revision: Revision
    is_snapshot: bool
    changes: tuple[ObjectChange, ...]


class KindState:
    """The current objects of a kind, for this host's own use and for other hosts.

    Parameters
    ----------
    kind : str
        The kind of the objects.
    apply_all : callable
        Applies a snapshot; objects that are not in it no longer exist.
    apply_change : callable
        Applies one change.
    strip : callable, optional
        Strips an object of what other hosts do not need.
    """

    def __init__(
        self,
        kind: str,
        apply_all: ApplyAll,
        apply_change: ApplyChange,
        strip: StripObject = lambda stored: stored,
    ) -> None:
        self.kind = kind
        self.revision: Revision = 0
        self._apply_all = apply_all
        self._apply_change = apply_change
        self._strip = strip
        self._objects_by_name: dict[str, PlatformObject] = {}
        self._observers: list[Callable[[KindUpdate], None]] = []

    def replace_all(
        self, objects: tuple[PlatformObject, ...], revision: Revision
    ) -> None:
        """Replace all objects by those of a revision; an older one is ignored."""
        if revision < self.revision:
            return
        self.revision = revision
        self._objects_by_name = {stored.name: self._strip(stored) for stored in objects}
        self._apply_all(objects)
        self._notify(self.snapshot())

    def apply_changes(
        self, changes: tuple[ObjectChange, ...], revision: Revision
    ) -> None:
        """Apply the changes up to a revision; an older one is ignored."""
        if revision < self.revision:
            return
        self.revision = revision
        if not changes:
            return
        stripped = tuple(
            change._replace(object=self._strip(change.object)) for change in changes
        )
        for change in stripped:
            if change.is_removed:
                self._objects_by_name.pop(change.object.name, None)
            else:
                self._objects_by_name[change.object.name] = change.object
        for change in changes:
            self._apply_change(change)
        self._notify(KindUpdate(self.kind, revision, False, stripped))

    def snapshot(self) -> KindUpdate:
        """Return all objects as one update."""
        objects = self._objects_by_name.values()
        changes = tuple(ObjectChange(stored, False) for stored in objects)
        return KindUpdate(self.kind, self.revision, True, changes)

    def subscribe(self, observer: Callable[[KindUpdate], None]) -> None:
        """Call ``observer`` with each update."""
        self._observers.append(observer)

    def _notify(self, update: KindUpdate) -> None:
        for observer in self._observers:
            observer(update)
