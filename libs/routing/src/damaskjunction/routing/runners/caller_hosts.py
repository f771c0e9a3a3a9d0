"""The hosts that a caller is told to connect to."""

from __future__ import annotations

from collections.abc import Sequence

from damaskjunction.core import DataCentre, EntryHost, rendezvous_order

MAX_OWN_SHARE = 0.75  # of the hosts told; the rest serve if a data centre is lost


def hosts_for_caller(
    hosts: Sequence[EntryHost], data_centre: DataCentre, n_max: int
) -> list[EntryHost]:
    """Return the hosts that a caller in a data centre is told, at most ``n_max``.

    All hosts if there are no more than that, and the first ones if there are none in
    the caller's data centre. Otherwise those of its data centre, and others in
    rendezvous order: an order that each host finds alike and that stays, as callers
    close connections to hosts they are no longer told of.
    """
    inside = [host for host in hosts if host.data_centre == data_centre]
    if len(hosts) <= n_max or not data_centre or not inside:
        return list(hosts[:n_max])
    outside = [host for host in hosts if host.data_centre != data_centre]
    n_outside = min(len(outside), n_max - int(MAX_OWN_SHARE * n_max))
    inside = _in_order(data_centre, inside)[: n_max - n_outside]
    return [*inside, *_in_order(data_centre, outside)[: n_max - len(inside)]]


def _in_order(data_centre: DataCentre, hosts: Sequence[EntryHost]) -> list[EntryHost]:
    hosts_by_id = {host.host_id: host for host in hosts}
    weights = [(host_id, 1.0) for host_id in hosts_by_id]
    order = rendezvous_order(f"callers/{data_centre}", weights)
    return [hosts_by_id[host_id] for host_id in order]
