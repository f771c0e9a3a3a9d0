"""The hosts and runners of the fleet as known to one host."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from damaskjunction.core import EntryHost, HostId, HostState, Runner, RunnerId
from damaskjunction.core.types import EMPTY


class FleetView(NamedTuple):
    """Immutable snapshot of the known hosts and runners."""

    hosts_by_id: Mapping[HostId, EntryHost] = EMPTY
    runners_by_id: Mapping[RunnerId, Runner] = EMPTY

    def live_hosts(self) -> list[EntryHost]:
        """Return the hosts that are not leaving, sorted by id."""
        hosts = sorted(self.hosts_by_id.values())
        return [host for host in hosts if host.state is HostState.LIVE]

    def live_runners(self) -> list[Runner]:
        """Return the runners that are not leaving, sorted by id."""
        runners = sorted(self.runners_by_id.values())
        return [runner for runner in runners if runner.state is HostState.LIVE]


def make_view(hosts: Iterable[EntryHost], runners: Iterable[Runner]) -> FleetView:
    """Return a view of the given hosts and runners."""
    return FleetView(
        {host.host_id: host for host in hosts},
        {runner.runner_id: runner for runner in runners},
    )
