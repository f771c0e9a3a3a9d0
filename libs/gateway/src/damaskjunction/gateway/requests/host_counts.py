"""The number of hosts in each data centre, counted once for each view of the fleet."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping

from damaskjunction.core import DataCentre
from damaskjunction.membership import FleetView
from damaskjunction.node import HostView


class HostCounts:
    """Counts the hosts that accept new work by data centre.

    Parameters
    ----------
    view : HostView
        The known hosts.
    """

    def __init__(self, view: HostView) -> None:
        self._view = view
        self._counted_from: FleetView | None = None
        self._n_by_data_centre: Counter[DataCentre] = Counter()

    def by_data_centre(self) -> Mapping[DataCentre, int]:
        """Return the number of hosts by data centre."""
        if self._counted_from is not self._view.fleet:
            self._counted_from = self._view.fleet
            hosts = self._view.fleet.live_hosts()
            self._n_by_data_centre = Counter(host.data_centre for host in hosts)
        return self._n_by_data_centre
