"""Outlier ejection: runners, or homes, that failed lately are chosen last."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import NamedTuple, TypeVar

T = TypeVar("T")

PANIC_SHARE = 0.5
MAX_TRACKED = 4096


class EjectionPolicy(NamedTuple):
    """When a name is ejected and for how long.

    ``n_failures`` consecutive failures eject for ``base_s`` seconds, doubled by each
    further failure up to ``limit_s``.
    """

    n_failures: int = 2
    base_s: float = 1.0
    limit_s: float = 30.0


class _Record(NamedTuple):
    n_failures: int
    ejected_until_s: float


class OutlierEjection:
    """Failures by name, and which names to avoid.

    Parameters
    ----------
    policy : EjectionPolicy
        When to eject.
    panic_share : float, optional
        When more than this share of the candidates is ejected, none is: so many
        failures at once tell of something else than the candidates.
    """

    def __init__(
        self, policy: EjectionPolicy, *, panic_share: float = PANIC_SHARE
    ) -> None:
        self._policy = policy
        self._panic_share = panic_share
        self._records_by_name: dict[str, _Record] = {}

    def succeed(self, name: str) -> None:
        """Note a success; it ends an ejection."""
        self._records_by_name.pop(name, None)

    def fail(self, name: str, now_s: float) -> None:
        """Note a failure."""
        record = self._records_by_name.pop(name, _Record(0, 0.0))
        n_failures = record.n_failures + 1
        n_extra = n_failures - self._policy.n_failures
        until_s = record.ejected_until_s
        if n_extra >= 0:
            duration_s = self._policy.base_s * 2.0 ** min(n_extra, 16)
            until_s = now_s + min(duration_s, self._policy.limit_s)
        self._records_by_name[name] = _Record(n_failures, until_s)
        while len(self._records_by_name) > MAX_TRACKED:
            del self._records_by_name[next(iter(self._records_by_name))]

    def is_ejected(self, name: str, now_s: float) -> bool:
        """Return whether a name is to be avoided."""
        record = self._records_by_name.get(name)
        return record is not None and record.ejected_until_s > now_s

    def healthy(
        self, candidates: Sequence[T], name_of: Callable[[T], str], now_s: float
    ) -> Sequence[T]:
        """Return the candidates that are not ejected, or all of them in a panic."""
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
        """Return the seconds left of each ejection by name."""
        return {
            name: record.ejected_until_s - now_s
            for name, record in self._records_by_name.items()
            if record.ejected_until_s > now_s
        }
