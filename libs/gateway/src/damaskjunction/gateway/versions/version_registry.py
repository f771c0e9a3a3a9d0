"""The software versions of the services, announced in the platform's store before use.

The home of a service announces the versions that are listed and drops those that have
left. Every host follows the records, and lets no stream or item begin at a version that
the record does not name.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from typing import Any, TypeAlias, TypedDict

from damaskjunction.core import (
    SHAPE_ERRORS,
    PlatformError,
    ServiceName,
    Subscription,
    Timers,
    read_integer,
    read_list,
    read_text,
)
from damaskjunction.gateway.state import ServingState
from damaskjunction.gateway.store.kind_state import KindState
from damaskjunction.node import cancel_tasks, supervise
from damaskjunction.platform import (
    ObjectChange,
    ObjectConflictError,
    PlatformObject,
    StoreClient,
)
from damaskjunction.routing import (
    ClosedVersion,
    VersionLedger,
    VersionRecord,
    listed_versions,
    stream_lives,
    unknown_record,
)
from damaskjunction.telemetry import Metrics

logger = logging.getLogger(__name__)

VERSIONS_KIND = "system-versions"
REVIEW_PERIOD_S = 0.5
WRITE_RETRY_S = 0.3
READ_TIMEOUT_S = 1.0

_Read: TypeAlias = asyncio.Task[VersionRecord | None]


class ClosedVersionDocument(TypedDict):
    """A closed version in a record."""

    version: str
    closing: int


class VersionRecordDocument(TypedDict):
    """The content of a service's record in the store."""

    open_versions: list[str]
    closed_versions: list[ClosedVersionDocument]
    n_closings: int


class VersionRegistry:
    """The version ledgers of all services that have streams or items.

    Parameters
    ----------
    store : StoreClient
        The platform's store.
    state : ServingState
        Routes, runners and hosts.
    timers : Timers
        The process's timer service.
    metrics : Metrics
        Metrics of the process.
    """

    def __init__(
        self, store: StoreClient, state: ServingState, timers: Timers, metrics: Metrics
    ) -> None:
        self._store = store
        self._state = state
        self._timers = timers
        self._metrics = metrics
        self._ledgers_by_service: dict[ServiceName, VersionLedger] = {}
        self._are_records_known = False
        self._stream_lives_by_service: dict[ServiceName, float] = {}
        self._seen: tuple[object, object] = (None, None)
        self._observers: list[Callable[[], None]] = []
        self._review_due = asyncio.Event()
        self._reviewing: asyncio.Task[None] | None = None
        self._subscription: Subscription | None = None
        self._reads_by_service: dict[ServiceName, _Read] = {}
        self._next_reads_by_service: dict[ServiceName, _Read] = {}
        self.kind_state = KindState(VERSIONS_KIND, self._apply_all, self._apply_change)
        state.view.subscribe(self._apply_view)

    async def start(self) -> None:
        """Start reviewing the records of the services whose home is this host."""
        self._reviewing = asyncio.ensure_future(
            supervise("software versions", self._review_records)
        )
        self._subscription = self._timers.every(REVIEW_PERIOD_S, self._review_due.set)

    async def close(self) -> None:
        """Stop reviewing, and the reads under way."""
        if self._subscription is not None:
            self._subscription.cancel()
        tasks = [
            *self._reads_by_service.values(),
            *self._next_reads_by_service.values(),
        ]
        if self._reviewing is not None:
            tasks.append(self._reviewing)
        await cancel_tasks(tasks)

    def subscribe(self, observer: Callable[[], None]) -> None:
        """Call the observer when versions may begin or be mixed that did not before."""
        self._observers.append(observer)

    @property
    def services(self) -> list[ServiceName]:
        """The services that have streams or items."""
        return list(self._stream_lives_by_service)

    def may_begin(self, service: ServiceName, version: str) -> bool:
        """Return whether runners of a version may begin streams and items."""
        if service not in self._stream_lives_by_service:
            return True
        return self._ledger(service).may_begin(version)

    def is_mixed(self, service: ServiceName) -> bool:
        """Return whether streams of several versions of a service may live."""
        return self._ledger(service).is_mixed

    def stream_life_s(self, service: ServiceName) -> float:
        """Return for how many seconds a stream of a service may live."""
        return self._stream_lives_by_service[service]

    async def read_sole_version(self, service: ServiceName) -> str | None:
        """Return the version of every live stream of a service, None if unknown.

        The store is read after the call: callers that wait share the next read. It is
        unknown after ``READ_TIMEOUT_S``.
        """
        read = self._next_reads_by_service.get(service)
        if read is None:
            read = asyncio.ensure_future(self._read(service))
            self._next_reads_by_service[service] = read
        try:
            async with asyncio.timeout(READ_TIMEOUT_S):
                record = await asyncio.shield(read)
        except (PlatformError, TimeoutError) as error:
            extra = {"service": service, "error": repr(error)}
            logger.info("software versions not read", extra=extra)
            return None
        return record.sole_version if record is not None else None

    def to_document(self) -> dict[str, Any]:
        """Return the listed versions and the records for the dump."""
        return {
            service: {
                "listed": sorted(ledger.listed),
                "record": None if ledger.record is None else _encode(ledger.record),
                "revision": ledger.revision,
            }
            for service, ledger in self._ledgers_by_service.items()
        }

    def _ledger(self, service: ServiceName) -> VersionLedger:
        ledger = self._ledgers_by_service.get(service)
        if ledger is None:
            ledger = self._ledgers_by_service[service] = VersionLedger()
            if self._are_records_known:
                ledger.observe_record(None, 0)
        return ledger

    def _notify(self) -> None:
        self._review_due.set()
        for observer in self._observers:
            observer()

    # Listed versions

    def _apply_view(self) -> None:
        table, runners = self._state.table, self._state.view.fleet.runners_by_id
        if self._seen[0] is table and self._seen[1] is runners:
            return
        if self._seen[0] is not table:
            self._stream_lives_by_service = stream_lives(table)
        self._seen = (table, runners)
        listed = listed_versions(runners.values(), self._stream_lives_by_service)
        is_changed = [
            self._ledger(service).observe_listed(versions)
            for service, versions in listed.items()
        ]
        if any(is_changed):
            self._notify()

    # Records

    def _apply_all(self, objects: tuple[PlatformObject, ...]) -> None:
        self._are_records_known = True
        for stored in objects:
            self._import(stored.name, stored)
        for ledger in self._ledgers_by_service.values():
            ledger.observe_record(None, 0)
        self._notify()

    def _apply_change(self, change: ObjectChange) -> None:
        if not change.is_removed and self._import(change.object.name, change.object):
            self._notify()

    def _import(self, service: ServiceName, stored: PlatformObject) -> bool:
        """Process a record that was read; return whether it is news.

        One of another writer that can't be decoded says nothing of the versions.
        """
        try:
            record = _decode(stored.content)
        except SHAPE_ERRORS as error:
            extra = {"service": service, "error": repr(error)}
            logger.warning("stored software versions invalid", extra=extra)
            record = unknown_record(stored.revision)
        return self._ledger(service).observe_record(record, stored.revision)

    async def _read(self, service: ServiceName) -> VersionRecord | None:
        """Return the record that the store has, or a later one; None if it has none.

        It is read once the read under way, which is older, has ended.
        """
        current = self._reads_by_service.get(service)
        if current is not None:
            await asyncio.wait([current])
        read = self._next_reads_by_service.pop(service)
        self._reads_by_service[service] = read
        try:
            stored = await self._store.get(VERSIONS_KIND, service)
        finally:
            if self._reads_by_service.get(service) is read:
                del self._reads_by_service[service]
        if stored is None:
            return None
        if self._import(service, stored):
            self._notify()
        return self._ledger(service).record

    async def _review_records(self) -> None:
        while True:
            await self._review_due.wait()
            self._review_due.clear()
            now_s = self._timers.now()
            for service, stream_life_s in self._stream_lives_by_service.items():
                if not self._state.homes.is_own(service):
                    continue
                record = self._ledger(service).review(now_s, stream_life_s)
                if record is not None:
                    await self._write(service, record)

    async def _write(self, service: ServiceName, record: VersionRecord) -> None:
        """Write a record, unless another host has written one since."""
        ledger = self._ledger(service)
        content = _encode(record)
        extra: dict[str, object] = {"service": service, **content}
        try:
            if ledger.record is None:
                stored = await self._store.create(VERSIONS_KIND, service, content)
            else:
                stored = await self._store.replace(
                    VERSIONS_KIND, service, content, revision=ledger.revision
                )
        except ObjectConflictError as error:
            if error.current is not None and self._import(service, error.current):
                self._notify()
            return
        except PlatformError as error:
            logger.warning(
                "software versions not stored", extra=extra | {"error": repr(error)}
            )
            self._metrics.count("version_records", result="failed")
            await asyncio.sleep(WRITE_RETRY_S)
            self._review_due.set()
            return
        logger.info("software versions stored", extra=extra)
        self._metrics.count("version_records", result="stored")
        ledger.observe_record(record, stored.revision)
        self._notify()


def _encode(record: VersionRecord) -> VersionRecordDocument:
    return {
        "open_versions": list(record.open_versions),
        "closed_versions": [
            {"version": closed.version, "closing": closed.closing}
            for closed in record.closed_versions
        ],
        "n_closings": record.n_closings,
    }


def _decode(content: VersionRecordDocument) -> VersionRecord:
    return VersionRecord(
        tuple(map(read_text, read_list(content["open_versions"]))),
        tuple(
            ClosedVersion(read_text(closed["version"]), read_integer(closed["closing"]))
            for closed in read_list(content["closed_versions"])
        ),
        read_integer(content["n_closings"]),
    )
