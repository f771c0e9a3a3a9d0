"""The origins of streams, kept by the host that serves each and by some of its peers.

Peers are told only while streams of several versions of a service may live; with one
version alone, its record in the store tells as much.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Iterable
from typing import Any

from damaskjunction.core import (
    EntryHost,
    HostId,
    RequestError,
    RequestId,
    ServiceName,
    Timers,
)
from damaskjunction.gateway.state import ServingState
from damaskjunction.gateway.versions.version_registry import VersionRegistry
from damaskjunction.node import PeerHandlers, TaskSet, cancel_tasks
from damaskjunction.routing import OriginMemory, StreamOrigin
from damaskjunction.wire import (
    Noted,
    OriginAsk,
    OriginFound,
    PeerLinks,
    Reply,
    StreamOrigins,
)

logger = logging.getLogger(__name__)

LANE = "control"
N_KEEPERS = 3  # other hosts that keep the origin of a stream
GATHER_S = 0.02  # new streams are told together
MAX_ORIGINS_A_MESSAGE = 500
SEND_TIMEOUT_S = 0.5
ASK_TIMEOUT_S = 0.2


class StreamOriginKeeper:
    """Keeps the origins of the streams of this host and of those it was told of.

    Parameters
    ----------
    state : ServingState
        Known hosts.
    version_registry : VersionRegistry
        Tells of which services several versions may have streams.
    links : PeerLinks
        Links to other hosts.
    timers : Timers
        The process's timer service.
    """

    def __init__(
        self,
        state: ServingState,
        version_registry: VersionRegistry,
        links: PeerLinks,
        timers: Timers,
    ) -> None:
        self._state = state
        self._version_registry = version_registry
        self._links = links
        self._timers = timers
        self._own = OriginMemory()
        self._told = OriginMemory()
        self._outbox: list[StreamOrigin] = []
        self._keepers_by_service: dict[ServiceName, frozenset[HostId]] = {}
        self._sending = TaskSet()
        self._observers: list[Callable[[StreamOrigin], None]] = []
        state.view.subscribe(self._tell_new_keepers)
        version_registry.subscribe(self._tell_new_keepers)

    async def start(self) -> None:
        """Do nothing; origins are told as streams begin."""

    async def close(self) -> None:
        """Cancel the messages under way."""
        await self._sending.close()

    def register(self, handlers: PeerHandlers) -> None:
        """Register the handlers for the messages of other hosts."""
        handlers.register(StreamOrigins)(self._handle_origins)
        handlers.register(OriginAsk)(self._handle_ask)

    def subscribe(self, observer: Callable[[StreamOrigin], None]) -> None:
        """Call the observer with each origin that this host records or is told."""
        self._observers.append(observer)

    def record(self, origin: StreamOrigin) -> None:
        """Record the origin of a stream that this host serves."""
        self._own.record(origin, self._timers.now())
        self._notify(origin)
        if not self._version_registry.is_mixed(origin.service_name):
            return
        if not self._outbox:
            self._sending.begin(self._send_outbox())
        self._outbox.append(origin)

    def find(self, request_id: RequestId) -> StreamOrigin | None:
        """Return the origin of a stream as far as this host knows it."""
        now_s = self._timers.now()
        own = self._own.find(request_id, now_s)
        return own if own is not None else self._told.find(request_id, now_s)

    def learn(self, origins: Iterable[StreamOrigin]) -> None:
        """Remember origins that were found elsewhere."""
        now_s = self._timers.now()
        for origin in origins:
            self._told.record(origin, now_s)

    def of_service(self, service: ServiceName) -> list[StreamOrigin]:
        """Return the origins of a service's streams that this host knows."""
        now_s = self._timers.now()
        told = self._told.of_service(service, now_s)
        return [*told, *self._own.of_service(service, now_s)]

    async def ask_peers(
        self, services: Iterable[ServiceName], request_id: RequestId
    ) -> StreamOrigin | None:
        """Return the origin of a stream as the first peer knows it, None if none does.

        The peers are the keepers of the services' streams, and a further one, since the
        host that served the stream is no keeper of its own.
        """
        hosts_by_id = {
            host.host_id: host
            for service in services
            for host in self._ranked_peers(service)[: N_KEEPERS + 1]
        }
        asks = [
            asyncio.ensure_future(self._ask(host, request_id))
            for host in hosts_by_id.values()
        ]
        try:
            async with asyncio.timeout(ASK_TIMEOUT_S):
                for answer in asyncio.as_completed(asks):
                    origin = await answer
                    if origin is not None:
                        return origin
        except TimeoutError:
            extra = {"request": request_id, "hosts": sorted(hosts_by_id)}
            logger.info("stream's origin not told in time", extra=extra)
        finally:
            await cancel_tasks(asks)
        return None

    def to_document(self) -> dict[str, Any]:
        """Return the state for the dump."""
        return {
            "n_own": len(self._own),
            "n_told": len(self._told),
            "keepers_by_service": {
                service: sorted(keepers)
                for service, keepers in self._keepers_by_service.items()
            },
        }

    def _ranked_peers(self, service: ServiceName) -> list[EntryHost]:
        own_id = self._state.view.own.host_id
        homes = self._state.homes.homes_of(service)
        return [host for host in homes if host.host_id != own_id]

    def _tell_new_keepers(self) -> None:
        """Tell hosts that become keepers of all streams that this host has served."""
        for service in self._version_registry.services:
            if not self._version_registry.is_mixed(service):
                self._keepers_by_service.pop(service, None)
                continue
            keepers = self._ranked_peers(service)[:N_KEEPERS]
            known = self._keepers_by_service.get(service, frozenset())
            new_keepers = [host for host in keepers if host.host_id not in known]
            self._keepers_by_service[service] = frozenset(h.host_id for h in keepers)
            origins = self._own.of_service(service, self._timers.now())
            for host in new_keepers if origins else ():
                self._sending.begin(self._send(host, origins))

    async def _send_outbox(self) -> None:
        await asyncio.sleep(GATHER_S)
        origins, self._outbox = self._outbox, []
        for service in sorted({origin.service_name for origin in origins}):
            found = [o for o in origins if o.service_name == service]
            for host in self._ranked_peers(service)[:N_KEEPERS]:
                self._sending.begin(self._send(host, found))

    async def _send(self, host: EntryHost, origins: list[StreamOrigin]) -> None:
        try:
            for start in range(0, len(origins), MAX_ORIGINS_A_MESSAGE):
                part = tuple(origins[start : start + MAX_ORIGINS_A_MESSAGE])
                async with asyncio.timeout(SEND_TIMEOUT_S):
                    await self._links.ask(host.peer, LANE, StreamOrigins(part))
        except (RequestError, TimeoutError) as error:
            extra = {
                "host": host.host_id,
                "n_streams": len(origins),
                "error": repr(error),
            }
            logger.info("streams' origins not told", extra=extra)

    async def _ask(self, host: EntryHost, request_id: RequestId) -> StreamOrigin | None:
        try:
            found: OriginFound = await self._links.ask(
                host.peer, LANE, OriginAsk(request_id)
            )
        except RequestError as error:
            extra = {"host": host.host_id, "error": repr(error)}
            logger.info("stream's origin not asked", extra=extra)
            return None
        return found.origins[0] if found.origins else None

    async def _handle_origins(self, message: StreamOrigins, reply: Reply) -> None:
        self.learn(message.origins)
        for origin in message.origins:
            self._notify(origin)
        await reply(Noted())

    def _notify(self, origin: StreamOrigin) -> None:
        for observer in self._observers:
            observer(origin)

    async def _handle_ask(self, ask: OriginAsk, reply: Reply) -> None:
        origin = self.find(ask.request_id)
        await reply(OriginFound(() if origin is None else (origin,)))
