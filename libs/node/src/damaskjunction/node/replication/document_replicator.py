"""Replicates configuration, plan and host list from the platform and from peers.

A host learns of a higher revision by gossip and fetches it from a peer that has it;
``PlatformWatch`` reads the platform.
"""

from __future__ import annotations

import asyncio
import logging
import random
import zlib
from typing import Any

from damaskjunction.core import HostId, RequestError, Revision, Subscription, Timers
from damaskjunction.core.units import MIB
from damaskjunction.membership import (
    Delta,
    DocumentDelta,
    DocumentKey,
    DocumentRevision,
    Fetch,
    HeldDocument,
)
from damaskjunction.node.membership.membership import CONTROL_LANE, Membership
from damaskjunction.node.replication.platform_watch import PlatformWatch
from damaskjunction.node.replication.replicated_documents import (
    CONFIGURATION_KEY,
    ReplicatedDocuments,
)
from damaskjunction.node.state import HostView
from damaskjunction.node.tasks import TaskSet
from damaskjunction.platform import ObjectStore
from damaskjunction.telemetry import Metrics
from damaskjunction.wire import DocumentQuery, DocumentText, PeerLinks

logger = logging.getLogger(__name__)

ROLE_INTERVAL_S = 0.5
FETCH_START_DELAY_S = 1.0
FETCH_TIMEOUT_S = 3.0
MAX_BODY_BYTES = 2 * MIB
COMPRESSION_LEVEL = 1


class DocumentReplicator:
    """Keeps the documents in the host's view up to date.

    Parameters
    ----------
    view : HostView
        Updated with each newer document.
    store : ObjectStore
        The platform's object store.
    links : PeerLinks
        Links to other hosts.
    membership : Membership
        Announces documents, and decides whether this host is a watcher.
    timers : Timers
        Timer service of this process.
    metrics : Metrics
        Counts fetches and their bytes.
    rng : random.Random
        Random number generator, for jitter.
    """

    def __init__(
        self,
        view: HostView,
        store: ObjectStore,
        links: PeerLinks,
        membership: Membership,
        *,
        timers: Timers,
        metrics: Metrics,
        rng: random.Random,
    ) -> None:
        self._links = links
        self._membership = membership
        self._timers = timers
        self._metrics = metrics
        self._documents = ReplicatedDocuments(view, membership, timers)
        self._replicas = self._documents.replicas
        self._watch = PlatformWatch(view, store, self._documents, membership, rng)
        self._tasks = TaskSet()
        self._role_timer: Subscription | None = None
        self._started_at_s = 0.0
        self._is_fetching_enabled = False
        membership.subscribe_documents(self._record_announcement)
        metrics.gauge(
            "configuration_unconfirmed_seconds", self._documents.unconfirmed_s
        )
        metrics.gauge("platform_watcher", lambda: float(self._watch.is_watching))

    async def start(self) -> None:
        """Start replication."""
        self._started_at_s = self._timers.now()
        self._documents.confirm()
        self._role_timer = self._timers.every(ROLE_INTERVAL_S, self._update_role)
        await self._watch.start()

    async def close(self) -> None:
        """Stop replication."""
        if self._role_timer is not None:
            self._role_timer.cancel()
        await self._watch.close()
        await self._tasks.close()
        await self._documents.close()

    def handle_query(self, query: DocumentQuery) -> DocumentText:
        """Return the delta from a peer's revision of a document to the one held here.

        Revision 0 in the response means that this host has nothing newer.
        """
        key = DocumentKey(query.kind, query.name)
        document_delta = self._replicas.delta_since(key, query.base_revision)
        if document_delta is None:
            return DocumentText(*key, 0, 0, 0, 0, b"")
        middle = zlib.compress(document_delta.delta.middle, COMPRESSION_LEVEL)
        self._metrics.count("document_bytes", len(middle), direction="out")
        unchanged_lengths = document_delta.delta.n_prefix, document_delta.delta.n_suffix
        return DocumentText(
            *key,
            document_delta.revision,
            document_delta.base_revision,
            *unchanged_lengths,
            middle,
        )

    def to_document(self) -> dict[str, Any]:
        """Return the state as a JSON document for the dump."""
        held = self._replicas.revisions()
        return {
            "held": {f"{kind}/{name}": revision for kind, name, revision in held},
            "is_watching": self._watch.is_watching,
            "unconfirmed_s": self._documents.unconfirmed_s(),
        }

    def put_configuration(self, text: bytes, revision: Revision) -> None:
        """Record a configuration that was stored on the platform through this host."""
        self._documents.put(CONFIGURATION_KEY, HeldDocument(revision, text))

    def _record_announcement(
        self, host_id: HostId, documents: tuple[DocumentRevision, ...]
    ) -> None:
        self._record_confirmation(documents)
        fetches = self._replicas.record_announcement(
            host_id, documents, fetch_now=self._is_fetching_enabled
        )
        self._fetch_all(fetches)

    def _record_confirmation(self, documents: tuple[DocumentRevision, ...]) -> None:
        held = self._replicas.held(CONFIGURATION_KEY).revision
        if any(
            (kind, name) == CONFIGURATION_KEY and revision >= held
            for kind, name, revision in documents
        ):
            self._documents.confirm()

    def _fetch_all(self, fetches: list[Fetch]) -> None:
        for fetch in fetches:
            self._tasks.begin(self._fetch(fetch))

    async def _fetch(self, fetch: Fetch) -> None:
        try:
            async with asyncio.timeout(FETCH_TIMEOUT_S):
                await self._fetch_from_peer(fetch)
        except (RequestError, TimeoutError, ValueError, zlib.error) as error:
            self._metrics.count("document_fetches", result="failed")
            extra = {"kind": fetch.key.kind, "peer": fetch.holder, "error": repr(error)}
            logger.warning("document fetch failed", extra=extra)
        finally:
            self._fetch_all(self._replicas.end_fetch(fetch.key, fetch.holder))

    async def _fetch_from_peer(self, fetch: Fetch) -> None:
        host = self._membership.find_host(fetch.holder)
        if host is None:
            return
        query = DocumentQuery(*fetch.key, fetch.base_revision)
        response = await self._links.ask(host.peer, CONTROL_LANE, query)
        assert isinstance(response, DocumentText)
        if not response.revision:
            return
        self._metrics.count("document_fetches", result="fetched")
        self._metrics.count("document_bytes", len(response.middle), direction="in")
        document_delta = _delta_from_response(response)
        if self._replicas.put_delta(fetch.key, document_delta):
            self._documents.publish(fetch.key)

    def _update_role(self) -> None:
        """Start or stop watching the platform; enable fetches soon after the start."""
        age_s = self._timers.now() - self._started_at_s
        if not self._is_fetching_enabled and age_s > FETCH_START_DELAY_S:
            self._enable_fetching()
        self._watch.update_role(age_s)

    def _enable_fetching(self) -> None:
        """Fetch what peers have announced so far, and from now on each announcement.

        The delay lets this host collect several announcements first, so that it does
        not fetch an outdated revision from the first peer.
        """
        self._is_fetching_enabled = True
        self._fetch_all(self._replicas.start_pending_fetches())


def _delta_from_response(response: DocumentText) -> DocumentDelta:
    """Decompress the delta in a response.

    Raises
    ------
    ValueError
        When the delta is larger than the maximum size of a document.
    """
    decompressor = zlib.decompressobj()
    middle = decompressor.decompress(response.middle, MAX_BODY_BYTES)
    if decompressor.unconsumed_tail:
        raise ValueError(f"the delta decompresses to more than {MAX_BODY_BYTES} bytes")
    delta = Delta(response.n_prefix, response.n_suffix, middle)
    return DocumentDelta(response.revision, response.base_revision, delta)
