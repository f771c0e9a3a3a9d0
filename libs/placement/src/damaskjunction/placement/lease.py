"""State machine of a region's lease, whose holder plans and sends orders.

The lease is an object in the platform's store. Its version grows with each renewal and
serves as the fencing token of orders. Clocks of different hosts are never compared: the
holder measures from the start of its last renewal on its own monotonic clock, and other
hosts measure from when they first observed the current version. The holder stops acting
a margin before its lease expires, so it has stopped before another host takes over,
even if it was paused.
"""

from __future__ import annotations

from typing import NamedTuple, TypeAlias

from damaskjunction.core import Revision

RANKS_PER_POLL_STEP = 3
RETRY_FRACTION = 0.5


class LeaseTiming(NamedTuple):
    """Timing of a lease, in seconds.

    The holder renews every ``renew_s`` and may act until ``lease_s - margin_s`` after
    the start of its last renewal. Other hosts take over once they have observed the
    same version for ``lease_s``. They poll every ``poll_s``, lower-ranked candidates
    less often.
    """

    lease_s: float = 4.0
    margin_s: float = 1.0
    renew_s: float = 1.0
    poll_s: float = 1.0


class ReadLease(NamedTuple):
    """Read the lease object and pass the result to ``record_read``."""


class WriteLease(NamedTuple):
    """Write the lease object if it is still at ``expected_version``.

    Report the result to ``record_write``, ``record_conflict`` or
    ``record_unavailable``, or call ``invalidate`` when it is unknown. An empty
    ``holder`` releases the lease.
    """

    expected_version: Revision
    holder: str


LeaseAction: TypeAlias = ReadLease | WriteLease


class RegionLease:
    """One host's view of the lease of its region; performs no I/O itself.

    Parameters
    ----------
    holder : str
        Identifies this process; it differs after a restart.
    timing : LeaseTiming, optional
        Timing of the lease, the same on every host.
    """

    def __init__(self, holder: str, timing: LeaseTiming | None = None) -> None:
        self._holder = holder
        self.timing = timing or LeaseTiming()
        self._version: Revision = 0
        self._observed_holder = ""
        self._observed_at_s = 0.0
        self._is_known = False
        self._is_holder = False
        self._renewed_at_s = 0.0
        self._read_at_s: float | None = None
        self._retry_at_s = 0.0
        self.held_since_s = 0.0

    @property
    def fence(self) -> Revision:
        """The fencing token of orders: the lease version observed last."""
        return self._version

    @property
    def observed_holder(self) -> str:
        """The holder observed last, empty if there was none."""
        return self._observed_holder

    def may_act(self, now_s: float) -> bool:
        """Return whether this host holds the lease and may send orders at ``now_s``."""
        end_s = self._renewed_at_s + self.timing.lease_s - self.timing.margin_s
        return self._is_holder and now_s < end_s

    def next_action(self, now_s: float, *, rank: int = 0) -> LeaseAction | None:
        """Return the call to make at ``now_s``, or None to wait.

        Parameters
        ----------
        now_s : float
            Seconds on the monotonic clock.
        rank : int, optional
            Position of this host among the candidates, from 0. The poll interval grows
            by ``poll_s`` every ``RANKS_PER_POLL_STEP`` ranks.
        """
        if self._is_holder and not self.may_act(now_s):
            self.invalidate()
        if now_s < self._retry_at_s:
            return None
        if self._is_holder:
            if now_s < self._renewed_at_s + self.timing.renew_s:
                return None
            return WriteLease(self._version, self._holder)
        if self._is_known and self._can_acquire():
            return WriteLease(self._version, self._holder)
        poll_interval_s = self.timing.poll_s * (1 + rank // RANKS_PER_POLL_STEP)
        if self._read_at_s is None or now_s >= self._read_at_s + poll_interval_s:
            return ReadLease()
        return None

    def record_read(self, now_s: float, version: Revision, holder: str) -> None:
        """Record a successful read; version 0 means that no lease object exists."""
        self._read_at_s = now_s
        if version != self._version or not self._is_known:
            self._observe(now_s, version, holder)
        self._is_known = True

    def record_write(self, started_at_s: float, version: Revision) -> None:
        """Record that this host's write, started at ``started_at_s``, succeeded."""
        if not self._is_holder:
            self.held_since_s = started_at_s
        self._version = version
        self._observed_holder = self._holder
        self._observed_at_s = started_at_s
        self._renewed_at_s = started_at_s
        self._is_holder = True
        self._is_known = True

    def record_conflict(self, now_s: float, version: Revision, holder: str) -> None:
        """Record a rejected write: the object was at another version."""
        self._is_holder = False
        self._read_at_s = now_s
        self._observe(now_s, version, holder)
        self._is_known = True

    def record_unavailable(self, now_s: float) -> None:
        """Record a call that failed without effect; back off before the next one."""
        self._retry_at_s = now_s + RETRY_FRACTION * self.timing.poll_s

    def invalidate(self) -> None:
        """Stop holding the lease until it has been read again.

        Needed when the lease expired, the result of a write is unknown, or an engine
        refused an order because of its fencing token.
        """
        self._is_holder = False
        self._is_known = False
        self._read_at_s = None

    def release(self) -> WriteLease | None:
        """Stop holding the lease; return the write that frees it, None if not held."""
        if not self._is_holder:
            return None
        self._is_holder = False
        self._is_known = False
        return WriteLease(self._version, "")

    def _observe(self, now_s: float, version: Revision, holder: str) -> None:
        if version != self._version:
            self._observed_at_s = now_s
        self._version = version
        self._observed_holder = holder

    def _can_acquire(self) -> bool:
        """Return whether the lease may be acquired.

        It may when it does not exist, was released or names this process, or when the
        last read found a version first observed at least ``lease_s`` before.
        """
        if self._version == 0 or self._observed_holder in ("", self._holder):
            return True
        if self._read_at_s is None:
            return False
        return self._read_at_s - self._observed_at_s >= self.timing.lease_s
