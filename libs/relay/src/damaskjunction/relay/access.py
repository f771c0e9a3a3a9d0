"""All that a host needs to reach runners, wired together."""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence
from typing import Any

from damaskjunction.core import Address, EntryHost, Timers
from damaskjunction.relay.connector import RunnerConnector
from damaskjunction.relay.diagnosis import PathDiagnosis
from damaskjunction.relay.direct import DirectPath
from damaskjunction.relay.relays import Relays
from damaskjunction.relay.server import TunnelServer
from damaskjunction.routing import RunnerPaths
from damaskjunction.telemetry import Metrics


class RunnerAccess:
    """The ways from this host to runners, and those that it offers to other hosts.

    Parameters
    ----------
    others : callable
        Returns all other known hosts, also those that leave.
    may_relay : callable
        Returns whether the runner at an address may be used.
    runner_addresses : callable
        Returns the addresses of all listed runners.
    timers : Timers
        The process's timer service.
    metrics : Metrics
        Counts relayed connections.
    rng : random.Random
        Spreads the relayed connections over the hosts.
    max_reuse_s : float
        Seconds for which a connection through another host is reused.
    max_tunnels : int
        Connections of other hosts that are relayed at once.
    direct_path : DirectPath, optional
        The path from this host to runners.

    ``connector`` opens connections, ``diagnosis`` tells a runner that failed from a
    path that did, and ``tunnel_server`` relays connections of other hosts.
    """

    def __init__(
        self,
        others: Callable[[], Sequence[EntryHost]],
        may_relay: Callable[[Address], bool],
        runner_addresses: Callable[[], Sequence[Address]],
        *,
        timers: Timers,
        metrics: Metrics,
        rng: random.Random,
        max_reuse_s: float,
        max_tunnels: int,
        direct_path: DirectPath | None = None,
    ) -> None:
        direct_path = direct_path or DirectPath()
        self._runner_addresses = runner_addresses
        self._paths = RunnerPaths()
        relays = Relays(self._paths, others, timers, rng)
        self.diagnosis = PathDiagnosis(self._paths, direct_path, relays, timers)
        self.connector = RunnerConnector(
            self._paths,
            direct_path,
            relays,
            timers,
            metrics,
            max_reuse_s=max_reuse_s,
        )
        self.tunnel_server = TunnelServer(
            self._paths,
            direct_path,
            may_relay,
            runner_addresses,
            metrics=metrics,
            rng=rng,
            max_tunnels=max_tunnels,
        )

    def retain_listed(self) -> None:
        """Forget the paths to runners that are no longer listed."""
        if self._paths.cut_addresses:
            self._paths.retain(self._runner_addresses())

    def to_document(self) -> dict[str, Any]:
        """Return the state for the dump."""
        return {"cut": [str(address) for address in self._paths.cut_addresses]}
