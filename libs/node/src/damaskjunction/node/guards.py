"""The bounds on what clients and other hosts make a host hold."""

from __future__ import annotations

from typing import NamedTuple

from damaskjunction.core import MemoryPart, Timers
from damaskjunction.http import ClientGuard
from damaskjunction.node.memory_shares import MemoryShares
from damaskjunction.telemetry import Metrics

# Fractions of the file descriptors of the process.
CLIENT_DESCRIPTOR_FRACTION = 0.4
PEER_DESCRIPTOR_FRACTION = 0.2


class HostGuards(NamedTuple):
    """The guards of a host's servers.

    ``clients`` is that of all servers that clients reach, ``peers`` that of the server
    for other hosts.
    """

    clients: ClientGuard
    peers: ClientGuard


def make_guards(
    memory: MemoryShares, max_descriptors: int, timers: Timers, metrics: Metrics
) -> HostGuards:
    """Return the guards of a host, which its metrics show."""

    def count_cut(peer: str, reason: str) -> None:
        metrics.count("peers_cut", peer=peer, reason=reason)

    def make_guard(part: MemoryPart, fraction: float) -> ClientGuard:
        return ClientGuard(
            timers.now,
            memory=part,
            connection_memory=memory.connections,
            max_connections=int(fraction * max_descriptors),
            on_cut=count_cut,
        )

    clients = make_guard(memory.clients, CLIENT_DESCRIPTOR_FRACTION)
    peers = make_guard(memory.links, PEER_DESCRIPTOR_FRACTION)
    account = memory.account
    metrics.gauge("held_bytes", lambda: float(account.n_bytes))
    _show(metrics, "client", clients)
    _show(metrics, "peer", peers)
    return HostGuards(clients, peers)


def _show(metrics: Metrics, name: str, guard: ClientGuard) -> None:
    memory, connections = guard.memory, guard.connections
    metrics.gauge(f"{name}_held_bytes", lambda: float(memory.part.n_bytes))
    metrics.gauge(f"{name}_connections", lambda: float(connections.n_open))
    metrics.gauge(f"{name}s_refused", lambda: float(memory.n_refused))
    metrics.gauge(f"{name}s_dropped", lambda: float(memory.n_dropped))
    metrics.gauge(f"{name}_connections_evicted", lambda: float(connections.n_evicted))
