"""Policies by which crashes of runners make requests suspect.

Two are in use. Where runners are shared, a suspect runs beside others, so several
crashes have to agree on what crashes runners. Where accused requests run alone, the
second crash is proof, if it came in a lone run.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping, Set
from typing import NamedTuple, TypeAlias

from damaskjunction.core import Registry
from damaskjunction.core.units import HOUR_S, MINUTE_S

Traits: TypeAlias = frozenset[str]


class Crash(NamedTuple):
    """A crash of a runner and the traits of each request that it accuses.

    ``was_alone`` says that the only request had exclusive use of the runner, and
    ``is_final`` that no answer clears the accused.
    """

    at_s: float
    accused: frozenset[Traits]
    was_alone: bool = False
    is_final: bool = False

    def accuses(self, traits: Iterable[str]) -> bool:
        """Return whether an accused request has all of these traits."""
        return any(accused.issuperset(traits) for accused in self.accused)


class Suspect(NamedTuple):
    """Traits that crash runners where a request has all of them."""

    traits: tuple[str, ...]
    crash_ids: tuple[str, ...]
    last_crash_at_s: float


class CrashPolicy(NamedTuple):
    """How crashes make requests suspect, and for how long.

    Attributes
    ----------
    rule : str
        Name in ``suspect_rules``.
    min_crashes : int
        Number of crashes from which traits are suspect.
    evidence_ttl_s : float
        Seconds after which a crash accuses only what is suspect by then.
    trial_pauses_s : tuple of float
        Pause before the next trial of a suspect after ``min_crashes`` crashes and each
        further one, in seconds; the last one repeats. Without any there are no trials,
        and no answer clears an imported suspect.
    burst_pause_s : float
        Pause before the first trial in seconds, if crashes that accuse others came at
        about the same time.
    max_accused_per_crash, max_accused : int
        Accused requests that are kept of one crash and of all.
    """

    rule: str
    min_crashes: int
    evidence_ttl_s: float
    trial_pauses_s: tuple[float, ...]
    burst_pause_s: float
    max_accused_per_crash: int
    max_accused: int


SHARED_RUNS = CrashPolicy(
    rule="common_traits",
    min_crashes=3,
    evidence_ttl_s=HOUR_S,
    trial_pauses_s=(2.0, 20.0, 300.0, HOUR_S, 24 * HOUR_S),
    burst_pause_s=0.5,
    max_accused_per_crash=64,
    max_accused=16_384,
)
EXCLUSIVE_RUNS = CrashPolicy(
    rule="lone_run",
    min_crashes=2,
    evidence_ttl_s=MINUTE_S,
    trial_pauses_s=(),
    burst_pause_s=0.0,
    max_accused_per_crash=4096,
    max_accused=4096,
)

# Crashes by id in the order of their records, and the ids of those that accuse a trait
# and that no answer has cleared it of.
CrashesById: TypeAlias = Mapping[str, Crash]
CrashIdsByTrait: TypeAlias = Mapping[str, Set[str]]
SuspectRule: TypeAlias = Callable[[CrashesById, CrashIdsByTrait, int], list[Suspect]]

suspect_rules: Registry[SuspectRule] = Registry("suspect rule")


@suspect_rules.register("common_traits")
def find_common_traits(
    crashes_by_id: CrashesById, ids_by_trait: CrashIdsByTrait, min_crashes: int
) -> list[Suspect]:
    """Return the traits that most crashes have in common, then those of the rest.

    A crash that a suspect explains counts for no trait outside that suspect.
    """
    suspects: list[Suspect] = []
    remaining = dict(crashes_by_id)
    while True:
        ids = {
            trait: found
            for trait, crash_ids in ids_by_trait.items()
            if (found := crash_ids & remaining.keys())
        }
        n_most = max(map(len, ids.values()), default=0)
        if n_most < min_crashes:
            return suspects
        suspects.append(
            # Of traits that crashed alike, the largest set blocks the fewest requests.
            max(
                _suspects_with(
                    remaining, ids, [t for t in ids if len(ids[t]) == n_most]
                ),
                key=lambda suspect: (len(suspect.traits), suspect.traits),
            )
        )
        remaining = {
            crash_id: crash
            for crash_id, crash in remaining.items()
            if not crash.accuses(suspects[-1].traits)
        }


@suspect_rules.register("lone_run")
def find_lone_runs(
    crashes_by_id: CrashesById, ids_by_trait: CrashIdsByTrait, min_crashes: int
) -> list[Suspect]:
    """Return the traits of requests that crashed runners alone, after other crashes."""
    order = {crash_id: number for number, crash_id in enumerate(crashes_by_id)}
    proved = []
    for trait, crash_ids in ids_by_trait.items():
        lone = [order[i] for i in crash_ids if crashes_by_id[i].was_alone]
        n_before = sum(order[i] < max(lone, default=0) for i in crash_ids)
        if n_before >= min_crashes - 1:
            proved.append(trait)
    return list(_suspects_with(crashes_by_id, ids_by_trait, proved))


def _suspects_with(
    crashes_by_id: CrashesById, ids_by_trait: CrashIdsByTrait, traits: Iterable[str]
) -> Iterable[Suspect]:
    """Return the suspects with any of these traits and all that always come with it."""
    found: dict[tuple[str, ...], Suspect] = {}
    for trait in traits:
        crash_ids = ids_by_trait[trait]
        common = _common_traits(trait, [crashes_by_id[i] for i in crash_ids])
        alike = tuple(sorted(t for t in common if ids_by_trait.get(t) == crash_ids))
        last_at_s = max(crashes_by_id[crash_id].at_s for crash_id in crash_ids)
        found[alike] = Suspect(alike, tuple(sorted(crash_ids)), last_at_s)
    return found.values()


def _common_traits(trait: str, crashes: Iterable[Crash]) -> Traits:
    """Return the traits of all accused requests that have ``trait``."""
    requests = [a for crash in crashes for a in crash.accused if trait in a]
    return frozenset.intersection(*requests)
