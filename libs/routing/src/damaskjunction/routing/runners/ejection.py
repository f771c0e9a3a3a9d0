"""Outlier ejection: temporarily excludes runners or hosts that failed recently."""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence
from typing import NamedTuple, TypeVar

T = TypeVar("T")

PANIC_SHARE = 0.5
MAX_TRACKED = 4096


class EjectionPolicy(NamedTuple):
    """When a candidate is ejected and for how long.

    ``n_failures`` consecutive failures eject it for ``base_s`` seconds. Each further
    failure doubles the duration, up to ``limit_s`` seconds. Failures that follow within
    ``burst_s`` seconds have one cause with the first, and count as one.
    """

    n_failures: int = 2
    base_s: float = 1.0
    limit_s: float = 30.0
    burst_s: float = 0.0


class _FailureRecord(NamedTuple):
    n_failures: int
    ejected_until_s: float
    failed_at_s: float  # the first failure of the last burst


class OutlierEjection:
    """Tracks consecutive failures by name and ejects the names that fail.

    Parameters
    ----------
    policy : EjectionPolicy
        When to eject and for how long.
    panic_share : float, optional
        Panic threshold: when more than this fraction of the candidates is ejected, all
        are used, since so many simultaneous failures have a common cause other than
        the candidates.
    """

    def __init__(
        self, policy: EjectionPolicy, *, panic_share: float = PANIC_SHARE
    ) -> None:
        self._policy = policy
        self._panic_share = panic_share
        self._records_by_name: dict[str, _FailureRecord] = {}

    def record_success(self, name: str) -> None:
        """Record a success, which resets the failure count and ends an ejection."""
        self._records_by_name.pop(name, None)

    def record_failure(self, name: str, now_s: float) -> None:
        """Record a failure, which may start or extend an ejection."""
        record = self._records_by_name.pop(name, _FailureRecord(0, 0.0, -math.inf))
        if now_s - record.failed_at_s < self._policy.burst_s:
            self._records_by_name[name] = record
            return
        n_failures = record.n_failures + 1
        n_extra = n_failures - self._policy.n_failures
        until_s = record.ejected_until_s
        if n_extra >= 0:
            duration_s = self._policy.base_s * 2.0 ** min(n_extra, 16)
            until_s = now_s + min(duration_s, self._policy.limit_s)
        self._records_by_name[name] = _FailureRecord(n_failures, until_s, now_s)
        while len(self._records_by_name) > MAX_TRACKED:
            del self._records_by_name[next(iter(self._records_by_name))]

    def is_ejected(self, name: str, now_s: float) -> bool:
        """Return whether a name is ejected at ``now_s``."""
        record = self._records_by_name.get(name)
        return record is not None and record.ejected_until_s > now_s

    def healthy(
        self, candidates: Sequence[T], name_of: Callable[[T], str], now_s: float
    ) -> Sequence[T]:
        """Return the candidates not ejected, or all above the panic threshold."""
        if not self._records_by_name:
            return candidates
        kept = [
            candidate
            for candidate in candidates
            if not self.is_ejected(name_of(candidate), now_s)
        ]
        n_ejected = len(candidates) - len(kept)
        is_panic = n_ejected > self._panic_share * len(candidates)
        return candidates if is_panic or not kept else kept

    def ejected(self, now_s: float) -> dict[str, float]:
        """Return the remaining seconds of each ejection by name."""
        return {
            name: record.ejected_until_s - now_s
            for name, record in self._records_by_name.items()
            if record.ejected_until_s > now_s
        }
