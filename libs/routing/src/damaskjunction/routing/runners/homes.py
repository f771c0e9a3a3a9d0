"""Assignment of homes: the hosts that admit requests to a runner or service."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from damaskjunction.core import (
    EntryHost,
    HostId,
    HostState,
    Runner,
    ServiceName,
    rendezvous_order,
)

MIN_POWER_SHARE = 0.75


def home_of(runner: Runner, hosts: Iterable[EntryHost]) -> EntryHost | None:
    """Return the home of a runner, None when no host is live.

    The candidates are the live hosts of the runner's data centre, else those of its
    region, else all. Rendezvous hashing picks one of them, so that when a host leaves
    or joins, only the runners that it had or receives change homes.
    """
    live_by_id = {host.host_id: host for host in hosts if host.state is HostState.LIVE}
    nearest = [
        host for host in live_by_id.values() if host.data_centre == runner.data_centre
    ] or [host for host in live_by_id.values() if host.region == runner.region]
    candidates = nearest or list(live_by_id.values())
    order = rendezvous_order(
        runner.runner_id, [(host.host_id, 1.0) for host in candidates]
    )
    return live_by_id[order[0]] if order else None


def slot_homes(
    service: ServiceName,
    hosts: Iterable[EntryHost],
    power_by_host: Mapping[HostId, float],
) -> list[EntryHost]:
    """Return the hosts in order of preference as the home of a service's slots.

    ``power_by_host`` is the processor power of each host in cores. Hosts with at least
    ``MIN_POWER_SHARE`` of the largest power come first; a host of unknown power counts
    as 0. Each group is in rendezvous order.
    """
    hosts_by_id = {host.host_id: host for host in hosts}
    max_power = max((power_by_host.get(name, 0.0) for name in hosts_by_id), default=0.0)
    order = rendezvous_order(f"slots/{service}", [(name, 1.0) for name in hosts_by_id])
    order.sort(
        key=lambda name: power_by_host.get(name, 0.0) < MIN_POWER_SHARE * max_power
    )
    return [hosts_by_id[name] for name in order]
