"""Callers that take a stream up again: at which version it may go on, if at any."""

from __future__ import annotations

import asyncio
import logging
from typing import NamedTuple

from damaskjunction.core import Outcome, RequestError, ServiceName, Timers, stable_hash
from damaskjunction.gateway.state import ServingState
from damaskjunction.gateway.versions.stored_origins import StoredOrigins
from damaskjunction.gateway.versions.stream_origins import StreamOriginKeeper
from damaskjunction.gateway.versions.version_registry import VersionRegistry
from damaskjunction.node import cancel_tasks
from damaskjunction.platform import CallerRequest
from damaskjunction.routing import Denial, Route, StreamOrigin, take_up_denial
from damaskjunction.telemetry import Metrics

logger = logging.getLogger(__name__)

RETRY_AFTER_S = 0.15
DECISION_GOAL_FRACTION = 0.3  # of the latency goal; the rest is for another host
# A runner of the version may be back soon, or another host may know of one.
GONE_RETRY_AFTER_S = 0.3
STORE_DELAY_S = 0.02  # peers that live answer in less, and cost nothing


class _Decision(NamedTuple):
    """The origin of a stream, None if it is unknown, and where it was found."""

    origin: StreamOrigin | None
    source: str


class TakeUpResolver:
    """Finds the origins of streams that callers take up.

    Parameters
    ----------
    state : ServingState
        Known runners.
    version_registry : VersionRegistry
        Proves that there is just one version.
    keeper : StreamOriginKeeper
        Knows the origins of streams, or asks peers for them.
    stored : StoredOrigins
        Reads the origins that are in the store.
    timers : Timers
        The process's timer service.
    metrics : Metrics
        Metrics of the process.
    """

    def __init__(
        self,
        state: ServingState,
        version_registry: VersionRegistry,
        keeper: StreamOriginKeeper,
        stored: StoredOrigins,
        *,
        timers: Timers,
        metrics: Metrics,
    ) -> None:
        self._state = state
        self._version_registry = version_registry
        self._keeper = keeper
        self._stored = stored
        self._timers = timers
        self._metrics = metrics

    async def resolve(self, request: CallerRequest, route: Route) -> StreamOrigin:
        """Return the origin of the stream that a request takes up.

        Raises
        ------
        RequestError
            ``NOT_RUN`` when its version is unknown, or no runner serves it.
        """
        began_at_s = self._timers.now()
        origin, source = await self._find(request, route)
        services = {part.service for part in route.services}
        runners = [] if origin is None else self._state.runners_of(origin.service_name)
        denial = take_up_denial(origin, services, runners)
        reason = "" if denial is None else denial.value
        self._metrics.count("take_ups", source=source, result=reason or "goes on")
        extra = {
            "request": request.request_id,
            "resumes": request.resumed_id,
            "last_event_id": request.last_event_id,
            "source": source,
            "software_version": "" if origin is None else origin.software_version,
            "age_s": None if origin is None else round(origin.age_s, 3),
            "took_ms": round((self._timers.now() - began_at_s) * 1000.0, 1),
        }
        if origin is None or reason:
            logger.info("stream refused", extra={**extra, "reason": reason})
            is_gone = denial is Denial.VERSION_GONE
            retry_after_s = GONE_RETRY_AFTER_S if is_gone else RETRY_AFTER_S
            raise RequestError(Outcome.NOT_RUN, reason, retry_after_s=retry_after_s)
        logger.info("stream version decided", extra=extra)
        if request.resumed_id:
            self._keeper.record(origin)
        return origin

    async def _find(self, request: CallerRequest, route: Route) -> _Decision:
        """Return what this host knows, or else the first that store or peers tell."""
        if request.resumed_id:
            origin = self._keeper.find(request.resumed_id)
            if origin is not None:
                return _Decision(origin, "own")
        by_peers = asyncio.ensure_future(self._find_by_peers(request, route))
        asks = [
            asyncio.ensure_future(self._find_by_record(request, route)),
            by_peers,
            asyncio.ensure_future(self._find_in_store(request, route, by_peers)),
        ]
        try:
            async with asyncio.timeout(DECISION_GOAL_FRACTION * route.latency_goal_s):
                for answer in asyncio.as_completed(asks):
                    decision = await answer
                    if decision.origin is not None:
                        return decision
        except TimeoutError:
            extra = {"request": request.request_id, "resumes": request.resumed_id}
            logger.info("stream's version not told in time", extra=extra)
        finally:
            await cancel_tasks(asks)
        return _Decision(None, "none")

    async def _find_by_peers(self, request: CallerRequest, route: Route) -> _Decision:
        if not request.resumed_id:
            return _Decision(None, "peer")
        services = [part.service for part in route.services]
        origin = await self._keeper.ask_peers(services, request.resumed_id)
        return _Decision(origin, "peer")

    async def _find_in_store(
        self, request: CallerRequest, route: Route, by_peers: asyncio.Task[_Decision]
    ) -> _Decision:
        """Return the stored origin, unless peers know it at once."""
        await asyncio.wait([by_peers], timeout=STORE_DELAY_S)
        is_found = by_peers.done() and by_peers.result().origin is not None
        if is_found or not request.resumed_id:
            return _Decision(None, "store")
        services = [part.service for part in route.services]
        origin = await self._stored.find(services, request.resumed_id)
        return _Decision(origin, "store")

    async def _find_by_record(self, request: CallerRequest, route: Route) -> _Decision:
        """Return an origin at the only version that may have begun the stream."""
        service = self._service_of(request, route)
        is_mixed = self._version_registry.is_mixed
        if service is None or any(is_mixed(part.service) for part in route.services):
            return _Decision(None, "record")
        version = await self._version_registry.read_sole_version(service)
        if version is None:
            return _Decision(None, "record")
        origin = StreamOrigin(request.resumed_id, service, version, "", 0, 0.0)
        return _Decision(origin, "record")

    def _service_of(self, request: CallerRequest, route: Route) -> ServiceName | None:
        if request.resumed_id:
            return route.service_for(stable_hash(request.resumed_id))
        services = {part.service for part in route.services}
        return services.pop() if len(services) == 1 else None
