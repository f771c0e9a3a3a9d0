"""The objects of one kind as last read from the platform's store."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple, TypeAlias

from damaskjunction.core import Revision
from damaskjunction.platform import ObjectChange, PlatformObject

TakeAll: TypeAlias = Callable[[tuple[PlatformObject, ...]], None]
TakeChange: TypeAlias = Callable[[ObjectChange], None]
Shorten: TypeAlias = Callable[[PlatformObject], PlatformObject]


class HeardNews(NamedTuple):
    """An update of a kind: a snapshot when ``is_whole``, else only what changed."""

    kind: str
    revision: Revision
    is_whole: bool
    changes: tuple[ObjectChange, ...]


class KindState:
    """The current objects of a kind, for the part that uses them and for other hosts.

    Parameters
    ----------
    kind : str
        The kind of the objects.
    take_all : callable
        Applies a snapshot; objects that are not in it no longer exist.
    take_change : callable
        Applies one change.
    shorten : callable, optional
        Strips an object of what other hosts do not need.
    """

    def __init__(
        self,
        kind: str,
        take_all: TakeAll,
        take_change: TakeChange,
        shorten: Shorten = lambda stored: stored,
    ) -> None:
        self.kind = kind
        self.revision: Revision = 0
        self.failed_at_s: float | None = None
        self._take_all = take_all
        self._take_change = take_change
        self._shorten = shorten
        self._objects_by_name: dict[str, PlatformObject] = {}
        self._observers: list[Callable[[HeardNews], None]] = []

    def note_failure(self, at_s: float) -> None:
        """Record when a call to the store failed."""
        self.failed_at_s = at_s

    def take_whole(
        self, objects: tuple[PlatformObject, ...], revision: Revision
    ) -> None:
        """Replace all objects by those of a revision; an older one is ignored."""
        if revision < self.revision:
            return
        self.revision = revision
        self._objects_by_name = {
            stored.name: self._shorten(stored) for stored in objects
        }
        self._take_all(objects)
        self._tell(self.whole())

    def take_changes(
        self, changes: tuple[ObjectChange, ...], revision: Revision
    ) -> None:
        """Apply the changes up to a revision; an older one is ignored."""
        if revision < self.revision:
            return
        self.revision = revision
        if not changes:
            return
        shortened = tuple(
            change._replace(object=self._shorten(change.object)) for change in changes
        )
        for change in shortened:
            if change.is_removed:
                self._objects_by_name.pop(change.object.name, None)
            else:
                self._objects_by_name[change.object.name] = change.object
        for change in changes:
            self._take_change(change)
        self._tell(HeardNews(self.kind, revision, False, shortened))

    def whole(self) -> HeardNews:
        """Return all objects as one update."""
        objects = self._objects_by_name.values()
        changes = tuple(ObjectChange(stored, False) for stored in objects)
        return HeardNews(self.kind, self.revision, True, changes)

    def subscribe(self, observer: Callable[[HeardNews], None]) -> None:
        """Call ``observer`` with each update."""
        self._observers.append(observer)

    def _tell(self, news: HeardNews) -> None:
        for observer in self._observers:
            observer(news)
