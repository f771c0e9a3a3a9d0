"""Choice of the peers that relay the change feed of the platform's store."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from damaskjunction.core import EntryHost, HostId, rendezvous_order
from damaskjunction.core.types import EMPTY

N_LOCAL_SOURCES = 3
N_REMOTE_SOURCES = 2
MIN_POWER_SHARE = 0.75


def choose_feed_sources(
    own: EntryHost,
    hosts: Iterable[EntryHost],
    power_by_host: Mapping[HostId, float] = EMPTY,
) -> list[EntryHost]:
    """Return the hosts from which to receive the change feed, in order of preference.

    Hosts of this host's data centre come first, in the same order on all of them, so
    that a single one watches the store for all; hosts of other data centres follow.
    This host may be among the sources. ``power_by_host`` is the processor power of each
    host in cores: those with at least ``MIN_POWER_SHARE`` of the largest come first,
    since a source sends each change to all readers.
    """
    hosts_by_id = {host.host_id: host for host in hosts}
    hosts_by_id[own.host_id] = own
    local = [h for h in hosts_by_id.values() if h.data_centre == own.data_centre]
    remote = [h for h in hosts_by_id.values() if h.data_centre != own.data_centre]
    names = (
        *_rank_hosts(local, own, power_by_host)[:N_LOCAL_SOURCES],
        *_rank_hosts(remote, own, power_by_host)[:N_REMOTE_SOURCES],
    )
    return [hosts_by_id[name] for name in names]


def _rank_hosts(
    hosts: Iterable[EntryHost], own: EntryHost, power_by_host: Mapping[HostId, float]
) -> list[HostId]:
    candidates = [(host.host_id, 1.0) for host in hosts]
    powers = [power_by_host.get(name, 0.0) for name, _ in candidates]
    min_power = MIN_POWER_SHARE * max(powers, default=0.0)
    order = rendezvous_order(f"news/{own.data_centre}", candidates)
    order.sort(key=lambda name: power_by_host.get(name, 0.0) < min_power)
    return order
