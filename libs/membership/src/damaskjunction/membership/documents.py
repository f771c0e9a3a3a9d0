"""Documents of the control plane that a host holds, and from whom to fetch newer.

A document is known by kind and name and replaced only by one of a higher revision.
Peers tell which revisions they hold; what is newer is fetched from one that has it.
"""

from __future__ import annotations

from typing import NamedTuple

from damaskjunction.core import HostId, Revision
from damaskjunction.membership.deltas import Delta, apply_delta, make_delta
from damaskjunction.membership.types import DocumentRevision

MAX_HOLDERS = 4
N_OLD_REVISIONS = 4


class DocumentKey(NamedTuple):
    """Kind and name of a document."""

    kind: str
    name: str


class HeldDocument(NamedTuple):
    """A document as this host holds it; revision 0 is none."""

    revision: Revision = 0
    body: bytes = b""


class Fetch(NamedTuple):
    """Effect: ask a host for a document newer than ``base_revision``."""

    key: DocumentKey
    base_revision: Revision
    holder: HostId


class DocumentPart(NamedTuple):
    """A document as a change of another revision; base 0 is the empty text."""

    revision: Revision
    base_revision: Revision
    delta: Delta


class _Holders(NamedTuple):
    """Hosts that hold the highest revision heard of."""

    revision: Revision
    host_ids: tuple[HostId, ...]


class DocumentShelf:
    """The documents that a host follows.

    Parameters
    ----------
    keys : tuple of DocumentKey
        Which documents to follow; others are not taken.
    """

    def __init__(self, keys: tuple[DocumentKey, ...]) -> None:
        self._held_by_key = {key: [HeldDocument()] for key in keys}
        self._holders_by_key: dict[DocumentKey, _Holders] = {}
        self._fetching: set[DocumentKey] = set()

    def held(self, key: DocumentKey) -> HeldDocument:
        """Return the newest revision that is held."""
        return self._held_by_key[key][-1]

    def revisions(self) -> tuple[DocumentRevision, ...]:
        """Return which revisions are held."""
        held = ((key, self.held(key).revision) for key in self._held_by_key)
        return tuple(DocumentRevision(*key, revision) for key, revision in held)

    def put(self, key: DocumentKey, document: HeldDocument) -> bool:
        """Take a document; return whether it was newer than what was held."""
        held = self._held_by_key.get(key)
        if held is None or document.revision <= held[-1].revision:
            return False
        held.append(document)
        del held[:-N_OLD_REVISIONS]
        return True

    def hear(
        self,
        host_id: HostId,
        documents: tuple[DocumentRevision, ...],
        *,
        is_settled: bool = True,
    ) -> list[Fetch]:
        """Note what a host holds; return what to fetch.

        A host that has just started is not settled: it first hears several others,
        lest it takes an old revision from the first one.
        """
        fetches = []
        for kind, name, revision in documents:
            key = DocumentKey(kind, name)
            if key not in self._held_by_key or revision <= self.held(key).revision:
                continue
            known = self._holders_by_key.get(key, _Holders(0, ()))
            if revision > known.revision:
                known = _Holders(revision, ())
            if revision == known.revision and host_id not in known.host_ids:
                holders = (*known.host_ids, host_id)[-MAX_HOLDERS:]
                known = known._replace(host_ids=holders)
            self._holders_by_key[key] = known
            if is_settled:
                fetches += self._fetch(key)
        return fetches

    def settle(self) -> list[Fetch]:
        """Return what to fetch of all that was heard so far."""
        return [
            fetch
            for key, known in self._holders_by_key.items()
            if known.revision > self.held(key).revision
            for fetch in self._fetch(key)
        ]

    def end_fetch(self, key: DocumentKey, holder: HostId) -> list[Fetch]:
        """Note that a fetch has ended, well or not; return the next to make."""
        self._fetching.discard(key)
        known = self._holders_by_key.get(key)
        if known is None or known.revision <= self.held(key).revision:
            return []
        others = tuple(host_id for host_id in known.host_ids if host_id != holder)
        self._holders_by_key[key] = known._replace(host_ids=others)
        return self._fetch(key)

    def lacking(self) -> list[DocumentKey]:
        """Return the documents of which none is held."""
        return [key for key in self._held_by_key if not self.held(key).revision]

    def _fetch(self, key: DocumentKey) -> list[Fetch]:
        known = self._holders_by_key[key]
        if key in self._fetching or not known.host_ids:
            return []
        self._fetching.add(key)
        return [Fetch(key, self.held(key).revision, known.host_ids[0])]

    def part_since(
        self, key: DocumentKey, base_revision: Revision
    ) -> DocumentPart | None:
        """Return the newest document as a change of a revision that the asker holds.

        None when nothing newer is held.
        """
        held = self._held_by_key.get(key, [HeldDocument()])
        newest = held[-1]
        if newest.revision <= base_revision:
            return None
        bases = [old for old in held if old.revision == base_revision]
        base = bases[0] if bases else HeldDocument()
        return DocumentPart(
            newest.revision, base.revision, make_delta(base.body, newest.body)
        )

    def put_part(self, key: DocumentKey, part: DocumentPart) -> bool:
        """Take a document as a change; return whether it was newer.

        Raises
        ------
        ValueError
            When the base is not held or does not fit.
        """
        bases = [
            old
            for old in (HeldDocument(), *self._held_by_key.get(key, ()))
            if old.revision == part.base_revision
        ]
        if not bases:
            raise ValueError(f"revision {part.base_revision} of {key} is not held")
        body = apply_delta(bases[0].body, part.delta)
        return self.put(key, HeldDocument(part.revision, body))
