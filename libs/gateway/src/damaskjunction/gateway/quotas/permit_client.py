"""Sends asks for permits to other hosts."""

from __future__ import annotations

import asyncio
import logging

from damaskjunction.core import HostId, RequestError, Timers, WorkClass
from damaskjunction.gateway.quotas.counter_view import CounterView
from damaskjunction.routing import PermitAsk, PermitReply
from damaskjunction.telemetry import Metrics
from damaskjunction.wire import PeerLinks

logger = logging.getLogger(__name__)

# A host that passes an ask on waits for less time than the one that waits for it.
ASK_TIMEOUT_S = 0.12
UNKNOWN_MESSAGE_REASONS = frozenset(("bad_message", "unhandled_message"))


class PermitClient:
    """Asks other hosts for permits.

    Parameters
    ----------
    view : CounterView
        Knows the hosts, and learns which of them don't answer.
    links : PeerLinks
        Links to other hosts.
    timers : Timers
        The process's timer service.
    metrics : Metrics
        Counts the asks.
    """

    def __init__(
        self, view: CounterView, links: PeerLinks, timers: Timers, metrics: Metrics
    ) -> None:
        self._view = view
        self._links = links
        self._timers = timers
        self._metrics = metrics

    async def ask(self, host_id: HostId, ask: PermitAsk) -> PermitReply | None:
        """Return the reply of a host, None if there is none in time."""
        host = self._view.find_host(host_id)
        if host is None:
            return None
        lane = WorkClass.ONLINE.value
        try:
            async with asyncio.timeout(ASK_TIMEOUT_S / (1 + ask.n_hops)):
                reply: PermitReply = await self._links.ask(host.peer, lane, ask)
        except (RequestError, TimeoutError) as error:
            self._record_failure(host_id, ask, error)
            return None
        self._metrics.count("permit_asks", result=reply.reason or "granted")
        return reply

    def _record_failure(
        self, host_id: HostId, ask: PermitAsk, error: RequestError | TimeoutError
    ) -> None:
        now_s = self._timers.now()
        is_unable = (
            isinstance(error, RequestError) and error.reason in UNKNOWN_MESSAGE_REASONS
        )
        if is_unable:
            self._view.choice.mark_unable(host_id, now_s)
        elif not ask.n_hops:
            # What is left of the time for an ask that was passed on proves nothing.
            self._view.choice.mark_silent(host_id, now_s)
        result = "unable" if is_unable else "silent"
        self._metrics.count("permit_asks", result=result)
        extra = {
            "workspace": ask.workspace,
            "host": host_id,
            "result": result,
            "error": repr(error),
        }
        logger.info("permit not asked", extra=extra)
