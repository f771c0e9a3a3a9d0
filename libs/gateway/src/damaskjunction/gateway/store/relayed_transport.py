"""The transport to the platform's store: direct, or relayed by another host.

The store may refuse some hosts, or be partitioned from them, while it serves others.
A call that provably had no effect is then relayed by another host.
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
MIN_HEDGE_DELAY_S = 0.12
HEDGE_DELAY_FACTOR = 5.0
LATENCY_WEIGHT = 0.2  # of a new sample in the moving average
MAX_SHORT_CALL_S = 3.0  # a longer stall timeout marks a long poll of a watch
RELAY_EXCLUSION_S = 2.0
N_RELAYS_TRIED = 2
REFUSING_STATUSES = (429, 503)


class RelayedTransport:
    """Sends calls directly, and through other hosts while that fails.

    Parameters
    ----------
    direct : StoreTransport
        This host's direct transport.
    view : HostView
        The known hosts.
    links : PeerLinks
        Links to other hosts.
    timers : Timers
        The process's timer service.
    rng : random.Random
        Source of random choices.
    """

    def __init__(
        self,
        direct: StoreTransport,
        view: HostView,
        links: PeerLinks,
        timers: Timers,
        rng: random.Random,
    ) -> None:
        self._direct = direct
        self._view = view
        self._links = links
        self._timers = timers
        self._rng = rng
        self._is_direct = True
        self._latency_s = 0.0
        self._probe_schedule: Subscription | None = None
        self._probe: asyncio.Task[None] | None = None
        self._excluded_until_by_host: dict[HostId, float] = {}

    async def start(self) -> None:
        """Start the periodic probe, sent only while the direct transport is down."""
        self._probe_schedule = self._timers.every(PROBE_PERIOD_S, self._start_probe)

    async def close(self) -> None:
        """Stop probing."""
        if self._probe_schedule is not None:
            self._probe_schedule.cancel()
        if self._probe is not None:
            await cancel_tasks([self._probe])

    def register(self, handlers: PeerHandlers) -> None:
        """Register the handler of calls that other hosts relay through this one."""
        handlers.register(StoreCall)(self._serve)

    async def send(
        self, method: str, target: str, body: bytes, stall_s: float
    ) -> StoreReply:
        """Send a call; see ``StoreTransport``.

        Every write of the system is conditional or idempotent, so a call that gets no
        response in time is hedged: another host sends it as well. A failed watch is
        not, since its follower has to list all objects again anyway.
        """
        call = StoreCall(method, target, body, stall_s)
        direct: asyncio.Task[StoreReply] | None = None
        try:
            if self._is_direct:
                direct = asyncio.ensure_future(self._send_directly(call))
                hedge_delay_s = (
                    stall_s if stall_s > MAX_SHORT_CALL_S else self._hedge_delay_s()
                )
                await asyncio.wait((direct,), timeout=hedge_delay_s)
                if stall_s > MAX_SHORT_CALL_S and direct.done():
                    return direct.result()
            return await self._send_hedged(direct, call)
        finally:
            if direct is not None:
                await cancel_tasks([direct])

    async def probe(self) -> StoreReply:
        """Send a cheap call over the direct transport."""
        reply = await self._direct.probe()
        if reply.status not in REFUSING_STATUSES:
            self._record_direct(is_working=True, reason="probe succeeded")
        return reply

    async def _send_hedged(
        self, direct: asyncio.Task[StoreReply] | None, call: StoreCall
    ) -> StoreReply:
        """Return the first response, to the direct call or through another host.

        Raises
        ------
        PlatformUnavailableError
            When neither gets a response, and neither call had an effect.
        PlatformUnknownError
            When neither gets a response, and either may have had an effect.
        """
        if direct is not None and direct.done() and _has_response(direct):
            return direct.result()
        relayed = asyncio.ensure_future(self._relay(call))
        try:
            pending = {task for task in (direct, relayed) if task is not None}
            while pending:
                done, pending = await asyncio.wait(
                    pending, return_when=asyncio.FIRST_COMPLETED
                )
                for task in done:
                    if _has_response(task):
                        if task is relayed and direct in pending:
                            self._record_direct(
                                is_working=False, reason="relayed call was faster"
                            )
                        return task.result()
        finally:
            await cancel_tasks([relayed])
        return self._merge_failures(call, direct, relayed)

    def _merge_failures(
        self,
        call: StoreCall,
        direct: asyncio.Task[StoreReply] | None,
        relayed: asyncio.Task[StoreReply],
    ) -> StoreReply:
        """Return the refusal of a call, or raise the less certain of two failures."""
        if call.method != "GET":
            extra = {
                "call": f"{call.method} {call.target}",
                "direct": "not made" if direct is None else _describe(direct),
                "relayed": _describe(relayed),
            }
            logger.warning("write to the store not acknowledged", extra=extra)
        unknown = [task for task in (direct, relayed) if task and _is_unknown(task)]
        return (*unknown, direct or relayed)[0].result()

    def _hedge_delay_s(self) -> float:
        return max(MIN_HEDGE_DELAY_S, HEDGE_DELAY_FACTOR * self._latency_s)

    def _start_probe(self) -> None:
        if not self._is_direct and (self._probe is None or self._probe.done()):
            self._probe = asyncio.ensure_future(self._probe_direct())

    async def _probe_direct(self) -> None:
        try:
            await self.probe()
        except PlatformError as error:
            logger.debug(
                "direct probe of the store failed", extra={"error": str(error)}
            )

    def to_document(self) -> dict[str, Any]:
        """Return the state for the dump."""
        return {
            "is_direct": self._is_direct,
            "doubted_hosts": sorted(self._excluded_until_by_host),
        }

    async def _send_directly(self, call: StoreCall) -> StoreReply:
        started_at_s = self._timers.now()
        try:
            reply = await self._direct.send(*call)
        except PlatformError as error:
            self._record_direct(is_working=False, reason=str(error))
            raise
        if call.stall_s <= MAX_SHORT_CALL_S:
            sample_s = self._timers.now() - started_at_s
            self._latency_s += LATENCY_WEIGHT * (sample_s - self._latency_s)
        is_working = reply.status not in REFUSING_STATUSES
        self._record_direct(is_working=is_working, reason=f"status {reply.status}")
        return reply

    def _record_direct(self, *, is_working: bool, reason: str) -> None:
        if is_working != self._is_direct:
            event = "regained" if is_working else "lost"
            logger.warning(f"own way to the store {event}", extra={"reason": reason})
        self._is_direct = is_working

    async def _relay(self, call: StoreCall) -> StoreReply:
        for host in self._relay_candidates():
            reply = await self._relay_through(host, call)
            if reply is not None:
                return reply
        raise PlatformUnavailableError("no other host can reach the store")

    def _relay_candidates(self) -> list[EntryHost]:
        """Return up to ``N_RELAYS_TRIED`` random hosts that may reach the store."""
        now_s = self._timers.now()
        own_id = self._view.own.host_id
        hosts = [
            host
            for host in self._view.serving_hosts()
            if host.host_id != own_id
            and self._excluded_until_by_host.get(host.host_id, 0.0) <= now_s
        ]
        return self._rng.sample(hosts, min(N_RELAYS_TRIED, len(hosts)))

    async def _relay_through(
        self, host: EntryHost, call: StoreCall
    ) -> StoreReply | None:
        """Relay a call through a host; return None when it had no effect.

        Raises
        ------
        PlatformUnknownError
            When the call may have had an effect.
        """
        try:
            response = await self._links.ask(host.peer, STORE_LANE, call)
        except RequestError as error:
            excluded_until_s = self._timers.now() + RELAY_EXCLUSION_S
            self._excluded_until_by_host[host.host_id] = excluded_until_s
            if error.outcome is Outcome.NOT_RUN or call.method == "GET":
                return None
            raise PlatformUnknownError(
                f"relayed through {host.host_id}: {error}"
            ) from None
        if response.status in REFUSING_STATUSES:
            return None
        return StoreReply(response.status, response.body)

    async def _serve(self, call: StoreCall, reply: Reply) -> None:
        """Send a call for another host, over the direct transport alone."""
        if not self._is_direct:
            raise RequestError(Outcome.NOT_RUN, "store_lost")
        try:
            response = await self._send_directly(call)
        except PlatformUnavailableError as error:
            raise RequestError(Outcome.NOT_RUN, "store_lost", str(error)) from None
        except PlatformUnknownError as error:
            raise RequestError(Outcome.UNKNOWN, "store_lost", str(error)) from None
        await reply(StoreAnswer(*response))


def _has_response(task: asyncio.Task[StoreReply]) -> bool:
    """Return whether a call ended with a response other than a refusal."""
    if task.cancelled() or task.exception() is not None:
        return False
    return task.result().status not in REFUSING_STATUSES


def _is_unknown(task: asyncio.Task[StoreReply]) -> bool:
    """Return whether a call that failed may have had an effect."""
    return isinstance(task.exception(), PlatformUnknownError)


def _describe(task: asyncio.Task[StoreReply]) -> str:
    """Return what became of a call that got no response, for logs."""
    error = task.exception()
    return f"status {task.result().status}" if error is None else repr(error)
