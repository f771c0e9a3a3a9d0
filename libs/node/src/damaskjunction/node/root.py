"""The composition root: makes the parts of a host and wires them."""

from __future__ import annotations

import asyncio
import random
from contextlib import aclosing
from pathlib import Path

from damaskjunction.core import LoopTimers
from damaskjunction.http import HttpServer, Routes
from damaskjunction.node.admin import Admin
from damaskjunction.node.demand import DemandMeter
from damaskjunction.node.entry import Entry
from damaskjunction.node.following import Follower
from damaskjunction.node.front import Front
from damaskjunction.node.home import Home
from damaskjunction.node.job_cancel import JobCanceller
from damaskjunction.node.job_cleaner import JobCleaner
from damaskjunction.node.job_front import JobFront
from damaskjunction.node.job_store import JobStore
from damaskjunction.node.job_worker import JobWorker
from damaskjunction.node.leasing import LeaseKeeper
from damaskjunction.node.metering import Meter, MeteredEntry
from damaskjunction.node.peak_budget import PeakBudget
from damaskjunction.node.placer import Placer
from damaskjunction.node.probing import RunnerProbes
from damaskjunction.node.selection import Selection
from damaskjunction.node.services import ServicesFront
from damaskjunction.node.state import HostView
from damaskjunction.platform import PlatformClient
from damaskjunction.routing import Forward, admission_policies
from damaskjunction.settings import HostSettings
from damaskjunction.telemetry import Metrics, StateDump
from damaskjunction.wire import (
    JobStopped,
    Message,
    PeerLinks,
    PeerServer,
    PlacementQuery,
    Reply,
    StatusQuery,
    StopJob,
)


class HostProcess:
    """All parts of one host.

    Parameters
    ----------
    settings : HostSettings
        The host's settings.
    """

    def __init__(self, settings: HostSettings) -> None:
        timers = LoopTimers()
        metrics = Metrics()
        dump = StateDump()
        self._view = HostView(settings.to_entry_host())
        self._store = PlatformClient(settings.platform, timers)
        self._links = PeerLinks(timers)
        policy = admission_policies.get(settings.admission)
        selection = Selection(self._view, timers, policy)
        self._home = Home(self._view, selection, timers, metrics)
        self._demand = DemandMeter()
        self._meter = Meter(self._view, timers, metrics)
        entry = MeteredEntry(
            Entry(
                self._view,
                self._home,
                self._links,
                selection,
                timers,
                demand=self._demand,
            ),
            self._meter,
            timers,
        )
        self._follower = Follower(self._view, self._store)
        self._probes = RunnerProbes(self._view, timers, metrics)
        self._keeper = LeaseKeeper(self._view, self._store, timers, metrics)
        self._placer = Placer(
            self._view,
            self._store,
            self._links,
            keeper=self._keeper,
            probes=self._probes,
            demand=self._demand,
            timers=timers,
            metrics=metrics,
        )
        chance = random.Random(settings.seed or settings.host_id)
        jobs = JobStore(self._store, metrics, chance)
        self._peak = PeakBudget(
            self._view,
            jobs,
            self._meter,
            timers=timers,
            metrics=metrics,
            chance=chance,
        )
        self._worker = JobWorker(
            self._view,
            jobs,
            entry,
            meter=self._meter,
            peak=self._peak,
            timers=timers,
            metrics=metrics,
            chance=chance,
        )
        self._cleaner = JobCleaner(self._view, jobs, timers)
        canceller = JobCanceller(self._view, jobs, self._worker, self._links, timers)
        self._admin = Admin(
            self._view,
            self._store,
            self._links,
            metrics=metrics,
            dump=dump,
            token=_read_token(settings),
        )
        routes = Routes()
        Front(self._view, entry).register(routes)
        JobFront(self._view, jobs, canceller, self._peak, timers).register(routes)
        self._admin.register(routes)
        ServicesFront(self._view, self._admin.authorize).register(routes)
        self._callers = HttpServer(settings.caller, routes.handle)
        self._peers = PeerServer(settings.peer, timers, self._handle_peer)
        dump.sections.register("host")(lambda: self._admin.own_status()._asdict())
        dump.sections.register("batch")(self._worker.to_document)
        dump.sections.register("peak")(self._peak.to_document)
        dump.sections.register("runners")(self._home.to_document)
        dump.sections.register("placement")(self._placer.to_document)

    async def start(self) -> None:
        """Start every part; callers are served from now on."""
        self._home.start()
        await self._peers.start()
        await self._follower.start()
        await self._probes.start()
        await self._keeper.start()
        await self._placer.start()
        await self._peak.start()
        await self._worker.start()
        await self._cleaner.start()
        await self._callers.start()

    async def drain(self) -> None:
        """Take no new work and return when what is in progress has ended."""
        self._view.start_draining()
        await asyncio.gather(self._worker.drain(), self._callers.drain())
        await self._home.drain()

    async def close(self) -> None:
        """Stop every part."""
        await self._callers.close()
        await self._worker.close()
        await self._cleaner.close()
        await self._peak.close()
        await self._placer.close()
        await self._keeper.close()
        await self._probes.close()
        await self._follower.close()
        await self._peers.close()
        self._links.close()
        await self._home.close()
        self._store.close()

    async def _handle_peer(self, message: Message, reply: Reply) -> None:
        match message:
            case Forward():
                async with aclosing(self._home.run(message)) as answers:
                    async for answer in answers:
                        await reply(answer)
            case StopJob(job_id):
                await self._worker.stop_job(job_id)
                await reply(JobStopped(job_id))
            case StatusQuery():
                await reply(self._admin.own_status())
            case PlacementQuery():
                for report in (*self._probes.statuses(), *self._demand.loads()):
                    await reply(report)


def _read_token(settings: HostSettings) -> str:
    if not settings.admin_token_file:
        return ""
    return Path(settings.admin_token_file).read_text().strip()
