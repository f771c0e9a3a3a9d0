"""Evidence of which requests crash the runners of a service, and what it blocks.

A request has traits: the hash that equal requests share, and the ids of the shared
parts of its prompt. When a runner crashes, the requests that it had not begun to answer
are accused. An answer to a request clears its traits of all crashes before.

Which traits are suspect then is a policy's choice. A request with all traits of a
suspect is blocked, except for trials at growing intervals, where the policy has any: a
trial that is answered clears the traits, one that crashes its runner lengthens the
interval. Crashes in a burst, some of which accuse others, may have another cause: the
first trial comes sooner then.
"""

from __future__ import annotations

import math
from collections import OrderedDict, defaultdict
from collections.abc import Collection, Iterable, Iterator, Mapping
from typing import NamedTuple

from damaskjunction.core import RunnerId, ServiceName
from damaskjunction.core.units import HOUR_S
from damaskjunction.routing.crashes.crash_policies import (
    SHARED_RUNS,
    Crash,
    CrashPolicy,
    Suspect,
    Traits,
    suspect_rules,
)

SUSPECT_TTL_S = 24 * HOUR_S
SAME_CRASH_S = 1.0  # reports on one runner within this time are of one crash
BURST_S = 1.0  # crashes of several runners within this time may have one cause
MAX_CRASHES = 256
MAX_IMPORTED = 4096
MAX_CLEARED_TRAITS = 4096


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


class CrashEvidence:
    """Crashes of one service's runners and the suspect traits that follow from them.

    Parameters
    ----------
    origin : str
        Prefix of crash ids, unique among all processes that record crashes.
    policy : CrashPolicy, optional
        Says which traits are suspect.
    """

    def __init__(self, origin: str, policy: CrashPolicy = SHARED_RUNS) -> None:
        self._origin = origin
        self._policy = policy
        self._n_crashes = 0
        self._crashes_by_id: OrderedDict[str, Crash] = OrderedDict()
        self._crashed_at_by_id: OrderedDict[str, float] = OrderedDict()
        self._last_id_by_runner: dict[RunnerId, str] = {}
        self._cleared_at_by_trait: OrderedDict[str, float] = OrderedDict()
        self._tried_at_by_trait: dict[str, float] = {}
        self._imported_by_name: OrderedDict[str, Suspect] = OrderedDict()
        self._accused: Traits = frozenset()
        self._suspects: tuple[Suspect, ...] = ()
        self._suspects_by_first_trait: defaultdict[str, list[Suspect]]
        self._suspects_by_first_trait = defaultdict(list)
        self._changed_at_s: float | None = None
        self._expires_at_s = math.inf

    @property
    def suspects(self) -> tuple[Suspect, ...]:
        """The suspect traits, those with the most crashes first."""
        self._apply_changes()
        return self._suspects

    @property
    def accused(self) -> Traits:
        """All traits that crashes accuse and that no answer has cleared since."""
        self._apply_changes()
        return self._accused

    def expire(self, now_s: float) -> None:
        """Drop the evidence that has expired."""
        self._apply_changes()
        if now_s > self._expires_at_s:
            self._update(now_s)

    def record_crash(
        self, report: CrashReport, now_s: float, *, was_alone: bool = False
    ) -> str:
        """Record a report and return the id of its crash.

        ``was_alone`` says that the only request had exclusive use of the runner.
        """
        at_s = now_s - report.age_s
        crash_id = self._last_id_by_runner.get(report.runner_id, "")
        crash = self._crashes_by_id.get(crash_id)
        if crash is None or at_s - crash.at_s > SAME_CRASH_S:
            self._n_crashes += 1
            crash_id = f"{self._origin}/{self._n_crashes}"
            crash = Crash(at_s, frozenset(), was_alone)
            self._crashed_at_by_id[crash_id] = at_s
        accused = {frozenset(request.traits) for request in report.accused}
        merged = sorted(crash.accused | accused, key=sorted)
        del merged[self._policy.max_accused_per_crash :]
        self._crashes_by_id[crash_id] = crash._replace(accused=frozenset(merged))
        self._last_id_by_runner[report.runner_id] = crash_id
        self._clear(report.answered, crash.at_s)
        self._evict_oldest()
        self._changed_at_s = now_s
        return crash_id

    def record_answer(self, traits: Collection[str], at_s: float, now_s: float) -> None:
        """Record that a runner was answering a request at ``at_s``."""
        watched = self.watched(traits)
        if watched:
            self._clear(watched, at_s)
            self._changed_at_s = now_s

    def watched(self, traits: Iterable[str]) -> tuple[str, ...]:
        """Return the traits that crashes accuse, whose answers are to be recorded."""
        return tuple(trait for trait in traits if trait in self.accused)

    def is_suspect(self, traits: Collection[str]) -> bool:
        """Return whether a request with these traits is suspect."""
        self._apply_changes()
        return bool(self._find_matching(frozenset(traits)))

    def blocked_for_s(self, traits: Collection[str], now_s: float) -> float:
        """Return for how many seconds a request is blocked; 0.0 lets it run.

        A suspect request that may run is a trial, and the next one is blocked.
        """
        self.expire(now_s)
        matching = self._find_matching(frozenset(traits))
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
        while len(self._imported_by_name) > MAX_IMPORTED:
            self._imported_by_name.popitem(last=False)
        self._changed_at_s = now_s

    def forget_suspect(self, name: str, now_s: float) -> None:
        """Drop an imported suspect, since another host has cleared it."""
        if self._imported_by_name.pop(name, None) is not None:
            self._changed_at_s = now_s

    def _apply_changes(self) -> None:
        if self._changed_at_s is not None:
            self._update(self._changed_at_s)

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
        while len(self._crashed_at_by_id) > MAX_CRASHES:
            self._crashed_at_by_id.popitem(last=False)
        n_accused = sum(len(crash.accused) for crash in self._crashes_by_id.values())
        while (
            len(self._crashes_by_id) > MAX_CRASHES
            or n_accused > self._policy.max_accused
        ):
            _, crash = self._crashes_by_id.popitem(last=False)
            n_accused -= len(crash.accused)
        for runner_id, crash_id in list(self._last_id_by_runner.items()):
            if crash_id not in self._crashes_by_id:
                del self._last_id_by_runner[runner_id]

    def _update(self, now_s: float) -> None:
        """Derive the suspects from the crashes."""
        crashes_by_id = self._all_crashes(now_s)
        ids_by_trait = self._uncleared(crashes_by_id)
        find_suspects = suspect_rules.get(self._policy.rule)
        found = find_suspects(crashes_by_id, ids_by_trait, self._policy.min_crashes)
        self._suspects = tuple(found)
        self._suspects_by_first_trait = defaultdict(list)
        for suspect in found:
            self._suspects_by_first_trait[suspect.traits[0]].append(suspect)
        self._accused = frozenset(ids_by_trait)
        self._tried_at_by_trait = {
            trait: tried_at_s
            for trait, tried_at_s in self._tried_at_by_trait.items()
            if trait in self._accused
        }
        self._changed_at_s = None
        self._expires_at_s = min(self._expiries(now_s), default=math.inf)

    def _all_crashes(self, now_s: float) -> dict[str, Crash]:
        """Return the recorded crashes and those that imported suspects stand for."""
        crashes_by_id = {
            crash_id: Crash(
                suspect.last_crash_at_s,
                frozenset([frozenset(suspect.traits)]),
                was_alone=True,
                is_final=not self._policy.trial_pauses_s,
            )
            for suspect in self._imported_by_name.values()
            if now_s - suspect.last_crash_at_s <= SUSPECT_TTL_S
            for crash_id in suspect.crash_ids
        }
        for crash_id, crash in list(self._crashes_by_id.items()):
            kept = self._without_lapsed(crash, now_s)
            if kept.accused:
                self._crashes_by_id[crash_id] = crashes_by_id[crash_id] = kept
            else:
                del self._crashes_by_id[crash_id]
        return crashes_by_id

    def _without_lapsed(self, crash: Crash, now_s: float) -> Crash:
        """Return a crash with the requests that it still accuses."""
        age_s = now_s - crash.at_s
        if age_s <= self._policy.evidence_ttl_s:
            return crash
        if age_s > SUSPECT_TTL_S:
            return crash._replace(accused=frozenset())
        return crash._replace(
            accused=frozenset(
                accused for accused in crash.accused if self._find_matching(accused)
            )
        )

    def _expiries(self, now_s: float) -> Iterator[float]:
        """Yield the times at which evidence ends."""
        for suspect in self._imported_by_name.values():
            if now_s - suspect.last_crash_at_s <= SUSPECT_TTL_S:
                yield suspect.last_crash_at_s + SUSPECT_TTL_S
        for crash in self._crashes_by_id.values():
            is_recent = now_s - crash.at_s <= self._policy.evidence_ttl_s
            ttl_s = self._policy.evidence_ttl_s if is_recent else SUSPECT_TTL_S
            yield crash.at_s + ttl_s

    def _uncleared(self, crashes_by_id: Mapping[str, Crash]) -> dict[str, set[str]]:
        """Return the crashes that accuse each trait and that no answer cleared."""
        ids_by_trait: defaultdict[str, set[str]] = defaultdict(set)
        for crash_id, crash in crashes_by_id.items():
            for trait in frozenset().union(*crash.accused):
                if crash.is_final or not self._is_cleared_of(trait, crash.at_s):
                    ids_by_trait[trait].add(crash_id)
        return dict(ids_by_trait)

    def _find_matching(self, traits: Traits) -> list[Suspect]:
        """Return the suspects that a request with these traits is one of."""
        return [
            suspect
            for trait in traits
            for suspect in self._suspects_by_first_trait.get(trait, ())
            if traits.issuperset(suspect.traits)
        ]

    def _pause_left_s(self, suspect: Suspect, now_s: float) -> float:
        pauses_s = self._policy.trial_pauses_s
        if not pauses_s:
            return suspect.last_crash_at_s + SUSPECT_TTL_S - now_s
        tried_at_s = (
            self._tried_at_by_trait.get(trait, suspect.last_crash_at_s)
            for trait in suspect.traits
        )
        since_s = max(suspect.last_crash_at_s, *tried_at_s)
        n_trials = len(suspect.crash_ids) - self._policy.min_crashes
        pause_s = pauses_s[min(n_trials, len(pauses_s) - 1)]
        is_tried = n_trials > 0 or since_s > suspect.last_crash_at_s
        if not is_tried and self._is_in_burst(suspect):
            pause_s = self._policy.burst_pause_s
        return max(0.0, since_s + pause_s - now_s)

    def _is_in_burst(self, suspect: Suspect) -> bool:
        """Return whether crashes that a suspect does not explain came with its own."""
        crashed_at = self._crashed_at_by_id
        own_at_s = [crashed_at[i] for i in suspect.crash_ids if i in crashed_at]
        return any(
            abs(own_s - other_s) <= BURST_S
            for crash_id, other_s in crashed_at.items()
            if crash_id not in suspect.crash_ids
            for own_s in own_at_s
        )
