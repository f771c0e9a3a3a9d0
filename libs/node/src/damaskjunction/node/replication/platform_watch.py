"""Reads documents from the platform: the host list once, the rest while watching.

The watchers of a data centre watch the platform; a host that is isolated, or that has
no configuration after a timeout, watches the platform itself.
"""

from __future__ import annotations

import asyncio
import logging
import random

from damaskjunction.core import PlatformError, Revision, stable_hash
from damaskjunction.membership import DocumentKey, HeldDocument
from damaskjunction.node.documents import CONFIGURATION_KIND, PLAN_KIND
from damaskjunction.node.membership.membership import Membership
from damaskjunction.node.replication.replicated_documents import (
    HOSTS_KEY,
    ReplicatedDocuments,
)
from damaskjunction.node.state import HostView
from damaskjunction.node.tasks import TaskSet, cancel_tasks
from damaskjunction.platform import ObjectStore, encode_host_list

logger = logging.getLogger(__name__)

HOST_LIST_INTERVAL_S = 1.0
WATCH_TIMEOUT_S = 10.0
RETRY_S = 0.5
MAX_RETRY_S = 2.0
START_JITTER_S = 0.3
PEER_WAIT_S = 3.0
PLATFORM_CHECK_PERIOD_S = 90.0


class PlatformWatch:
    """Records newer documents of the platform.

    Parameters
    ----------
    view : HostView
        Knows whether this host has its first configuration.
    store : ObjectStore
        The platform's object store.
    documents : ReplicatedDocuments
        Records the documents.
    membership : Membership
        Decides whether this host is a watcher.
    rng : random.Random
        Random number generator, for jitter.
    """

    def __init__(
        self,
        view: HostView,
        store: ObjectStore,
        documents: ReplicatedDocuments,
        membership: Membership,
        rng: random.Random,
    ) -> None:
        self._view = view
        self._store = store
        self._documents = documents
        self._membership = membership
        self._rng = rng
        self._watch_revisions_by_kind: dict[str, Revision] = {}
        self._watch_tasks: list[asyncio.Task[None]] = []
        self._tasks = TaskSet()

    @property
    def is_watching(self) -> bool:
        """Whether this host watches the platform."""
        return bool(self._watch_tasks)

    async def start(self) -> None:
        """Start to fetch the host list and to check the platform at intervals."""
        self._tasks.begin(self._fetch_initial_host_list())
        self._tasks.begin(self._check_periodically())

    async def close(self) -> None:
        """Stop all calls to the platform."""
        await cancel_tasks(self._watch_tasks)
        await self._tasks.close()

    def update_role(self, age_s: float) -> None:
        """Start or stop watching; ``age_s`` is the time since the start."""
        should_watch = self._should_watch(age_s)
        if should_watch and not self.is_watching:
            watch_loops = (
                self._watch_kind(CONFIGURATION_KIND),
                self._watch_kind(PLAN_KIND),
                self._poll_host_list(),
            )
            self._watch_tasks = [
                asyncio.ensure_future(watch_loop) for watch_loop in watch_loops
            ]
        elif self.is_watching and not should_watch:
            for task in self._watch_tasks:
                task.cancel()
            self._watch_tasks = []

    def _should_watch(self, age_s: float) -> bool:
        if self._membership.is_isolated() and age_s > PEER_WAIT_S:
            return True
        if not self._view.is_ready and age_s > self._peer_wait_s():
            return True
        has_hosts = self._documents.replicas.held(HOSTS_KEY).revision > 0
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
            self._documents.confirm()
        for stored in result.objects:
            key = DocumentKey(stored.kind, stored.name)
            self._documents.put(key, HeldDocument(stored.version, stored.value))

    async def _poll_host_list(self) -> None:
        while True:
            try:
                await self._refresh_host_list()
            except PlatformError as error:
                logger.warning("host list refresh failed", extra={"error": str(error)})
            await asyncio.sleep(HOST_LIST_INTERVAL_S * self._rng.uniform(0.8, 1.2))

    async def _refresh_host_list(self) -> None:
        held = self._documents.replicas.held(HOSTS_KEY).revision
        hosts = await self._store.hosts(after_revision=held)
        if hosts is None:
            return
        # The revision is left out: it comes first in the text, so that each delta
        # would begin there and span nearly the whole document.
        body = encode_host_list(hosts._replace(revision=0))
        self._documents.put(HOSTS_KEY, HeldDocument(hosts.revision, body))

    async def _fetch_initial_host_list(self) -> None:
        """Fetch the host list from the platform, with retries, until one is held.

        A list that comes from a peer meanwhile ends the retries.
        """
        await asyncio.sleep(self._rng.uniform(0.0, START_JITTER_S))
        delay_s = RETRY_S
        while not self._documents.replicas.held(HOSTS_KEY).revision:
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
            if not self.is_watching:
                try:
                    await self._watch_once(CONFIGURATION_KIND, timeout_s=0.0)
                except PlatformError as error:
                    logger.warning(
                        "configuration check failed", extra={"error": str(error)}
                    )
