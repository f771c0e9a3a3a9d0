"""Forwards this host's change feed of the platform's store to other hosts."""

from __future__ import annotations

import asyncio
import json
import logging
from collections.abc import Callable, Mapping
from typing import Any

from damaskjunction.core import (
    SHAPE_ERRORS,
    MalformedError,
    Outcome,
    RequestError,
    Subscription,
    Timers,
    parse_json,
    parse_json_or_none,
    read_bool,
    read_integer,
    read_list,
    read_text,
    split_array,
)
from damaskjunction.gateway.store.kind_state import KindState, KindUpdate
from damaskjunction.gateway.store.store_contact import StoreContact
from damaskjunction.node import PeerHandlers
from damaskjunction.platform import ObjectChange, PlatformObject
from damaskjunction.wire import KindNews, NewsAsk, NoNews, Reply

logger = logging.getLogger(__name__)

HEARTBEAT_S = 0.3
READY_TIMEOUT_S = 0.8
LOST_TIMEOUT_S = 0.7  # after failed probes; the next one comes before
MAX_QUEUED_UPDATES = 256  # the feed of a reader further behind is ended
MAX_LOGGED_ENTRIES = 5
NO_OUTAGE_S = -1.0
STORE_LOST = "store_lost"  # why a source does not serve its readers


class ChangeFeedServer:
    """Serves the change feed of the store to other hosts.

    Parameters
    ----------
    states_by_kind : mapping
        The objects to serve, by kind.
    contact : StoreContact
        Tells of the last outage of the store.
    timers : Timers
        The process's timer service.
    is_store_live : callable
        Returns whether the store has responded to this host recently.
    is_store_lost : callable
        Returns whether the store has failed to respond to this host several times.
    request_watch : callable
        Called on every request for the feed, so that this host watches the store.
    catch_up : callable
        Called with a kind of which another host knows a newer revision.
    """

    def __init__(
        self,
        states_by_kind: Mapping[str, KindState],
        contact: StoreContact,
        timers: Timers,
        *,
        is_store_live: Callable[[], bool],
        is_store_lost: Callable[[], bool],
        request_watch: Callable[[], None],
        catch_up: Callable[[str], None],
    ) -> None:
        self._states_by_kind = states_by_kind
        self._contact = contact
        self._timers = timers
        self._is_store_live = is_store_live
        self._is_store_lost = is_store_lost
        self._request_watch = request_watch
        self._catch_up = catch_up
        self._progress = asyncio.Event()
        self._queues: set[asyncio.Queue[KindNews | NoNews]] = set()
        self._heartbeat: Subscription | None = None
        for state in states_by_kind.values():
            state.subscribe(self._publish)

    @property
    def n_readers(self) -> int:
        """Number of hosts that read this host's feed."""
        return len(self._queues)

    def register(self, handlers: PeerHandlers) -> None:
        """Register the handler of other hosts' requests for the feed."""
        handlers.register(NewsAsk)(self._serve)

    async def _serve(self, request: NewsAsk, reply: Reply) -> None:
        queue: asyncio.Queue[KindNews | NoNews] = asyncio.Queue()
        self._queues.add(queue)
        if self._heartbeat is None:
            self._heartbeat = self._timers.every(HEARTBEAT_S, self._send_heartbeat)
        try:
            await self._wait_until_ready(request)
            while not queue.empty():
                queue.get_nowait()  # the snapshots below contain this update
            for seen in request.seen:
                state = self._states_by_kind.get(seen.kind)
                if state is not None and state.revision > seen.revision:
                    await reply(self._encode(state.snapshot()))
            await self._forward(queue, reply)
        finally:
            self._queues.discard(queue)
            if self._heartbeat is not None and not self._queues:
                self._heartbeat.cancel()
                self._heartbeat = None

    async def _wait_until_ready(self, request: NewsAsk) -> None:
        """Return once this host knows at least the revisions that the reader knows.

        Raises
        ------
        RequestError
            After ``READY_TIMEOUT_S``, or sooner if the store is known to be lost.
        """
        self._request_watch()
        timeout_s = LOST_TIMEOUT_S if self._is_store_lost() else READY_TIMEOUT_S
        requested: set[str] = set()
        try:
            async with asyncio.timeout(timeout_s):
                while not self._is_store_live() or (
                    behind := self._kinds_behind(request)
                ):
                    progress = self._progress
                    if self._is_store_live():
                        for kind in behind - requested:
                            self._catch_up(kind)
                        requested |= behind
                    await progress.wait()
        except TimeoutError:
            raise RequestError(Outcome.NOT_RUN, STORE_LOST) from None

    def _kinds_behind(self, request: NewsAsk) -> set[str]:
        """Return the kinds of which the reader knows a newer revision."""
        return {
            seen.kind
            for seen in request.seen
            if seen.kind in self._states_by_kind
            and self._states_by_kind[seen.kind].revision < seen.revision
        }

    def notify_progress(self) -> None:
        """Make waiting readers check again whether this host is ready to serve them."""
        self._progress.set()
        self._progress = asyncio.Event()

    def _send_heartbeat(self) -> None:
        """Tell the readers that have nothing else to hear that nothing has changed.

        One timer for all of them wakes this process less often than one for each.
        """
        for queue in self._queues:
            if queue.empty():
                queue.put_nowait(NoNews())

    async def _forward(
        self, queue: asyncio.Queue[KindNews | NoNews], reply: Reply
    ) -> None:
        while queue.qsize() <= MAX_QUEUED_UPDATES:
            if not self._is_store_live():
                raise RequestError(Outcome.NOT_RUN, STORE_LOST)
            await reply(await queue.get())
        raise RequestError(Outcome.NOT_RUN, "too_slow")

    def _publish(self, update: KindUpdate) -> None:
        self.notify_progress()
        if self._queues:
            message = self._encode(update)
            for queue in self._queues:
                queue.put_nowait(message)

    def _encode(self, update: KindUpdate) -> KindNews:
        ended_ago_s = self._contact.outage_ended_ago_s
        if ended_ago_s is None:
            ended_ago_s = NO_OUTAGE_S
        entries = [[*change.object[1:], change.is_removed] for change in update.changes]
        encoded = json.dumps(entries, separators=(",", ":")).encode()
        return KindNews(
            update.kind, update.revision, update.is_snapshot, ended_ago_s, encoded
        )


def decode_changes(update: KindNews) -> KindUpdate:
    """Decode changes from the feed of another host, but for those that are malformed.

    Raises
    ------
    MalformedError
        When the changes can't be told apart.
    """
    changes = []
    failures = []
    for entry in _split_entries(update.entries):
        try:
            changes.append(_decode_change(update.kind, entry))
        except SHAPE_ERRORS as error:
            failures.append(f"{error!r}"[:200])
    if failures:
        extra = {
            "kind": update.kind,
            "n_entries": len(failures),
            "errors": failures[:MAX_LOGGED_ENTRIES],
        }
        logger.warning("relayed entries left out", extra=extra)
    return KindUpdate(update.kind, update.revision, update.is_whole, tuple(changes))


def _split_entries(entries: bytes) -> list[Any]:
    """Return the changes as values, or as texts if one of them can't be read."""
    try:
        return read_list(parse_json(entries))
    except MalformedError:
        return split_array(entries)


def _read_parts(entry: bytes) -> list[Any]:
    """Return the parts of a change; a content that can't be read is None."""
    name, revision, *contents, is_removed = split_array(entry)
    return [
        parse_json(name),
        parse_json(revision),
        *map(parse_json_or_none, contents),
        parse_json(is_removed),
    ]


def _decode_change(kind: str, entry: Any) -> ObjectChange:
    if isinstance(entry, bytes):
        entry = _read_parts(entry)
    name, revision, content, status, is_removed = entry
    stored = PlatformObject(
        kind,
        read_text(name, may_be_empty=False),
        read_integer(revision, least=0),
        content,
        status,
    )
    return ObjectChange(stored, read_bool(is_removed))
