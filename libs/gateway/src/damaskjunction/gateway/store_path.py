"""The way to the platform's store: directly, or through a host that reaches it.

The store may turn some hosts away, or be cut off from them, while it serves others.
A call that provably had no effect is then made by another host.
"""

from __future__ import annotations

import logging
import random
from typing import Any

from damaskjunction.core import (
    EntryHost,
    HostId,
    Outcome,
    PlatformError,
    PlatformUnavailableError,
    PlatformUnknownError,
    RequestError,
    Timers,
)
from damaskjunction.node import HostView, PeerHandlers
from damaskjunction.platform import StorePath, StoreReply
from damaskjunction.wire import PeerLinks, Reply, StoreAnswer, StoreCall

logger = logging.getLogger(__name__)

STORE_LANE = "store"
DIRECT_PAUSE_S = 1.0
HELPER_DOUBT_S = 2.0
N_HELPERS_TRIED = 2
REFUSING_STATUSES = (429, 503)


class RelayedPath:
    """Calls made directly, or by another host while that fails.

    Parameters
    ----------
    direct : StorePath
        This host's own way.
    view : HostView
        The other hosts.
    links : PeerLinks
        Links to them.
    timers : Timers
        The process's timer service.
    chance : random.Random
        Source of random choices.
    """

    def __init__(
        self,
        direct: StorePath,
        view: HostView,
        links: PeerLinks,
        timers: Timers,
        chance: random.Random,
    ) -> None:
        self._direct = direct
        self._view = view
        self._links = links
        self._timers = timers
        self._chance = chance
        self._direct_from_s = 0.0
        self._is_direct = True
        self._doubted_until_by_host: dict[HostId, float] = {}

    def register(self, handlers: PeerHandlers) -> None:
        """Make calls for other hosts."""
        handlers.register(StoreCall)(self._serve)

    async def send(
        self, method: str, target: str, body: bytes, stall_s: float
    ) -> StoreReply:
        """Make a call; see ``StorePath``."""
        call = StoreCall(method, target, body, stall_s)
        refusal: StoreReply | None = None
        error: PlatformError = PlatformUnavailableError("the store was lost just now")
        if self._timers.now() >= self._direct_from_s:
            try:
                reply = await self._send_directly(call)
                if reply.status not in REFUSING_STATUSES:
                    return reply
                refusal = reply
            except PlatformUnknownError as unknown:
                if method != "GET":
                    raise
                error = unknown
            except PlatformUnavailableError as unavailable:
                error = unavailable
        for host in self._helpers():
            helped = await self._send_through(host, call)
            if helped is not None:
                return helped
        if refusal is not None:
            return refusal
        raise error

    def to_document(self) -> dict[str, Any]:
        """Return the state for the dump."""
        return {
            "is_direct": self._is_direct,
            "doubted_hosts": sorted(self._doubted_until_by_host),
        }

    async def _send_directly(self, call: StoreCall) -> StoreReply:
        try:
            reply = await self._direct.send(*call)
        except PlatformError as error:
            self._note_direct(is_well=False, reason=str(error))
            raise
        is_well = reply.status not in REFUSING_STATUSES
        self._note_direct(is_well=is_well, reason=f"status {reply.status}")
        return reply

    def _note_direct(self, *, is_well: bool, reason: str) -> None:
        if is_well != self._is_direct:
            event = "regained" if is_well else "lost"
            logger.warning(f"own way to the store {event}", extra={"reason": reason})
        self._is_direct = is_well
        if not is_well:
            self._direct_from_s = self._timers.now() + DIRECT_PAUSE_S

    def _helpers(self) -> list[EntryHost]:
        """Return some other hosts that may reach the store."""
        now_s = self._timers.now()
        own_id = self._view.own.host_id
        hosts = [
            host
            for host in self._view.serving_hosts()
            if host.host_id != own_id
            and self._doubted_until_by_host.get(host.host_id, 0.0) <= now_s
        ]
        return self._chance.sample(hosts, min(N_HELPERS_TRIED, len(hosts)))

    async def _send_through(
        self, host: EntryHost, call: StoreCall
    ) -> StoreReply | None:
        """Let a host make a call; None when that had no effect.

        Raises
        ------
        PlatformUnknownError
            When the call may have had an effect.
        """
        try:
            answer = await self._links.ask(host.peer, STORE_LANE, call)
        except RequestError as error:
            doubted_until_s = self._timers.now() + HELPER_DOUBT_S
            self._doubted_until_by_host[host.host_id] = doubted_until_s
            if error.outcome is Outcome.NOT_RUN or call.method == "GET":
                return None
            raise PlatformUnknownError(f"through {host.host_id}: {error}") from None
        if answer.status in REFUSING_STATUSES:
            return None
        return StoreReply(answer.status, answer.body)

    async def _serve(self, call: StoreCall, reply: Reply) -> None:
        """Make a call for another host, by this host's own way alone."""
        if self._timers.now() < self._direct_from_s:
            raise RequestError(Outcome.NOT_RUN, "store_lost")
        try:
            answer = await self._send_directly(call)
        except PlatformUnavailableError as error:
            raise RequestError(Outcome.NOT_RUN, "store_lost", str(error)) from None
        except PlatformUnknownError as error:
            raise RequestError(Outcome.UNKNOWN, "store_lost", str(error)) from None
        await reply(StoreAnswer(*answer))
