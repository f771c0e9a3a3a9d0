"""An orderly leave: peers told, callers with old addresses served, then drained."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable, Sequence
from typing import TypeAlias

from damaskjunction.core import Outcome, RequestError
from damaskjunction.http import HttpServer
from damaskjunction.node.front import ADDRESSES_TTL_S
from damaskjunction.node.membership import Membership
from damaskjunction.node.state import HostView

LINGER_S = ADDRESSES_TTL_S + 1.0
DRAIN_LIMIT_S = 600.0

logger = logging.getLogger(__name__)

Drain: TypeAlias = Callable[[], Awaitable[None]]


class Departure:
    """The steps of a host that leaves.

    Parameters
    ----------
    view : HostView
        Takes the host's state.
    membership : Membership
        Tells the other hosts.
    callers : HttpServer
        Serves callers.
    first_drains, last_drains : sequence of callable
        Each returns when a part has nothing in progress; the first ones while callers
        are still served, the last ones in order after that.
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
        """Leave; return when nothing is in progress any more."""
        self._view.start_draining()
        self._callers.disable_keep_alive()
        try:
            async with asyncio.timeout(DRAIN_LIMIT_S):
                await asyncio.gather(
                    self._membership.leave(),
                    self._serve_old_answers(),
                    *(drain() for drain in self._first_drains),
                )
                for drain in self._last_drains:
                    await drain()
        except TimeoutError:
            logger.error("requests were cut", extra={"limit_s": DRAIN_LIMIT_S})

    async def _serve_old_answers(self) -> None:
        """Stop listening when callers ask no more.

        Callers keep an answer of ``/v1/addresses`` for a while, so requests are taken
        and handed on to other hosts until every such answer has run out.
        """
        await asyncio.sleep(LINGER_S)
        await self._callers.drain()


def refuse_when_leaving(view: HostView) -> None:
    """Refuse a peer's request, unless there is no other host to be its home.

    Raises
    ------
    RequestError
        ``NOT_RUN`` when this host is leaving.
    """
    if view.is_draining and view.serving_hosts():
        detail = f"{view.own.host_id} is leaving"
        raise RequestError(Outcome.NOT_RUN, "leaving", detail)
