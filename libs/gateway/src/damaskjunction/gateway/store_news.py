"""Where a host hears of changes in the platform's store: from it, or from a host.

One host of a data centre watches the store and passes the news on to the others there.
It proves all the while that the store answers it; a host that hears nothing from it
for a while goes on at the next one, or watches the store itself.
"""

from __future__ import annotations

import asyncio
import logging
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
from damaskjunction.gateway.kind_follower import KindFollower
from damaskjunction.gateway.kind_state import KindState
from damaskjunction.gateway.news_feed import NewsFeed, decode_news
from damaskjunction.membership import choose_feed_sources
from damaskjunction.node import HostView, PeerHandlers, TaskSet, end_tasks
from damaskjunction.platform import StoreTransport
from damaskjunction.routing import EjectionPolicy, OutlierEjection
from damaskjunction.wire import KindNews, KindSeen, NewsAsk, PeerLinks

logger = logging.getLogger(__name__)

LANE = "news"
PROOF_PERIOD_S = 0.4
PROOF_AGE_S = 0.9
FIRST_NEWS_S = 1.0
SILENCE_S = 0.9
FALLBACK_S = 0.4
STABLE_S = 5.0
SETTLE_IN_S = 0.8
REVIEW_PERIOD_S = 3.0
REFUSING_STATUSES = (429, 503)
DOUBT = EjectionPolicy(n_failures=1, base_s=2.0, limit_s=6.0)


class StoreNews:
    """Keeps the states of all kinds up to date.

    Parameters
    ----------
    followers : sequence of KindFollower
        Follow the store, one for each kind.
    view : HostView
        The hosts.
    links : PeerLinks
        Links to them.
    path : StoreTransport
        Proves that the store answers.
    timers : Timers
        The process's timer service.
    """

    def __init__(
        self,
        followers: Sequence[KindFollower],
        view: HostView,
        links: PeerLinks,
        path: StoreTransport,
        timers: Timers,
    ) -> None:
        self._followers = followers
        self._states_by_kind: Mapping[str, KindState] = {
            follower.state.kind: follower.state for follower in followers
        }
        self._view = view
        self._links = links
        self._path = path
        self._timers = timers
        self._feed = NewsFeed(
            self._states_by_kind,
            timers,
            is_proved=self._is_proved,
            want=self._want,
            catch_up=self._catch_up,
        )
        self._doubts = OutlierEjection(DOUBT, panic_share=1.0)
        self._fallback: Subscription | None = None
        self._source_id: HostId = ""
        self._former_id: HostId = ""
        self._is_watching = False
        self._is_following = False
        self._proved_at_s = float("-inf")
        self._task: asyncio.Task[None] | None = None
        self._reading: asyncio.Task[None] | None = None
        self._proof: asyncio.Task[None] | None = None
        self._woken = asyncio.Event()
        self._catching_up = TaskSet()
        self._timings: list[Subscription] = []

    @property
    def has_lost_store(self) -> bool:
        """Whether neither the store nor another host tells what changes."""
        return not self._source_id and not self._is_proved()

    def register(self, handlers: PeerHandlers) -> None:
        """Take the calls of other hosts."""
        self._feed.register(handlers)

    async def start(self) -> None:
        """Watch the store at first; go to another host once the hosts are known."""
        self._task = asyncio.ensure_future(self._run())
        self._timings = [
            self._timers.every(PROOF_PERIOD_S, self._begin_proof),
            self._timers.every(REVIEW_PERIOD_S, self._review),
        ]

    async def close(self) -> None:
        """Stop."""
        for timing in self._timings:
            timing.cancel()
        self._cancel_fallback()
        tasks = (self._task, self._reading, self._proof)
        await end_tasks(task for task in tasks if task is not None)
        await self._catching_up.close()
        await self._stop_watching()

    def to_document(self) -> dict[str, Any]:
        """Return the state for the dump."""
        return {
            "source": self._source_id,
            "is_watching": self._is_watching,
            "n_readers": self._feed.n_readers,
            "revisions": {
                kind: state.revision for kind, state in self._states_by_kind.items()
            },
        }

    async def _run(self) -> None:
        self._watch()
        await asyncio.sleep(SETTLE_IN_S)
        while True:
            source = self._choose()
            if source is None or self._feed.n_readers:
                self._watch()
                await self._rest()
                continue
            self._reading = asyncio.ensure_future(self._read(source))
            await asyncio.wait([self._reading])
            self._reading = None

    async def _rest(self) -> None:
        """Wait until it is time to look for a better source."""
        self._woken.clear()
        try:
            async with asyncio.timeout(REVIEW_PERIOD_S):
                await self._woken.wait()
        except TimeoutError:
            return

    def _choose(self) -> EntryHost | None:
        """Return the host to hear news from, None when this one has to watch."""
        now_s = self._timers.now()
        own_id = self._view.own.host_id
        for host in choose_feed_sources(self._view.own, self._view.serving_hosts()):
            if not self._doubts.is_ejected(host.host_id, now_s):
                return None if host.host_id == own_id else host
        return None

    # Watching the store

    def _watch(self) -> None:
        """Follow the store from its next answer on."""
        if not self._is_watching:
            self._is_watching = True
            self._begin_proof()

    async def _stop_watching(self) -> None:
        self._is_watching = self._is_following = False
        self._proved_at_s = float("-inf")
        for follower in self._followers:
            await follower.close()

    def _is_proved(self) -> bool:
        age_s = self._timers.now() - self._proved_at_s
        return (
            self._is_following
            and age_s <= PROOF_AGE_S
            and all(follower.is_current for follower in self._followers)
        )

    def _begin_proof(self) -> None:
        if self._is_watching and (self._proof is None or self._proof.done()):
            self._proof = asyncio.ensure_future(self._prove())

    async def _prove(self) -> None:
        """Ask the store for an answer by this host's own way."""
        asked_at_s = self._timers.now()
        try:
            reply = await self._path.probe()
            failure = f"{reply.status}" if reply.status in REFUSING_STATUSES else ""
        except PlatformError as error:
            failure = str(error)
        if not self._is_watching:
            return
        if failure:
            await self._note_failure(failure)
            return
        self._proved_at_s = asked_at_s
        self._feed.note_progress()
        self._doubts.record_success(self._view.own.host_id)
        if not self._is_following:
            self._is_following = True
            for follower in self._followers:
                await follower.start()

    async def _note_failure(self, failure: str) -> None:
        """Stop following; what is missed meanwhile may be in no history."""
        own_id = self._view.own.host_id
        if self._is_following:
            logger.warning("store does not answer", extra={"reason": failure})
        self._is_following = False
        self._proved_at_s = float("-inf")
        for follower in self._followers:
            await follower.close()
            follower.state.record_store_failure(self._timers.now())
        self._doubts.record_failure(own_id, self._timers.now())
        self._woken.set()

    def _want(self) -> None:
        """Watch the store because another host asks for its news."""
        self._watch()
        if self._reading is not None:
            self._reading.cancel()

    def _catch_up(self, kind: str) -> None:
        for follower in self._followers:
            if follower.state.kind == kind:
                self._catching_up.begin(follower.relist())

    # Hearing from another host

    async def _read(self, source: EntryHost) -> None:
        """Take news from a host until it falls silent."""
        seen = tuple(
            KindSeen(kind, state.revision)
            for kind, state in self._states_by_kind.items()
        )
        replies = self._links.call(source.peer, LANE, NewsAsk(seen))
        limit_s = FIRST_NEWS_S
        began_at_s = self._timers.now()
        try:
            while True:
                async with asyncio.timeout(limit_s):
                    message = await anext(replies)
                if not self._source_id:
                    await self._begin_reading(source)
                    limit_s = SILENCE_S
                if isinstance(message, KindNews):
                    self._take(message)
        except (RequestError, TimeoutError, StopAsyncIteration, ValueError) as error:
            if self._timers.now() - began_at_s > STABLE_S:
                self._doubts.record_success(source.host_id)
            self._doubt(source, repr(error))
        finally:
            self._former_id, self._source_id = self._source_id, ""
            self._fall_back_later()
            await replies.aclose()

    def _fall_back_later(self) -> None:
        """Watch the store unless another host is heard soon."""
        self._cancel_fallback()
        self._fallback = self._timers.once(FALLBACK_S, self._watch)

    def _cancel_fallback(self) -> None:
        if self._fallback is not None:
            self._fallback.cancel()

    async def _begin_reading(self, source: EntryHost) -> None:
        extra = {"host": source.host_id, "former_host": self._former_id}
        logger.info("news of the store heard from host", extra=extra)
        self._source_id = source.host_id
        self._cancel_fallback()
        await self._stop_watching()

    def _take(self, news: KindNews) -> None:
        heard = decode_news(news)
        state = self._states_by_kind.get(heard.kind)
        if state is None:
            return
        if news.failed_ago_s >= 0:
            state.record_store_failure(self._timers.now() - news.failed_ago_s)
        if not heard.is_snapshot:
            state.apply_changes(heard.changes, heard.revision)
            return
        objects = tuple(change.object for change in heard.changes)
        state.replace_all(objects, heard.revision)

    def _doubt(self, source: EntryHost, reason: str) -> None:
        extra = {"host": source.host_id, "reason": reason}
        logger.info("no news from host", extra=extra)
        self._doubts.record_failure(source.host_id, self._timers.now())

    def _review(self) -> None:
        """Go on at a better source, if there is one."""
        source = self._choose()
        best_id = source.host_id if source is not None else self._view.own.host_id
        if self._reading is not None and self._source_id not in ("", best_id):
            self._reading.cancel()
