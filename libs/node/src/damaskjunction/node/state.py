"""The view of one host: configuration, plan and fleet, with observers of changes."""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable, Mapping

from damaskjunction.core import (
    Address,
    Configuration,
    EntryHost,
    HostId,
    HostState,
    Plan,
    Runner,
    RunnerId,
    ServiceKind,
    ServiceName,
    WorkspaceName,
)
from damaskjunction.membership import FleetView
from damaskjunction.placement import RunnerState, RunnerStatus, assignment_state
from damaskjunction.routing import WorkspaceKeys


class HostView:
    """The configuration, plan and fleet that this host acts on.

    Configurations and plans of the same or a lower revision are ignored.

    Parameters
    ----------
    own : EntryHost
        This host.
    """

    def __init__(self, own: EntryHost) -> None:
        self.own = own
        self.configuration = Configuration()
        self.plan = Plan()
        self.fleet = FleetView({own.host_id: own})
        self.power_by_host: Mapping[HostId, float] = {}
        self.is_draining = False
        self.is_listed_leaving = False
        self.statuses_by_runner: dict[RunnerId, RunnerStatus] = {}
        self._keys = WorkspaceKeys()
        self._addresses_fleet: FleetView | None = None
        self._runner_addresses: frozenset[Address] = frozenset()
        self._observers: list[Callable[[], None]] = []

    @property
    def is_ready(self) -> bool:
        """Whether the host has a configuration, without which it serves nothing."""
        return self.configuration.revision > 0

    def subscribe(self, observer: Callable[[], None]) -> None:
        """Call the observer after every change."""
        self._observers.append(observer)

    def apply_configuration(self, configuration: Configuration) -> bool:
        """Apply a configuration of a higher revision; return whether it was applied."""
        if configuration.revision <= self.configuration.revision:
            return False
        self.configuration = configuration
        workspaces = configuration.workspaces_by_name.values()
        self._keys = WorkspaceKeys.from_workspaces(workspaces)
        self._notify_observers()
        return True

    def apply_plan(self, plan: Plan) -> bool:
        """Apply a plan of a higher revision; return whether it was applied."""
        if plan.revision <= self.plan.revision:
            return False
        self.plan = plan
        self._notify_observers()
        return True

    def apply_hosts(self, hosts: Iterable[EntryHost]) -> None:
        """Replace the hosts of the fleet."""
        hosts_by_id = {host.host_id: host for host in hosts}
        self._apply_fleet(self.fleet._replace(hosts_by_id=hosts_by_id))

    def apply_powers(self, power_by_host: Mapping[HostId, float]) -> None:
        """Replace the number of processor cores that each host may use, where known."""
        if power_by_host != self.power_by_host:
            self.power_by_host = power_by_host
            self._notify_observers()

    def apply_runners(self, runners: Iterable[Runner]) -> None:
        """Replace the runners of the fleet."""
        runners_by_id = {runner.runner_id: runner for runner in runners}
        self._apply_fleet(self.fleet._replace(runners_by_id=runners_by_id))

    def _apply_fleet(self, fleet: FleetView) -> None:
        if fleet != self.fleet:
            self.fleet = fleet
            self._notify_observers()

    def workspace_of_key(self, key: str) -> WorkspaceName | None:
        """Return the workspace of an API key, None for an unknown key."""
        workspace = self._keys.find(key)
        return None if workspace is None else workspace.name

    def runner_addresses(self) -> frozenset[Address]:
        """Return the addresses of the runners that are not leaving."""
        if self._addresses_fleet is not self.fleet:
            self._addresses_fleet = self.fleet
            self._runner_addresses = frozenset(
                runner.address for runner in self.fleet.live_runners()
            )
        return self._runner_addresses

    def runners_of(self, service: ServiceName) -> list[Runner]:
        """Return the runners that serve a service, by id.

        When none of those assigned to it is known to be ready, all of them are
        returned: one may have become ready since, and one that is not rejects the
        request.
        """
        spec = self.configuration.services_by_name.get(service)
        if spec is None:
            return []
        runners = self.fleet.live_runners()
        if spec.kind is ServiceKind.PLAIN:
            return [runner for runner in runners if runner.service == service]
        assignments = self.plan.assignments_by_runner
        assigned = [
            runner
            for runner in runners
            if runner.runner_id in assignments
            and assignments[runner.runner_id].service == service
        ]
        ready = [runner for runner in assigned if self._is_runner_ready(runner)]
        return ready or assigned

    def _is_runner_ready(self, runner: Runner) -> bool:
        """Return whether an engine serves its assignment.

        A state that this host has observed itself takes precedence over the plan.
        """
        status = self.statuses_by_runner.get(runner.runner_id)
        if status is None:
            return runner.runner_id in self.plan.ready_runners
        assignment = self.plan.assignments_by_runner[runner.runner_id]
        return assignment_state(assignment, status) is RunnerState.READY

    def record_status(self, status: RunnerStatus) -> None:
        """Record the state of an engine whose home host is this one."""
        self.statuses_by_runner[status.runner_id] = status

    def retain_statuses(self, runner_ids: Collection[RunnerId]) -> None:
        """Remove the states of engines that are not in ``runner_ids``."""
        for runner_id in self.statuses_by_runner.keys() - runner_ids:
            del self.statuses_by_runner[runner_id]

    def serving_hosts(self) -> list[EntryHost]:
        """Return the hosts that accept new work."""
        hosts = self.fleet.live_hosts()
        if self.is_draining:
            own_id = self.own.host_id
            hosts = [host for host in hosts if host.host_id != own_id]
        return hosts

    def other_hosts(self) -> list[EntryHost]:
        """Return all other known hosts, also those that leave, sorted by id."""
        hosts = sorted(self.fleet.hosts_by_id.values())
        return [host for host in hosts if host.host_id != self.own.host_id]

    def record_listed_state(self, hosts: Iterable[EntryHost]) -> None:
        """Record whether the platform's host list marks this host as leaving."""
        own_id = self.own.host_id
        states = [host.state for host in hosts if host.host_id == own_id]
        is_leaving = states == [HostState.LEAVING]
        if is_leaving != self.is_listed_leaving:
            self.is_listed_leaving = is_leaving
            self._notify_observers()

    def start_draining(self) -> None:
        """Accept no new work from now on."""
        self.is_draining = True
        self.own = self.own._replace(state=HostState.LEAVING)
        self._notify_observers()

    def _notify_observers(self) -> None:
        for observer in self._observers:
            observer()
