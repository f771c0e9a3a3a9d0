"""A bound on the bytes that all clients of a process make it hold at once."""

from __future__ import annotations

from collections.abc import Callable

from damaskjunction.core import MemoryPart
from damaskjunction.core.units import KIB, MIB
from damaskjunction.http.messages import HttpError

DEFAULT_LIMIT_BYTES = 64 * MIB
SMALL_BYTES = 16 * KIB  # that find room up to the limit by HARD_LIMIT_FACTOR
STALLED_S = 1.0
HARD_LIMIT_FACTOR = 1.5
RETRY_AFTER_S = 1.0


class ClientMemory:
    """Decides whose bytes are held, over all clients of a process.

    While all together hold too much, those are dropped first that have made no
    progress for ``STALLED_S``, the longest one at first. If there is none, the upload
    that needs more room is refused, a small one only when everything together exceeds
    the limit by ``HARD_LIMIT_FACTOR``. What is owed to a client, such as an answer that
    it does not read, is not refused; it counts, and is dropped when it has stalled, or
    beyond that factor.

    ``n_dropped`` and ``n_refused`` count both since the start.

    Parameters
    ----------
    now : callable
        Returns the current time in seconds.
    part : MemoryPart, optional
        Counts the bytes that are held, and limits them.
    """

    def __init__(
        self, now: Callable[[], float], part: MemoryPart | None = None
    ) -> None:
        self._now = now
        self.part = part or MemoryPart(DEFAULT_LIMIT_BYTES)
        self._holdings: set[Holding] = set()
        self.n_dropped = 0
        self.n_refused = 0

    def open(self, on_dropped: Callable[[], None]) -> Holding:
        """Return a holding without bytes; ``on_dropped`` has to free what it holds."""
        holding = Holding(self, on_dropped, self._now())
        self._holdings.add(holding)
        return holding

    def change(self, holding: Holding, n_added: int) -> None:
        """Count bytes of an open holding; drop stalled ones while over the limit."""
        self.part.change(n_added)
        holding.progressed_at_s = now_s = self._now()
        if n_added <= 0:
            return
        while not self.part.has_room():
            victim = self._longest_stalled(now_s, holding)
            if victim is None:
                return
            self.n_dropped += 1
            victim.drop()

    def has_room(self, *, is_favoured: bool = False) -> bool:
        """Return whether there is room; favoured ones find it beyond the limit."""
        return self.part.has_room(factor=HARD_LIMIT_FACTOR if is_favoured else 1.0)

    def _longest_stalled(self, now_s: float, asking: Holding) -> Holding | None:
        candidates = [
            h
            for h in self._holdings
            if not h.is_fixed and h is not asking and h.n_bytes
        ]
        if not candidates:
            return None
        oldest = min(candidates, key=lambda holding: holding.progressed_at_s)
        is_stalled = now_s - oldest.progressed_at_s >= STALLED_S
        is_urgent = not self.part.has_room(factor=HARD_LIMIT_FACTOR)
        return oldest if is_stalled or is_urgent else None

    def remove(self, holding: Holding) -> None:
        """Remove a holding, with all that it has counted."""
        if holding in self._holdings:
            self._holdings.remove(holding)
            self.part.change(-holding.n_bytes)


class Holding:
    """What one client makes the process hold; use ``ClientMemory.open``."""

    def __init__(
        self, memory: ClientMemory, on_dropped: Callable[[], None], now_s: float
    ) -> None:
        self._memory = memory
        self._on_dropped = on_dropped
        self.progressed_at_s = now_s
        self.n_bytes = 0
        self.is_fixed = False
        self.is_dropped = False
        self._is_closed = False

    def resize(self, n_bytes: int) -> None:
        """Set how many bytes are held, also when there is no room."""
        if self._is_closed:
            return
        n_added, self.n_bytes = n_bytes - self.n_bytes, n_bytes
        self._memory.change(self, n_added)

    def try_resize(self, n_bytes: int, *, is_favoured: bool = False) -> bool:
        """Set how many bytes are held; drop them and return False without room.

        Favoured ones find room up to the limit by ``HARD_LIMIT_FACTOR``.
        """
        self.resize(n_bytes)
        if not self.is_dropped and not self._memory.has_room(is_favoured=is_favoured):
            self._memory.n_refused += 1
            self.close()
            self.is_dropped = True
        return not self.is_dropped

    def request(self, n_bytes: int) -> None:
        """Set how many bytes of an upload are held.

        Raises
        ------
        HttpError
            With status 503 if there is no room, or if the holding was dropped.
        """
        self.try_resize(n_bytes, is_favoured=n_bytes <= SMALL_BYTES)
        self.check()

    def fix(self) -> None:
        """Let the bytes be held until ``close``: they are in use."""
        self.is_fixed = True

    def check(self) -> None:
        """Raise ``HttpError`` with status 503 if the holding was dropped."""
        if self.is_dropped:
            detail = "clients together send more than this process can hold"
            raise HttpError(503, "no_room", detail, retry_after_s=RETRY_AFTER_S)

    def drop(self) -> None:
        """Count the bytes no more, and let the holder free them."""
        self.close()
        self.is_dropped = True
        self._on_dropped()

    def close(self) -> None:
        """End the holding; it counts nothing from now on."""
        self._memory.remove(self)
        self._is_closed = True
        self.n_bytes = 0
