"""The lease of a region: who plans and sends orders.

The lease is an object at the platform. Its version grows with each renewal and is the
fencing number of orders. Nobody compares clocks: the holder counts from the start of
its last renewal on its own monotonic clock, and the others from when they first saw the
version. The holder acts only within its count less a margin, so it has stopped before
another one takes over, also when it was paused.
"""

from __future__ import annotations

from typing import NamedTuple, TypeAlias

from damaskjunction.core import Revision

POLL_RANKS = 3
RETRY_SHARE = 0.5


class LeaseTimes(NamedTuple):
    """Times of a lease, in seconds.

    The holder renews each ``renew_s``, acts until ``lease_s - margin_s`` after the
    start of a renewal, and others take over when a version is ``lease_s`` old. They
    look each ``poll_s``, later candidates more seldom.
    """

    lease_s: float = 4.0
    margin_s: float = 1.0
    renew_s: float = 1.0
    poll_s: float = 1.0


class ReadLease(NamedTuple):
    """Read the lease object and tell ``take_read``."""


class WriteLease(NamedTuple):
    """Write the lease object under a condition and tell how it ended.

    An empty ``holder`` gives the lease up.
    """

    expected_version: Revision
    holder: str


LeaseAction: TypeAlias = ReadLease | WriteLease


class RegionLease:
    """One host's part in the lease of its region.

    Parameters
    ----------
    holder : str
        Names this process; another one after a restart.
    times : LeaseTimes, optional
        Times of the lease, the same on every host.
    """

    def __init__(self, holder: str, times: LeaseTimes | None = None) -> None:
        self._holder = holder
        self.times = times or LeaseTimes()
        self._version: Revision = 0
        self._seen_holder = ""
        self._seen_at_s = 0.0
        self._is_known = False
        self._is_holder = False
        self._renewed_at_s = 0.0
        self._looked_at_s: float | None = None
        self._paused_until_s = 0.0
        self.held_since_s = 0.0

    @property
    def fence(self) -> Revision:
        """The fencing number of orders."""
        return self._version

    @property
    def seen_holder(self) -> str:
        """Who held the lease when it was last read."""
        return self._seen_holder

    def may_act(self, now_s: float) -> bool:
        """Return whether orders may be sent at this moment."""
        end_s = self._renewed_at_s + self.times.lease_s - self.times.margin_s
        return self._is_holder and now_s < end_s

    def next_action(self, now_s: float, *, rank: int = 0) -> LeaseAction | None:
        """Return what to do now, None to wait.

        Parameters
        ----------
        now_s : float
            Seconds on the monotonic clock.
        rank : int, optional
            Place of this host among the candidates; the first ones look more often.
        """
        if self._is_holder and not self.may_act(now_s):
            self.doubt()
        if now_s < self._paused_until_s:
            return None
        if self._is_holder:
            if now_s < self._renewed_at_s + self.times.renew_s:
                return None
            return WriteLease(self._version, self._holder)
        if self._is_known and self._is_free():
            return WriteLease(self._version, self._holder)
        pause_s = self.times.poll_s * (1 + rank // POLL_RANKS)
        if self._looked_at_s is None or now_s >= self._looked_at_s + pause_s:
            return ReadLease()
        return None

    def take_read(self, now_s: float, version: Revision, holder: str) -> None:
        """Take what the lease object says; version 0 means there is none."""
        self._looked_at_s = now_s
        if version != self._version or not self._is_known:
            self._note(now_s, version, holder)
        self._is_known = True

    def take_written(self, started_s: float, version: Revision) -> None:
        """Take the success of a write that was started at ``started_s``."""
        if not self._is_holder:
            self.held_since_s = started_s
        self._version = version
        self._seen_holder = self._holder
        self._seen_at_s = started_s
        self._renewed_at_s = started_s
        self._is_holder = True
        self._is_known = True

    def take_conflict(self, now_s: float, version: Revision, holder: str) -> None:
        """Take the failure of a write: the object is at another version."""
        self._is_holder = False
        self._looked_at_s = now_s
        self._note(now_s, version, holder)
        self._is_known = True

    def take_unavailable(self, now_s: float) -> None:
        """Take the failure of an action that had no effect."""
        self._paused_until_s = now_s + RETRY_SHARE * self.times.poll_s

    def doubt(self) -> None:
        """Hold nothing until the lease was read: a write's end or a fence is unsure."""
        self._is_holder = False
        self._is_known = False
        self._looked_at_s = None

    def release(self) -> WriteLease | None:
        """Return the write that gives the lease up, None when it is not held."""
        if not self._is_holder:
            return None
        self._is_holder = False
        self._is_known = False
        return WriteLease(self._version, "")

    def _note(self, now_s: float, version: Revision, holder: str) -> None:
        if version != self._version:
            self._seen_at_s = now_s
        self._version = version
        self._seen_holder = holder

    def _is_free(self) -> bool:
        """Return whether the last look showed a lease that may be taken."""
        if self._version == 0 or self._seen_holder in ("", self._holder):
            return True
        if self._looked_at_s is None:
            return False
        return self._looked_at_s - self._seen_at_s >= self.times.lease_s
