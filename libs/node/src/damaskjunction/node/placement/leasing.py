"""Acquires, renews and releases the lease of a region on the platform."""

from __future__ import annotations

import asyncio
import json
import logging
import uuid

from damaskjunction.core import (
    ConflictError,
    DamaskjunctionError,
    HostId,
    PlatformUnavailableError,
    PlatformUnknownError,
    Revision,
    Timers,
    rendezvous_order,
)
from damaskjunction.node.documents import LEASE_KIND, LeaseDocument
from damaskjunction.node.state import HostView
from damaskjunction.node.tasks import cancel_tasks
from damaskjunction.placement import ReadLease, RegionLease, WriteLease
from damaskjunction.platform import ObjectStore
from damaskjunction.telemetry import Metrics

logger = logging.getLogger(__name__)

STEP_INTERVAL_S = 0.2
CALLS_METRIC = "lease_calls_total"


class LeaseNotHeldError(DamaskjunctionError):
    """The lease is not held, but the action requires it."""


class LeaseManager:
    """Acquires, renews and releases the region's lease on behalf of one host.

    Parameters
    ----------
    view : HostView
        Hosts of the region, which are the candidates; a draining host releases the
        lease.
    store : ObjectStore
        The platform's object store, which holds the lease.
    timers : Timers
        Timer service of this process.
    metrics : Metrics
        Counts reads and writes of the lease.
    """

    def __init__(
        self, view: HostView, store: ObjectStore, timers: Timers, metrics: Metrics
    ) -> None:
        self._view = view
        self._store = store
        self._timers = timers
        self._metrics = metrics
        holder = f"{view.own.host_id}/{uuid.uuid4().hex[:8]}"
        self.lease = RegionLease(holder)
        self._task: asyncio.Task[None] | None = None
        metrics.gauge("lease_held", lambda: float(self.may_act()))

    async def start(self) -> None:
        """Start competing for the lease."""
        self._task = asyncio.ensure_future(self._run())

    async def close(self) -> None:
        """Stop and release the lease."""
        if self._task is not None:
            await cancel_tasks([self._task])
        await self._release()

    def may_act(self) -> bool:
        """Return whether this host holds an unexpired lease now."""
        return self.lease.may_act(self._timers.now())

    def observed_holder_id(self) -> HostId:
        """Return the host that held the lease when it was last read."""
        return self.lease.observed_holder.partition("/")[0]

    def require_held(self) -> None:
        """Check that this host holds an unexpired lease now.

        Raises
        ------
        LeaseNotHeldError
            When it does not.
        """
        if not self.may_act():
            raise LeaseNotHeldError("this host does not hold the lease")

    async def _run(self) -> None:
        while True:
            try:
                if self._view.is_draining:
                    await self._release()
                else:
                    await self._run_step()
            except Exception:
                logger.exception("lease step failed")
                self.lease.invalidate()
            await asyncio.sleep(STEP_INTERVAL_S)

    async def _run_step(self) -> None:
        was_held = self.may_act()
        action = self.lease.next_action(self._timers.now(), rank=self._rank())
        match action:
            case ReadLease():
                await self._read()
            case WriteLease():
                await self._write(action)
        if self.may_act() != was_held:
            extra = {"held": not was_held, "fence": self.lease.fence}
            logger.info("lease ownership changed", extra=extra)

    async def _release(self) -> None:
        action = self.lease.release()
        if action is not None:
            await self._write(action)

    async def _read(self) -> None:
        try:
            stored = await self._store.get(LEASE_KIND, self._view.own.region)
        except PlatformUnavailableError:
            self._count("read", "unavailable")
            self.lease.record_unavailable(self._timers.now())
            return
        self._count("read", "done")
        version = stored.version if stored is not None else 0
        value = stored.value if stored is not None else b""
        self.lease.record_read(self._timers.now(), version, _parse_holder(value))

    async def _write(self, action: WriteLease) -> None:
        document: LeaseDocument = {"holder": action.holder}
        started_s = self._timers.now()
        try:
            version = await self._store.put(
                LEASE_KIND,
                self._view.own.region,
                json.dumps(document).encode(),
                expected_version=action.expected_version,
                operation_id=uuid.uuid4().hex,
            )
        except ConflictError as error:
            self._count("write", "conflict")
            now_s = self._timers.now()
            self.lease.record_conflict(now_s, error.version, _parse_holder(error.value))
        except PlatformUnavailableError:
            self._count("write", "unavailable")
            self.lease.record_unavailable(self._timers.now())
        except PlatformUnknownError:
            self._count("write", "unknown")
            self.lease.invalidate()
        else:
            self._count("write", "done")
            self._record_write(action, started_s, version)

    def _record_write(
        self, action: WriteLease, started_s: float, version: Revision
    ) -> None:
        """Record a stored write, unless it is a release, which has no holder."""
        if action.holder:
            self.lease.record_write(started_s, version)

    def _rank(self) -> int:
        """Return this host's rank among the region's candidates, 0 being the first."""
        region = self._view.own.region
        candidates = [
            (host.host_id, 1.0)
            for host in self._view.serving_hosts()
            if host.region == region
        ]
        order = rendezvous_order(region, candidates)
        own_id = self._view.own.host_id
        return order.index(own_id) if own_id in order else len(order)

    def _count(self, call: str, result: str) -> None:
        self._metrics.count(CALLS_METRIC, call=call, result=result)


def _parse_holder(value: bytes) -> str:
    try:
        return str(json.loads(value)["holder"])
    except (ValueError, KeyError, TypeError):
        return ""
