"""Choice of the peers that relay the change feed of the platform's store."""

from __future__ import annotations

from collections.abc import Iterable

from damaskjunction.core import EntryHost, HostId, rendezvous_order

N_LOCAL_SOURCES = 3
N_REMOTE_SOURCES = 2


def choose_feed_sources(own: EntryHost, hosts: Iterable[EntryHost]) -> list[EntryHost]:
    """Return the hosts from which to receive the change feed, in order of preference.

    Hosts of this host's data centre come first, in the same order on each of its hosts,
    so that a single one watches the store for all; hosts of other data centres follow.
    This host may be among the sources.
    """
    hosts_by_id = {host.host_id: host for host in hosts}
    hosts_by_id[own.host_id] = own
    local = _rank_hosts(hosts_by_id, own, is_local=True)[:N_LOCAL_SOURCES]
    remote = _rank_hosts(hosts_by_id, own, is_local=False)[:N_REMOTE_SOURCES]
    return [hosts_by_id[name] for name in (*local, *remote)]


def _rank_hosts(
    hosts_by_id: dict[HostId, EntryHost], own: EntryHost, *, is_local: bool
) -> list[HostId]:
    candidates = [
        (host.host_id, 1.0)
        for host in hosts_by_id.values()
        if (host.data_centre == own.data_centre) is is_local
    ]
    return rendezvous_order(f"news/{own.data_centre}", candidates)
