"""What the servers of a process share to bound what clients make it keep."""

from __future__ import annotations

import logging
import math
from collections.abc import Callable

from damaskjunction.core import MemoryPart
from damaskjunction.http.backlog import BacklogTurns
from damaskjunction.http.client_connections import ClientConnections
from damaskjunction.http.client_memory import ClientMemory

REPORT_INTERVAL_S = 1.0
MAX_PEERS_NAMED = 64  # by the counter of those that were cut
OTHER_PEERS = "others"

logger = logging.getLogger(__name__)


class ClientGuard:
    """Bounds on what all clients of a process make it hold and do.

    ``turns`` are those of the connections that have more at hand than is handled at
    once, so that no client keeps the event loop.

    Parameters
    ----------
    now : callable
        Returns the current time in seconds.
    memory : MemoryPart, optional
        Counts what is held for all clients.
    connection_memory : MemoryPart, optional
        Counts the open connections.
    max_connections : int, optional
        Connections that are open at once; None for any number.
    on_cut : callable, optional
        Takes the IP address of a client that was refused or dropped, and the reason.
        Beyond ``MAX_PEERS_NAMED`` addresses it gets ``OTHER_PEERS`` in their place.
    """

    def __init__(
        self,
        now: Callable[[], float],
        *,
        memory: MemoryPart | None = None,
        connection_memory: MemoryPart | None = None,
        max_connections: int | None = None,
        on_cut: Callable[[str, str], None] = lambda peer, reason: None,
    ) -> None:
        self._now = now
        self._on_cut = on_cut
        self._named_peers: set[str] = set()
        self.memory = ClientMemory(now, memory)
        self.connections = ClientConnections(max_connections, connection_memory)
        self.turns = BacklogTurns()
        self._reported_at_s = -math.inf
        self._n_unreported = 0

    def report(self, peer: str, reason: str) -> None:
        """Count that a client was refused or dropped; log it at intervals.

        There is a line in each ``REPORT_INTERVAL_S`` at most.
        """
        self._on_cut(self._counted_name(peer), reason)
        now_s = self._now()
        if now_s - self._reported_at_s < REPORT_INTERVAL_S:
            self._n_unreported += 1
            return
        extra = {"peer": peer, "reason": reason, "n_others": self._n_unreported}
        logger.warning("client refused or dropped", extra=extra)
        self._reported_at_s, self._n_unreported = now_s, 0

    def _counted_name(self, peer: str) -> str:
        name = peer.rpartition(":")[0]
        if name not in self._named_peers:
            if len(self._named_peers) >= MAX_PEERS_NAMED:
                return OTHER_PEERS
            self._named_peers.add(name)
        return name
