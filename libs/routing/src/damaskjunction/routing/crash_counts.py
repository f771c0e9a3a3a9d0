"""Crash counts of equal requests, used to block requests that crash runners."""

from __future__ import annotations

from collections import OrderedDict
from typing import NamedTuple

MAX_CRASHES = 3
CRASH_WINDOW_S = 120.0
MAX_FINGERPRINTS = 4096


class _CrashRecord(NamedTuple):
    n_crashes: int
    last_at_s: float


class CrashCounts:
    """Crash counts by fingerprint; a service's crashes are all reported to its home."""

    def __init__(self) -> None:
        self._crashes_by_fingerprint: OrderedDict[str, _CrashRecord] = OrderedDict()

    def record(self, fingerprint: str, now_s: float) -> int:
        """Count a request that a runner aborted before any output; return the count."""
        crash_record = self._crashes_by_fingerprint.pop(fingerprint, None)
        count = 1
        if (
            crash_record is not None
            and now_s - crash_record.last_at_s <= CRASH_WINDOW_S
        ):
            count += crash_record.n_crashes
        self._crashes_by_fingerprint[fingerprint] = _CrashRecord(count, now_s)
        if len(self._crashes_by_fingerprint) > MAX_FINGERPRINTS:
            self._crashes_by_fingerprint.popitem(last=False)
        return count

    def is_blocked(self, fingerprint: str, now_s: float) -> bool:
        """Return whether requests with this fingerprint crashed too many runners."""
        crash_record = self._crashes_by_fingerprint.get(fingerprint)
        if crash_record is None or now_s - crash_record.last_at_s > CRASH_WINDOW_S:
            return False
        return crash_record.n_crashes >= MAX_CRASHES
