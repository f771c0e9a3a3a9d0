"""Opens connections to runners: directly, or through another host."""

from __future__ import annotations

import asyncio
import logging
from contextlib import aclosing

from damaskjunction.core import Address, HostId, Timers
from damaskjunction.http import ConnectFailedError, OpenConnection
from damaskjunction.relay.direct import Attempt, DirectPath, Streams, discard
from damaskjunction.relay.relays import Relays
from damaskjunction.routing import (
    PathPlan,
    Reach,
    RunnerPaths,
    RunnerVerdict,
    judge_runner,
)
from damaskjunction.telemetry import Metrics

logger = logging.getLogger(__name__)

CONNECT_TIMEOUT_S = 0.3  # over all ways to a runner
N_WITNESSES = 2  # that don't reach a runner, so that no more hosts are asked


_FAILURES = (Reach.REFUSED, Reach.SILENT)


class RunnerUnreachableError(ConnectFailedError):
    """No way led to the runner; ``verdict`` tells whose fault it is."""

    def __init__(self, address: Address, verdict: RunnerVerdict) -> None:
        super().__init__(f"cannot connect to {address}: {verdict}")
        self.verdict = verdict


class _Ways:
    """The attempts to connect to one runner by its two ways.

    ``others`` is what came of those through other hosts so far.
    """

    def __init__(
        self,
        address: Address,
        paths: RunnerPaths,
        direct_path: DirectPath,
        relays: Relays,
    ) -> None:
        self.address = address
        self._paths = paths
        self._direct_path = direct_path
        self.others: list[Reach] = []
        self.direct: asyncio.Task[Attempt] | None = None
        self.is_probed = False
        self.relayed: asyncio.Task[Attempt] | None = None
        self._relays = relays

    async def connect(self, plan: PathPlan) -> Attempt:
        """Return the first attempt that connects, or a failed one."""
        if plan.is_direct:
            path = self._direct_path
            connect = path.connect_lastingly if plan.is_probed else path.connect
            attempt = connect(self.address, CONNECT_TIMEOUT_S)
            self.direct = asyncio.ensure_future(attempt)
            self.is_probed = plan.is_probed
            await asyncio.wait((self.direct,), timeout=plan.relay_after_s)
            if _is_connected(self.direct):
                return self.direct.result()
            if not self.direct.done() and not self._paths.take_hedge():
                await asyncio.wait((self.direct,))
                return self.direct.result()
        self.relayed = asyncio.ensure_future(self._connect_through_hosts())
        return await self._first_connected()

    async def _first_connected(self) -> Attempt:
        pending = {task for task in (self.direct, self.relayed) if task is not None}
        attempt = Attempt(Reach.UNKNOWN)
        while pending and attempt.streams is None:
            done, pending = await asyncio.wait(
                pending, return_when=asyncio.FIRST_COMPLETED
            )
            # The direct one is preferred if both have come.
            connected = [task for task in done if _is_connected(task)]
            connected.sort(key=lambda task: task is not self.direct)
            if connected:
                attempt = connected[0].result()
        return attempt

    async def _connect_through_hosts(self) -> Attempt:
        async with aclosing(self._relays.attempts(self.address)) as attempts:
            async for attempt in attempts:
                if attempt.streams is not None:
                    return attempt
                self.others.append(attempt.reach)
                n_witnesses = sum(reach in _FAILURES for reach in self.others)
                if n_witnesses >= N_WITNESSES:
                    break
        return Attempt(Reach.UNKNOWN)

    def verdict(self) -> RunnerVerdict:
        """Return whose fault it is that no attempt has connected."""
        direct = Reach.SILENT  # so it is on a path that is known to be cut
        task = self.direct
        if task is not None and task.done() and not task.cancelled():
            direct = task.result().reach
        return judge_runner(direct, self.others, self._relays.n_others)


class RunnerConnector:
    """Opens connections to runners; a ``Connector`` of the HTTP client.

    The direct path has a head start. A connection through another host is reused for
    a short time only, as that host may learn what this one does not know.

    Parameters
    ----------
    paths : RunnerPaths
        Decides which ways are tried.
    direct_path : DirectPath
        The path from this host.
    relays : Relays
        The other hosts.
    timers : Timers
        The process's timer service.
    metrics : Metrics
        Counts the connections through other hosts.
    max_reuse_s : float
        Seconds for which a connection through another host is reused.
    """

    def __init__(
        self,
        paths: RunnerPaths,
        direct_path: DirectPath,
        relays: Relays,
        timers: Timers,
        metrics: Metrics,
        *,
        max_reuse_s: float,
    ) -> None:
        self._paths = paths
        self._direct_path = direct_path
        self._relays = relays
        self._timers = timers
        self._metrics = metrics
        self._max_reuse_s = max_reuse_s

    async def connect(self, address: Address) -> OpenConnection:
        """Open a connection to the runner at an address.

        Raises
        ------
        RunnerUnreachableError
            When no way leads there within ``CONNECT_TIMEOUT_S``.
        """
        ways = _Ways(address, self._paths, self._direct_path, self._relays)
        attempt = Attempt(Reach.UNKNOWN)
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                plan = self._paths.plan(address, self._timers.now())
                attempt = await ways.connect(plan)
        except TimeoutError:
            pass  # the verdict tells what is known by now
        finally:
            self._settle(ways, attempt)
        if attempt.streams is None:
            raise RunnerUnreachableError(address, ways.verdict())
        if attempt.relay:
            return self._relayed(address, attempt.streams, attempt.relay)
        return OpenConnection(*attempt.streams, lambda: self._may_reuse_direct(address))

    def _may_reuse_direct(self, address: Address) -> bool:
        """Return whether an idle direct connection may be used: it may be silent."""
        is_doubtful = self._paths.is_doubtful(address, self._timers.now())
        return not is_doubtful and not self._paths.is_cut(address)

    def _relayed(
        self, address: Address, streams: Streams, relay: HostId
    ) -> OpenConnection:
        extra = {"runner": str(address), "relay": relay}
        logger.info("runner reached through another host", extra=extra)
        self._metrics.count("relayed_connections", end="asked")
        opened_at_s = self._timers.now()

        def may_reuse() -> bool:
            age_s = self._timers.now() - opened_at_s
            return age_s < self._max_reuse_s and self._paths.is_cut(address)

        return OpenConnection(*streams, may_reuse, is_relayed=True)

    def _settle(self, ways: _Ways, winner: Attempt) -> None:
        """Record what came of the direct path, and close what is not used.

        A direct attempt that is still under way when a relay has connected is awaited:
        it tells whether the path is cut or was only slower.
        """
        relayed, direct = ways.relayed, ways.direct
        if relayed is not None and not winner.relay:
            discard(relayed)
        if direct is None:
            return
        if winner.streams is None and not direct.done():
            discard(direct)
        elif winner.relay:
            direct.add_done_callback(lambda done: self._judge_path(ways, done))
        elif winner.streams is not None:
            self._record_direct(ways)

    def _judge_path(self, ways: _Ways, direct: asyncio.Task[Attempt]) -> None:
        """Judge a direct path after a relay has reached the runner."""
        if direct.cancelled() or direct.exception() is not None:
            return
        attempt = direct.result()
        if attempt.streams is not None:
            attempt.streams.writer.transport.abort()
            self._record_direct(ways)
        elif self._paths.record_cut(ways.address, self._timers.now()):
            extra = {"runner": str(ways.address), "reach": attempt.reach.value}
            logger.warning("path to runner cut", extra=extra)

    def _record_direct(self, ways: _Ways) -> None:
        now_s = self._timers.now()
        record = self._paths.record_direct
        if record(ways.address, now_s, is_proved=ways.is_probed):
            extra = {"runner": str(ways.address)}
            logger.info("path to runner regained", extra=extra)


def _is_connected(task: asyncio.Task[Attempt]) -> bool:
    return task.done() and task.result().streams is not None
