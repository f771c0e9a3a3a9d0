"""Collects runner states and service load of a region for the lease holder."""

from __future__ import annotations

import asyncio
import math
from collections import Counter
from collections.abc import Iterable
from typing import Any, NamedTuple

from damaskjunction.core import (
    EntryHost,
    HostId,
    RequestError,
    ServiceName,
    Timers,
)
from damaskjunction.node.runners.probing import RunnerProbes
from damaskjunction.node.serving.demand import DemandMeter
from damaskjunction.node.state import HostView
from damaskjunction.node.tasks import cancel_tasks
from damaskjunction.placement import (
    STALE_AFTER_S,
    DemandEstimator,
    ReportDigest,
    RunnerStatus,
    RunnerStatusTracker,
    ServiceLoad,
)
from damaskjunction.telemetry import Metrics
from damaskjunction.wire import PeerLinks, PlacementQuery

ROUND_INTERVAL_S = 1.0
MIN_ROUND_GAP_S = 0.75
STALE_AFTER_CYCLES = 3
HOSTS_PER_ROUND = 25
QUERY_TIMEOUT_S = 1.0
CONTROL_LANE = "control"

QUERIES_METRIC = "placement_queries_total"
REPORTS_METRIC = "placement_news_total"


class _HostReport(NamedTuple):
    """States of a host's runners as it last reported them."""

    digest: int = 0
    statuses: tuple[RunnerStatus, ...] = ()


class StateReportCollector:
    """Queries the region's hosts in rounds, which bounds the queries per second.

    A cycle of rounds queries every host once.

    Parameters
    ----------
    view : HostView
        Hosts of the region.
    links : PeerLinks
        Links to the other hosts.
    probes : RunnerProbes
        States of the runners whose home this host is.
    demand : DemandMeter
        Load of services on this host.
    timers : Timers
        Timer service of this process.
    metrics : Metrics
        Counts queries and reports.
    """

    def __init__(
        self,
        view: HostView,
        links: PeerLinks,
        *,
        probes: RunnerProbes,
        demand: DemandMeter,
        timers: Timers,
        metrics: Metrics,
    ) -> None:
        self.status_tracker = RunnerStatusTracker()
        self.demand_estimator = DemandEstimator()
        self._view = view
        self._links = links
        self._probes = probes
        self._demand = demand
        self._timers = timers
        self._metrics = metrics
        self._loads_by_host: dict[HostId, Counter[ServiceName]] = {}
        self._reports_by_host: dict[HostId, _HostReport] = {}
        self._last_round_at_s = -ROUND_INTERVAL_S
        self._n_rounds = 0
        self._report_tasks: set[asyncio.Task[None]] = set()

    async def close(self) -> None:
        """Cancel the reports that are being sent to the lease holder."""
        await cancel_tasks(self._report_tasks)

    def clear(self) -> None:
        """Discard all states and loads, for example when the lease is not held."""
        self.status_tracker.clear()
        self._loads_by_host.clear()
        self._reports_by_host.clear()
        self._n_rounds = 0

    async def run_round(self) -> bool:
        """Query the hosts of this round; return whether a full cycle was done."""
        region = self._view.own.region
        hosts = [
            host for host in self._view.fleet.live_hosts() if host.region == region
        ]
        rounds_per_cycle = max(1, math.ceil(len(hosts) / HOSTS_PER_ROUND))
        self.status_tracker.stale_after_s = max(
            STALE_AFTER_S, STALE_AFTER_CYCLES * rounds_per_cycle * ROUND_INTERVAL_S
        )
        now_s = self._timers.now()
        if (
            self._n_rounds >= rounds_per_cycle
            and now_s < self._last_round_at_s + MIN_ROUND_GAP_S
        ):
            return True
        self._last_round_at_s = now_s
        round_hosts = hosts[self._n_rounds % rounds_per_cycle :: rounds_per_cycle]
        self._n_rounds += 1
        await asyncio.gather(*(self._collect_from(host) for host in round_hosts))
        self._record_loads({host.host_id for host in hosts})
        return self._n_rounds >= rounds_per_cycle

    def _record_loads(self, known: set[HostId]) -> None:
        """Record the sum of the loads that the known hosts reported last."""
        for host_id in self._loads_by_host.keys() - known:
            del self._loads_by_host[host_id]
            del self._reports_by_host[host_id]
        total: Counter[ServiceName] = Counter()
        for loads in self._loads_by_host.values():
            total.update(loads)
        self.demand_estimator.record(
            self._timers.now(), self._view.configuration, total
        )

    async def _collect_from(self, host: EntryHost) -> None:
        known = self._reports_by_host.get(host.host_id, _HostReport())
        if host.host_id == self._view.own.host_id:
            messages = [*self._probes.report(known.digest), *self._demand.loads()]
        else:
            messages = await self._query(host, known.digest)
        report = _parse_report(messages, known)
        self._reports_by_host[host.host_id] = report
        for status in report.statuses:
            self.status_tracker.record(self._timers.now(), status)
        loads: Counter[ServiceName] = Counter()
        for message in messages:
            if isinstance(message, ServiceLoad):
                loads[message.service_name] += message.in_flight
        self._loads_by_host[host.host_id] = loads

    async def _query(self, host: EntryHost, known_digest: int) -> list[Any]:
        messages: list[Any] = []
        try:
            async with asyncio.timeout(QUERY_TIMEOUT_S):
                query = PlacementQuery(known_digest)
                call = self._links.call(host.peer, CONTROL_LANE, query)
                messages = [message async for message in call]
        except (RequestError, TimeoutError):
            self._metrics.count(QUERIES_METRIC, result="failed")
            return []
        self._metrics.count(QUERIES_METRIC, result="answered")
        return messages

    def report_to_holder(self, holder: EntryHost, status: RunnerStatus) -> None:
        """Report a changed state to the lease holder, sooner than its next round."""
        report_task = asyncio.ensure_future(self._send_report(holder, status))
        self._report_tasks.add(report_task)
        report_task.add_done_callback(self._report_tasks.discard)

    async def _send_report(self, holder: EntryHost, status: RunnerStatus) -> None:
        try:
            async with asyncio.timeout(QUERY_TIMEOUT_S):
                async for _ in self._links.call(holder.peer, CONTROL_LANE, status):
                    pass
        except (RequestError, TimeoutError):
            self._metrics.count(REPORTS_METRIC, result="failed")
        else:
            self._metrics.count(REPORTS_METRIC, result="told")


def _parse_report(messages: Iterable[Any], known: _HostReport) -> _HostReport:
    """Return the report in a response, or the known one when its digest is unchanged.

    A failed query, which has no digest, gives an empty report, so that the states of
    that host's runners become stale.
    """
    digests = [
        message.digest for message in messages if isinstance(message, ReportDigest)
    ]
    if not digests:
        return _HostReport()
    if digests[0] == known.digest:
        return known
    statuses = tuple(
        message for message in messages if isinstance(message, RunnerStatus)
    )
    return _HostReport(digests[0], statuses)
