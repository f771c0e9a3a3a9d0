"""Quarantine of poison requests: requests that crash the runners they run on.

When a runner crashes, each request it was running becomes a suspect, unless an equal
one completed before. A suspect gets exclusive use of its runner: it is cleared if it
completes, and convicted and refused from then on if the runner crashes again.
Suspicions and convictions are propagated between hosts; entries expire, and their
number is bounded.
"""

from __future__ import annotations

import hashlib
from collections import OrderedDict
from collections.abc import Collection, Mapping, Sequence
from enum import StrEnum
from types import MappingProxyType
from typing import NamedTuple

from damaskjunction.core import RequestId, ServiceName
from damaskjunction.core.units import HOUR_S

FINGERPRINT_BYTES = 16
SUSPECT_TTL_S = 60.0
CONVICTED_TTL_S = 24 * HOUR_S
MAX_ENTRIES = 4096
MAX_COMPLETED_FINGERPRINTS = 4096
# A stream that ends with its runner may lose some of its last tokens.
MIN_PROGRESS_TOKENS = 8
UNKNOWN_POSITION = -1
NO_POSITIONS: Mapping[str, int] = MappingProxyType({})


class Verdict(StrEnum):
    """Verdict on the requests that share a fingerprint."""

    CLEAR = "clear"
    SUSPECT = "suspect"
    CONVICTED = "convicted"


class VerdictNews(NamedTuple):
    """A verdict on fingerprints for other hosts; ``age_s`` is its age in seconds.

    ``positions`` tells for each fingerprint how many tokens its answer had when its
    runner crashed, ``UNKNOWN_POSITION`` if that is not known; it is empty if none is.
    """

    verdict: Verdict
    fingerprints: Sequence[str]
    age_s: float = 0.0
    positions: Sequence[int] = ()


class _Entry(NamedTuple):
    verdict: Verdict
    since_s: float
    position: int = UNKNOWN_POSITION


def fingerprint_of(service: ServiceName, path: str, body: bytes) -> str:
    """Return the hexadecimal hash that equal requests to a service share."""
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    digest.update(f"{service}\0{path}\0".encode())
    digest.update(body)
    return digest.hexdigest()


class Quarantine:
    """Verdicts by fingerprint, as known to one host.

    Parameters
    ----------
    suspect_s, convicted_s : float, optional
        Seconds after which a verdict expires.
    """

    def __init__(
        self, *, suspect_s: float = SUSPECT_TTL_S, convicted_s: float = CONVICTED_TTL_S
    ) -> None:
        self._ttl_by_verdict = {
            Verdict.SUSPECT: suspect_s,
            Verdict.CONVICTED: convicted_s,
        }
        self._entries_by_fingerprint: OrderedDict[str, _Entry] = OrderedDict()
        self._completed: OrderedDict[str, None] = OrderedDict()

    def verdict_of(self, fingerprint: str, now_s: float) -> Verdict:
        """Return the unexpired verdict on a fingerprint, ``CLEAR`` by default."""
        entry = self._entries_by_fingerprint.get(fingerprint)
        if entry is None:
            return Verdict.CLEAR
        if now_s - entry.since_s > self._ttl_by_verdict[entry.verdict]:
            del self._entries_by_fingerprint[fingerprint]
            return Verdict.CLEAR
        return entry.verdict

    def record_completion(self, fingerprint: str, now_s: float) -> VerdictNews | None:
        """Record that a request completed; return news if that clears a suspect."""
        self._completed[fingerprint] = None
        self._completed.move_to_end(fingerprint)
        if len(self._completed) > MAX_COMPLETED_FINGERPRINTS:
            self._completed.popitem(last=False)
        entry = self._entries_by_fingerprint.get(fingerprint)
        if entry is None or entry.verdict is not Verdict.SUSPECT:
            return None
        del self._entries_by_fingerprint[fingerprint]
        return VerdictNews(Verdict.CLEAR, (fingerprint,))

    def record_crash(
        self,
        fingerprints: Collection[str],
        now_s: float,
        *,
        was_alone: bool,
        position_by_fingerprint: Mapping[str, int] = NO_POSITIONS,
    ) -> VerdictNews | None:
        """Record the crash of a runner; return news of the resulting verdict.

        Parameters
        ----------
        fingerprints : collection of str
            Requests in flight at the runner when it crashed.
        now_s : float
            Current time on the ``Timers`` clock.
        was_alone : bool
            Whether the only request had exclusive use of the runner. Only such a
            request can be convicted, and only if it was a suspect before.
        position_by_fingerprint : mapping of str to int, optional
            How many tokens of their answers requests had. One that ran alone and got
            further than at its earlier crash stays suspect and is not convicted.
        """
        candidates = tuple(
            fingerprint
            for fingerprint in dict.fromkeys(fingerprints)
            if fingerprint not in self._completed
            and self.verdict_of(fingerprint, now_s) is not Verdict.CONVICTED
        )
        if not candidates:
            return None
        verdict = Verdict.SUSPECT
        positions = [
            position_by_fingerprint.get(fingerprint, UNKNOWN_POSITION)
            for fingerprint in candidates
        ]
        if was_alone and len(candidates) == 1:
            earlier = self.verdict_of(candidates[0], now_s)
            has_advanced = self._has_advanced(candidates[0], positions[0])
            if earlier is Verdict.SUSPECT and not has_advanced:
                verdict = Verdict.CONVICTED
        is_known = max(positions) > UNKNOWN_POSITION
        news = VerdictNews(verdict, candidates, positions=positions if is_known else ())
        self.merge(news, now_s)
        return news

    def _has_advanced(self, fingerprint: str, position: int) -> bool:
        """Return whether a request got further than when a runner crashed under it."""
        entry = self._entries_by_fingerprint.get(fingerprint)
        if entry is None or entry.position == UNKNOWN_POSITION:
            return False
        return position >= entry.position + MIN_PROGRESS_TOKENS

    def merge(self, news: VerdictNews, now_s: float) -> None:
        """Merge news from another host; a conviction ends only by expiry."""
        positions = news.positions or [UNKNOWN_POSITION] * len(news.fingerprints)
        for fingerprint, position in zip(news.fingerprints, positions, strict=True):
            known = self.verdict_of(fingerprint, now_s)
            if known is Verdict.CONVICTED:
                continue
            previous = self._entries_by_fingerprint.pop(fingerprint, None)
            if news.verdict is Verdict.CLEAR:
                continue
            if news.verdict is Verdict.SUSPECT and fingerprint in self._completed:
                continue
            furthest = max(position, previous.position if previous else position)
            entry = _Entry(news.verdict, now_s - news.age_s, furthest)
            self._entries_by_fingerprint[fingerprint] = entry
        self._evict_oldest()

    def conviction_ages(self, now_s: float) -> dict[str, float]:
        """Return the age in seconds of each conviction by fingerprint."""
        return {
            fingerprint: now_s - entry.since_s
            for fingerprint, entry in list(self._entries_by_fingerprint.items())
            if self.verdict_of(fingerprint, now_s) is Verdict.CONVICTED
        }

    def n_suspects(self, now_s: float) -> int:
        """Return the number of suspect fingerprints."""
        entries = list(self._entries_by_fingerprint)
        verdicts = (self.verdict_of(fingerprint, now_s) for fingerprint in entries)
        return sum(verdict is Verdict.SUSPECT for verdict in verdicts)

    def _evict_oldest(self) -> None:
        while len(self._entries_by_fingerprint) > MAX_ENTRIES:
            self._entries_by_fingerprint.popitem(last=False)


class GrantAccess(NamedTuple):
    """Effect: the request has access to the runner and may go on to admission."""

    request_id: RequestId


class SharedExclusiveLock:
    """Shared or exclusive access to a runner, in order of arrival.

    Requests share the runner until one asks for exclusive access, as a suspect does.
    That one gets access when all others have left; later requests wait until it has
    left.
    """

    def __init__(self) -> None:
        self._holders: set[RequestId] = set()
        self._exclusive_holder: RequestId | None = None
        self._waiting: OrderedDict[RequestId, bool] = OrderedDict()

    @property
    def exclusive_holder(self) -> RequestId | None:
        """The request that has exclusive access to the runner, if any."""
        return self._exclusive_holder

    @property
    def is_idle(self) -> bool:
        """Whether no request has access or waits for it."""
        return not self._holders and not self._waiting

    def acquire(self, request_id: RequestId, *, exclusive: bool) -> list[GrantAccess]:
        """Queue a request; return the requests that get access now."""
        self._waiting[request_id] = exclusive
        return self._grant_waiting()

    def release(self, request_id: RequestId) -> list[GrantAccess]:
        """Remove an ended or cancelled request; return those that get access."""
        self._waiting.pop(request_id, None)
        self._holders.discard(request_id)
        if self._exclusive_holder == request_id:
            self._exclusive_holder = None
        return self._grant_waiting()

    def _grant_waiting(self) -> list[GrantAccess]:
        granted: list[GrantAccess] = []
        while self._waiting and self._exclusive_holder is None:
            request_id, exclusive = next(iter(self._waiting.items()))
            if exclusive and self._holders:
                break
            del self._waiting[request_id]
            self._holders.add(request_id)
            if exclusive:
                self._exclusive_holder = request_id
            granted.append(GrantAccess(request_id))
        return granted
