"""The choice of the host that keeps the slots of a service, as this host sees it."""

from __future__ import annotations

import logging
from collections.abc import Iterator

from damaskjunction.core import EntryHost, HostId, ServiceName, Timers
from damaskjunction.gateway.slots.home_ranking import HomeRanking

logger = logging.getLogger(__name__)

HOME_SUSPECT_TIME_S = 1.5


class HomeChoice:
    """The candidate homes of each service, without those that lately did not answer.

    Parameters
    ----------
    homes : HomeRanking
        The hosts that may be the home of a service.
    timers : Timers
        The process's timer service.
    """

    def __init__(self, homes: HomeRanking, timers: Timers) -> None:
        self._homes = homes
        self._timers = timers
        self._suspect_until_by_host: dict[HostId, float] = {}

    @property
    def suspects(self) -> list[HostId]:
        """The hosts that have been suspect, for the dump."""
        return sorted(self._suspect_until_by_host)

    def home_of(self, service: ServiceName) -> EntryHost | None:
        """Return the home of a service, None when none can be reached."""
        return next(self.candidates(service), None)

    def candidates(self, service: ServiceName) -> Iterator[EntryHost]:
        """Yield the candidate homes of a service, the current one first.

        Hosts that are suspect are left out.
        """
        now_s = self._timers.now()
        return (
            host
            for host in self._homes.homes_of(service)
            if self._suspect_until_by_host.get(host.host_id, 0.0) <= now_s
        )

    def mark_suspect(self, host: EntryHost, error: str) -> None:
        """Leave a host out for ``HOME_SUSPECT_TIME_S``."""
        now_s = self._timers.now()
        if self._suspect_until_by_host.get(host.host_id, 0.0) < now_s:
            extra = {"host": host.host_id, "error": error}
            logger.warning("home doubted", extra=extra)
        self._suspect_until_by_host[host.host_id] = now_s + HOME_SUSPECT_TIME_S
