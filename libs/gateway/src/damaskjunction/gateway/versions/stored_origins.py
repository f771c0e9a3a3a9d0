"""The origins of streams in the platform's store, for the loss of all hosts at once.

While several versions of a service may have streams, its home stores the origins of
which it knows, in groups. Hosts read them when neither they nor their peers know the
origin of a stream.
"""

from __future__ import annotations

import asyncio
import logging
from typing import TypedDict

from damaskjunction.core import PlatformError, RequestId, ServiceName, Timers
from damaskjunction.gateway.state import ServingState
from damaskjunction.gateway.versions.stream_origins import StreamOriginKeeper
from damaskjunction.gateway.versions.version_registry import VersionRegistry
from damaskjunction.node import cancel_tasks, supervise
from damaskjunction.platform import ObjectConflictError, PlatformObject, StoreClient
from damaskjunction.routing import (
    GroupWrite,
    StoredGroup,
    StreamGroups,
    StreamOrigin,
    stored_origins,
)
from damaskjunction.telemetry import Metrics

logger = logging.getLogger(__name__)

ORIGINS_KIND = "system-stream-origins"
WRITE_PERIOD_S = 0.1
WRITE_RETRY_S = 0.5
MIN_READ_GAP_S = 0.2


class GroupDocument(TypedDict):
    """The content of a group of origins in the store."""

    service: str
    number: int
    ids_by_version: dict[str, list[str]]


class StoredOrigins:
    """Stores the origins of streams as the home of their service, and reads them.

    Parameters
    ----------
    store : StoreClient
        The platform's store.
    state : ServingState
        Tells of which services this host is the home.
    version_registry : VersionRegistry
        Tells of which services several versions may have streams.
    keeper : StreamOriginKeeper
        Knows the origins that are to be stored, and learns those that are read.
    timers : Timers
        The process's timer service.
    metrics : Metrics
        Metrics of the process.
    """

    def __init__(
        self,
        store: StoreClient,
        state: ServingState,
        version_registry: VersionRegistry,
        keeper: StreamOriginKeeper,
        *,
        timers: Timers,
        metrics: Metrics,
    ) -> None:
        self._store = store
        self._state = state
        self._version_registry = version_registry
        self._keeper = keeper
        self._timers = timers
        self._metrics = metrics
        self._groups_by_service: dict[ServiceName, StreamGroups] = {}
        self._write_due = asyncio.Event()
        self._writing: asyncio.Task[None] | None = None
        self._read: asyncio.Task[None] | None = None
        self._read_at_s = float("-inf")
        keeper.subscribe(self._add)
        version_registry.subscribe(self._follow_homes)
        state.view.subscribe(self._follow_homes)

    async def start(self) -> None:
        """Start storing the origins of the services whose home is this host."""
        self._writing = asyncio.ensure_future(
            supervise("stream origins", self._write_groups)
        )

    async def close(self) -> None:
        """Stop writing, and the read under way."""
        tasks = [task for task in (self._writing, self._read) if task is not None]
        await cancel_tasks(tasks)

    async def find(
        self, services: list[ServiceName], request_id: RequestId
    ) -> StreamOrigin | None:
        """Return the origin of a stream as the store tells it, None if it does not.

        Reads are shared and at least ``MIN_READ_GAP_S`` apart.
        """
        if not any(map(self._version_registry.is_mixed, services)):
            return None
        is_over = self._read is None or self._read.done()
        if is_over and self._timers.now() - self._read_at_s >= MIN_READ_GAP_S:
            self._read_at_s = self._timers.now()
            self._read = asyncio.ensure_future(self._read_groups())
        if self._read is not None:
            await asyncio.shield(self._read)
        return self._keeper.find(request_id)

    async def _read_groups(self) -> None:
        try:
            page = await self._store.list_all(ORIGINS_KIND)
        except PlatformError as error:
            logger.info("stored origins not read", extra={"error": repr(error)})
            return
        groups_by_service = _groups_by_service(page.objects)
        for service, groups in groups_by_service.items():
            origins = stored_origins(service, groups)
            self._keeper.learn(origins)
            extra = {"service": service, "n_streams": len(origins)}
            logger.info("stored origins read", extra=extra)

    # Writing

    def _follow_homes(self) -> None:
        """Begin to store the origins of mixed services whose home is this host."""
        registry, known = self._version_registry, self._groups_by_service
        for service in registry.services:
            is_due = registry.is_mixed(service) and self._state.homes.is_own(service)
            if not is_due:
                known.pop(service, None)
            elif service not in known:
                known[service] = StreamGroups(registry.stream_life_s(service))
                for origin in self._keeper.of_service(service):
                    self._add(origin)

    def _add(self, origin: StreamOrigin) -> None:
        groups = self._groups_by_service.get(origin.service_name)
        if groups is not None:
            groups.add(origin, self._timers.now())
            self._write_due.set()

    async def _write_groups(self) -> None:
        while True:
            await self._write_due.wait()
            await asyncio.sleep(WRITE_PERIOD_S)
            self._write_due.clear()
            for service, groups in list(self._groups_by_service.items()):
                if not groups.has_pending(self._timers.now()):
                    continue
                try:
                    await self._write_next(service, groups)
                except PlatformError as error:
                    self._metrics.count("stored_origins", result="failed")
                    extra = {"service": service, "error": repr(error)}
                    logger.info("streams' origins not stored", extra=extra)
                    await asyncio.sleep(WRITE_RETRY_S)
                if groups.has_pending(self._timers.now()):
                    self._write_due.set()

    async def _write_next(self, service: ServiceName, groups: StreamGroups) -> None:
        """Write the next group of a service, once its groups have been read."""
        if not groups.is_known:
            page = await self._store.list_all(ORIGINS_KIND)
            found = _groups_by_service(page.objects).get(service, [])
            groups.observe_groups(found)
            self._keeper.learn(stored_origins(service, found))
        write = groups.next_write(self._timers.now())
        if write is None:
            return
        try:
            stored = await self._put(service, write)
        except ObjectConflictError as error:
            current = None if error.current is None else _decode(error.current)
            groups.observe_conflict(write.number, current)
            self._metrics.count("stored_origins", result="conflict")
            return
        groups.observe_written(write, stored.revision)
        self._metrics.count("stored_origins", result="stored")

    async def _put(self, service: ServiceName, write: GroupWrite) -> PlatformObject:
        name = f"{service}-{write.number}"
        content = _encode(service, write)
        if not write.revision:
            return await self._store.create(ORIGINS_KIND, name, content)
        return await self._store.replace(
            ORIGINS_KIND, name, content, revision=write.revision
        )


def _groups_by_service(
    objects: tuple[PlatformObject, ...],
) -> dict[ServiceName, list[StoredGroup]]:
    groups_by_service: dict[ServiceName, list[StoredGroup]] = {}
    for stored in objects:
        service = stored.name.rpartition("-")[0]
        groups_by_service.setdefault(service, []).append(_decode(stored))
    return groups_by_service


def _encode(service: ServiceName, write: GroupWrite) -> GroupDocument:
    ids_by_version: dict[str, list[str]] = {}
    for request_id, version in write.version_by_id.items():
        ids_by_version.setdefault(version, []).append(request_id)
    return {
        "service": service,
        "number": write.number,
        "ids_by_version": ids_by_version,
    }


def _decode(stored: PlatformObject) -> StoredGroup:
    """Return a group; one of another writer that can't be decoded names no stream."""
    number = stored.name.rpartition("-")[2]
    version_by_id: dict[RequestId, str] = {}
    try:
        content: GroupDocument = stored.content
        for version, request_ids in content["ids_by_version"].items():
            version_by_id.update(dict.fromkeys(map(str, request_ids), version))
    except (AttributeError, KeyError, TypeError, ValueError) as error:
        extra = {"object": stored.name, "error": repr(error)}
        logger.warning("stored origins invalid", extra=extra)
        version_by_id = {}
    return StoredGroup(
        int(number) if number.isdecimal() else -1, stored.revision, version_by_id
    )
