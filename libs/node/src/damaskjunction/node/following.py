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
from damaskjunction.node.tasks import end_tasks
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

HOSTS_INTERVAL_S = 1.0
ROLE_INTERVAL_S = 0.5
WATCH_S = 10.0
RETRY_S = 0.5
MAX_RETRY_S = 2.0
START_JITTER_S = 0.3
SETTLE_S = 1.0
PEER_PATIENCE_S = 3.0
CHECK_PERIOD_S = 90.0
FETCH_TIMEOUT_S = 3.0
MAX_BODY_BYTES = 2 * MIB
COMPRESSION_LEVEL = 1

CONFIGURATION_KEY = DocumentKey(CONFIGURATION_KIND, CONFIGURATION_NAME)
HOSTS_KEY = DocumentKey(HOSTS_KIND, HOSTS_NAME)


class Follower:
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
    chance : random.Random
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
        chance: random.Random,
    ) -> None:
        self._view = view
        self._store = store
        self._links = links
        self._membership = membership
        self._timers = timers
        self._metrics = metrics
        self._chance = chance
        self._plan_key = DocumentKey(PLAN_KIND, view.own.region)
        keys = (CONFIGURATION_KEY, self._plan_key, HOSTS_KEY)
        self._shelf = DocumentReplicas(keys)
        self._takers_by_kind: dict[str, Callable[[HeldDocument], None]] = {
            CONFIGURATION_KIND: self._take_configuration,
            PLAN_KIND: self._take_plan,
            HOSTS_KIND: self._take_hosts,
        }
        self._watched_by_kind: dict[str, Revision] = {}
        self._roles: list[asyncio.Task[None]] = []
        self._tasks: set[asyncio.Task[None]] = set()
        self._check: Subscription | None = None
        self._started_at_s = 0.0
        self._confirmed_at_s = 0.0
        self._is_settled = False
        membership.subscribe_documents(self._hear)
        metrics.gauge("configuration_unconfirmed_seconds", self._unconfirmed_s)
        metrics.gauge("platform_watcher", lambda: float(bool(self._roles)))

    async def start(self) -> None:
        """Start replication."""
        self._started_at_s = self._timers.now()
        self._confirmed_at_s = self._started_at_s
        self._check = self._timers.every(ROLE_INTERVAL_S, self._check_role)
        self._spawn(self._first_hosts())
        self._spawn(self._check_now_and_then())

    async def close(self) -> None:
        """Stop replication."""
        if self._check is not None:
            self._check.cancel()
        await end_tasks([*self._roles, *self._tasks])

    def answer(self, query: DocumentQuery) -> DocumentText:
        """Return the delta from a peer's revision of a document to the one held here.

        Revision 0 in the response means that this host has nothing newer.
        """
        key = DocumentKey(query.kind, query.name)
        part = self._shelf.delta_since(key, query.base_revision)
        if part is None:
            return DocumentText(*key, 0, 0, 0, 0, b"")
        middle = zlib.compress(part.delta.middle, COMPRESSION_LEVEL)
        self._metrics.count("document_bytes", len(middle), direction="out")
        ends = part.delta.n_prefix, part.delta.n_suffix
        return DocumentText(*key, part.revision, part.base_revision, *ends, middle)

    def to_document(self) -> dict[str, Any]:
        """Return the state as a JSON document for the dump."""
        held = self._shelf.revisions()
        return {
            "held": {f"{kind}/{name}": revision for kind, name, revision in held},
            "is_watching": bool(self._roles),
            "unconfirmed_s": self._unconfirmed_s(),
        }

    def accept(self, text: bytes, revision: Revision) -> None:
        """Record a configuration that was stored on the platform through this host."""
        if self._shelf.put(CONFIGURATION_KEY, HeldDocument(revision, text)):
            self._spread(CONFIGURATION_KEY)

    # Documents from peers

    def _hear(self, host_id: HostId, documents: tuple[DocumentRevision, ...]) -> None:
        self._note_confirmed(documents)
        fetches = self._shelf.record_announcement(
            host_id, documents, fetch_now=self._is_settled
        )
        self._fetch_all(fetches)

    def _note_confirmed(self, documents: tuple[DocumentRevision, ...]) -> None:
        held = self._shelf.held(CONFIGURATION_KEY).revision
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
            self._fetch_all(self._shelf.end_fetch(fetch.key, fetch.holder))

    async def _fetch_from_peer(self, fetch: Fetch) -> None:
        host = self._membership.host_named(fetch.holder)
        if host is None:
            return
        query = DocumentQuery(*fetch.key, fetch.base_revision)
        answer = await self._links.ask(host.peer, CONTROL_LANE, query)
        assert isinstance(answer, DocumentText)
        if not answer.revision:
            return
        self._metrics.count("document_fetches", result="fetched")
        self._metrics.count("document_bytes", len(answer.middle), direction="in")
        part = _to_part(answer)
        if self._shelf.put_delta(fetch.key, part):
            self._spread(fetch.key)

    def _spread(self, key: DocumentKey) -> None:
        """Announce a newer document to peers, then apply it here."""
        self._membership.announce(self._shelf.revisions())
        asyncio.get_running_loop().call_soon(
            self._takers_by_kind[key.kind], self._shelf.held(key)
        )

    # Documents from the platform

    async def _first_hosts(self) -> None:
        """Fetch the host list from the platform, with retries, until one is held.

        A list that comes from a peer meanwhile ends the retries.
        """
        await asyncio.sleep(self._chance.uniform(0.0, START_JITTER_S))
        delay_s = RETRY_S
        while not self._shelf.held(HOSTS_KEY).revision:
            try:
                await self._refresh_hosts()
                break
            except PlatformError as error:
                logger.warning(
                    "initial host list fetch failed", extra={"error": str(error)}
                )
            await asyncio.sleep(delay_s * self._chance.uniform(0.5, 1.5))
            delay_s = min(MAX_RETRY_S, 2 * delay_s)

    async def _check_now_and_then(self) -> None:
        """Poll the platform at long intervals, in case the watchers cannot reach it."""
        while True:
            await asyncio.sleep(CHECK_PERIOD_S * self._chance.uniform(0.5, 1.5))
            if not self._roles:
                try:
                    await self._watch_once(CONFIGURATION_KIND, timeout_s=0.0)
                except PlatformError as error:
                    logger.warning(
                        "configuration check failed", extra={"error": str(error)}
                    )

    def _check_role(self) -> None:
        """Start or stop watching the platform; enable fetches soon after the start."""
        age_s = self._timers.now() - self._started_at_s
        if not self._is_settled and age_s > SETTLE_S:
            self._settle()
        is_watching = bool(self._roles)
        wants_to = self._wants_to_watch(age_s)
        if wants_to and not is_watching:
            loops = (
                self._follow(CONFIGURATION_KIND),
                self._follow(PLAN_KIND),
                self._follow_hosts(),
            )
            self._roles = [asyncio.ensure_future(loop) for loop in loops]
        elif is_watching and not wants_to:
            for task in self._roles:
                task.cancel()
            self._roles = []

    def _settle(self) -> None:
        self._is_settled = True
        self._fetch_all(self._shelf.start_pending_fetches())

    def _wants_to_watch(self, age_s: float) -> bool:
        if self._membership.is_isolated() and age_s > PEER_PATIENCE_S:
            return True
        if not self._view.is_ready and age_s > self._patience_s():
            return True
        has_hosts = self._shelf.held(HOSTS_KEY).revision > 0
        return has_hosts and self._membership.is_watcher()

    def _patience_s(self) -> float:
        """Return how long this host waits for peers, in seconds.

        It differs from host to host, so that they do not all query the platform at
        the same time.
        """
        share = stable_hash("patience", self._view.own.host_id) % 1000 / 1000
        return PEER_PATIENCE_S * (1.0 + share)

    async def _follow(self, kind: str) -> None:
        delay_s = RETRY_S
        while True:
            try:
                await self._watch_once(kind, timeout_s=WATCH_S)
                delay_s = RETRY_S
            except PlatformError as error:
                logger.warning("watch failed", extra={"error": str(error)})
                await asyncio.sleep(delay_s * self._chance.uniform(0.5, 1.5))
                delay_s = min(MAX_RETRY_S, 2 * delay_s)

    async def _watch_once(self, kind: str, *, timeout_s: float) -> None:
        after = self._watched_by_kind.get(kind, 0)
        result = await self._store.watch(
            kind, after_revision=after, timeout_s=timeout_s
        )
        self._watched_by_kind[kind] = result.revision
        if kind == CONFIGURATION_KIND:
            self._confirmed_at_s = self._timers.now()
        for stored in result.objects:
            self._take_stored(stored)

    async def _follow_hosts(self) -> None:
        while True:
            try:
                await self._refresh_hosts()
            except PlatformError as error:
                logger.warning("host list refresh failed", extra={"error": str(error)})
            await asyncio.sleep(HOSTS_INTERVAL_S * self._chance.uniform(0.8, 1.2))

    async def _refresh_hosts(self) -> None:
        held = self._shelf.held(HOSTS_KEY).revision
        hosts = await self._store.hosts(after_revision=held)
        if hosts is None:
            return
        # The revision is left out: it comes first in the text, so that each delta
        # would begin there and span nearly the whole document.
        body = encode_host_list(hosts._replace(revision=0))
        document = HeldDocument(hosts.revision, body)
        if self._shelf.put(HOSTS_KEY, document):
            self._spread(HOSTS_KEY)

    def _take_stored(self, stored: StoredObject) -> None:
        key = DocumentKey(stored.kind, stored.name)
        if self._shelf.put(key, HeldDocument(stored.version, stored.value)):
            self._spread(key)

    # Applying documents to the view

    def _take_configuration(self, document: HeldDocument) -> None:
        if document.revision > self._view.configuration.revision:
            self._spawn(self._read_configuration(document))

    async def _read_configuration(self, document: HeldDocument) -> None:
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

    def _take_plan(self, document: HeldDocument) -> None:
        plan = plan_from_document(json.loads(document.body), document.revision)
        self._view.apply_plan(plan)

    def _take_hosts(self, document: HeldDocument) -> None:
        hosts = decode_host_list(document.body)
        runners: tuple[Runner, ...] = hosts.runners
        self._view.apply_runners(runners)
        self._membership.apply_host_list(hosts.hosts)
        self._view.note_listed(hosts.hosts)

    def _unconfirmed_s(self) -> float:
        """Return the seconds since the configuration was last confirmed as current.

        The platform or a peer with the same or a higher revision confirms it.
        """
        return self._timers.now() - self._confirmed_at_s

    def _spawn(self, step: Coroutine[Any, Any, None]) -> None:
        task = asyncio.ensure_future(step)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _to_part(answer: DocumentText) -> DocumentDelta:
    """Decompress the delta in a response.

    Raises
    ------
    ValueError
        When the delta is larger than the maximum size of a document.
    """
    reader = zlib.decompressobj()
    middle = reader.decompress(answer.middle, MAX_BODY_BYTES)
    if reader.unconsumed_tail:
        raise ValueError(f"the delta decompresses to more than {MAX_BODY_BYTES} bytes")
    delta = Delta(answer.n_prefix, answer.n_suffix, middle)
    return DocumentDelta(answer.revision, answer.base_revision, delta)
