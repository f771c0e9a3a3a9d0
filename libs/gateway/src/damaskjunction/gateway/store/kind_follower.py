"""Follows one kind of objects in the platform's store by list and watch."""

from __future__ import annotations

import asyncio
import logging
import random

from damaskjunction.core import PlatformError, Revision
from damaskjunction.gateway.store.kind_state import KindState
from damaskjunction.node import cancel_tasks
from damaskjunction.platform import HistoryGoneError, StoreClient

logger = logging.getLogger(__name__)

BACKOFF_BASE_S = 0.1
BACKOFF_LIMIT_S = 0.8


class KindFollower:
    """Keeps the state of one kind up to date, from ``start`` to ``close``.

    Parameters
    ----------
    store : StoreClient
        The platform's store.
    state : KindState
        Receives the objects and their changes.
    rng : random.Random
        Source of the jitter of the backoff.
    watch_wait_s : float
        Longest wait of a watch, in seconds. Only its stall timeout shows that its
        connection has fallen silent, so this bounds for how long changes are missed.
    coalesce_s : float, optional
        Seconds to wait after a change before the next watch, so that a burst of
        changes costs one call.
    """

    def __init__(
        self,
        store: StoreClient,
        state: KindState,
        *,
        rng: random.Random,
        watch_wait_s: float,
        coalesce_s: float = 0.0,
    ) -> None:
        self.state = state
        self._store = store
        self._rng = rng
        self._watch_wait_s = watch_wait_s
        self._coalesce_s = coalesce_s
        self._task: asyncio.Task[None] | None = None
        self._n_failures = 0
        self._is_current = False
        self._snapshot_revision: Revision | None = None

    @property
    def is_current(self) -> bool:
        """Whether the state is up to date and the last call to the store succeeded."""
        return self._is_current

    async def start(self) -> None:
        """Start with a list of all objects, even if a revision is already known.

        The store may lose changes after a known revision without reporting it. Only a
        snapshot that was taken just before is gone on from.
        """
        self._task = asyncio.ensure_future(self._run())

    async def close(self) -> None:
        """Stop following; the state keeps the last objects."""
        self._is_current = False
        self._snapshot_revision = None
        task, self._task = self._task, None
        if task is not None:
            await cancel_tasks([task])

    async def take_snapshot(self) -> None:
        """List all objects once, if the store answers, without following them."""
        try:
            self._snapshot_revision = await self._list()
        except PlatformError as error:
            extra = {"kind": self.state.kind, "error": str(error)}
            logger.warning("no snapshot of the store", extra=extra)
        finally:
            self._is_current = False

    async def relist(self) -> None:
        """List all objects now, instead of waiting for the next change."""
        await self.close()
        await self.start()

    async def _run(self) -> None:
        since, self._snapshot_revision = self._snapshot_revision, None
        self._is_current = since is not None
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
                # The store's history may lack changes missed meanwhile: list again.
                since = None
                await self._back_off(error)
            except Exception as error:
                # Without this the host would go by what it knew last, unnoticed.
                logger.exception("store not followed", extra={"kind": self.state.kind})
                since = None
                await self._back_off(error)

    async def _list(self) -> Revision:
        page = await self._store.list_all(self.state.kind)
        self._record_success()
        self.state.replace_all(page.objects, page.store_revision)
        return page.store_revision

    async def _watch(self, since: Revision) -> Revision:
        found = await self._store.watch(
            self.state.kind, since=since, wait_s=self._watch_wait_s
        )
        self._record_success()
        self.state.apply_changes(found.changes, found.store_revision)
        if found.changes and self._coalesce_s:
            await asyncio.sleep(self._coalesce_s)
        return found.store_revision

    def _record_success(self) -> None:
        if self._n_failures:
            extra = {"kind": self.state.kind, "n_failures": self._n_failures}
            logger.info("store regained", extra=extra)
        self._n_failures = 0
        self._is_current = True

    async def _back_off(self, error: Exception) -> None:
        if not self._n_failures:
            extra = {"kind": self.state.kind, "error": str(error)}
            logger.warning("store lost", extra=extra)
        self._n_failures += 1
        self._is_current = False
        limit_s = BACKOFF_BASE_S * 2.0 ** min(self._n_failures, 8)
        await asyncio.sleep(min(limit_s, BACKOFF_LIMIT_S) * self._rng.uniform(0.5, 1.0))
