"""Local replicas of control-plane documents, and where to fetch newer revisions.

A document is identified by kind and name, and only a higher revision replaces it.
Peers announce the revisions they hold; a newer one is fetched from a peer that has it.
"""

from __future__ import annotations

from typing import NamedTuple

from damaskjunction.core import HostId, Revision
from damaskjunction.membership.deltas import Delta, apply_delta, make_delta
from damaskjunction.membership.types import DocumentRevision

MAX_HOLDERS = 4
N_KEPT_REVISIONS = 4  # of each document, as bases of deltas


class DocumentKey(NamedTuple):
    """Identifies a document by kind and name."""

    kind: str
    name: str


class HeldDocument(NamedTuple):
    """Revision and body of a local replica; revision 0 means that there is none."""

    revision: Revision = 0
    body: bytes = b""


class Fetch(NamedTuple):
    """Effect: request from a peer any document revision above ``base_revision``."""

    key: DocumentKey
    base_revision: Revision
    holder: HostId


class DocumentDelta(NamedTuple):
    """A document encoded as a delta; base revision 0 is the empty body."""

    revision: Revision
    base_revision: Revision
    delta: Delta


class _Holders(NamedTuple):
    """The highest revision announced, and the hosts that announced it."""

    revision: Revision
    host_ids: tuple[HostId, ...]


class DocumentReplicas:
    """The control-plane documents that a host replicates.

    Parameters
    ----------
    keys : tuple of DocumentKey
        Documents to replicate; others are ignored.
    """

    def __init__(self, keys: tuple[DocumentKey, ...]) -> None:
        self._revisions_by_key = {key: [HeldDocument()] for key in keys}
        self._holders_by_key: dict[DocumentKey, _Holders] = {}
        self._pending_fetches: set[DocumentKey] = set()

    def held(self, key: DocumentKey) -> HeldDocument:
        """Return the newest local revision of a document."""
        return self._revisions_by_key[key][-1]

    def revisions(self) -> tuple[DocumentRevision, ...]:
        """Return the newest local revision of each document, to be announced."""
        held = ((key, self.held(key).revision) for key in self._revisions_by_key)
        return tuple(DocumentRevision(*key, revision) for key, revision in held)

    def put(self, key: DocumentKey, document: HeldDocument) -> bool:
        """Store a document; return whether it replaced a lower revision."""
        held = self._revisions_by_key.get(key)
        if held is None or document.revision <= held[-1].revision:
            return False
        held.append(document)
        del held[:-N_KEPT_REVISIONS]
        return True

    def record_announcement(
        self,
        host_id: HostId,
        documents: tuple[DocumentRevision, ...],
        *,
        fetch_now: bool = True,
    ) -> list[Fetch]:
        """Record the revisions that a peer announced; return the fetches to start.

        While ``fetch_now`` is False nothing is fetched: a host that has just started
        first collects several announcements, so that it does not fetch an outdated
        revision from the first peer.
        """
        fetches = []
        for kind, name, revision in documents:
            key = DocumentKey(kind, name)
            if key not in self._revisions_by_key or revision <= self.held(key).revision:
                continue
            known = self._holders_by_key.get(key, _Holders(0, ()))
            if revision > known.revision:
                known = _Holders(revision, ())
            if revision == known.revision and host_id not in known.host_ids:
                holders = (*known.host_ids, host_id)[-MAX_HOLDERS:]
                known = known._replace(host_ids=holders)
            self._holders_by_key[key] = known
            if fetch_now:
                fetches += self._start_fetch(key)
        return fetches

    def start_pending_fetches(self) -> list[Fetch]:
        """Return the fetches for all newer revisions announced so far."""
        return [
            fetch
            for key, known in self._holders_by_key.items()
            if known.revision > self.held(key).revision
            for fetch in self._start_fetch(key)
        ]

    def end_fetch(self, key: DocumentKey, holder: HostId) -> list[Fetch]:
        """Record the end of a fetch, failed or not; return the next one to start.

        While a newer revision is still missing, that peer is removed from the holders
        and the next holder is asked.
        """
        self._pending_fetches.discard(key)
        known = self._holders_by_key.get(key)
        if known is None or known.revision <= self.held(key).revision:
            return []
        others = tuple(host_id for host_id in known.host_ids if host_id != holder)
        self._holders_by_key[key] = known._replace(host_ids=others)
        return self._start_fetch(key)

    def missing_documents(self) -> list[DocumentKey]:
        """Return the documents without any local revision."""
        return [key for key in self._revisions_by_key if not self.held(key).revision]

    def _start_fetch(self, key: DocumentKey) -> list[Fetch]:
        known = self._holders_by_key[key]
        if key in self._pending_fetches or not known.host_ids:
            return []
        self._pending_fetches.add(key)
        return [Fetch(key, self.held(key).revision, known.host_ids[0])]

    def delta_since(
        self, key: DocumentKey, base_revision: Revision
    ) -> DocumentDelta | None:
        """Return the newest revision as a delta to the one that the requester holds.

        The base is the empty body when ``base_revision`` is no longer kept. Returns
        None when there is no newer revision.
        """
        held = self._revisions_by_key.get(key, [HeldDocument()])
        newest = held[-1]
        if newest.revision <= base_revision:
            return None
        bases = [old for old in held if old.revision == base_revision]
        base = bases[0] if bases else HeldDocument()
        return DocumentDelta(
            newest.revision, base.revision, make_delta(base.body, newest.body)
        )

    def put_delta(self, key: DocumentKey, document_delta: DocumentDelta) -> bool:
        """Apply a delta and store the result; return whether it was newer.

        Raises
        ------
        ValueError
            When the base revision is not available locally or is too short.
        """
        bases = [
            old
            for old in (HeldDocument(), *self._revisions_by_key.get(key, ()))
            if old.revision == document_delta.base_revision
        ]
        if not bases:
            raise ValueError(
                f"base revision {document_delta.base_revision} of {key} is missing"
            )
        body = apply_delta(bases[0].body, document_delta.delta)
        return self.put(key, HeldDocument(document_delta.revision, body))
