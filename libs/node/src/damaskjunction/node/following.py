"""Replicates configuration, plan and host list from the platform and from peers.

The watchers of a data centre watch the platform. The other hosts learn of a higher
revision by gossip and fetch it from a peer that has it. A host that is isolated, or
that has no configuration after a timeout, watches the platform itself.
"""

from __future__ import annotations

import asyncio
import json
import logging
import random
import zlib
from collections.abc import Callable, Coroutine
from typing import Any

from damaskjunction.core import (
    FindingsError,
    HostId,
    PlatformError,
    RequestError,
    Revision,
    Runner,
    Subscription,
    Timers,
    stable_hash,
)
from damaskjunction.core.units import MIB
from damaskjunction.membership import (
    Delta,
    DocumentDelta,
    DocumentKey,
    DocumentReplicas,
    DocumentRevision,
    Fetch,
    HeldDocument,
)
from damaskjunction.node.documents import (
    CONFIGURATION_KIND,
    CONFIGURATION_NAME,
    HOSTS_KIND,
    HOSTS_NAME,
    PLAN_KIND,
)
from damaskjunction.node.membership import CONTROL_LANE, Membership
from damaskjunction.node.slices import run_in_slices
from damaskjunction.node.state import HostView
from damaskjunction.node.tasks import cancel_tasks
from damaskjunction.placement import plan_from_document
from damaskjunction.platform import (
    ObjectStore,
    StoredObject,
    decode_host_list,
    encode_host_list,
)
from damaskjunction.settings import read_configuration_in_slices
from damaskjunction.telemetry import Metrics
from damaskjunction.wire import DocumentQuery, DocumentText, PeerLinks

logger = logging.getLogger(__name__)

HOST_LIST_INTERVAL_S = 1.0
WATCH_ROLE_INTERVAL_S = 0.5
WATCH_TIMEOUT_S = 10.0
RETRY_S = 0.5
MAX_RETRY_S = 2.0
START_JITTER_S = 0.3
FETCH_START_DELAY_S = 1.0
PEER_WAIT_S = 3.0
PLATFORM_CHECK_PERIOD_S = 90.0
FETCH_TIMEOUT_S = 3.0
MAX_BODY_BYTES = 2 * MIB
COMPRESSION_LEVEL = 1

CONFIGURATION_KEY = DocumentKey(CONFIGURATION_KIND, CONFIGURATION_NAME)
HOSTS_KEY = DocumentKey(HOSTS_KIND, HOSTS_NAME)


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
        self._view = view
        self._store = store
        self._links = links
        self._membership = membership
        self._timers = timers
        self._metrics = metrics
        self._rng = rng
        self._plan_key = DocumentKey(PLAN_KIND, view.own.region)
        keys = (CONFIGURATION_KEY, self._plan_key, HOSTS_KEY)
        self._replicas = DocumentReplicas(keys)
        self._handlers_by_kind: dict[str, Callable[[HeldDocument], None]] = {
            CONFIGURATION_KIND: self._apply_configuration,
            PLAN_KIND: self._apply_plan,
            HOSTS_KIND: self._apply_host_list,
        }
        self._watch_revisions_by_kind: dict[str, Revision] = {}
        self._watch_tasks: list[asyncio.Task[None]] = []
        self._tasks: set[asyncio.Task[None]] = set()
        self._role_timer: Subscription | None = None
        self._started_at_s = 0.0
        self._confirmed_at_s = 0.0
        self._is_fetching_enabled = False
        membership.subscribe_documents(self._record_announcement)
        metrics.gauge("configuration_unconfirmed_seconds", self._unconfirmed_s)
        metrics.gauge("platform_watcher", lambda: float(bool(self._watch_tasks)))

    async def start(self) -> None:
        """Start replication."""
        self._started_at_s = self._timers.now()
        self._confirmed_at_s = self._started_at_s
        self._role_timer = self._timers.every(
            WATCH_ROLE_INTERVAL_S, self._update_watch_role
        )
        self._spawn(self._fetch_initial_host_list())
        self._spawn(self._check_periodically())

    async def close(self) -> None:
        """Stop replication."""
        if self._role_timer is not None:
            self._role_timer.cancel()
        await cancel_tasks([*self._watch_tasks, *self._tasks])

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
            "is_watching": bool(self._watch_tasks),
            "unconfirmed_s": self._unconfirmed_s(),
        }

    def put_configuration(self, text: bytes, revision: Revision) -> None:
        """Record a configuration that was stored on the platform through this host."""
        if self._replicas.put(CONFIGURATION_KEY, HeldDocument(revision, text)):
            self._publish(CONFIGURATION_KEY)

    # Documents from peers

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
            self._confirmed_at_s = self._timers.now()

    def _fetch_all(self, fetches: list[Fetch]) -> None:
        for fetch in fetches:
            self._spawn(self._fetch(fetch))

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
            self._publish(fetch.key)

    def _publish(self, key: DocumentKey) -> None:
        """Announce a newer document to peers, then apply it here."""
        self._membership.announce(self._replicas.revisions())
        asyncio.get_running_loop().call_soon(
            self._handlers_by_kind[key.kind], self._replicas.held(key)
        )

    # Documents from the platform

    async def _fetch_initial_host_list(self) -> None:
        """Fetch the host list from the platform, with retries, until one is held.

        A list that comes from a peer meanwhile ends the retries.
        """
        await asyncio.sleep(self._rng.uniform(0.0, START_JITTER_S))
        delay_s = RETRY_S
        while not self._replicas.held(HOSTS_KEY).revision:
            try:
                await self._refresh_host_list()
                break
            except PlatformError as error:
                logger.warning(
                    "initial host list fetch failed", extra={"error": str(error)}
                )
            await asyncio.sleep(delay_s * self._rng.uniform(0.5, 1.5))
            delay_s = min(MAX_RETRY_S, 2 * delay_s)

    async def _check_periodically(self) -> None:
        """Poll the platform at long intervals, in case the watchers cannot reach it."""
        while True:
            await asyncio.sleep(PLATFORM_CHECK_PERIOD_S * self._rng.uniform(0.5, 1.5))
            if not self._watch_tasks:
                try:
                    await self._watch_once(CONFIGURATION_KIND, timeout_s=0.0)
                except PlatformError as error:
                    logger.warning(
                        "configuration check failed", extra={"error": str(error)}
                    )

    def _update_watch_role(self) -> None:
        """Start or stop watching the platform; enable fetches soon after the start."""
        age_s = self._timers.now() - self._started_at_s
        if not self._is_fetching_enabled and age_s > FETCH_START_DELAY_S:
            self._enable_fetching()
        is_watching = bool(self._watch_tasks)
        should_watch = self._should_watch(age_s)
        if should_watch and not is_watching:
            watch_loops = (
                self._watch_kind(CONFIGURATION_KIND),
                self._watch_kind(PLAN_KIND),
                self._poll_host_list(),
            )
            self._watch_tasks = [
                asyncio.ensure_future(watch_loop) for watch_loop in watch_loops
            ]
        elif is_watching and not should_watch:
            for task in self._watch_tasks:
                task.cancel()
            self._watch_tasks = []

    def _enable_fetching(self) -> None:
        """Fetch what peers have announced since the start, and announcements from now.

        The delay lets this host collect several announcements first, so that it does
        not fetch an outdated revision from the first peer.
        """
        self._is_fetching_enabled = True
        self._fetch_all(self._replicas.start_pending_fetches())

    def _should_watch(self, age_s: float) -> bool:
        if self._membership.is_isolated() and age_s > PEER_WAIT_S:
            return True
        if not self._view.is_ready and age_s > self._peer_wait_s():
            return True
        has_hosts = self._replicas.held(HOSTS_KEY).revision > 0
        return has_hosts and self._membership.is_watcher()

    def _peer_wait_s(self) -> float:
        """Return how long this host waits for peers, in seconds.

        It differs from host to host, so that they do not all query the platform at
        the same time.
        """
        fraction = stable_hash("patience", self._view.own.host_id) % 1000 / 1000
        return PEER_WAIT_S * (1.0 + fraction)

    async def _watch_kind(self, kind: str) -> None:
        delay_s = RETRY_S
        while True:
            try:
                await self._watch_once(kind, timeout_s=WATCH_TIMEOUT_S)
                delay_s = RETRY_S
            except PlatformError as error:
                logger.warning("watch failed", extra={"error": str(error)})
                await asyncio.sleep(delay_s * self._rng.uniform(0.5, 1.5))
                delay_s = min(MAX_RETRY_S, 2 * delay_s)

    async def _watch_once(self, kind: str, *, timeout_s: float) -> None:
        after = self._watch_revisions_by_kind.get(kind, 0)
        result = await self._store.watch(
            kind, after_revision=after, timeout_s=timeout_s
        )
        self._watch_revisions_by_kind[kind] = result.revision
        if kind == CONFIGURATION_KIND:
            self._confirmed_at_s = self._timers.now()
        for stored in result.objects:
            self._record_stored(stored)

    async def _poll_host_list(self) -> None:
        while True:
            try:
                await self._refresh_host_list()
            except PlatformError as error:
                logger.warning("host list refresh failed", extra={"error": str(error)})
            await asyncio.sleep(HOST_LIST_INTERVAL_S * self._rng.uniform(0.8, 1.2))

    async def _refresh_host_list(self) -> None:
        held = self._replicas.held(HOSTS_KEY).revision
        hosts = await self._store.hosts(after_revision=held)
        if hosts is None:
            return
        # The revision is left out: it comes first in the text, so that each delta
        # would begin there and span nearly the whole document.
        body = encode_host_list(hosts._replace(revision=0))
        document = HeldDocument(hosts.revision, body)
        if self._replicas.put(HOSTS_KEY, document):
            self._publish(HOSTS_KEY)

    def _record_stored(self, stored: StoredObject) -> None:
        key = DocumentKey(stored.kind, stored.name)
        if self._replicas.put(key, HeldDocument(stored.version, stored.value)):
            self._publish(key)

    # Applying documents to the view

    def _apply_configuration(self, document: HeldDocument) -> None:
        if document.revision > self._view.configuration.revision:
            self._spawn(self._load_configuration(document))

    async def _load_configuration(self, document: HeldDocument) -> None:
        """Parse and apply a configuration, yielding to the loop between slices."""
        try:
            slices = read_configuration_in_slices(
                document.body.decode(), CONFIGURATION_NAME, document.revision
            )
            configuration = await run_in_slices(slices)
        except (FindingsError, UnicodeDecodeError) as error:
            logger.error("stored configuration is invalid", extra={"error": str(error)})
            return
        if self._view.apply_configuration(configuration):
            extra = {"revision": configuration.revision}
            logger.info("configuration in force", extra=extra)

    def _apply_plan(self, document: HeldDocument) -> None:
        plan = plan_from_document(json.loads(document.body), document.revision)
        self._view.apply_plan(plan)

    def _apply_host_list(self, document: HeldDocument) -> None:
        hosts = decode_host_list(document.body)
        runners: tuple[Runner, ...] = hosts.runners
        self._view.apply_runners(runners)
        self._membership.apply_host_list(hosts.hosts)
        self._view.record_listed_state(hosts.hosts)

    def _unconfirmed_s(self) -> float:
        """Return the seconds since the configuration was last confirmed as current.

        The platform or a peer with the same or a higher revision confirms it.
        """
        return self._timers.now() - self._confirmed_at_s

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


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
