"""The home's look at its engines: what they hold and whether they are ready."""

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
from damaskjunction.http import HttpClient
from damaskjunction.membership import FleetView
from damaskjunction.node.engine_orders import (
    read_checks_fence,
    read_in_flight,
    read_status,
)
from damaskjunction.node.polling import RunnerPolling
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
CHANGES = "runner_state_changes_total"


class _Basis(NamedTuple):
    """What the homes of runners follow from."""

    fleet: FleetView
    hosts: list[EntryHost]


def find_own_runners(
    own: EntryHost, fleet: FleetView, hosts: list[EntryHost]
) -> list[Runner]:
    """Return the engines whose home is ``own``.

    Most are told apart by their data centre alone, since a home is near when it can be.
    """
    centres = {host.data_centre for host in hosts}
    near = [host for host in hosts if host.data_centre == own.data_centre]
    found = []
    for runner in fleet.live_runners():
        if runner.kind is not ServiceKind.ENGINE:
            continue
        is_near = runner.data_centre == own.data_centre
        if not is_near and runner.data_centre in centres:
            continue
        home = home_of(runner, near if is_near and near else hosts)
        if home is not None and home.host_id == own.host_id:
            found.append(runner)
    return found


class RunnerProbes:
    """Asks the engines whose home this host is for their state, each second.

    The lease holder asks the homes in turn, so that no host talks to every runner. What
    is seen here also goes into the host's own view at once.

    Parameters
    ----------
    view : HostView
        Tells runners, hosts and the plan; takes what is seen.
    timers : Timers
        The process's timer service.
    metrics : Metrics
        Takes the number of changes.
    """

    def __init__(self, view: HostView, timers: Timers, metrics: Metrics) -> None:
        self._view = view
        self._metrics = metrics
        self._client = HttpClient(timers)
        self._polling = RunnerPolling(
            timers, PROBE_INTERVAL_S, self._probed_runners, self._probe
        )
        self._checks_by_runner: dict[RunnerId, bool] = {}
        self._basis: _Basis | None = None
        self._own: list[Runner] = []
        self._observers: list[Callable[[RunnerStatus], None]] = []

    async def start(self) -> None:
        """Start asking."""
        await self._polling.start()

    async def close(self) -> None:
        """Stop asking."""
        await self._polling.close()
        self._client.close()

    def subscribe(self, observer: Callable[[RunnerStatus], None]) -> None:
        """Call back with the state of an engine after each change of it."""
        self._observers.append(observer)

    def statuses(self) -> list[RunnerStatus]:
        """Return the states of the engines whose home this host is."""
        return list(self._view.statuses_by_runner.values())

    def report(self, known_digest: int) -> list[RunnerStatus | ReportDigest]:
        """Return the states, unless the reader knows them, and their digest."""
        statuses = self.statuses()
        digest = status_digest(statuses)
        told = [] if digest == known_digest else statuses
        return [*told, ReportDigest(digest)]

    def _probed_runners(self) -> list[Runner]:
        own = self._own_runners()
        self._view.retain_statuses({runner.runner_id for runner in own})
        return own

    def _own_runners(self) -> list[Runner]:
        """Return the engines whose home this host is, found anew on a change."""
        basis = _Basis(self._view.fleet, self._view.serving_hosts())
        if basis != self._basis:
            self._basis = basis
            self._own = find_own_runners(self._view.own, *basis)
        return self._own

    async def _probe(self, runner: Runner) -> None:
        self._note(await self._read(runner))

    async def _read(self, runner: Runner) -> RunnerStatus:
        status = await read_status(self._client, runner)
        if status.state is RunnerState.UNREACHABLE:
            self._checks_by_runner.pop(runner.runner_id, None)
            return status
        checks_fence = await self._checks_fence(runner)
        status = status._replace(checks_fence=checks_fence)
        if self._is_draining(status):
            in_flight = await read_in_flight(self._client, runner)
            status = status._replace(in_flight=1 if in_flight is None else in_flight)
        return status

    async def _checks_fence(self, runner: Runner) -> bool:
        """Find out once, when the engine is met, whether it checks fencing numbers."""
        known = self._checks_by_runner.get(runner.runner_id)
        if known is None:
            known = await read_checks_fence(self._client, runner)
            if known is None:
                return False
            self._checks_by_runner[runner.runner_id] = known
        return known

    def _is_draining(self, status: RunnerStatus) -> bool:
        """Return whether an engine still serves what it is to leave."""
        wanted = self._view.plan.assignments_by_runner.get(status.runner_id)
        is_other = wanted is not None and assignment_order_key(wanted) != status.loaded
        return is_other and status.state is RunnerState.READY

    def _note(self, status: RunnerStatus) -> None:
        before = self._view.statuses_by_runner.get(status.runner_id)
        if before is None or before.state is not status.state:
            self._metrics.count(CHANGES, state=status.state.value)
            extra = {"runner": status.runner_id, "state": status.state.value}
            logger.info("runner state", extra=extra)
        self._view.record_status(status)
        if before is None or before._replace(in_flight=status.in_flight) != status:
            for observer in self._observers:
                observer(status)
