"""Following one kind of objects in the platform's store."""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Callable
from typing import TypeAlias

from damaskjunction.core import PlatformError, Revision, Timers
from damaskjunction.node import end_tasks
from damaskjunction.platform import (
    HistoryGoneError,
    ObjectChange,
    PlatformObject,
    StoreClient,
)

logger = logging.getLogger(__name__)

WATCH_S = 28.0
BACKOFF_BASE_S = 0.1
BACKOFF_LIMIT_S = 0.8

TakeAll: TypeAlias = Callable[[tuple[PlatformObject, ...]], None]
TakeChange: TypeAlias = Callable[[ObjectChange], None]


class KindFollower:
    """Keeps a part up to date with the objects of one kind.

    Parameters
    ----------
    store : StoreClient
        The platform's store.
    timers : Timers
        The process's timer service.
    kind : str
        Which objects.
    take_all : callable
        Takes all objects, at the start and after history was lost.
    take_change : callable
        Takes one change.
    chance : random.Random
        Source of the jitter of retries.
    settle_s : float, optional
        Seconds to wait after a change before the next watch, so that changes that
        come together cost one call.
    """

    def __init__(
        self,
        store: StoreClient,
        timers: Timers,
        kind: str,
        *,
        take_all: TakeAll,
        take_change: TakeChange,
        chance: random.Random,
        settle_s: float = 0.0,
    ) -> None:
        self._store = store
        self._timers = timers
        self._kind = kind
        self._take_all = take_all
        self._take_change = take_change
        self._chance = chance
        self._settle_s = settle_s
        self._task: asyncio.Task[None] | None = None
        self._n_failures = 0
        self.failed_at_s: float | None = None

    @property
    def is_lost(self) -> bool:
        """Whether the last call got no answer."""
        return self._n_failures > 0

    async def start(self) -> None:
        """Begin to follow."""
        self._task = asyncio.ensure_future(self._run())

    async def close(self) -> None:
        """Stop."""
        if self._task is not None:
            await end_tasks([self._task])

    async def _run(self) -> None:
        since: Revision | None = None
        while True:
            try:
                if since is None:
                    since = await self._list()
                else:
                    since = await self._watch(since)
            except HistoryGoneError as error:
                logger.info("history gone", extra={"error": str(error)})
                since = None
            except PlatformError as error:
                # What a watch missed while it was cut may be in no history.
                since = None
                await self._back_off(error)

    async def _list(self) -> Revision:
        page = await self._store.list_all(self._kind)
        self._note_success()
        self._take_all(page.objects)
        return page.store_revision

    async def _watch(self, since: Revision) -> Revision:
        found = await self._store.watch(self._kind, since=since, wait_s=WATCH_S)
        self._note_success()
        for change in found.changes:
            self._take_change(change)
        if found.changes and self._settle_s:
            await asyncio.sleep(self._settle_s)
        return found.store_revision

    def _note_success(self) -> None:
        if self._n_failures:
            extra = {"kind": self._kind, "n_failures": self._n_failures}
            logger.info("store regained", extra=extra)
        self._n_failures = 0

    async def _back_off(self, error: PlatformError) -> None:
        if not self._n_failures:
            extra = {"kind": self._kind, "error": str(error)}
            logger.warning("store lost", extra=extra)
        self._n_failures += 1
        self.failed_at_s = self._timers.now()
        limit_s = BACKOFF_BASE_S * 2.0 ** min(self._n_failures, 8)
        await asyncio.sleep(
            min(limit_s, BACKOFF_LIMIT_S) * self._chance.uniform(0.5, 1.0)
        )
