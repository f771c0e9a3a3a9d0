"""Spread of verdicts on requests that crash runners, to hosts and to the store."""

from __future__ import annotations

import asyncio
import json
import logging
import random
import uuid
from collections.abc import Mapping
from contextlib import suppress

from damaskjunction.core import (
    Address,
    ConflictError,
    PlatformError,
    RequestError,
    Timers,
)
from damaskjunction.core.units import MINUTE_S
from damaskjunction.node.documents import QUARANTINE_KIND, QuarantineDocument
from damaskjunction.node.state import HostView
from damaskjunction.node.tasks import TaskSet
from damaskjunction.platform import ObjectStore
from damaskjunction.routing import Quarantine, Verdict, VerdictNews
from damaskjunction.wire import PeerLinks

CONTROL_LANE = "control"
N_SEND_ATTEMPTS = 3
SEND_RETRY_S = 0.5
SYNC_INTERVAL_S = MINUTE_S
SYNC_RETRY_S = 2.0

logger = logging.getLogger(__name__)


class VerdictSpread:
    """Sends verdicts to the other hosts and keeps convictions in the store.

    Parameters
    ----------
    quarantine : Quarantine
        Verdicts of this host.
    view : HostView
        Known hosts.
    links : PeerLinks
        Links to the other hosts.
    store : ObjectStore
        Stores convictions across restarts.
    timers : Timers
        Timer service of the process.
    rng : random.Random
        Random number generator for the jitter of calls to the store.
    """

    def __init__(
        self,
        quarantine: Quarantine,
        view: HostView,
        links: PeerLinks,
        store: ObjectStore,
        *,
        timers: Timers,
        rng: random.Random,
    ) -> None:
        self._quarantine = quarantine
        self._view = view
        self._links = links
        self._store = store
        self._timers = timers
        self._rng = rng
        self._tasks = TaskSet()
        self._sync_requested = asyncio.Event()

    async def start(self) -> None:
        """Start syncing convictions with the platform's store."""
        self._tasks.begin(self._sync_loop())

    async def close(self) -> None:
        """Cancel the sync and pending broadcasts."""
        await self._tasks.close()

    def broadcast(self, news: VerdictNews) -> None:
        """Send news to all other hosts, and store convictions."""
        for host in self._view.fleet.hosts_by_id.values():
            if host.host_id != self._view.own.host_id:
                self._tasks.begin(self._send(host.peer, news))
        if news.verdict is Verdict.CONVICTED:
            self._sync_requested.set()

    async def _send(self, peer: Address, news: VerdictNews) -> None:
        for _ in range(N_SEND_ATTEMPTS):
            try:
                async for _reply in self._links.call(peer, CONTROL_LANE, news):
                    pass
                return
            except RequestError:
                await asyncio.sleep(SEND_RETRY_S)
        extra = {"peer": str(peer), "verdict": news.verdict.value}
        logger.warning("verdict not delivered", extra=extra)

    async def _sync_loop(self) -> None:
        """Sync convictions with the store at intervals and after each new one."""
        while True:
            pause_s = SYNC_INTERVAL_S * self._rng.uniform(0.5, 1.5)
            self._sync_requested.clear()
            try:
                await self._sync_with_store()
            except (PlatformError, ValueError, KeyError) as error:
                logger.warning("quarantine sync failed", extra={"error": str(error)})
                pause_s = SYNC_RETRY_S * self._rng.uniform(0.5, 1.5)
            with suppress(TimeoutError):
                async with asyncio.timeout(pause_s):
                    await self._sync_requested.wait()

    async def _sync_with_store(self) -> None:
        """Merge the stored convictions, and store those that are missing there."""
        name = self._view.own.region
        stored = await self._store.get(QUARANTINE_KIND, name)
        stored_since_by_fingerprint = _parse_convicted_since(
            stored.value if stored else b""
        )
        now_s, wall_s = self._timers.now(), self._timers.wall()
        for fingerprint, since_s in stored_since_by_fingerprint.items():
            age_s = max(0.0, wall_s - since_s)
            news = VerdictNews(Verdict.CONVICTED, (fingerprint,), age_s)
            self._quarantine.merge(news, now_s)
        age_by_fingerprint = self._quarantine.conviction_ages(now_s)
        if age_by_fingerprint.keys() - stored_since_by_fingerprint.keys():
            await self._write(age_by_fingerprint, stored.version if stored else 0)

    async def _write(
        self, age_by_fingerprint: Mapping[str, float], version: int
    ) -> None:
        wall_s = self._timers.wall()
        document: QuarantineDocument = {
            "convicted_since": {
                fingerprint: wall_s - age_s
                for fingerprint, age_s in age_by_fingerprint.items()
            }
        }
        try:
            await self._store.put(
                QUARANTINE_KIND,
                self._view.own.region,
                json.dumps(document).encode(),
                expected_version=version,
                operation_id=uuid.uuid4().hex,
            )
        except ConflictError:
            self._sync_requested.set()


def _parse_convicted_since(value: bytes) -> dict[str, float]:
    if not value:
        return {}
    document: QuarantineDocument = json.loads(value)
    return document["convicted_since"]
