"""The client at the other end of an accepted connection."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterator
from contextlib import contextmanager

from damaskjunction.http.client_guard import ClientGuard


class ClientEnd:
    """Tells whether a client is waited for, and drops it when others need its room.

    ``waits_since_s`` is since when the connection waits for its client to send or to
    read, None while it does not. ``is_dropped`` says that nothing can be sent to the
    client any more.

    Parameters
    ----------
    writer : asyncio.StreamWriter
        The connection.
    guard : ClientGuard
        Bounds on all clients of the process.
    now : callable
        Returns the current time in seconds.
    """

    def __init__(
        self,
        writer: asyncio.StreamWriter,
        guard: ClientGuard,
        now: Callable[[], float],
    ) -> None:
        self._writer = writer
        self._guard = guard
        self._now = now
        self.waits_since_s: float | None = now()
        self.is_dropped = False

    @property
    def name(self) -> str:
        """Address of the client, empty if it is not known."""
        address = self._writer.get_extra_info("peername")
        return f"{address[0]}:{address[1]}" if address else ""

    def begin_wait(self) -> None:
        """Note that the connection waits for its client from now on."""
        self.waits_since_s = self._now()

    def end_wait(self) -> None:
        """Note that the client is not waited for any more."""
        self.waits_since_s = None

    @contextmanager
    def waiting(self) -> Iterator[None]:
        """Wait for the client as long as the context lasts."""
        self.begin_wait()
        try:
            yield
        finally:
            self.end_wait()

    def report(self, reason: str) -> None:
        """Log that the client was refused or dropped."""
        self._guard.report(self.name, reason)

    def drop(self, reason: str) -> None:
        """Close the connection at once, and log the reason."""
        self.report(reason)
        self.is_dropped = True
        self._writer.transport.abort()
