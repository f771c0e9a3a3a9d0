"""The composition root: makes the parts of a host and wires them."""

from __future__ import annotations

import asyncio
import random
from contextlib import aclosing
from pathlib import Path

from damaskjunction.core import LoopTimers, stable_hash
from damaskjunction.http import HttpServer, Routes
from damaskjunction.membership import Detector, first_incarnation
from damaskjunction.node.admin import Admin
from damaskjunction.node.datagrams import OpenDatagrams, open_datagrams
from damaskjunction.node.entry import Entry
from damaskjunction.node.following import Follower
from damaskjunction.node.front import Front
from damaskjunction.node.home import Home
from damaskjunction.node.jobs import JobFront, JobWorker
from damaskjunction.node.membership import Membership
from damaskjunction.node.placer import Placer
from damaskjunction.node.selection import Selection
from damaskjunction.node.state import HostView
from damaskjunction.platform import PlatformClient
from damaskjunction.routing import Forward, admission_policies
from damaskjunction.settings import HostSettings
from damaskjunction.telemetry import Metrics, StateDump
from damaskjunction.wire import (
    DataCentreQuery,
    DocumentQuery,
    MembersQuery,
    Message,
    PeerLinks,
    PeerServer,
    Reply,
    StatusQuery,
)


class HostProcess:
    """All parts of one host.

    Parameters
    ----------
    settings : HostSettings
        The host's settings.
    open_endpoint : callable, optional
        Opens the endpoint of datagrams.
    """

    def __init__(
        self, settings: HostSettings, open_endpoint: OpenDatagrams = open_datagrams
    ) -> None:
        timers = LoopTimers()
        metrics = Metrics()
        dump = StateDump()
        self._view = HostView(settings.to_entry_host())
        self._store = PlatformClient(settings.platform, timers)
        self._links = PeerLinks(timers)
        policy = admission_policies.get(settings.admission)
        selection = Selection(self._view, timers, policy)
        self._home = Home(self._view, selection, timers, metrics)
        entry = Entry(self._view, self._home, self._links, selection, timers)
        chance = random.Random(stable_hash(settings.seed or settings.host_id))
        self._membership = Membership(
            self._view,
            self._links,
            timers,
            detector=Detector(self._view.own, first_incarnation(timers.wall()), chance),
            metrics=metrics,
            chance=chance,
            seeds=settings.seeds,
            open_endpoint=open_endpoint,
        )
        self._follower = Follower(
            self._view,
            self._store,
            self._links,
            self._membership,
            timers=timers,
            metrics=metrics,
            chance=chance,
        )
        self._placer = Placer(self._view, self._store, timers)
        self._worker = JobWorker(self._view, self._store, entry, timers)
        self._admin = Admin(
            self._view,
            self._store,
            self._links,
            self._membership,
            metrics=metrics,
            dump=dump,
            token=_read_token(settings),
        )
        routes = Routes()
        Front(self._view, entry).register(routes)
        JobFront(self._view, self._store, timers).register(routes)
        self._admin.register(routes)
        self._callers = HttpServer(settings.caller, routes.handle)
        self._peers = PeerServer(settings.peer, timers, self._handle_peer)
        dump.sections.register("host")(lambda: self._admin.own_status()._asdict())
        dump.sections.register("membership")(self._membership.to_document)
        dump.sections.register("documents")(self._follower.to_document)
        dump.sections.register("runners")(self._home.to_document)

    async def start(self) -> None:
        """Start every part; callers are served from now on."""
        self._home.start()
        await self._peers.start()
        await self._membership.start()
        await self._follower.start()
        await self._placer.start()
        await self._worker.start()
        await self._callers.start()

    async def drain(self) -> None:
        """Take no new work and return when what is in progress has ended."""
        self._view.start_draining()
        await asyncio.gather(self._membership.leave(), self._callers.drain())
        await self._home.drain()

    async def close(self) -> None:
        """Stop every part."""
        await self._callers.close()
        await self._worker.close()
        await self._placer.close()
        await self._follower.close()
        await self._membership.close()
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
            case StatusQuery():
                await reply(self._admin.own_status())
            case DataCentreQuery():
                await reply(self._admin.data_centre_status())
            case DocumentQuery():
                await reply(self._follower.answer(message))
            case MembersQuery():
                await reply(self._membership.member_list())


def _read_token(settings: HostSettings) -> str:
    if not settings.admin_token_file:
        return ""
    return Path(settings.admin_token_file).read_text().strip()
