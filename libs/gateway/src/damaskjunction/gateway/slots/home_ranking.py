"""The hosts by preference as homes of slots, ranked once for each view of the fleet."""

from __future__ import annotations

from collections.abc import Sequence

from damaskjunction.core import EntryHost, ServiceName
from damaskjunction.node import HostView
from damaskjunction.routing import slot_homes


class HomeRanking:
    """The hosts in order of preference as the home of each service's slots.

    Parameters
    ----------
    view : HostView
        The known hosts. What it knows of them is replaced, never changed.
    """

    def __init__(self, view: HostView) -> None:
        self._view = view
        self._ranked_by_service: dict[ServiceName, Sequence[EntryHost]] = {}
        self._ranked_from: tuple[object, object, object] = (None, None, None)

    def homes_of(self, service: ServiceName) -> Sequence[EntryHost]:
        """Return the hosts that accept new work, the home of a service first."""
        self._follow_view()
        ranked = self._ranked_by_service.get(service)
        if ranked is None:
            view = self._view
            ranked = slot_homes(service, view.serving_hosts(), view.power_by_host)
            self._ranked_by_service[service] = ranked
        return ranked

    def is_own(self, service: ServiceName) -> bool:
        """Return whether this host is the home of a service."""
        homes = self.homes_of(service)
        return bool(homes) and homes[0].host_id == self._view.own.host_id

    def _follow_view(self) -> None:
        """Drop the ranks if what the view knows of hosts has been replaced."""
        view = self._view
        current = (view.fleet.hosts_by_id, view.power_by_host, view.is_draining)
        if any(a is not b for a, b in zip(current, self._ranked_from, strict=True)):
            self._ranked_from = current
            self._ranked_by_service.clear()
