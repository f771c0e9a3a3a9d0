"""Passing on what this host hears from the platform's store to other hosts."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable, Mapping

from damaskjunction.core import Outcome, RequestError, Timers
from damaskjunction.gateway.kind_state import KindState, KindUpdate
from damaskjunction.node import PeerHandlers
from damaskjunction.platform import ObjectChange, PlatformObject
from damaskjunction.wire import KindNews, NewsAsk, NoNews, Reply

HEARTBEAT_S = 0.3
READY_TIMEOUT_S = 0.3
MAX_QUEUED = 256
NEVER_S = -1.0


class NewsFeed:
    """Answers hosts that ask for news of the store.

    Parameters
    ----------
    states_by_kind : mapping
        What is passed on.
    timers : Timers
        The process's timer service.
    is_proved : callable
        Returns whether the store has answered this host lately.
    want : callable
        Called when news are asked for, so that this host watches the store.
    catch_up : callable
        Called with a kind that another host knows more of.
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
        """How many hosts hear the store's news from this one."""
        return len(self._queues)

    def register(self, handlers: PeerHandlers) -> None:
        """Take the calls of other hosts."""
        handlers.register(NewsAsk)(self._serve)

    async def _serve(self, ask: NewsAsk, reply: Reply) -> None:
        queue: asyncio.Queue[KindNews] = asyncio.Queue()
        self._queues.add(queue)
        try:
            await self._wait_until_ready(ask)
            while not queue.empty():
                queue.get_nowait()  # what follows holds it
            for seen in ask.seen:
                state = self._states_by_kind.get(seen.kind)
                if state is not None and state.revision > seen.revision:
                    await reply(self._encode(state.snapshot()))
            await self._pass_on(queue, reply)
        finally:
            self._queues.discard(queue)

    async def _wait_until_ready(self, ask: NewsAsk) -> None:
        """Return when this host knows at least what the asking host knows.

        Raises
        ------
        RequestError
            When that takes too long; the store may be out of reach.
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
        """Return the kinds of which the asking host knows more."""
        return {
            seen.kind
            for seen in ask.seen
            if seen.kind in self._states_by_kind
            and self._states_by_kind[seen.kind].revision < seen.revision
        }

    def note_progress(self) -> None:
        """Look again whether hosts that wait can be told the news."""
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

    def _spread(self, news: KindUpdate) -> None:
        self.note_progress()
        if self._queues:
            message = self._encode(news)
            for queue in self._queues:
                queue.put_nowait(message)

    def _encode(self, news: KindUpdate) -> KindNews:
        failed_at_s = self._states_by_kind[news.kind].failed_at_s
        ago_s = NEVER_S if failed_at_s is None else self._timers.now() - failed_at_s
        entries = [[*change.object[1:], change.is_removed] for change in news.changes]
        encoded = json.dumps(entries, separators=(",", ":")).encode()
        return KindNews(news.kind, news.revision, news.is_snapshot, ago_s, encoded)


def decode_news(news: KindNews) -> KindUpdate:
    """Return the news that another host passed on.

    Raises
    ------
    ValueError
        When they can't be read.
    """
    changes = tuple(
        ObjectChange(PlatformObject(news.kind, *entry[:-1]), entry[-1])
        for entry in json.loads(news.entries)
    )
    return KindUpdate(news.kind, news.revision, news.is_whole, changes)
