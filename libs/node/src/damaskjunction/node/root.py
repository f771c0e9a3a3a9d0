"""The composition root: makes the parts of a host and wires them."""

from __future__ import annotations

import asyncio
import random
from contextlib import aclosing
from pathlib import Path

from damaskjunction.core import LoopTimers, Outcome, RequestError, stable_hash
from damaskjunction.http import HttpServer, Routes
from damaskjunction.node.admin import Admin
from damaskjunction.node.claims import CallClaims
from damaskjunction.node.crashes import CrashWatch
from damaskjunction.node.departure import Departure
from damaskjunction.node.entry import Entry
from damaskjunction.node.following import Follower
from damaskjunction.node.front import Front
from damaskjunction.node.home import Home
from damaskjunction.node.jobs import JobFront, JobWorker
from damaskjunction.node.placer import Placer
from damaskjunction.node.selection import Selection
from damaskjunction.node.state import HostView
from damaskjunction.platform import PlatformClient
from damaskjunction.routing import Forward, VerdictNews, admission_policies
from damaskjunction.settings import HostSettings
from damaskjunction.telemetry import Metrics, StateDump
from damaskjunction.wire import (
    LeavingNotice,
    Message,
    PeerLinks,
    PeerServer,
    Reply,
    StatusQuery,
)

LEAVING_NOTICE_S = 30.0


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
        chance = random.Random(stable_hash(settings.seed or settings.host_id))
        self._crashes = CrashWatch(
            self._view,
            self._links,
            self._store,
            timers,
            chance=chance,
            metrics=metrics,
        )
        policy = admission_policies.get(settings.admission)
        selection = Selection(self._view.own, timers, policy)
        self._home = Home(self._view, selection, self._crashes, timers, metrics=metrics)
        entry = Entry(
            self._view,
            self._home,
            self._links,
            selection,
            self._crashes,
            timers=timers,
            chance=chance,
            metrics=metrics,
        )
        self._follower = Follower(self._view, self._store)
        self._placer = Placer(self._view, self._store, timers)
        self._worker = JobWorker(self._view, self._store, entry, timers)
        self._admin = Admin(
            self._view,
            self._store,
            self._links,
            metrics=metrics,
            dump=dump,
            token=_read_token(settings),
        )
        routes = Routes()
        self._claims = CallClaims(
            self._store, entry, settings.host_id, timers, chance=chance
        )
        Front(self._view, entry, self._claims).register(routes)
        JobFront(self._view, self._store, timers).register(routes)
        self._admin.register(routes)
        self._callers = HttpServer(settings.caller, routes.handle)
        self._peers = PeerServer(settings.peer, timers, self._handle_peer)
        self._departure = Departure(
            self._view, self._links, self._callers, self._claims, self._peers
        )
        self._timers = timers
        self.is_to_leave = asyncio.Event()
        self._view.subscribe(self._check_state)
        dump.sections.register("host")(lambda: self._admin.own_status()._asdict())
        dump.sections.register("runners")(self._home.to_document)
        dump.sections.register("delivery")(entry.to_document)
        dump.sections.register("quarantine")(self._crashes.to_document)
        metrics.gauge("links_replaced_total", lambda: self._links.n_replaced)

    async def start(self) -> None:
        """Start every part; callers are served from now on."""
        self._home.start()
        await self._peers.start()
        await self._follower.start()
        await self._crashes.start()
        await self._claims.start()
        await self._placer.start()
        await self._worker.start()
        await self._callers.start()

    async def drain(self) -> None:
        """Take no new work and return when what is in progress has ended."""
        await self._departure.run()

    async def close(self) -> None:
        """Stop every part."""
        await self._callers.close()
        await self._claims.close()
        await self._worker.close()
        await self._placer.close()
        await self._crashes.close()
        await self._follower.close()
        await self._peers.close()
        self._links.close()
        await self._home.close()
        self._store.close()

    async def _handle_peer(self, message: Message, reply: Reply) -> None:
        match message:
            case Forward():
                self._refuse_when_leaving()
                async with aclosing(self._home.run(message)) as answers:
                    async for answer in answers:
                        await reply(answer)
            case LeavingNotice(host_id):
                self._view.note_leaving(host_id)
                self._timers.once(
                    LEAVING_NOTICE_S, lambda: self._view.forget_leaving(host_id)
                )
            case VerdictNews():
                self._crashes.take(message)
            case StatusQuery():
                await reply(self._admin.own_status())

    def _check_state(self) -> None:
        if self._view.is_told_to_leave():
            self.is_to_leave.set()

    def _refuse_when_leaving(self) -> None:
        """Refuse a peer's request, unless there is no other host to be its home."""
        if self._view.is_draining and self._view.serving_hosts():
            detail = f"{self._view.own.host_id} is leaving"
            raise RequestError(Outcome.NOT_RUN, "leaving", detail)


def _read_token(settings: HostSettings) -> str:
    if not settings.admin_token_file:
        return ""
    return Path(settings.admin_token_file).read_text().strip()
