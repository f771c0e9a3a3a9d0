"""Answers the operator's wish to empty a storage machine: it holds nothing."""

from __future__ import annotations

import asyncio
import logging
import random

from damaskjunction.core import PlatformError, Timers, rendezvous_order
from damaskjunction.gateway.kind_follower import KindFollower
from damaskjunction.gateway.kind_state import KindState
from damaskjunction.node import HostView, TaskSet
from damaskjunction.platform import (
    RETIREMENTS_KIND,
    ObjectChange,
    ObjectConflictError,
    PlatformObject,
    StoreClient,
    encode_completed_retirement,
)

logger = logging.getLogger(__name__)

RETRY_S = 0.5


class Retirements:
    """Marks wishes to empty a machine as fulfilled, on one host of the fleet.

    Parameters
    ----------
    store : StoreClient
        The platform's store.
    view : HostView
        The hosts, of which one follows the wishes.
    timers : Timers
        The process's timer service.
    chance : random.Random
        Source of the jitter.
    """

    def __init__(
        self, store: StoreClient, view: HostView, timers: Timers, chance: random.Random
    ) -> None:
        self._store = store
        self._view = view
        self._timers = timers
        self._chance = chance
        self._follower: KindFollower | None = None
        self._tasks = TaskSet()
        view.subscribe(self._choose)

    async def start(self) -> None:
        """Begin to follow the wishes, if that falls to this host."""
        self._choose()

    async def close(self) -> None:
        """Stop."""
        if self._follower is not None:
            await self._follower.close()
        await self._tasks.close()

    def _choose(self) -> None:
        names = [(host.host_id, 1.0) for host in self._view.serving_hosts()]
        order = rendezvous_order("retirements", names)
        is_chosen = self._view.is_ready and order[:1] == [self._view.own.host_id]
        if is_chosen and self._follower is None:
            self._follower = KindFollower(
                self._store,
                self._timers,
                KindState(RETIREMENTS_KIND, self._take_all, self._take_change),
                rng=self._chance,
            )
            self._tasks.begin(self._follower.start())
        elif not is_chosen and self._follower is not None:
            self._tasks.begin(self._follower.close())
            self._follower = None

    def _take_all(self, objects: tuple[PlatformObject, ...]) -> None:
        for stored in objects:
            self._tasks.begin(self._complete(stored))

    def _take_change(self, change: ObjectChange) -> None:
        if not change.is_removed:
            self._tasks.begin(self._complete(change.object))

    async def _complete(self, stored: PlatformObject) -> None:
        status = encode_completed_retirement()
        while stored.status != status:
            try:
                stored = await self._store.set_status(
                    stored.kind, stored.name, status, revision=stored.revision
                )
            except ObjectConflictError as error:
                if error.current is None:
                    return
                stored = error.current
            except PlatformError as error:
                extra = {"machine": stored.name, "error": str(error)}
                logger.warning("retirement not marked", extra=extra)
                await asyncio.sleep(RETRY_S)
        logger.info("machine may be taken away", extra={"machine": stored.name})
