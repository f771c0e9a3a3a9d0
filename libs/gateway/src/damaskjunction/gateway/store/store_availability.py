"""What a host believes of its own way to the store: when to probe and to follow it."""

from __future__ import annotations

import random

PROBE_PERIOD_S = 0.4
MAX_PROBE_BACKOFF_S = 1.6
MAX_PROBE_AGE_S = 0.9
MIN_PROBE_FAILURES = 2  # after which the store counts as lost
MAX_DOUBLINGS = 8


class StoreAvailability:
    """The outcome of probes of the store.

    It answers an outage that all hosts of a large fleet see at once: they probe the
    store ever more rarely, and when it is back they first wait for a host that follows
    it for them, since otherwise each would list all objects.

    Parameters
    ----------
    recovery_s : float
        Seconds to wait for another host once the store is back.
    rng : random.Random
        Source of the jitter of the backoff.
    """

    def __init__(self, recovery_s: float, rng: random.Random) -> None:
        self._recovery_s = recovery_s
        self._rng = rng
        self._n_failures = 0
        self._answered_at_s = float("-inf")
        self._next_probe_at_s = float("-inf")
        self._recovers_until_s = float("-inf")

    @property
    def is_lost(self) -> bool:
        """Whether the store has not answered several probes in a row."""
        return self._n_failures >= MIN_PROBE_FAILURES

    def is_proved(self, now_s: float) -> bool:
        """Return whether the store has answered a probe that was sent lately."""
        return now_s - self._answered_at_s <= MAX_PROBE_AGE_S

    def is_probe_due(self, now_s: float) -> bool:
        """Return whether the backoff after failed probes is over."""
        return now_s >= self._next_probe_at_s

    def is_recovering(self, now_s: float) -> bool:
        """Return whether to wait for another host, since the store is just back."""
        return now_s < self._recovers_until_s

    def record_answer(self, sent_at_s: float) -> bool:
        """Record an answered probe; return whether the one before it had failed."""
        had_failed = self._n_failures > 0
        self._n_failures = 0
        self._answered_at_s = sent_at_s
        return had_failed

    def record_failure(self, now_s: float) -> None:
        """Record a failed probe; the next one comes after a growing, random time."""
        self._n_failures += 1
        self._answered_at_s = float("-inf")
        backoff_s = PROBE_PERIOD_S * 2.0 ** min(self._n_failures, MAX_DOUBLINGS)
        jitter = self._rng.uniform(0.5, 1.0)
        self._next_probe_at_s = now_s + min(backoff_s, MAX_PROBE_BACKOFF_S) * jitter

    def start_recovery(self, now_s: float) -> None:
        """Begin to wait for another host."""
        self._recovers_until_s = now_s + self._recovery_s

    def forget(self) -> None:
        """Forget all probes, as another host tells this one what changes."""
        self._n_failures = 0
        self._answered_at_s = float("-inf")
        self._next_probe_at_s = self._recovers_until_s = float("-inf")
