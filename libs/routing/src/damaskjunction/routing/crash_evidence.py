"""Evidence of which requests crash the runners of a service, and what it blocks.

A request has traits: the hash that equal requests share, and the ids of the shared
parts of its prompt. When a runner crashes, the requests that it had not begun to answer
are accused. An answer to a request clears its traits of all crashes before.

Traits that several crashes have in common and that no answer has cleared are suspect. A
request with all of them is blocked, except for trials at growing intervals: a trial
that is answered clears the traits, one that crashes its runner lengthens the interval.
"""

from __future__ import annotations

from collections import OrderedDict, defaultdict
from collections.abc import Collection, Iterable, Mapping
from typing import NamedTuple, TypeAlias

from damaskjunction.core import RunnerId, ServiceName
from damaskjunction.core.units import HOUR_S

MIN_CRASHES = 3
# Pause before the next trial after so many crashes; the last one repeats.
TRIAL_PAUSES_S = (2.0, 20.0, 300.0, HOUR_S, 24 * HOUR_S)
EVIDENCE_TTL_S = HOUR_S
SUSPECT_TTL_S = 24 * HOUR_S
SAME_CRASH_S = 1.0  # reports on one runner within this time are of one crash
MAX_CRASHES = 256
MAX_ACCUSED = 64
MAX_CLEARED_TRAITS = 4096

Traits: TypeAlias = frozenset[str]


class RequestTraits(NamedTuple):
    """The traits of one request."""

    traits: tuple[str, ...]


class CrashReport(NamedTuple):
    """A host's report that a runner crashed ``age_s`` seconds ago.

    ``accused`` are the traits of the requests that the runner had not begun to answer,
    and ``answered`` those of the requests that it was answering.
    """

    service_name: ServiceName
    runner_id: RunnerId
    accused: tuple[RequestTraits, ...]
    answered: tuple[str, ...]
    age_s: float


class Suspect(NamedTuple):
    """Traits that crash runners where a request has all of them."""

    traits: tuple[str, ...]
    crash_ids: tuple[str, ...]
    last_crash_at_s: float


class _Crash(NamedTuple):
    at_s: float
    accused: frozenset[Traits]


class CrashEvidence:
    """Crashes of one service's runners and the suspect traits that follow from them.

    Parameters
    ----------
    origin : str
        Prefix of crash ids, unique among all processes that record crashes.
    """

    def __init__(self, origin: str) -> None:
        self._origin = origin
        self._n_crashes = 0
        self._crashes_by_id: OrderedDict[str, _Crash] = OrderedDict()
        self._last_id_by_runner: dict[RunnerId, str] = {}
        self._cleared_at_by_trait: OrderedDict[str, float] = OrderedDict()
        self._tried_at_by_trait: dict[str, float] = {}
        self._imported_by_name: dict[str, Suspect] = {}
        self._watched: Traits = frozenset()
        self._suspects: tuple[Suspect, ...] = ()

    @property
    def suspects(self) -> tuple[Suspect, ...]:
        """The suspect traits, those with the most crashes first."""
        return self._suspects

    def record_crash(self, report: CrashReport, now_s: float) -> str:
        """Record a report and return the id of its crash."""
        at_s = now_s - report.age_s
        crash_id = self._last_id_by_runner.get(report.runner_id, "")
        crash = self._crashes_by_id.get(crash_id)
        if crash is None or at_s - crash.at_s > SAME_CRASH_S:
            self._n_crashes += 1
            crash_id = f"{self._origin}/{self._n_crashes}"
            crash = _Crash(at_s, frozenset())
        accused = {frozenset(request.traits) for request in report.accused}
        merged = sorted(crash.accused | accused, key=sorted)[:MAX_ACCUSED]
        self._crashes_by_id[crash_id] = crash._replace(accused=frozenset(merged))
        self._last_id_by_runner[report.runner_id] = crash_id
        self._clear(report.answered, crash.at_s)
        self._evict_oldest()
        self._update(now_s)
        return crash_id

    def record_answer(self, traits: Collection[str], at_s: float, now_s: float) -> None:
        """Record that a runner was answering a request at ``at_s``."""
        watched = self.watched(traits)
        if watched:
            self._clear(watched, at_s)
            self._update(now_s)

    def watched(self, traits: Iterable[str]) -> tuple[str, ...]:
        """Return the traits that crashes accuse, whose answers are to be recorded."""
        return tuple(trait for trait in traits if trait in self._watched)

    def is_suspect(self, traits: Collection[str]) -> bool:
        """Return whether a request with these traits is suspect."""
        own = set(traits)
        return any(own.issuperset(suspect.traits) for suspect in self._suspects)

    def blocked_for_s(self, traits: Collection[str], now_s: float) -> float:
        """Return for how many seconds a request is blocked; 0.0 lets it run.

        A suspect request that may run is a trial, and the next one is blocked.
        """
        own = set(traits)
        matching = [s for s in self._suspects if own.issuperset(s.traits)]
        blocked_s = max((self._pause_left_s(s, now_s) for s in matching), default=0.0)
        if blocked_s > 0.0:
            return blocked_s
        for suspect in matching:
            self._tried_at_by_trait.update(dict.fromkeys(suspect.traits, now_s))
        return 0.0

    def is_outdated(self, suspect: Suspect, now_s: float) -> bool:
        """Return whether a suspect has expired, or a trait was answered since."""
        if now_s - suspect.last_crash_at_s > SUSPECT_TTL_S:
            return True
        return any(
            self._is_cleared_of(trait, suspect.last_crash_at_s)
            for trait in suspect.traits
        )

    def import_suspect(self, name: str, suspect: Suspect, now_s: float) -> None:
        """Adopt or update a suspect that another host has found."""
        self._imported_by_name[name] = suspect
        self._update(now_s)

    def forget_suspect(self, name: str, now_s: float) -> None:
        """Drop an imported suspect, since another host has cleared it."""
        if self._imported_by_name.pop(name, None) is not None:
            self._update(now_s)

    def _clear(self, traits: Iterable[str], at_s: float) -> None:
        for trait in traits:
            known_s = self._cleared_at_by_trait.pop(trait, at_s)
            self._cleared_at_by_trait[trait] = max(known_s, at_s)
        while len(self._cleared_at_by_trait) > MAX_CLEARED_TRAITS:
            self._cleared_at_by_trait.popitem(last=False)

    def _is_cleared_of(self, trait: str, crash_at_s: float) -> bool:
        cleared_at_s = self._cleared_at_by_trait.get(trait)
        return cleared_at_s is not None and cleared_at_s >= crash_at_s

    def _evict_oldest(self) -> None:
        while len(self._crashes_by_id) > MAX_CRASHES:
            self._crashes_by_id.popitem(last=False)
        for runner_id, crash_id in list(self._last_id_by_runner.items()):
            if crash_id not in self._crashes_by_id:
                del self._last_id_by_runner[runner_id]

    def _update(self, now_s: float) -> None:
        """Derive the suspects from the crashes: the trait with the most crashes first.

        A crash that a suspect explains counts for no trait outside that suspect.
        """
        crashes_by_id = self._all_crashes(now_s)
        self._watched = frozenset(self._uncleared(crashes_by_id))
        suspects = []
        while (suspect := self._find_suspect(crashes_by_id)) is not None:
            suspects.append(suspect)
            crashes_by_id = {
                crash_id: crash
                for crash_id, crash in crashes_by_id.items()
                if not _accuses(crash, suspect.traits)
            }
        self._suspects = tuple(suspects)
        self._tried_at_by_trait = {
            trait: tried_at_s
            for trait, tried_at_s in self._tried_at_by_trait.items()
            if trait in self._watched
        }

    def _all_crashes(self, now_s: float) -> dict[str, _Crash]:
        """Return the recorded crashes and those that imported suspects stand for."""
        crashes_by_id = {
            crash_id: _Crash(
                suspect.last_crash_at_s, frozenset([frozenset(suspect.traits)])
            )
            for suspect in self._imported_by_name.values()
            if now_s - suspect.last_crash_at_s <= SUSPECT_TTL_S
            for crash_id in suspect.crash_ids
        }
        for crash_id, crash in list(self._crashes_by_id.items()):
            is_explained = any(_accuses(crash, s.traits) for s in self._suspects)
            ttl_s = SUSPECT_TTL_S if is_explained else EVIDENCE_TTL_S
            if now_s - crash.at_s <= ttl_s:
                crashes_by_id[crash_id] = crash
            else:
                del self._crashes_by_id[crash_id]
        return crashes_by_id

    def _uncleared(self, crashes_by_id: Mapping[str, _Crash]) -> dict[str, set[str]]:
        """Return the crashes that accuse each trait and that no answer cleared."""
        ids_by_trait: defaultdict[str, set[str]] = defaultdict(set)
        for crash_id, crash in crashes_by_id.items():
            for trait in frozenset().union(*crash.accused):
                if not self._is_cleared_of(trait, crash.at_s):
                    ids_by_trait[trait].add(crash_id)
        return dict(ids_by_trait)

    def _find_suspect(self, crashes_by_id: Mapping[str, _Crash]) -> Suspect | None:
        ids_by_trait = self._uncleared(crashes_by_id)
        n_most = max(map(len, ids_by_trait.values()), default=0)
        if n_most < MIN_CRASHES:
            return None
        candidates = []
        for trait, crash_ids in ids_by_trait.items():
            if len(crash_ids) == n_most:
                common = _common_traits(trait, [crashes_by_id[i] for i in crash_ids])
                traits = sorted(t for t in common if ids_by_trait.get(t) == crash_ids)
                candidates.append((len(traits), traits, crash_ids))
        # Of traits that crashed alike, the largest set blocks the fewest requests.
        _, traits, crash_ids = max(candidates, key=lambda found: found[:2])
        last_at_s = max(crashes_by_id[crash_id].at_s for crash_id in crash_ids)
        return Suspect(tuple(traits), tuple(sorted(crash_ids)), last_at_s)

    def _pause_left_s(self, suspect: Suspect, now_s: float) -> float:
        tried_at_s = (
            self._tried_at_by_trait.get(trait, suspect.last_crash_at_s)
            for trait in suspect.traits
        )
        since_s = max(suspect.last_crash_at_s, *tried_at_s)
        n_trials = len(suspect.crash_ids) - MIN_CRASHES
        pause_s = TRIAL_PAUSES_S[min(n_trials, len(TRIAL_PAUSES_S) - 1)]
        return max(0.0, since_s + pause_s - now_s)


def _accuses(crash: _Crash, traits: Iterable[str]) -> bool:
    return any(accused.issuperset(traits) for accused in crash.accused)


def _common_traits(trait: str, crashes: Iterable[_Crash]) -> Traits:
    """Return the traits of all accused requests that have ``trait``."""
    requests = [a for crash in crashes for a in crash.accused if trait in a]
    return frozenset.intersection(*requests)
