"""The requests suspected of crashing runners, kept in the platform's store.

The home of a service records its crashes. The suspects that follow are stored and read
by every host, so that a new home or a restarted host knows them.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Collection
from typing import Any, TypedDict

from damaskjunction.core import (
    SHAPE_ERRORS,
    MalformedError,
    PlatformError,
    ServiceName,
    Timers,
    read_list,
    read_number,
    read_text,
    stable_hash,
)
from damaskjunction.gateway.store.kind_state import KindState
from damaskjunction.node import cancel_tasks, supervise
from damaskjunction.platform import (
    ObjectChange,
    ObjectConflictError,
    PlatformObject,
    StoreClient,
)
from damaskjunction.routing import CrashEvidence, CrashReport, Suspect
from damaskjunction.telemetry import Metrics
from damaskjunction.wire import TraitsAnswered

logger = logging.getLogger(__name__)

SUSPECTS_KIND = "system-suspects"
WRITE_RETRY_S = 0.5


class SuspectDocument(TypedDict):
    """The content of a suspect's object in the store."""

    service: str
    traits: list[str]
    crash_ids: list[str]
    last_crash_wall_s: float


class SuspectRegistry:
    """The crash evidence by service, and the suspects in the store.

    Parameters
    ----------
    store : StoreClient
        The platform's store.
    timers : Timers
        The process's timer service.
    metrics : Metrics
        Metrics of the process.
    origin : str
        Prefix of crash ids, unique to this process.
    """

    def __init__(
        self, store: StoreClient, timers: Timers, metrics: Metrics, origin: str
    ) -> None:
        self._store = store
        self._timers = timers
        self._metrics = metrics
        self._origin = origin
        self._evidence_by_service: dict[ServiceName, CrashEvidence] = {}
        self._stored_by_name: dict[str, PlatformObject] = {}
        self._changed_services: set[ServiceName] = set()
        self._change_recorded = asyncio.Event()
        self._writing: asyncio.Task[None] | None = None
        self.state = KindState(SUSPECTS_KIND, self._apply_all, self._apply_change)

    async def start(self) -> None:
        """Start writing suspects to the store as they change."""
        self._writing = asyncio.ensure_future(
            supervise("suspects", self._write_changes)
        )

    async def close(self) -> None:
        """Stop writing."""
        if self._writing is not None:
            await cancel_tasks([self._writing])

    def record_crash(self, report: CrashReport) -> None:
        """Record the crash of a runner."""
        evidence = self._evidence_of(report.service_name)
        known = evidence.suspects
        crash_id = evidence.record_crash(report, self._timers.now())
        extra = {
            "service": report.service_name,
            "runner": report.runner_id,
            "crash": crash_id,
            "n_accused": len(report.accused),
            "suspects": _describe(evidence.suspects),
        }
        logger.warning("runner crashed", extra=extra)
        self._metrics.count("runner_crash_reports")
        self._record_change(report.service_name, known)

    def record_answer(self, report: TraitsAnswered) -> None:
        """Record that a runner was answering a request with these traits."""
        evidence = self._evidence_of(report.service_name)
        known = evidence.suspects
        now_s = self._timers.now()
        evidence.record_answer(report.traits, now_s - report.age_s, now_s)
        self._record_change(report.service_name, known)

    def watched(self, service: ServiceName, traits: Collection[str]) -> tuple[str, ...]:
        """Return the traits whose answers ``record_answer`` is to be told."""
        return self._evidence_of(service).watched(traits)

    def is_suspect(self, service: ServiceName, traits: Collection[str]) -> bool:
        """Return whether a request with these traits may crash its runner."""
        return self._evidence_of(service).is_suspect(traits)

    def blocked_for_s(self, service: ServiceName, traits: Collection[str]) -> float:
        """Return for how many seconds a request is blocked; 0.0 lets it run."""
        return self._evidence_of(service).blocked_for_s(traits, self._timers.now())

    def to_document(self) -> dict[str, Any]:
        """Return the suspects by service for the dump."""
        return {
            service: _describe(evidence.suspects)
            for service, evidence in self._evidence_by_service.items()
        }

    def _evidence_of(self, service: ServiceName) -> CrashEvidence:
        evidence = self._evidence_by_service.get(service)
        if evidence is None:
            evidence = self._evidence_by_service[service] = CrashEvidence(self._origin)
        return evidence

    def _record_change(self, service: ServiceName, known: tuple[Suspect, ...]) -> None:
        suspects = self._evidence_of(service).suspects
        if suspects == known:
            return
        extra = {"service": service, "suspects": _describe(suspects)}
        logger.warning("suspect requests changed", extra=extra)
        self._changed_services.add(service)
        self._change_recorded.set()

    # Suspects of other hosts

    def _apply_all(self, objects: tuple[PlatformObject, ...]) -> None:
        names = {stored.name for stored in objects}
        for name in self._stored_by_name.keys() - names:
            self._forget(name)
        for stored in objects:
            self._import(stored)

    def _apply_change(self, change: ObjectChange) -> None:
        if change.is_removed:
            self._forget(change.object.name)
        else:
            self._import(change.object)

    def _import(self, stored: PlatformObject) -> None:
        try:
            service, suspect = self._decode(stored)
        except SHAPE_ERRORS as error:
            extra = {"object": stored.name, "error": repr(error)}
            logger.warning("stored suspect invalid", extra=extra)
            return
        self._stored_by_name[stored.name] = stored
        evidence = self._evidence_of(service)
        evidence.import_suspect(stored.name, suspect, self._timers.now())

    def _forget(self, name: str) -> None:
        if self._stored_by_name.pop(name, None) is not None:
            for evidence in self._evidence_by_service.values():
                evidence.forget_suspect(name, self._timers.now())

    def _decode(self, stored: PlatformObject) -> tuple[ServiceName, Suspect]:
        content: SuspectDocument = stored.content
        last_crash_wall_s = read_number(content["last_crash_wall_s"])
        age_s = max(0.0, self._timers.wall() - last_crash_wall_s)
        suspect = Suspect(
            tuple(map(read_text, read_list(content["traits"]))),
            tuple(map(read_text, read_list(content["crash_ids"]))),
            self._timers.now() - age_s,
        )
        if not suspect.traits:
            raise MalformedError("a suspect without traits")
        return read_text(content["service"]), suspect

    # Own suspects

    async def _write_changes(self) -> None:
        while True:
            await self._change_recorded.wait()
            self._change_recorded.clear()
            services, self._changed_services = self._changed_services, set()
            for service in services:
                await self._write_service(service)

    async def _write_service(self, service: ServiceName) -> None:
        """Store the suspects of a service and delete those that are outdated."""
        now_s = self._timers.now()
        try:
            for suspect in self._evidence_of(service).suspects:
                await self._write_suspect(service, suspect)
            for stored in list(self._stored_by_name.values()):
                stored_service, suspect = self._decode(stored)
                evidence = self._evidence_of(service)
                if stored_service == service and evidence.is_outdated(suspect, now_s):
                    await self._store.delete(SUSPECTS_KIND, stored.name)
        except PlatformError as error:
            extra = {"service": service, "error": repr(error)}
            logger.warning("suspects not stored", extra=extra)
            self._changed_services.add(service)
            self._change_recorded.set()
            await asyncio.sleep(WRITE_RETRY_S)

    async def _write_suspect(self, service: ServiceName, suspect: Suspect) -> None:
        name = f"{stable_hash(service, *suspect.traits):016x}"
        stored = self._stored_by_name.get(name)
        if stored is None:
            try:
                content = self._encode(service, suspect)
                await self._store.create(SUSPECTS_KIND, name, content)
                return
            except ObjectConflictError as error:
                stored = error.current
        if stored is None:
            return
        try:
            _, known = self._decode(stored)
        except SHAPE_ERRORS as error:
            extra = {"object": stored.name, "error": repr(error)}
            logger.warning("suspect not merged", extra=extra)
            return
        crash_ids = tuple(sorted({*known.crash_ids, *suspect.crash_ids}))
        if crash_ids != known.crash_ids:
            merged = self._encode(service, suspect._replace(crash_ids=crash_ids))
            await self._store.replace(
                SUSPECTS_KIND, name, merged, revision=stored.revision
            )

    def _encode(self, service: ServiceName, suspect: Suspect) -> SuspectDocument:
        age_s = self._timers.now() - suspect.last_crash_at_s
        return {
            "service": service,
            "traits": list(suspect.traits),
            "crash_ids": list(suspect.crash_ids),
            "last_crash_wall_s": self._timers.wall() - age_s,
        }


def _describe(suspects: tuple[Suspect, ...]) -> list[str]:
    """Return each suspect as text: its traits and the number of its crashes."""
    return [f"{','.join(s.traits)}:{len(s.crash_ids)}" for s in suspects]
