"""How well this process hears the others, so that it blames none for its own lag."""

from __future__ import annotations

from damaskjunction.membership.types import Timing

MAX_AWARENESS = 4
MIN_PEERS_FOR_ISOLATION = 3


class LocalHealth:
    """Local health score, pauses and isolation of this host.

    ``awareness`` is the score: it rises with each failed probe, falls with each
    acknowledged one and is at its maximum after a pause, in which this process did not
    run. Timeouts grow by ``timeout_factor``, because a host that misses
    acknowledgements may be slow itself.

    Parameters
    ----------
    timing : Timing
        Periods, timeouts and limits.
    """

    def __init__(self, timing: Timing) -> None:
        self.awareness = 0
        self._timing = timing
        self._ticked_at_s: float | None = None
        self._received_at_s: float | None = None

    @property
    def timeout_factor(self) -> int:
        """The factor by which timeouts grow."""
        return 1 + self.awareness

    def begin_tick(self, now_s: float) -> float:
        """Return the seconds since the last tick."""
        last_s = self._ticked_at_s if self._ticked_at_s is not None else now_s
        self._ticked_at_s = now_s
        return now_s - last_s

    def is_pause(self, elapsed_s: float) -> bool:
        """Return whether the process did not run for some of the time since a tick."""
        return elapsed_s > self._timing.pause_threshold_s

    def record_pause(self) -> None:
        """Record that nothing could be received for a while."""
        self.awareness = MAX_AWARENESS
        self._received_at_s = None

    def record_datagram(self, now_s: float) -> None:
        """Record that a datagram has arrived."""
        self._received_at_s = now_s

    def record_failed_probe(self) -> None:
        """Record that a host did not acknowledge a probe."""
        self.awareness = min(MAX_AWARENESS, self.awareness + 1)

    def record_acknowledged_probe(self) -> None:
        """Record that a host acknowledged a probe."""
        self.awareness = max(0, self.awareness - 1)

    def is_isolated(self, n_peers: int, now_s: float) -> bool:
        """Return whether no datagrams arrive, so that suspicions must not expire.

        False with fewer than ``MIN_PEERS_FOR_ISOLATION`` peers.
        """
        if n_peers < MIN_PEERS_FOR_ISOLATION:
            return False
        if self._received_at_s is None:
            return True
        return now_s - self._received_at_s > self._timing.isolation_timeout_s
