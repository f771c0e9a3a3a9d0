"""Which hosts may count for a workspace, as this host sees the fleet."""

from __future__ import annotations

from collections.abc import Sequence
from itertools import islice
from typing import Any

from damaskjunction.core import (
    EntryHost,
    HostId,
    HostState,
    Subscription,
    Timers,
    WorkspaceName,
)
from damaskjunction.gateway.state import ServingState
from damaskjunction.routing import CounterChoice, CounterPlace, FleetShare, PermitAsk

OBSERVE_PERIOD_S = 0.4
MAX_RANKED = 32


class CounterView:
    """The hosts that may count for a workspace, in order, and the place of this one.

    Parameters
    ----------
    state : ServingState
        Known hosts.
    timers : Timers
        The process's timer service.

    ``choice`` knows which hosts lately did not answer.
    """

    def __init__(self, state: ServingState, timers: Timers) -> None:
        self._state = state
        self._timers = timers
        self._fleet_share = FleetShare(state.view.own.host_id, timers.now())
        self._power_by_host = state.view.power_by_host
        self._observation: Subscription | None = None
        self.choice = CounterChoice()
        state.view.subscribe(self._observe)

    def start(self) -> None:
        """Observe the fleet from now on."""
        self._observation = self._timers.every(OBSERVE_PERIOD_S, self._observe)

    def close(self) -> None:
        """End the observation."""
        if self._observation is not None:
            self._observation.cancel()

    @property
    def n_hosts(self) -> int:
        """Number of the hosts that are live, or were not long ago."""
        return self._fleet_share.n_known

    def find_host(self, host_id: HostId) -> EntryHost | None:
        """Return a known host."""
        return self._state.view.fleet.hosts_by_id.get(host_id)

    def candidates(self, workspace: WorkspaceName) -> list[HostId]:
        """Return the hosts to ask for a request of a workspace, in order."""
        return self.choice.candidates(self._ranked(workspace), self._timers.now())

    def target(self, ask: PermitAsk) -> HostId:
        """Return the host to pass an ask to, empty if there is none."""
        return self.choice.target(self._ranked(ask.workspace), ask, self._timers.now())

    def place_for(self, ask: PermitAsk) -> CounterPlace:
        """Return the place of this host among those that may count for an ask."""
        now_s, share = self._timers.now(), self._fleet_share
        own_id, ranked = self._state.view.own.host_id, self._ranked(ask.workspace)
        skipped = (*ask.unsettled, own_id)
        return CounterPlace(
            is_home=self.choice.home_of(ranked, ask.unsettled, now_s) == own_id,
            has_next=bool(self.choice.home_of(ranked, skipped, now_s)),
            is_settled=share.is_settled(now_s),
            share=share.share(now_s),
            since_s=max(share.counts_since_s(), self.choice.changed_at_s),
        )

    def to_document(self) -> dict[str, Any]:
        """Return what this host sees of the fleet, for the dump."""
        now_s = self._timers.now()
        return {
            "n_hosts": self.n_hosts,
            "share": round(self._fleet_share.share(now_s), 3),
            "is_settled": self._fleet_share.is_settled(now_s),
        }

    def _ranked(self, workspace: WorkspaceName) -> Sequence[HostId]:
        ranked = self._state.homes.homes_of(f"quota/{workspace}")
        return [host.host_id for host in islice(ranked, MAX_RANKED)]

    def _observe(self) -> None:
        view, now_s = self._state.view, self._timers.now()
        hosts_by_id = view.fleet.hosts_by_id
        live = [h.host_id for h in hosts_by_id.values() if h.state is HostState.LIVE]
        self._fleet_share.observe(live, hosts_by_id.keys(), now_s)
        if view.power_by_host is not self._power_by_host:
            self._power_by_host = view.power_by_host
            self._fleet_share.record_change(now_s)
        self.choice.retain_hosts(hosts_by_id)
