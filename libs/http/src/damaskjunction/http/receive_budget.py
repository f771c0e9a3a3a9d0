"""A bound on the bytes that all responses of a process hold at once."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Hashable

from damaskjunction.core import MemoryPart
from damaskjunction.core.units import MIB
from damaskjunction.http.messages import BrokenResponseError

DEFAULT_BUDGET_BYTES = 64 * MIB


class ReceiveBudget:
    """Bounds what is kept of received data, over all that keep some.

    It answers peers that send without end, many at once. When all together keep too
    much, the largest part of the peer that sent most of it is given up, so that what
    sound peers send is kept, be it small or large.

    Parameters
    ----------
    part : MemoryPart, optional
        Counts the bytes that are kept; its own limit holds for them.
    """

    def __init__(self, part: MemoryPart | None = None) -> None:
        self._part = part or MemoryPart(DEFAULT_BUDGET_BYTES)
        self._all_kept: set[KeptBytes] = set()

    @property
    def n_bytes(self) -> int:
        """Bytes that are kept now."""
        return self._part.n_bytes

    def open(self, on_revoked: Callable[[], None], peer: Hashable = None) -> KeptBytes:
        """Return the account of one that keeps data of a peer.

        ``on_revoked`` is called when it has to drop what it keeps.
        """
        kept = KeptBytes(self, on_revoked, peer)
        self._all_kept.add(kept)
        return kept

    def count(self, kept: KeptBytes, n_added: int) -> None:
        """Count bytes of an open account; revoke the largest while over the limit."""
        if kept not in self._all_kept:
            return
        self._part.change(n_added)
        while self.n_bytes > self._part.limit_bytes:
            self._most_to_blame().revoke()

    def _most_to_blame(self) -> KeptBytes:
        """Return the largest account of the peer of which most is kept."""
        n_bytes_by_peer: Counter[Hashable] = Counter()
        for kept in self._all_kept:
            n_bytes_by_peer[kept.peer] += kept.n_bytes
        return max(
            self._all_kept, key=lambda kept: (n_bytes_by_peer[kept.peer], kept.n_bytes)
        )

    def remove(self, kept: KeptBytes) -> None:
        """Remove an account, with all that it has counted."""
        if kept in self._all_kept:
            self._all_kept.remove(kept)
            self._part.change(-kept.n_bytes)


class KeptBytes:
    """What one response, or one item, keeps of the data it has received.

    Use ``ReceiveBudget.open``; ``close`` ends it. ``peer`` has sent the data.
    """

    def __init__(
        self, budget: ReceiveBudget, on_revoked: Callable[[], None], peer: Hashable
    ) -> None:
        self.peer = peer
        self._budget = budget
        self._on_revoked = on_revoked
        self.n_bytes = 0
        self.is_revoked = False

    def resize(self, n_bytes: int) -> None:
        """Set how many bytes are kept now.

        Raises
        ------
        BrokenResponseError
            If the account is revoked: the data must be dropped.
        """
        self.check()
        n_added, self.n_bytes = n_bytes - self.n_bytes, n_bytes
        self._budget.count(self, n_added)
        self.check()

    def check(self) -> None:
        """Raise ``BrokenResponseError`` if the account is revoked."""
        if self.is_revoked:
            raise BrokenResponseError("all responses together are too large")

    def revoke(self) -> None:
        """Count the bytes no more; its holder drops them."""
        self.close()
        self.is_revoked = True
        self._on_revoked()

    def close(self) -> None:
        """End the account."""
        self._budget.remove(self)
        self.n_bytes = 0
