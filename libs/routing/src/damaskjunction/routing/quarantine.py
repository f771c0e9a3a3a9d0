"""Requests that crash the runners which run them.

When a runner dies, each request it was running becomes a suspect. A suspect runs
alone on its runner: one that completes is cleared, one whose runner dies again is
convicted and refused from then on. News of suspects and convictions is spread between
hosts; entries expire, and their number is bounded.
"""

from __future__ import annotations

import hashlib
from collections import OrderedDict
from collections.abc import Collection, Sequence
from enum import StrEnum
from typing import NamedTuple

from damaskjunction.core import RequestId, ServiceName
from damaskjunction.core.units import HOUR_S

FINGERPRINT_BYTES = 16
SUSPECT_S = 60.0
CONVICTED_S = 24 * HOUR_S
MAX_ENTRIES = 4096
MAX_COMPLETED = 4096


class Verdict(StrEnum):
    """What is known of the requests of one fingerprint."""

    CLEAR = "clear"
    SUSPECT = "suspect"
    CONVICTED = "convicted"


class VerdictNews(NamedTuple):
    """Fingerprints and the verdict on them; ``age_s`` is how old the verdict is."""

    verdict: Verdict
    fingerprints: Sequence[str]
    age_s: float = 0.0


class _Entry(NamedTuple):
    verdict: Verdict
    since_s: float


def fingerprint_of(service: ServiceName, path: str, body: bytes) -> str:
    """Return what equal requests to a service have in common, as hexadecimal."""
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    digest.update(f"{service}\0{path}\0".encode())
    digest.update(body)
    return digest.hexdigest()


class Quarantine:
    """Verdicts by fingerprint, as one host knows them.

    Parameters
    ----------
    suspect_s, convicted_s : float, optional
        Seconds after which a verdict is forgotten.
    """

    def __init__(
        self, *, suspect_s: float = SUSPECT_S, convicted_s: float = CONVICTED_S
    ) -> None:
        self._duration_by_verdict = {
            Verdict.SUSPECT: suspect_s,
            Verdict.CONVICTED: convicted_s,
        }
        self._entries_by_fingerprint: OrderedDict[str, _Entry] = OrderedDict()
        self._completed: OrderedDict[str, None] = OrderedDict()

    def verdict_of(self, fingerprint: str, now_s: float) -> Verdict:
        """Return the verdict on a fingerprint."""
        entry = self._entries_by_fingerprint.get(fingerprint)
        if entry is None:
            return Verdict.CLEAR
        if now_s - entry.since_s > self._duration_by_verdict[entry.verdict]:
            del self._entries_by_fingerprint[fingerprint]
            return Verdict.CLEAR
        return entry.verdict

    def complete(self, fingerprint: str, now_s: float) -> VerdictNews | None:
        """Note that a runner survived a request; return news if that clears it."""
        self._completed[fingerprint] = None
        self._completed.move_to_end(fingerprint)
        if len(self._completed) > MAX_COMPLETED:
            self._completed.popitem(last=False)
        entry = self._entries_by_fingerprint.get(fingerprint)
        if entry is None or entry.verdict is not Verdict.SUSPECT:
            return None
        del self._entries_by_fingerprint[fingerprint]
        return VerdictNews(Verdict.CLEAR, (fingerprint,))

    def crash(
        self, fingerprints: Collection[str], now_s: float, *, was_alone: bool
    ) -> VerdictNews | None:
        """Take what a runner was running when it died; return news of the verdict.

        Parameters
        ----------
        fingerprints : collection of str
            Requests under way at the runner.
        now_s : float
            Time on the timers' clock.
        was_alone : bool
            Whether the only request was admitted with nothing beside it.
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
        if was_alone and len(candidates) == 1:
            earlier = self.verdict_of(candidates[0], now_s)
            if earlier is Verdict.SUSPECT:
                verdict = Verdict.CONVICTED
        news = VerdictNews(verdict, candidates)
        self.take(news, now_s)
        return news

    def take(self, news: VerdictNews, now_s: float) -> None:
        """Take news from another host; a conviction is only ended by its expiry."""
        for fingerprint in news.fingerprints:
            known = self.verdict_of(fingerprint, now_s)
            if known is Verdict.CONVICTED:
                continue
            self._entries_by_fingerprint.pop(fingerprint, None)
            if news.verdict is Verdict.CLEAR:
                continue
            if news.verdict is Verdict.SUSPECT and fingerprint in self._completed:
                continue
            entry = _Entry(news.verdict, now_s - news.age_s)
            self._entries_by_fingerprint[fingerprint] = entry
        self._bound()

    def convicted(self, now_s: float) -> dict[str, float]:
        """Return the age in seconds of each conviction by fingerprint."""
        return {
            fingerprint: now_s - entry.since_s
            for fingerprint, entry in list(self._entries_by_fingerprint.items())
            if self.verdict_of(fingerprint, now_s) is Verdict.CONVICTED
        }

    def n_suspects(self, now_s: float) -> int:
        """Return how many fingerprints are suspect."""
        entries = list(self._entries_by_fingerprint)
        verdicts = (self.verdict_of(fingerprint, now_s) for fingerprint in entries)
        return sum(verdict is Verdict.SUSPECT for verdict in verdicts)

    def _bound(self) -> None:
        while len(self._entries_by_fingerprint) > MAX_ENTRIES:
            self._entries_by_fingerprint.popitem(last=False)


class Enter(NamedTuple):
    """The request may go on to its runner's admission."""

    request_id: RequestId


class SoloGate:
    """Keeps a runner to one request while that is a suspect.

    Requests enter side by side until one wants the runner alone. That one enters when
    all others have left, and further ones wait until it has left.
    """

    def __init__(self) -> None:
        self._inside: set[RequestId] = set()
        self._solo: RequestId | None = None
        self._waiting: OrderedDict[RequestId, bool] = OrderedDict()

    @property
    def solo(self) -> RequestId | None:
        """The request that has the runner alone."""
        return self._solo

    @property
    def is_idle(self) -> bool:
        """Whether no request is inside or waits."""
        return not self._inside and not self._waiting

    def submit(self, request_id: RequestId, *, alone: bool) -> list[Enter]:
        """Take a request; it enters now or waits."""
        self._waiting[request_id] = alone
        return self._fill()

    def leave(self, request_id: RequestId) -> list[Enter]:
        """Take back a request that ended or was given up; others may enter."""
        self._waiting.pop(request_id, None)
        self._inside.discard(request_id)
        if self._solo == request_id:
            self._solo = None
        return self._fill()

    def _fill(self) -> list[Enter]:
        entered: list[Enter] = []
        while self._waiting and self._solo is None:
            request_id, alone = next(iter(self._waiting.items()))
            if alone and self._inside:
                break
            del self._waiting[request_id]
            self._inside.add(request_id)
            if alone:
                self._solo = request_id
            entered.append(Enter(request_id))
        return entered
