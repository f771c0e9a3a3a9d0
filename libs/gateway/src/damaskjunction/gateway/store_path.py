"""The way to the platform's store: directly, or through a host that reaches it.

The store may turn some hosts away, or be cut off from them, while it serves others.
A call that provably had no effect is then made by another host.
"""

from __future__ import annotations

import asyncio
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
    Subscription,
    Timers,
)
from damaskjunction.node import HostView, PeerHandlers, cancel_tasks
from damaskjunction.platform import StoreReply, StoreTransport
from damaskjunction.wire import PeerLinks, Reply, StoreAnswer, StoreCall

logger = logging.getLogger(__name__)

STORE_LANE = "store"
PROBE_PERIOD_S = 0.7
MIN_PATIENCE_S = 0.12
PATIENCE_X = 5.0
LATENCY_WEIGHT = 0.2
LONGEST_CALL_S = 5.0
HELPER_DOUBT_S = 2.0
N_HELPERS_TRIED = 2
REFUSING_STATUSES = (429, 503)


class RelayedPath:
    """Calls made directly, or by another host while that fails.

    Parameters
    ----------
    direct : StoreTransport
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
        direct: StoreTransport,
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
        self._is_direct = True
        self._latency_s = 0.0
        self._probing: Subscription | None = None
        self._probe: asyncio.Task[None] | None = None
        self._doubted_until_by_host: dict[HostId, float] = {}

    async def start(self) -> None:
        """Begin to look whether a lost way works again."""
        self._probing = self._timers.every(PROBE_PERIOD_S, self._begin_probe)

    async def close(self) -> None:
        """Stop."""
        if self._probing is not None:
            self._probing.cancel()
        if self._probe is not None:
            await cancel_tasks([self._probe])

    def register(self, handlers: PeerHandlers) -> None:
        """Make calls for other hosts."""
        handlers.register(StoreCall)(self._serve)

    async def send(
        self, method: str, target: str, body: bytes, stall_s: float
    ) -> StoreReply:
        """Make a call; see ``StoreTransport``.

        Every change that the system makes is conditional or has the same effect when
        it is made twice, so a call without an answer is made by another host as well.
        A watch that breaks is not: who follows has to read everything anew.
        """
        call = StoreCall(method, target, body, stall_s)
        direct: asyncio.Task[StoreReply] | None = None
        try:
            if self._is_direct:
                direct = asyncio.ensure_future(self._send_directly(call))
                patience_s = stall_s if stall_s > LONGEST_CALL_S else self._patience_s()
                await asyncio.wait((direct,), timeout=patience_s)
                if stall_s > LONGEST_CALL_S and direct.done():
                    return direct.result()
            return await self._send_besides(direct, call)
        finally:
            if direct is not None:
                await cancel_tasks([direct])

    async def probe(self) -> StoreReply:
        """Make a cheap call by this host's own way."""
        return await self._direct.probe()

    async def _send_besides(
        self, direct: asyncio.Task[StoreReply] | None, call: StoreCall
    ) -> StoreReply:
        """Return the answer of a direct call, or of another host's when that is first.

        Raises
        ------
        PlatformUnavailableError, PlatformUnknownError
            When neither way gives an answer.
        """
        if direct is not None and direct.done() and _is_answered(direct):
            return direct.result()
        helped = asyncio.ensure_future(self._send_through_any(call))
        try:
            pending = {task for task in (direct, helped) if task is not None}
            while pending:
                done, pending = await asyncio.wait(
                    pending, return_when=asyncio.FIRST_COMPLETED
                )
                for task in done:
                    if _is_answered(task):
                        if task is helped and direct in pending:
                            self._note_direct(is_well=False, reason="a peer was faster")
                        return task.result()
        finally:
            await cancel_tasks([helped])
        return (direct or helped).result()

    def _patience_s(self) -> float:
        return max(MIN_PATIENCE_S, PATIENCE_X * self._latency_s)

    def _begin_probe(self) -> None:
        if not self._is_direct and (self._probe is None or self._probe.done()):
            self._probe = asyncio.ensure_future(self._look())

    async def _look(self) -> None:
        try:
            reply = await self._direct.probe()
        except PlatformError as error:
            logger.debug("own way to the store still lost", extra={"error": str(error)})
            return
        if reply.status not in REFUSING_STATUSES:
            self._note_direct(is_well=True, reason="probe answered")

    def to_document(self) -> dict[str, Any]:
        """Return the state for the dump."""
        return {
            "is_direct": self._is_direct,
            "doubted_hosts": sorted(self._doubted_until_by_host),
        }

    async def _send_directly(self, call: StoreCall) -> StoreReply:
        began_at_s = self._timers.now()
        try:
            reply = await self._direct.send(*call)
        except PlatformError as error:
            self._note_direct(is_well=False, reason=str(error))
            raise
        if call.stall_s <= LONGEST_CALL_S:
            sample_s = self._timers.now() - began_at_s
            self._latency_s += LATENCY_WEIGHT * (sample_s - self._latency_s)
        is_well = reply.status not in REFUSING_STATUSES
        self._note_direct(is_well=is_well, reason=f"status {reply.status}")
        return reply

    def _note_direct(self, *, is_well: bool, reason: str) -> None:
        if is_well != self._is_direct:
            event = "regained" if is_well else "lost"
            logger.warning(f"own way to the store {event}", extra={"reason": reason})
        self._is_direct = is_well

    async def _send_through_any(self, call: StoreCall) -> StoreReply:
        for host in self._helpers():
            reply = await self._send_through(host, call)
            if reply is not None:
                return reply
        raise PlatformUnavailableError("no host reaches the store")

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
        if not self._is_direct:
            raise RequestError(Outcome.NOT_RUN, "store_lost")
        try:
            answer = await self._send_directly(call)
        except PlatformUnavailableError as error:
            raise RequestError(Outcome.NOT_RUN, "store_lost", str(error)) from None
        except PlatformUnknownError as error:
            raise RequestError(Outcome.UNKNOWN, "store_lost", str(error)) from None
        await reply(StoreAnswer(*answer))


def _is_answered(task: asyncio.Task[StoreReply]) -> bool:
    """Return whether a call ended with an answer that is no refusal."""
    if task.cancelled() or task.exception() is not None:
        return False
    return task.result().status not in REFUSING_STATUSES
