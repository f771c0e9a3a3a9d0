"""Forwards this host's change feed of the platform's store to other hosts."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable, Mapping

from damaskjunction.core import Outcome, RequestError, Timers
from damaskjunction.gateway.kind_state import HeardNews, KindState
from damaskjunction.node import PeerHandlers
from damaskjunction.platform import ObjectChange, PlatformObject
from damaskjunction.wire import KindNews, NewsAsk, NoNews, Reply

HEARTBEAT_S = 0.3
READY_TIMEOUT_S = 0.3
MAX_QUEUED = 256
NEVER_S = -1.0


class NewsFeed:
    """Serves the change feed of the store to other hosts.

    Parameters
    ----------
    states_by_kind : mapping
        The objects to serve, by kind.
    timers : Timers
        The process's timer service.
    is_proved : callable
        Returns whether the store has responded to this host recently.
    want : callable
        Called on every request for the feed, so that this host watches the store.
    catch_up : callable
        Called with a kind of which another host knows a newer revision.
    """

    def __init__(
        self,
        states_by_kind: Mapping[str, KindState],
        timers: Timers,
        *,
        is_proved: Callable[[], bool],
        want: Callable[[], None],
        catch_up: Callable[[str], None],
    ) -> None:
        self._states_by_kind = states_by_kind
        self._timers = timers
        self._is_proved = is_proved
        self._want = want
        self._catch_up = catch_up
        self._progress = asyncio.Event()
        self._queues: set[asyncio.Queue[KindNews]] = set()
        for state in states_by_kind.values():
            state.subscribe(self._spread)

    @property
    def n_readers(self) -> int:
        """Number of hosts that read this host's feed."""
        return len(self._queues)

    def register(self, handlers: PeerHandlers) -> None:
        """Register the handler of other hosts' requests for the feed."""
        handlers.register(NewsAsk)(self._serve)

    async def _serve(self, ask: NewsAsk, reply: Reply) -> None:
        queue: asyncio.Queue[KindNews] = asyncio.Queue()
        self._queues.add(queue)
        try:
            await self._wait_until_ready(ask)
            while not queue.empty():
                queue.get_nowait()  # the snapshots below contain it
            for seen in ask.seen:
                state = self._states_by_kind.get(seen.kind)
                if state is not None and state.revision > seen.revision:
                    await reply(self._encode(state.whole()))
            await self._pass_on(queue, reply)
        finally:
            self._queues.discard(queue)

    async def _wait_until_ready(self, ask: NewsAsk) -> None:
        """Return once this host knows at least the revisions that the reader knows.

        Raises
        ------
        RequestError
            After ``READY_TIMEOUT_S``; the store may be unreachable.
        """
        self._want()
        asked: set[str] = set()
        try:
            async with asyncio.timeout(READY_TIMEOUT_S):
                while not self._is_proved() or (behind := self._behind(ask)):
                    progress = self._progress
                    if self._is_proved():
                        for kind in behind - asked:
                            self._catch_up(kind)
                        asked |= behind
                    await progress.wait()
        except TimeoutError:
            raise RequestError(Outcome.NOT_RUN, "store_lost") from None

    def _behind(self, ask: NewsAsk) -> set[str]:
        """Return the kinds of which the reader knows a newer revision."""
        return {
            seen.kind
            for seen in ask.seen
            if seen.kind in self._states_by_kind
            and self._states_by_kind[seen.kind].revision < seen.revision
        }

    def note_progress(self) -> None:
        """Make waiting readers check again whether this host is ready to serve them."""
        self._progress.set()
        self._progress = asyncio.Event()

    async def _pass_on(self, queue: asyncio.Queue[KindNews], reply: Reply) -> None:
        while queue.qsize() <= MAX_QUEUED:
            if not self._is_proved():
                raise RequestError(Outcome.NOT_RUN, "store_lost")
            try:
                async with asyncio.timeout(HEARTBEAT_S):
                    news: KindNews | NoNews = await queue.get()
            except TimeoutError:
                news = NoNews()
            await reply(news)
        raise RequestError(Outcome.NOT_RUN, "too_slow")

    def _spread(self, news: HeardNews) -> None:
        self.note_progress()
        if self._queues:
            message = self._encode(news)
            for queue in self._queues:
                queue.put_nowait(message)

    def _encode(self, news: HeardNews) -> KindNews:
        failed_at_s = self._states_by_kind[news.kind].failed_at_s
        ago_s = NEVER_S if failed_at_s is None else self._timers.now() - failed_at_s
        entries = [[*change.object[1:], change.is_removed] for change in news.changes]
        encoded = json.dumps(entries, separators=(",", ":")).encode()
        return KindNews(news.kind, news.revision, news.is_whole, ago_s, encoded)


def decode_news(news: KindNews) -> HeardNews:
    """Decode changes from the feed of another host.

    Raises
    ------
    ValueError
        When the entries are malformed.
    """
    changes = tuple(
        ObjectChange(PlatformObject(news.kind, *entry[:-1]), entry[-1])
        for entry in json.loads(news.entries)
    )
    return HeardNews(news.kind, news.revision, news.is_whole, changes)
