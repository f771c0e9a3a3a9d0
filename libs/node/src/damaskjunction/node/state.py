"""What one host knows: configuration, plan and fleet, and who wants to hear of it."""

from __future__ import annotations

import hashlib
from collections.abc import Callable

from damaskjunction.core import (
    Configuration,
    EntryHost,
    HostId,
    HostState,
    Plan,
    Runner,
    ServiceKind,
    ServiceName,
    WorkspaceName,
)
from damaskjunction.membership import FleetView


class HostView:
    """The configuration, plan and fleet that this host acts on.

    A configuration or plan replaces only one of a lower revision.

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
        self.is_draining = False
        self._leaving: set[HostId] = set()
        self._workspaces_by_digest: dict[str, WorkspaceName] = {}
        self._observers: list[Callable[[], None]] = []

    @property
    def is_ready(self) -> bool:
        """Whether the host has a configuration, without which it serves nothing."""
        return self.configuration.revision > 0

    def subscribe(self, observer: Callable[[], None]) -> None:
        """Call back after every change."""
        self._observers.append(observer)

    def apply_configuration(self, configuration: Configuration) -> bool:
        """Take a configuration of a higher revision; return whether it was one."""
        if configuration.revision <= self.configuration.revision:
            return False
        self.configuration = configuration
        self._workspaces_by_digest = {
            digest: workspace.name
            for workspace in configuration.workspaces_by_name.values()
            for digest in workspace.key_digests
        }
        self._tell()
        return True

    def apply_plan(self, plan: Plan) -> bool:
        """Take a plan of a higher revision; return whether it was one."""
        if plan.revision <= self.plan.revision:
            return False
        self.plan = plan
        self._tell()
        return True

    def apply_fleet(self, fleet: FleetView) -> None:
        """Take a newer view of hosts and runners."""
        if fleet != self.fleet:
            self.fleet = fleet
            self._tell()

    def workspace_of_key(self, key: str) -> WorkspaceName | None:
        """Return the workspace that a caller's key belongs to."""
        digest = hashlib.sha256(key.encode()).hexdigest()
        return self._workspaces_by_digest.get(digest)

    def runners_of(self, service: ServiceName) -> list[Runner]:
        """Return the runners that serve a service, by id."""
        spec = self.configuration.services_by_name.get(service)
        if spec is None:
            return []
        runners = self.fleet.live_runners()
        if spec.kind is ServiceKind.PLAIN:
            return [runner for runner in runners if runner.service == service]
        assignments = self.plan.assignments_by_runner
        return [
            runner
            for runner in runners
            if runner.runner_id in assignments
            and assignments[runner.runner_id].service == service
        ]

    def serving_hosts(self) -> list[EntryHost]:
        """Return the hosts that take new work."""
        away = {self.own.host_id} if self.is_draining else set()
        away |= self._leaving
        hosts = self.fleet.live_hosts()
        return [host for host in hosts if host.host_id not in away]

    def is_told_to_leave(self) -> bool:
        """Return whether the host list names this host as leaving."""
        own = self.fleet.hosts_by_id.get(self.own.host_id, self.own)
        return own.state is HostState.LEAVING

    def note_leaving(self, host_id: HostId) -> None:
        """Give a host no new work, whatever the host list says as yet."""
        self._leaving.add(host_id)
        self._tell()

    def forget_leaving(self, host_id: HostId) -> None:
        """Go by the host list again."""
        self._leaving.discard(host_id)
        self._tell()

    def start_draining(self) -> None:
        """Take no new work from now on."""
        self.is_draining = True
        self.own = self.own._replace(state=HostState.LEAVING)
        self._tell()

    def _tell(self) -> None:
        for observer in self._observers:
            observer()
