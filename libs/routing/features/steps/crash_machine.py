"""Stateful property tests: crashes, answers and news in any order, under each policy.

``EvidenceMachine`` holds the suspects of ``CrashEvidence`` to a model that counts the
crashes itself. ``QuarantineMachine`` lets requests run on several hosts: a deadly one
crashes two runners at most, and a sound one is refused only after an accident in its
lone run.
"""

from __future__ import annotations

from typing import NamedTuple

from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
)
from machine_runs import run_deterministic

from damaskjunction.routing import (
    EXCLUSIVE_RUNS,
    SHARED_RUNS,
    CrashEvidence,
    CrashPolicy,
    CrashReport,
    Quarantine,
    RequestTraits,
    Verdict,
)

N_STEPS = 40
STEP_S = 0.01
TRAITS = ("a", "b", "c", "d")
REQUESTS = ("deadly", "fatal", "sound", "calm", "plain")
DEADLY = frozenset(("deadly", "fatal"))
HOSTS = ("h0", "h1", "h2")
DEADLY_POSITION = 30

trait_sets = st.frozensets(st.sampled_from(TRAITS), min_size=1)
requests = st.sampled_from(REQUESTS)
hosts = st.sampled_from(HOSTS)


class ModelCrash(NamedTuple):
    number: int
    at_s: float
    accused: frozenset[frozenset[str]]
    was_alone: bool


class EvidenceMachine(RuleBasedStateMachine):
    """Crashes and answers of one service, within the life of the evidence."""

    policy = SHARED_RUNS
    evidence_type: type[CrashEvidence] = CrashEvidence

    def __init__(self):
        super().__init__()
        self.now_s = 100.0
        self.evidence = self.evidence_type("h", self.policy)
        self.crashes = []
        self.answered_at_by_trait = {}

    @rule(accused=st.lists(trait_sets, min_size=1, max_size=3), lone=st.booleans())
    def crash(self, accused, lone):
        self.now_s += STEP_S
        lone = lone and len(accused) == 1
        number = len(self.crashes)
        report = CrashReport(
            "llm",
            f"r{number}",
            tuple(RequestTraits(tuple(sorted(traits))) for traits in accused),
            (),
            0.0,
        )
        self.evidence.record_crash(report, self.now_s, was_alone=lone)
        self.crashes.append(ModelCrash(number, self.now_s, frozenset(accused), lone))

    @rule(traits=trait_sets, n_times=st.integers(2, 3))
    def crash_alone_repeatedly(self, traits, n_times):
        for _ in range(n_times):
            self.crash([traits], lone=True)

    @rule(traits=trait_sets)
    def answer(self, traits):
        self.now_s += STEP_S
        self.evidence.record_answer(sorted(traits), self.now_s, self.now_s)
        self.answered_at_by_trait.update(dict.fromkeys(traits, self.now_s))

    def uncleared(self, trait):
        answered_at_s = self.answered_at_by_trait.get(trait, 0.0)
        return [
            crash
            for crash in self.crashes
            if crash.at_s > answered_at_s and any(trait in a for a in crash.accused)
        ]

    @invariant()
    def suspects_have_crashed_runners(self):
        for suspect in self.evidence.suspects:
            for trait in suspect.traits:
                crashes = self.uncleared(trait)
                assert len(crashes) >= self.policy.min_crashes, suspect
                assert self.is_proved(crashes), f"{suspect}: no lone run crashed"

    def is_proved(self, crashes):
        return self.policy is SHARED_RUNS or any(c.was_alone for c in crashes[1:])

    @invariant()
    def crashes_are_explained(self):
        """Traits with enough crashes are suspect, or all but a few are explained."""
        for trait in TRAITS:
            crashes = self.uncleared(trait)
            if not self.is_proved(crashes):
                continue
            unexplained = [c for c in crashes if not self.is_explained(c, trait)]
            assert len(unexplained) < self.policy.min_crashes, trait

    def is_explained(self, crash, trait):
        suspects = self.evidence.suspects
        if self.policy is EXCLUSIVE_RUNS:
            return any(trait in suspect.traits for suspect in suspects)
        return any(a.issuperset(s.traits) for a in crash.accused for s in suspects)

    @invariant()
    def what_blocks_is_suspect(self):
        for trait in TRAITS:
            is_suspect = any(s.traits == (trait,) for s in self.evidence.suspects)
            is_blocked = self.evidence.is_suspect((trait,))
            assert is_blocked == is_suspect, trait


class ExclusiveEvidenceMachine(EvidenceMachine):
    policy = EXCLUSIVE_RUNS


class ForgetfulEvidence(CrashEvidence):
    """Injected fault: answers clear nothing."""

    def _clear(self, traits, at_s):
        pass


class HastyEvidence(CrashEvidence):
    """Injected fault: a shared run counts as a lone one."""

    def record_crash(self, report, now_s, *, was_alone=False):
        return super().record_crash(report, now_s, was_alone=True)


class ForgetfulMachine(EvidenceMachine):
    evidence_type = ForgetfulEvidence


class HastyMachine(ExclusiveEvidenceMachine):
    evidence_type = HastyEvidence


class QuarantineMachine(RuleBasedStateMachine):
    """Hosts that run requests beside others or alone, and tell one another verdicts."""

    quarantine_policy: CrashPolicy = EXCLUSIVE_RUNS
    quarantine_type: type[Quarantine] = Quarantine

    def __init__(self):
        super().__init__()
        self.now_s = 100.0
        self.hosts = {name: self.make_host() for name in HOSTS}
        self.unsent = {name: [] for name in HOSTS}
        self.told = []
        self.furthest = DEADLY_POSITION
        self.n_crashes = dict.fromkeys(REQUESTS, 0)
        self.had_lone_accident = set()
        self.convicted = set()

    def make_host(self):
        return self.quarantine_type(self.quarantine_policy)

    def tell(self, sender, news):
        if news is None:
            return
        if news.verdict is Verdict.CONVICTED:
            self.convicted.update(news.fingerprints)
        self.told.append(news)
        for name in HOSTS:
            if name != sender:
                self.unsent[name].append(news)

    def deliver_to(self, name):
        for news in self.unsent[name]:
            self.hosts[name].merge(news, self.now_s)
        self.unsent[name].clear()

    @rule(name=hosts, position=st.integers(0, 50))
    def deliver_again_and_late(self, name, position):
        if self.told:
            news = self.told[position % len(self.told)]
            self.hosts[name].merge(news, self.now_s)

    @rule(name=hosts, request=requests, others=st.frozensets(requests))
    def run_request(self, name, request, others):
        """Run a request at a host that has the news of the hosts before it."""
        self.advance(name)
        quarantine = self.hosts[name]
        verdict = quarantine.verdict_of(request, self.now_s)
        if verdict is Verdict.CONVICTED:
            assert request in DEADLY | self.had_lone_accident, f"{request} is sound"
            return
        assert request not in self.convicted, f"{request} runs after its conviction"
        is_alone = verdict is Verdict.SUSPECT
        running = {request}
        if not is_alone:
            running |= {o for o in others if self.is_clear(quarantine, o)}
        if running & DEADLY:
            self.crash(name, running, is_alone=is_alone)
            return
        for completed in sorted(running):
            self.tell(name, quarantine.record_completion(completed, self.now_s))

    @rule(name=hosts, request=requests, progress=st.sampled_from((0, 5, 20)))
    def meet_accident(self, name, request, progress):
        """End the runner of a sound request, in its lone run if it is suspect."""
        self.advance(name)
        verdict = self.hosts[name].verdict_of(request, self.now_s)
        if request in DEADLY or verdict is Verdict.CONVICTED:
            return
        is_alone = verdict is Verdict.SUSPECT
        if is_alone:
            self.had_lone_accident.add(request)
        self.crash(name, {request}, is_alone=is_alone, position=progress)

    @rule(first=hosts, second=hosts, request=requests)
    def convict_after_clearing(self, first, second, request):
        """Clear a request, convict it elsewhere, and then tell that it is clear."""
        self.meet_accident(first, request, 0)
        self.run_request(first, request, frozenset())
        for _ in range(2):
            self.meet_accident(second, request, 0)
        for news in [n for n in self.told if n.verdict is Verdict.CLEAR]:
            self.hosts[second].merge(news, self.now_s)
        self.run_request(second, request, frozenset())

    @rule(name=hosts, request=requests)
    def meet_accident_further_on(self, name, request):
        """End the runner of a sound item that got further than at any crash before."""
        self.advance(name)
        quarantine = self.hosts[name]
        if request in DEADLY | self.had_lone_accident:
            return
        self.crash(name, {request}, is_alone=False, position=0)
        self.advance(name)
        is_alone = quarantine.verdict_of(request, self.now_s) is Verdict.SUSPECT
        self.furthest += 1000
        self.crash(name, {request}, is_alone=is_alone, position=self.furthest)
        assert quarantine.verdict_of(request, self.now_s) is not Verdict.CONVICTED
        self.tell(name, quarantine.record_completion(request, self.now_s))

    def is_clear(self, quarantine, request):
        return quarantine.verdict_of(request, self.now_s) is Verdict.CLEAR

    def advance(self, name):
        self.now_s += STEP_S
        self.deliver_to(name)

    def crash(self, name, running, *, is_alone, position=DEADLY_POSITION):
        for request in running & DEADLY:
            self.n_crashes[request] += 1
            assert self.n_crashes[request] <= 2, f"{request} crashes a third runner"
        news = self.hosts[name].record_crash(
            sorted(running),
            self.now_s,
            was_alone=is_alone,
            position_by_fingerprint=dict.fromkeys(running, position),
        )
        self.tell(name, news)


class PatientMachine(QuarantineMachine):
    """Injected fault: a third runner is lost before a conviction."""

    quarantine_policy = EXCLUSIVE_RUNS._replace(min_crashes=3)


class AccusingQuarantine(Quarantine):
    """Injected fault: a run beside others convicts."""

    def record_crash(self, fingerprints, now_s, *, was_alone, **positions):
        news = None
        for fingerprint in fingerprints:
            news = super().record_crash(
                [fingerprint], now_s, was_alone=True, **positions
            )
        return news


class HopefulQuarantine(Quarantine):
    """Injected fault: a request that is as far as before counts as further."""

    def _has_advanced(self, fingerprint, position, now_s):
        return True


class StubbornQuarantine(Quarantine):
    """Injected fault: it is not noticed how far a request has got."""

    def _has_advanced(self, fingerprint, position, now_s):
        return False


class AccusingMachine(QuarantineMachine):
    quarantine_type = AccusingQuarantine


class LenientMachine(QuarantineMachine):
    """Injected fault: news that a request is clear lifts a conviction."""

    quarantine_policy = EXCLUSIVE_RUNS._replace(trial_pauses_s=(3600.0,))


class HopefulMachine(QuarantineMachine):
    quarantine_type = HopefulQuarantine


class StubbornMachine(QuarantineMachine):
    quarantine_type = StubbornQuarantine


MACHINE_TYPES = {
    "shared runs": EvidenceMachine,
    "exclusive runs": ExclusiveEvidenceMachine,
    "verdicts": QuarantineMachine,
    "answers clear nothing": ForgetfulMachine,
    "a shared run counts as a lone one": HastyMachine,
    "a conviction takes a third crash": PatientMachine,
    "a run beside others convicts": AccusingMachine,
    "late news lifts a conviction": LenientMachine,
    "progress is seen where there is none": HopefulMachine,
    "progress is not seen": StubbornMachine,
}


def run_machine(name, n_examples):
    run_deterministic(MACHINE_TYPES[name], n_examples, N_STEPS)
