"""Graceful shutdown of a host that leaves the fleet."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable, Sequence
from typing import TypeAlias

from damaskjunction.core import Outcome, RequestError
from damaskjunction.http import HttpServer
from damaskjunction.node.membership.membership import Membership
from damaskjunction.node.serving.caller_routes import ADDRESSES_TTL_S
from damaskjunction.node.state import HostView

CALLER_DRAIN_DELAY_S = ADDRESSES_TTL_S + 1.0
DRAIN_TIMEOUT_S = 600.0

logger = logging.getLogger(__name__)

Drain: TypeAlias = Callable[[], Awaitable[None]]


class GracefulShutdown:
    """Steps by which a host leaves the fleet.

    The host announces that it is leaving, still serves callers that hold its address,
    and then drains its components.

    Parameters
    ----------
    view : HostView
        Set to draining when the host starts to leave.
    membership : Membership
        Announces to the other hosts that this one is leaving.
    callers : HttpServer
        HTTP server for callers.
    first_drains, last_drains : sequence of callable
        Each returns when a component has no work in progress. The first drains run
        concurrently while callers are still served, the last ones in order after that.
    """

    def __init__(
        self,
        view: HostView,
        membership: Membership,
        callers: HttpServer,
        *,
        first_drains: Sequence[Drain],
        last_drains: Sequence[Drain],
    ) -> None:
        self._view = view
        self._membership = membership
        self._callers = callers
        self._first_drains = first_drains
        self._last_drains = last_drains

    async def run(self) -> None:
        """Leave; return when no work is in progress or the drain has timed out."""
        self._view.start_draining()
        self._callers.disable_keep_alive()
        try:
            async with asyncio.timeout(DRAIN_TIMEOUT_S):
                await asyncio.gather(
                    self._membership.leave(),
                    self._drain_callers(),
                    *(drain() for drain in self._first_drains),
                )
                for drain in self._last_drains:
                    await drain()
        except TimeoutError:
            logger.error(
                "drain timed out, requests aborted", extra={"limit_s": DRAIN_TIMEOUT_S}
            )

    async def _drain_callers(self) -> None:
        """Drain the callers' HTTP server when no caller uses this host's address.

        Callers cache the response of ``/v1/addresses`` for ``ADDRESSES_TTL_S``, so
        requests are accepted and forwarded to other hosts until every cached response
        has expired.
        """
        await asyncio.sleep(CALLER_DRAIN_DELAY_S)
        await self._callers.drain()


def refuse_when_leaving(view: HostView) -> None:
    """Refuse a request from another host while this host is leaving.

    A host without any other serving host keeps accepting them, since no other can be
    the home.

    Raises
    ------
    RequestError
        ``NOT_RUN`` when this host is leaving and another one serves.
    """
    if view.is_draining and view.serving_hosts():
        detail = f"{view.own.host_id} is leaving"
        raise RequestError(Outcome.NOT_RUN, "leaving", detail)
