"""Quarantine of poison requests: requests that crash the runners they run on.

The only trait of a request is its fingerprint. When a runner crashes, each request it
was running becomes a suspect, unless an equal one completed before. A suspect gets
exclusive use of its runner: it is cleared if it completes, and convicted and refused
from then on if the runner crashes again. What follows from crashes is decided by
``CrashEvidence``; here are the verdicts that hosts tell one another.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Collection, Iterable, Mapping, Sequence
from enum import StrEnum
from types import MappingProxyType
from typing import NamedTuple, TypeVar

from damaskjunction.routing.crashes.crash_evidence import (
    CrashEvidence,
    CrashReport,
    RequestTraits,
)
from damaskjunction.routing.crashes.crash_policies import (
    EXCLUSIVE_RUNS,
    CrashPolicy,
    Suspect,
)

MAX_FINGERPRINTS = 4096
# A stream that ends with its runner may lose some of its last tokens.
MIN_PROGRESS_TOKENS = 8
UNKNOWN_POSITION = -1
NO_POSITIONS: Mapping[str, int] = MappingProxyType({})

ValueT = TypeVar("ValueT")


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


class Quarantine:
    """Verdicts by fingerprint, as known to one host.

    Parameters
    ----------
    policy : CrashPolicy, optional
        Says which crashes convict.
    """

    def __init__(self, policy: CrashPolicy = EXCLUSIVE_RUNS) -> None:
        self._policy = policy
        self._evidence = CrashEvidence("crash", policy)
        self._n_crashes = 0
        self._completed: OrderedDict[str, None] = OrderedDict()
        self._position_by_suspect: OrderedDict[str, int] = OrderedDict()

    def verdict_of(self, fingerprint: str, now_s: float) -> Verdict:
        """Return the unexpired verdict on a fingerprint, ``CLEAR`` by default."""
        if self._evidence.blocked_for_s((fingerprint,), now_s) > 0.0:
            return Verdict.CONVICTED
        is_accused = fingerprint in self._evidence.accused
        return Verdict.SUSPECT if is_accused else Verdict.CLEAR

    def record_completion(self, fingerprint: str, now_s: float) -> VerdictNews | None:
        """Record that a request completed; return news if that clears a suspect."""
        _remember(self._completed, fingerprint, None)
        if self.verdict_of(fingerprint, now_s) is not Verdict.SUSPECT:
            return None
        news = VerdictNews(Verdict.CLEAR, (fingerprint,))
        self.merge(news, now_s)
        return news

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
        candidates = self._accusable(fingerprints, now_s)
        if not candidates:
            return None
        positions = _positions_of(candidates, position_by_fingerprint)
        is_proof = (
            was_alone
            and len(candidates) == 1
            and not self._has_advanced(candidates[0], positions[0], now_s)
        )
        self._accuse(candidates, positions, now_s, was_alone=is_proof)
        verdict = Verdict.SUSPECT
        if is_proof and self.verdict_of(candidates[0], now_s) is Verdict.CONVICTED:
            verdict = Verdict.CONVICTED
            self._convict(candidates, now_s, now_s)
        is_known = max(positions) > UNKNOWN_POSITION
        return VerdictNews(verdict, candidates, positions=positions if is_known else ())

    def merge(self, news: VerdictNews, now_s: float) -> None:
        """Merge news from another host; a conviction ends only by expiry."""
        at_s = now_s - news.age_s
        match news.verdict:
            case Verdict.CLEAR:
                self._evidence.record_answer(news.fingerprints, at_s, now_s)
            case Verdict.SUSPECT:
                accused = self._accusable(news.fingerprints, now_s)
                position_by_fingerprint = dict(
                    zip(news.fingerprints, news.positions, strict=False)
                )
                positions = _positions_of(accused, position_by_fingerprint)
                self._accuse(accused, positions, now_s, age_s=news.age_s)
            case Verdict.CONVICTED:
                unconvicted = self._unconvicted(news.fingerprints, now_s)
                self._convict(unconvicted, at_s, now_s)

    def conviction_ages(self, now_s: float) -> dict[str, float]:
        """Return the age in seconds of each conviction by fingerprint."""
        self._evidence.expire(now_s)
        return {
            suspect.traits[0]: now_s - suspect.last_crash_at_s
            for suspect in self._evidence.suspects
        }

    def n_suspects(self, now_s: float) -> int:
        """Return the number of suspect fingerprints."""
        convicted = self.conviction_ages(now_s).keys()
        return len(self._evidence.accused - convicted)

    def _unconvicted(
        self, fingerprints: Iterable[str], now_s: float
    ) -> tuple[str, ...]:
        return tuple(
            fingerprint
            for fingerprint in dict.fromkeys(fingerprints)
            if self.verdict_of(fingerprint, now_s) is not Verdict.CONVICTED
        )

    def _accusable(self, fingerprints: Iterable[str], now_s: float) -> tuple[str, ...]:
        """Return those that are not convicted and that no equal request cleared."""
        return tuple(
            fingerprint
            for fingerprint in self._unconvicted(fingerprints, now_s)
            if fingerprint not in self._completed
        )

    def _has_advanced(self, fingerprint: str, position: int, now_s: float) -> bool:
        """Return whether a suspect got further than when a runner crashed under it."""
        if self.verdict_of(fingerprint, now_s) is not Verdict.SUSPECT:
            return False
        known = self._position_by_suspect.get(fingerprint, UNKNOWN_POSITION)
        return known > UNKNOWN_POSITION and position >= known + MIN_PROGRESS_TOKENS

    def _accuse(
        self,
        fingerprints: Sequence[str],
        positions: Sequence[int],
        now_s: float,
        *,
        age_s: float = 0.0,
        was_alone: bool = False,
    ) -> None:
        """Record a crash and how far its requests had got."""
        if not fingerprints:
            return
        for fingerprint, position in zip(fingerprints, positions, strict=True):
            known = self._position_by_suspect.get(fingerprint, UNKNOWN_POSITION)
            if self.verdict_of(fingerprint, now_s) is Verdict.CLEAR:
                known = UNKNOWN_POSITION
            _remember(self._position_by_suspect, fingerprint, max(known, position))
        self._n_crashes += 1
        accused = tuple(RequestTraits((fingerprint,)) for fingerprint in fingerprints)
        report = CrashReport("", f"crash {self._n_crashes}", accused, (), age_s)
        self._evidence.record_crash(report, now_s, was_alone=was_alone)

    def _convict(self, fingerprints: Iterable[str], at_s: float, now_s: float) -> None:
        """Keep convictions until they expire, whatever becomes of the crashes."""
        for fingerprint in fingerprints:
            crash_ids = tuple(
                f"{fingerprint} {number}" for number in range(self._policy.min_crashes)
            )
            suspect = Suspect((fingerprint,), crash_ids, at_s)
            self._evidence.import_suspect(fingerprint, suspect, now_s)


def _positions_of(
    fingerprints: Iterable[str], position_by_fingerprint: Mapping[str, int]
) -> list[int]:
    return [position_by_fingerprint.get(f, UNKNOWN_POSITION) for f in fingerprints]


def _remember(
    values_by_fingerprint: OrderedDict[str, ValueT], fingerprint: str, value: ValueT
) -> None:
    """Set a value as the newest, and drop the oldest of too many."""
    values_by_fingerprint[fingerprint] = value
    values_by_fingerprint.move_to_end(fingerprint)
    if len(values_by_fingerprint) > MAX_FINGERPRINTS:
        values_by_fingerprint.popitem(last=False)
