"""Registration of hosts in the platform's store, for discovery by the others."""

from __future__ import annotations

import asyncio
import logging
from typing import TypedDict

from damaskjunction.core import (
    SHAPE_ERRORS,
    EntryHost,
    HostId,
    PlatformError,
    read_address,
    read_number,
    read_text,
)
from damaskjunction.gateway.store.kind_state import KindState
from damaskjunction.node import HostView, Membership, cancel_tasks, supervise
from damaskjunction.platform import (
    ObjectChange,
    ObjectConflictError,
    PlatformObject,
    StoreClient,
)

logger = logging.getLogger(__name__)

HOSTS_KIND = "system-hosts"
REGISTER_RETRY_S = 0.5
REMOVE_TIMEOUT_S = 0.5


class HostEntry(TypedDict):
    """The content of a host's entry in the store; addresses are ``ip:port``."""

    region: str
    data_centre: str
    caller: str
    peer: str
    probe: str
    n_cores: float


class HostRegistry:
    """Registers this host in the store and applies the entries of all hosts.

    Parameters
    ----------
    store : StoreClient
        The platform's store.
    own : EntryHost
        This host.
    membership : Membership
        Receives the registered hosts.
    view : HostView
        Receives the number of cores of each host.
    n_cores : float
        Number of processor cores that this host may use.
    """

    def __init__(
        self,
        store: StoreClient,
        own: EntryHost,
        membership: Membership,
        view: HostView,
        n_cores: float,
    ) -> None:
        self._store = store
        self._own = own
        self._membership = membership
        self._view = view
        self._n_cores = n_cores
        self._hosts_by_id: dict[HostId, EntryHost] = {}
        self._power_by_host: dict[HostId, float] = {}
        self.state = KindState(HOSTS_KIND, self._apply_all, self._apply_change)
        self._registration: asyncio.Task[None] | None = None
        self._is_leaving = False

    async def start(self) -> None:
        """Start registering this host, and again whenever its entry is not right."""
        self._registration = asyncio.ensure_future(
            supervise("own entry", self._register)
        )

    async def close(self) -> None:
        """Stop registering."""
        if self._registration is not None:
            await cancel_tasks([self._registration])

    async def deregister(self) -> None:
        """Remove this host's entry from the store, if that succeeds in time."""
        self._is_leaving = True
        await self.close()
        try:
            async with asyncio.timeout(REMOVE_TIMEOUT_S):
                await self._store.delete(HOSTS_KIND, self._own.host_id)
        except (PlatformError, TimeoutError) as error:
            logger.info("own entry not removed", extra={"error": repr(error)})

    async def _register(self) -> None:
        content = _host_to_document(self._own, self._n_cores)
        name = self._own.host_id
        while True:
            try:
                await self._store.create(HOSTS_KIND, name, content)
                return
            except ObjectConflictError as error:
                stored = error.current
                if stored is not None and stored.content == content:
                    return
                if stored is not None and await self._replace(stored, content):
                    return
            except PlatformError as error:
                logger.info("own entry not written", extra={"error": str(error)})
            await asyncio.sleep(REGISTER_RETRY_S)

    async def _replace(self, stored: PlatformObject, content: HostEntry) -> bool:
        """Replace the entry of a former process; return whether that succeeded."""
        try:
            await self._store.replace(
                HOSTS_KIND, stored.name, content, revision=stored.revision
            )
        except PlatformError as error:
            logger.warning("own entry not replaced", extra={"error": str(error)})
            return False
        return True

    def _register_again(self) -> None:
        """Register again if the known entry of this host is missing or another one.

        The entry may have been removed by the former process of this host, late.
        """
        if self._registration is None or not self._registration.done():
            return
        host_id = self._own.host_id
        known = self._hosts_by_id.get(host_id)
        is_right = known is not None and _host_to_document(
            known, self._power_by_host.get(host_id, 0.0)
        ) == _host_to_document(self._own, self._n_cores)
        if not is_right and not self._is_leaving:
            logger.warning(
                "own entry not right", extra={"is_listed": known is not None}
            )
            self._registration = asyncio.ensure_future(
                supervise("own entry", self._register)
            )

    def _apply_all(self, objects: tuple[PlatformObject, ...]) -> None:
        self._hosts_by_id.clear()
        self._power_by_host.clear()
        for stored in objects:
            self._record(stored)
        self._publish()

    def _apply_change(self, change: ObjectChange) -> None:
        if change.is_removed:
            self._forget(change.object.name)
        else:
            self._record(change.object)
        self._publish()

    def _record(self, stored: PlatformObject) -> None:
        try:
            host = _host_from_document(stored)
            n_cores = read_number(stored.content["n_cores"])
        except SHAPE_ERRORS as error:
            extra = {"host": stored.name, "error": repr(error)}
            logger.warning("host's entry invalid", extra=extra)
            self._forget(stored.name)
            return
        self._hosts_by_id[stored.name] = host
        self._power_by_host[stored.name] = n_cores

    def _forget(self, host_id: HostId) -> None:
        self._hosts_by_id.pop(host_id, None)
        self._power_by_host.pop(host_id, None)

    def _publish(self) -> None:
        self._view.apply_powers(dict(self._power_by_host))
        self._membership.apply_host_list(self._hosts_by_id.values())
        self._register_again()


def _host_to_document(host: EntryHost, n_cores: float) -> HostEntry:
    return {
        "region": host.region,
        "data_centre": host.data_centre,
        "caller": str(host.caller),
        "peer": str(host.peer),
        "probe": str(host.probe),
        "n_cores": n_cores,
    }


def _host_from_document(stored: PlatformObject) -> EntryHost:
    content = stored.content
    return EntryHost(
        stored.name,
        read_text(content["region"]),
        read_text(content["data_centre"]),
        read_address(content["caller"]),
        read_address(content["peer"]),
        read_address(content["probe"]),
    )
