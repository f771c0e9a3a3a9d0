"""Completes the operator's requests to retire a storage machine.

A storage machine holds no data of the system, so a request completes at once.
"""

from __future__ import annotations

import asyncio
import logging
import random

from damaskjunction.core import PlatformError, rendezvous_order
from damaskjunction.gateway.store.followed_kinds import WATCH_WAIT_S
from damaskjunction.gateway.store.kind_follower import KindFollower
from damaskjunction.gateway.store.kind_state import KindState
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


class RetirementHandler:
    """Marks retirement requests as completed; one host of the fleet does so.

    Parameters
    ----------
    store : StoreClient
        The platform's store.
    view : HostView
        The known hosts, of which rendezvous hashing picks one to follow requests.
    rng : random.Random
        Source of the jitter of retries.
    """

    def __init__(self, store: StoreClient, view: HostView, rng: random.Random) -> None:
        self._store = store
        self._view = view
        self._rng = rng
        self._follower: KindFollower | None = None
        self._tasks = TaskSet()
        view.subscribe(self._update_follower)

    async def start(self) -> None:
        """Start to follow retirement requests if this host is the one chosen."""
        self._update_follower()

    async def close(self) -> None:
        """Stop following and cancel the writes in progress."""
        if self._follower is not None:
            await self._follower.close()
        await self._tasks.close()

    def _update_follower(self) -> None:
        weighted_hosts = [(host.host_id, 1.0) for host in self._view.serving_hosts()]
        order = rendezvous_order("retirements", weighted_hosts)
        is_chosen = self._view.is_ready and order[:1] == [self._view.own.host_id]
        if is_chosen and self._follower is None:
            self._follower = KindFollower(
                self._store,
                KindState(RETIREMENTS_KIND, self._complete_all, self._complete_changed),
                rng=self._rng,
                watch_wait_s=WATCH_WAIT_S,
            )
            self._tasks.begin(self._follower.start())
        elif not is_chosen and self._follower is not None:
            self._tasks.begin(self._follower.close())
            self._follower = None

    def _complete_all(self, objects: tuple[PlatformObject, ...]) -> None:
        for stored in objects:
            self._tasks.begin(self._complete(stored))

    def _complete_changed(self, change: ObjectChange) -> None:
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
                logger.warning("retirement not completed", extra=extra)
                await asyncio.sleep(RETRY_S)
        logger.info("retirement completed", extra={"machine": stored.name})
