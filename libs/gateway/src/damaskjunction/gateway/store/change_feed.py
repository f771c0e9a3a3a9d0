"""The source of a host's change feed: the platform's store, or another host.

One host of a data centre, the watcher, watches the store and forwards its changes to
the other hosts there. It probes the store continuously to prove that the store responds
to it. A host whose source falls silent switches to the next source, or watches the
store itself.
"""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Mapping, Sequence
from typing import Any

from damaskjunction.core import (
    EntryHost,
    HostId,
    PlatformError,
    RequestError,
    Subscription,
    Timers,
)
from damaskjunction.gateway.store.change_feed_server import (
    STORE_LOST,
    ChangeFeedServer,
    decode_changes,
)
from damaskjunction.gateway.store.kind_follower import KindFollower
from damaskjunction.gateway.store.kind_state import KindState
from damaskjunction.gateway.store.startup_snapshot import take_snapshots
from damaskjunction.gateway.store.store_availability import (
    PROBE_PERIOD_S,
    StoreAvailability,
)
from damaskjunction.gateway.store.store_contact import StoreContact
from damaskjunction.membership import choose_feed_sources
from damaskjunction.node import HostView, PeerHandlers, TaskSet, cancel_tasks, supervise
from damaskjunction.platform import StoreTransport
from damaskjunction.routing import EjectionPolicy, OutlierEjection
from damaskjunction.wire import KindNews, KindSeen, NewsAsk, PeerLinks

logger = logging.getLogger(__name__)

LANE = "news"
FIRST_MESSAGE_TIMEOUT_S = 1.0
SILENCE_TIMEOUT_S = 0.9
FALLBACK_FRACTION = 0.2  # of the time in which changes have to reach this host
MIN_STABLE_S = 5.0  # a failure after a longer read does not lengthen the ejection
REVIEW_PERIOD_S = 3.0
REFUSING_STATUSES = (429, 503)
RECOVERY_FACTOR = 2.0  # of the fallback delay, after the store was lost
# A source that stays cut off from the store is rarely asked: its readers leave another.
EJECTION_POLICY = EjectionPolicy(n_failures=1, base_s=2.0, limit_s=30.0)


class ChangeFeed:
    """Keeps the states of all kinds up to date from the chosen source.

    Parameters
    ----------
    followers : sequence of KindFollower
        Follow the store directly, one for each kind.
    view : HostView
        The known hosts.
    links : PeerLinks
        Links to other hosts.
    transport : StoreTransport
        Probes the store.
    timers : Timers
        The process's timer service.
    contact : StoreContact
        Is told of each sign that the store answers or fails.
    drain_s : float
        Seconds within which a change has to reach this host. When its source fails,
        this host watches the store itself after ``FALLBACK_FRACTION`` of them.
    rng : random.Random
        Source of the jitter of the backoff.
    """

    def __init__(
        self,
        followers: Sequence[KindFollower],
        view: HostView,
        links: PeerLinks,
        transport: StoreTransport,
        timers: Timers,
        *,
        contact: StoreContact,
        drain_s: float,
        rng: random.Random,
    ) -> None:
        self._followers = followers
        self._states_by_kind: Mapping[str, KindState] = {
            follower.state.kind: follower.state for follower in followers
        }
        self._view = view
        self._links = links
        self._transport = transport
        self._contact = contact
        self._timers = timers
        self._fallback_delay_s = FALLBACK_FRACTION * drain_s
        self._availability = StoreAvailability(
            RECOVERY_FACTOR * self._fallback_delay_s, rng
        )
        self._server = ChangeFeedServer(
            self._states_by_kind,
            contact,
            timers,
            is_store_live=self._is_store_live,
            is_store_lost=lambda: self._availability.is_lost,
            request_watch=self._request_watch,
            catch_up=self._catch_up,
        )
        self._ejection = OutlierEjection(EJECTION_POLICY, panic_share=1.0)
        self._fallback: Subscription | None = None
        self._source_id: HostId = ""
        self._former_source_id: HostId = ""
        self._is_watching = False
        self._is_following = False
        self._task: asyncio.Task[None] | None = None
        self._reading: asyncio.Task[None] | None = None
        self._probe: asyncio.Task[None] | None = None
        self._review_due = asyncio.Event()
        self._catching_up = TaskSet()
        self._subscriptions: list[Subscription] = []

    @property
    def has_lost_store(self) -> bool:
        """Whether no source delivers changes, neither the store nor another host."""
        return not self._source_id and not self._is_store_live()

    def register(self, handlers: PeerHandlers) -> None:
        """Register the handlers of the feed for other hosts."""
        self._server.register(handlers)

    async def start(self) -> None:
        """Read all objects once; choose a source after ``STARTUP_DELAY_S``.

        The other hosts are known by then. Hosts that started at once and all watched
        the store would wake each other with their own entries.
        """
        self._task = asyncio.ensure_future(supervise("change feed", self._run))
        self._subscriptions = [
            self._timers.every(PROBE_PERIOD_S, self._start_probe),
            self._timers.every(REVIEW_PERIOD_S, self._review),
        ]

    async def close(self) -> None:
        """Stop reading and watching."""
        for subscription in self._subscriptions:
            subscription.cancel()
        self._cancel_fallback()
        tasks = (self._task, self._reading, self._probe)
        await cancel_tasks(task for task in tasks if task is not None)
        await self._catching_up.close()
        await self._stop_watching()

    def to_document(self) -> dict[str, Any]:
        """Return the state for the dump."""
        return {
            "source": self._source_id,
            "is_watching": self._is_watching,
            "n_readers": self._server.n_readers,
            "revisions": {
                kind: state.revision for kind, state in self._states_by_kind.items()
            },
        }

    async def _run(self) -> None:
        await take_snapshots(self._followers)
        while True:
            source = self._choose_source()
            is_needed = self._server.n_readers and not self._is_recovering
            if source is None or is_needed:
                self._watch()
                await self._wait_for_review()
                continue
            self._reading = asyncio.ensure_future(self._read(source))
            await asyncio.wait([self._reading])
            self._reading = None

    async def _wait_for_review(self) -> None:
        """Wait for ``REVIEW_PERIOD_S``, or until the store fails."""
        self._review_due.clear()
        try:
            async with asyncio.timeout(REVIEW_PERIOD_S):
                await self._review_due.wait()
        except TimeoutError:
            return

    def _sources(self) -> list[EntryHost]:
        view = self._view
        return choose_feed_sources(view.own, view.serving_hosts(), view.power_by_host)

    def _choose_source(self) -> EntryHost | None:
        """Return the host to read the feed from, None when this host has to watch."""
        now_s = self._timers.now()
        own_id = self._view.own.host_id
        for host in self._sources():
            if not self._ejection.is_ejected(host.host_id, now_s):
                return None if host.host_id == own_id else host
        return None

    # Watching the store: probe it, and follow it while probes succeed

    def _watch(self) -> None:
        """Follow the store as soon as it responds to a probe."""
        if not self._is_watching:
            self._is_watching = True
            self._start_probe()

    async def _stop_watching(self) -> None:
        self._is_watching = self._is_following = False
        self._availability.forget()
        for follower in self._followers:
            await follower.close()

    def _is_store_live(self) -> bool:
        return (
            self._is_following
            and self._availability.is_proved(self._timers.now())
            and all(follower.is_current for follower in self._followers)
        )

    def _start_probe(self) -> None:
        if not self._is_watching or not (self._probe is None or self._probe.done()):
            return
        is_needed = self._is_first_source or self._server.n_readers
        if is_needed or self._availability.is_probe_due(self._timers.now()):
            self._probe = asyncio.ensure_future(self._probe_store())

    async def _probe_store(self) -> None:
        """Probe the store over this host's direct transport."""
        sent_at_s = self._timers.now()
        try:
            reply = await self._transport.probe()
            failure = f"{reply.status}" if reply.status in REFUSING_STATUSES else ""
        except PlatformError as error:
            failure = str(error)
        if not self._is_watching:
            return
        if failure:
            await self._record_store_failure(failure)
            return
        self._contact.record_answer()
        is_back = self._availability.record_answer(sent_at_s)
        self._server.notify_progress()
        self._ejection.record_success(self._view.own.host_id)
        if is_back and not self._is_first_source:
            self._prefer_sources()
        if self._is_following:
            return
        if self._is_recovering:
            self._review_due.set()  # a source may have become available
            return
        self._is_following = True
        for follower in self._followers:
            await follower.start()

    @property
    def _is_recovering(self) -> bool:
        return self._availability.is_recovering(self._timers.now())

    @property
    def _is_first_source(self) -> bool:
        return self._sources()[0].host_id == self._view.own.host_id

    def _prefer_sources(self) -> None:
        """Ask other hosts again, since the store that was lost is back for them too.

        If all hosts followed it at once, each would list all objects. This host does so
        if no other one has delivered by the time in which they recover.
        """
        for host in self._sources():
            self._ejection.record_success(host.host_id)
        if self._reading is not None and not self._source_id:
            self._reading.cancel()  # it may wait for a host that waits as well
        self._availability.start_recovery(self._timers.now())
        self._review_due.set()

    async def _record_store_failure(self, failure: str) -> None:
        """Stop following, so that all objects are listed again after the failure.

        The store's history may lack the changes missed meanwhile.
        """
        own_id = self._view.own.host_id
        if self._is_following:
            logger.warning("store does not answer", extra={"reason": failure})
        self._is_following = False
        self._availability.record_failure(self._timers.now())
        self._contact.record_failure()
        for follower in self._followers:
            await follower.close()
        self._ejection.record_failure(own_id, self._timers.now())
        self._review_due.set()

    def _request_watch(self) -> None:
        """Switch to watching the store, since another host asks for the feed."""
        self._watch()
        if self._reading is not None and not self._is_recovering:
            self._reading.cancel()

    def _catch_up(self, kind: str) -> None:
        for follower in self._followers:
            if follower.state.kind == kind:
                self._catching_up.begin(follower.relist())

    # Reading from another host

    async def _read(self, source: EntryHost) -> None:
        """Apply changes from a source until it fails or falls silent."""
        known_revisions = tuple(
            KindSeen(kind, state.revision)
            for kind, state in self._states_by_kind.items()
        )
        # The heartbeats of the feed show sooner than pings whether the link works.
        replies = self._links.call(
            source.peer, LANE, NewsAsk(known_revisions), keepalive=False
        )
        timeout_s = FIRST_MESSAGE_TIMEOUT_S
        started_at_s = self._timers.now()
        try:
            while True:
                async with asyncio.timeout(timeout_s):
                    message = await anext(replies)
                if not self._source_id:
                    await self._on_first_message(source)
                    timeout_s = SILENCE_TIMEOUT_S
                if isinstance(message, KindNews):
                    self._apply(message)
                else:
                    self._contact.record_heartbeat()
        except (RequestError, TimeoutError, StopAsyncIteration, ValueError) as error:
            if self._timers.now() - started_at_s > MIN_STABLE_S:
                self._ejection.record_success(source.host_id)
            if isinstance(error, RequestError) and error.reason == STORE_LOST:
                self._contact.record_failure()
            self._record_source_failure(source, repr(error))
        except Exception as error:
            logger.exception("changes not applied", extra={"host": source.host_id})
            self._record_source_failure(source, repr(error))
        finally:
            self._former_source_id, self._source_id = self._source_id, ""
            self._schedule_fallback()
            await replies.aclose()

    def _schedule_fallback(self) -> None:
        """Watch the store after a delay unless another source delivers by then."""
        self._cancel_fallback()
        self._fallback = self._timers.once(self._fallback_delay_s, self._watch)

    def _cancel_fallback(self) -> None:
        if self._fallback is not None:
            self._fallback.cancel()

    async def _on_first_message(self, source: EntryHost) -> None:
        extra = {"host": source.host_id, "former_host": self._former_source_id}
        logger.info("news of the store heard from host", extra=extra)
        self._source_id = source.host_id
        self._cancel_fallback()
        await self._stop_watching()

    def _apply(self, update: KindNews) -> None:
        ago_s = update.failed_ago_s
        self._contact.record_news(ago_s if ago_s >= 0 else None)
        decoded = decode_changes(update)
        state = self._states_by_kind.get(decoded.kind)
        if state is None:
            return
        if not decoded.is_snapshot:
            state.apply_changes(decoded.changes, decoded.revision)
            return
        objects = tuple(change.object for change in decoded.changes)
        state.replace_all(objects, decoded.revision)

    def _record_source_failure(self, source: EntryHost, reason: str) -> None:
        extra = {"host": source.host_id, "reason": reason}
        logger.info("no news from host", extra=extra)
        self._ejection.record_failure(source.host_id, self._timers.now())

    def _review(self) -> None:
        """Stop reading when a better source is available."""
        source = self._choose_source()
        best_id = source.host_id if source is not None else self._view.own.host_id
        if self._reading is not None and self._source_id not in ("", best_id):
            self._reading.cancel()
