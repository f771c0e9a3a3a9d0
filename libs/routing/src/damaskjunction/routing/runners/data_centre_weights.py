"""How much of a data centre's load goes to the runners of each data centre."""

from __future__ import annotations

from collections.abc import Mapping

from damaskjunction.core import DataCentre

MIN_LOCAL_HOSTS = 10  # with fewer, each host sees enough to choose the least loaded


def data_centre_weights(
    own: DataCentre,
    n_hosts_by_data_centre: Mapping[DataCentre, int],
    n_slots_by_data_centre: Mapping[DataCentre, int],
) -> dict[DataCentre, float]:
    """Return the share of a host's requests that each data centre's runners get.

    A data centre with at least its share of the slots keeps all that its hosts get. One
    with less keeps what its slots are a share for, and sends the rest to the others, in
    proportion to what they have left over. So every runner gets its share of the load,
    as far as hosts get equal shares of it.

    Returns an empty mapping if the data centre of the host is unknown or has fewer than
    ``MIN_LOCAL_HOSTS`` hosts, and no place is to be preferred.
    """
    if not own or n_hosts_by_data_centre.get(own, 0) < MIN_LOCAL_HOSTS:
        return {}
    n_hosts = sum(n_hosts_by_data_centre.values())
    n_slots = sum(n_slots_by_data_centre.values())
    if not n_slots:
        return {}

    def slot_share(place: DataCentre) -> float:
        return n_slots_by_data_centre.get(place, 0) / n_slots

    def host_share(place: DataCentre) -> float:
        return n_hosts_by_data_centre.get(place, 0) / n_hosts

    own_share = min(1.0, slot_share(own) / host_share(own))
    surplus_by_place = {
        place: max(0.0, slot_share(place) - host_share(place))
        for place in n_slots_by_data_centre
        if place != own
    }
    surplus = sum(surplus_by_place.values())
    weights = {own: own_share}
    for place, left_over in surplus_by_place.items():
        if surplus and left_over:
            weights[place] = (1.0 - own_share) * left_over / surplus
    return weights
