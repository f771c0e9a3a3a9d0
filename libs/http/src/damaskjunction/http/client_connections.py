"""A bound on the connections that all clients of a process keep open at once."""

from __future__ import annotations

from typing import Protocol

from damaskjunction.core import MemoryPart
from damaskjunction.core.units import KIB

CONNECTION_BYTES = 16 * KIB  # of an open connection that holds nothing else


class ClientConnection(Protocol):
    """What is known of an open connection."""

    @property
    def waits_since_s(self) -> float | None:
        """Since when it waits for its client, None while it does not."""

    @property
    def n_served(self) -> int:
        """Number of requests that were served on it."""

    def evict(self) -> None:
        """Close the connection."""


class ClientConnections:
    """Decides which connection is closed when a new one finds no room.

    It is one that waits for its client: one on which no request was served yet, if
    there is any, and the one that has waited longest among them.

    Parameters
    ----------
    limit : int, optional
        Connections that are open at once; None for any number.
    part : MemoryPart, optional
        Counts ``CONNECTION_BYTES`` for each of them.
    """

    def __init__(
        self, limit: int | None = None, part: MemoryPart | None = None
    ) -> None:
        self.limit = limit
        self._part = part
        self._connections: dict[ClientConnection, None] = {}
        self.n_evicted = 0
        self.n_refused = 0

    @property
    def n_open(self) -> int:
        """Number of open connections."""
        return len(self._connections)

    def try_add(self, connection: ClientConnection) -> bool:
        """Add a connection; return False if it has to be closed."""
        if self.limit is not None and self.n_open >= self.limit:
            victim = self._longest_waiting()
            if victim is None:
                self.n_refused += 1
                return False
            self.n_evicted += 1
            self.remove(victim)
            victim.evict()
        self._connections[connection] = None
        self._count(CONNECTION_BYTES)
        return True

    def remove(self, connection: ClientConnection) -> None:
        """Remove a connection that is closed, or was evicted."""
        if connection in self._connections:
            del self._connections[connection]
            self._count(-CONNECTION_BYTES)

    def _count(self, n_added: int) -> None:
        if self._part is not None:
            self._part.change(n_added)

    def _longest_waiting(self) -> ClientConnection | None:
        waiting = (
            (connection.n_served > 0, connection.waits_since_s, number, connection)
            for number, connection in enumerate(self._connections)
            if connection.waits_since_s is not None
        )
        *_, victim = min(waiting, default=(None,))
        return victim
