"""Follows configuration, plan and host list at the platform."""

from __future__ import annotations

import asyncio
import json
import logging

from damaskjunction.core import FindingsError
from damaskjunction.membership import make_view
from damaskjunction.node.documents import CONFIGURATION_KIND, PLAN_KIND
from damaskjunction.node.loops import follow, repeat
from damaskjunction.node.state import HostView
from damaskjunction.placement import to_plan
from damaskjunction.platform import ObjectStore, StoredObject
from damaskjunction.settings import read_configuration

logger = logging.getLogger(__name__)

HOSTS_INTERVAL_S = 1.0


class Follower:
    """Brings the host's view up to date with the platform's service.

    Parameters
    ----------
    view : HostView
        Takes what is found out.
    store : ObjectStore
        The platform's service.
    """

    def __init__(self, view: HostView, store: ObjectStore) -> None:
        self._view = view
        self._store = store
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Start following."""
        loops = (
            follow(self._store, CONFIGURATION_KIND, self._take_configuration),
            follow(self._store, PLAN_KIND, self._take_plan),
            repeat(self._refresh_hosts, HOSTS_INTERVAL_S),
        )
        self._tasks = [asyncio.ensure_future(loop) for loop in loops]

    async def close(self) -> None:
        """Stop following."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _take_configuration(self, stored: StoredObject) -> None:
        try:
            configuration = read_configuration(
                stored.value.decode(), stored.name, stored.version
            )
        except FindingsError as error:
            logger.error("stored text has findings", extra={"error": str(error)})
            return
        if self._view.apply_configuration(configuration):
            logger.info(
                "configuration in force", extra={"revision": configuration.revision}
            )

    def _take_plan(self, stored: StoredObject) -> None:
        if stored.name == self._view.own.region:
            self._view.apply_plan(to_plan(json.loads(stored.value), stored.version))

    async def _refresh_hosts(self) -> None:
        hosts = await self._store.hosts()
        self._view.apply_fleet(make_view(hosts.hosts, hosts.runners))
