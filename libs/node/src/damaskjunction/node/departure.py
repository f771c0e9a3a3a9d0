"""An orderly leave: peers told, callers with old addresses served, then drained."""

from __future__ import annotations

import asyncio
import logging

from damaskjunction.core import Address, RequestError
from damaskjunction.http import HttpServer
from damaskjunction.node.claims import CallClaims
from damaskjunction.node.crashes import CONTROL_LANE
from damaskjunction.node.front import ADDRESSES_TTL_S
from damaskjunction.node.state import HostView
from damaskjunction.wire import LeavingNotice, PeerLinks, PeerServer

NOTICE_TIMEOUT_S = 1.0
LINGER_S = ADDRESSES_TTL_S + 1.0
DRAIN_LIMIT_S = 600.0

logger = logging.getLogger(__name__)


class Departure:
    """The steps of a host that leaves.

    Parameters
    ----------
    view : HostView
        Tells the other hosts.
    links : PeerLinks
        Links to them.
    callers : HttpServer
        Serves callers.
    claims : CallClaims
        Runs calls that outlive their callers.
    peers : PeerServer
        Serves the other hosts.
    """

    def __init__(
        self,
        view: HostView,
        links: PeerLinks,
        callers: HttpServer,
        claims: CallClaims,
        peers: PeerServer,
    ) -> None:
        self._view = view
        self._links = links
        self._callers = callers
        self._claims = claims
        self._peers = peers

    async def run(self) -> None:
        """Leave; return when nothing is in progress any more.

        Callers keep an answer of ``/v1/addresses`` for a while, so requests are
        taken and handed on to other hosts until every such answer has run out.
        """
        self._view.start_draining()
        self._callers.retire()
        await self._tell_peers()
        await asyncio.sleep(LINGER_S)
        try:
            async with asyncio.timeout(DRAIN_LIMIT_S):
                await self._callers.drain()
                await self._claims.drain()
                await self._peers.drain()
        except TimeoutError:
            logger.error("requests were cut", extra={"limit_s": DRAIN_LIMIT_S})

    async def _tell_peers(self) -> None:
        own_id = self._view.own.host_id
        hosts = self._view.fleet.hosts_by_id.values()
        peers = [host.peer for host in hosts if host.host_id != own_id]
        await asyncio.gather(*(self._tell(peer) for peer in peers))

    async def _tell(self, peer: Address) -> None:
        notice = LeavingNotice(self._view.own.host_id)
        try:
            async with asyncio.timeout(NOTICE_TIMEOUT_S):
                async for _ in self._links.call(peer, CONTROL_LANE, notice):
                    pass
        except (RequestError, TimeoutError):
            logger.info("a peer was not told", extra={"peer": str(peer)})
