"""Probes of engines by their homes: loaded model and readiness."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import NamedTuple

from damaskjunction.core import (
    EntryHost,
    Runner,
    RunnerId,
    ServiceKind,
    Timers,
)
from damaskjunction.http import Connector, HttpClient
from damaskjunction.membership import FleetView
from damaskjunction.node.runners.engine_orders import (
    read_checks_fence,
    read_in_flight,
    read_status,
)
from damaskjunction.node.runners.polling import RunnerPoller
from damaskjunction.node.state import HostView
from damaskjunction.placement import (
    ReportDigest,
    RunnerState,
    RunnerStatus,
    assignment_order_key,
    status_digest,
)
from damaskjunction.routing import home_of
from damaskjunction.telemetry import Metrics

logger = logging.getLogger(__name__)

PROBE_INTERVAL_S = 1.0
STATE_CHANGES_TOTAL = "runner_state_changes_total"


class _OwnershipInput(NamedTuple):
    """Input that determines the homes of runners."""

    fleet: FleetView
    hosts: list[EntryHost]


def find_own_runners(
    own: EntryHost, fleet: FleetView, hosts: list[EntryHost]
) -> list[Runner]:
    """Return the engines whose home is ``own``.

    A runner's home is in its own data centre if a host there serves, so the data centre
    alone rules out most runners without computing their homes.
    """
    data_centres = {host.data_centre for host in hosts}
    local_hosts = [host for host in hosts if host.data_centre == own.data_centre]
    found = []
    for runner in fleet.live_runners():
        if runner.kind is not ServiceKind.ENGINE:
            continue
        is_local = runner.data_centre == own.data_centre
        if not is_local and runner.data_centre in data_centres:
            continue
        home = home_of(runner, local_hosts if is_local and local_hosts else hosts)
        if home is not None and home.host_id == own.host_id:
            found.append(runner)
    return found


class RunnerProbes:
    """Polls the engines whose home this host is once a second.

    The lease holder queries the homes in turn, so that no host connects to every
    runner. Observed states also go into this host's own view immediately.

    Parameters
    ----------
    view : HostView
        Known runners, hosts and plan; updated with the observed states.
    timers : Timers
        Timer service of the process.
    metrics : Metrics
        Counts state changes.
    connector : Connector
        Opens connections to engines.
    """

    def __init__(
        self, view: HostView, timers: Timers, metrics: Metrics, connector: Connector
    ) -> None:
        self._view = view
        self._metrics = metrics
        self._client = HttpClient(timers, connector=connector)
        self._poller = RunnerPoller(
            timers, PROBE_INTERVAL_S, self._probed_runners, self._probe
        )
        self._checks_fence_by_runner: dict[RunnerId, bool] = {}
        self._ownership_input: _OwnershipInput | None = None
        self._cached_own_runners: list[Runner] = []
        self._observers: list[Callable[[RunnerStatus], None]] = []

    async def start(self) -> None:
        """Start polling."""
        await self._poller.start()

    async def close(self) -> None:
        """Stop polling."""
        await self._poller.close()
        self._client.close()

    def subscribe(self, observer: Callable[[RunnerStatus], None]) -> None:
        """Call ``observer`` with the status of an engine after each change.

        A change of ``in_flight`` alone does not count.
        """
        self._observers.append(observer)

    def statuses(self) -> list[RunnerStatus]:
        """Return the statuses of the engines whose home this host is."""
        return list(self._view.statuses_by_runner.values())

    def report(self, known_digest: int) -> list[RunnerStatus | ReportDigest]:
        """Return the statuses, unless ``known_digest`` is theirs, and their digest."""
        statuses = self.statuses()
        digest = status_digest(statuses)
        reported = [] if digest == known_digest else statuses
        return [*reported, ReportDigest(digest)]

    def _probed_runners(self) -> list[Runner]:
        own = self._own_runners()
        self._view.retain_statuses({runner.runner_id for runner in own})
        return own

    def _own_runners(self) -> list[Runner]:
        """Return the engines whose home this host is, recomputed only on a change."""
        ownership_input = _OwnershipInput(self._view.fleet, self._view.serving_hosts())
        if ownership_input != self._ownership_input:
            self._ownership_input = ownership_input
            self._cached_own_runners = find_own_runners(
                self._view.own, *ownership_input
            )
        return self._cached_own_runners

    async def _probe(self, runner: Runner) -> None:
        self._record(await self._read_status(runner))

    async def _read_status(self, runner: Runner) -> RunnerStatus:
        status = await read_status(self._client, runner)
        if status.state is RunnerState.UNREACHABLE:
            self._checks_fence_by_runner.pop(runner.runner_id, None)
            return status
        checks_fence = await self._checks_fence(runner)
        status = status._replace(checks_fence=checks_fence)
        if self._is_draining(status):
            in_flight = await read_in_flight(self._client, runner)
            # An engine that does not report its load counts as busy.
            status = status._replace(in_flight=1 if in_flight is None else in_flight)
        return status

    async def _checks_fence(self, runner: Runner) -> bool:
        """Return whether an engine checks fencing tokens.

        The engine is queried once, and again after it was unreachable.
        """
        known = self._checks_fence_by_runner.get(runner.runner_id)
        if known is None:
            known = await read_checks_fence(self._client, runner)
            if known is None:
                return False
            self._checks_fence_by_runner[runner.runner_id] = known
        return known

    def _is_draining(self, status: RunnerStatus) -> bool:
        """Return whether an engine still serves a model that the plan replaces."""
        target = self._view.plan.assignments_by_runner.get(status.runner_id)
        is_replaced = (
            target is not None and assignment_order_key(target) != status.loaded
        )
        return is_replaced and status.state is RunnerState.READY

    def _record(self, status: RunnerStatus) -> None:
        before = self._view.statuses_by_runner.get(status.runner_id)
        if before is None or before.state is not status.state:
            self._metrics.count(STATE_CHANGES_TOTAL, state=status.state.value)
            extra = {"runner": status.runner_id, "state": status.state.value}
            logger.info("runner state changed", extra=extra)
        self._view.record_status(status)
        if before is None or before._replace(in_flight=status.in_flight) != status:
            for observer in self._observers:
                observer(status)
