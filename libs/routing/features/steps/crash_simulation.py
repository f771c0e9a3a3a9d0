"""Simulation of traffic with deadly parts before runners that crash and come back."""

from __future__ import annotations

import random
from collections import Counter
from typing import NamedTuple

from damaskjunction.routing import (
    SHARED_RUNS,
    CrashEvidence,
    CrashPolicy,
    CrashReport,
    RequestTraits,
)

SERVICE = "llm"
N_RUNNERS = 6
N_SLOTS = 8
N_SUBJECTS = 30
N_SECONDS = 40
STEP_S = 0.05
FIRST_EVENT_S = 0.1
ANSWERED_S = 0.3
WHOLE_S = 0.9
RESTART_S = 3.2
SOUND_PER_S = 28.0
DEADLY_PER_S = 2.0
HOME_MOVE_S = 11.0
ACCIDENT_S = 7.0  # a runner crashes by itself at this interval
BURST_TIMES_S = (5.0, 11.0, 17.0)
BURST_STEPS_S = (0.0, 0.4, 0.8, 1.2, 1.6)  # two runners crash at each
BURST_RESTART_S = 0.4


class SimulationOutcome(NamedTuple):
    """What became of the requests of a run."""

    n_runs_by_deadly_part: dict[str, int]
    n_sound: int
    n_sound_blocked: int
    unserved_parts: set[str]


class Run(NamedTuple):
    """A request at a runner."""

    traits: tuple[str, ...]
    began_at_s: float
    deadly_part: str
    watched: tuple[str, ...]


class Simulation:
    """Runners, requests and the evidence at the home."""

    def __init__(
        self,
        seed: int,
        n_deadly: int,
        *,
        has_bursts: bool = False,
        policy: CrashPolicy = SHARED_RUNS,
    ) -> None:
        self.rng = random.Random(seed)
        self.policy = policy
        self.now_s = 1000.0
        self.restart_s = BURST_RESTART_S if has_bursts else RESTART_S
        self.burst_steps = {
            round((at_s + later_s) / STEP_S)
            for at_s in BURST_TIMES_S * has_bursts
            for later_s in BURST_STEPS_S
        }
        self.evidence = CrashEvidence("h0", policy)
        self.n_homes = 1
        self.runs_by_runner = {f"r{n}": [] for n in range(N_RUNNERS)}
        self.back_at_by_runner = dict.fromkeys(self.runs_by_runner, 0.0)
        self.deadly_parts = [f"deadly{n}" for n in range(n_deadly)]
        self.n_runs = Counter(dict.fromkeys(self.deadly_parts, 0))
        self.n_requests = 0
        self.n_sound = self.n_sound_blocked = 0
        self.asked_parts = set()
        self.served_parts = set()

    def submit(self, deadly_part: str = "") -> None:
        """Send a request to a runner with a free slot, unless it is blocked."""
        self.n_requests += 1
        number = self.rng.randrange(N_SUBJECTS)
        parts = [f"class{number % 3}", f"subject{number}"]
        if deadly_part:
            parts.append(deadly_part)
        traits = (*parts, f"f{self.n_requests}")
        free = [
            runner
            for runner, runs in self.runs_by_runner.items()
            if self.back_at_by_runner[runner] <= self.now_s and len(runs) < N_SLOTS
        ]
        if not free:
            return
        is_blocked = self.evidence.blocked_for_s(traits, self.now_s) > 0.0
        if not deadly_part:
            self.n_sound += 1
            self.n_sound_blocked += is_blocked
            self.asked_parts.update(parts)
        if is_blocked:
            return
        if deadly_part:
            self.n_runs[deadly_part] += 1
        run = Run(traits, self.now_s, deadly_part, self.evidence.watched(traits))
        self.runs_by_runner[self.rng.choice(free)].append(run)

    def crash(self, runner: str) -> None:
        """End a runner and report the requests that it had not begun to answer."""
        runs, self.runs_by_runner[runner] = self.runs_by_runner[runner], []
        self.back_at_by_runner[runner] = self.now_s + self.restart_s
        accused, answered = set(), set()
        for run in runs:
            if self.now_s - run.began_at_s >= ANSWERED_S and not run.deadly_part:
                answered.update(run.traits)
            else:
                accused.add(run.traits)
        report = CrashReport(
            SERVICE,
            runner,
            tuple(RequestTraits(traits) for traits in sorted(accused)),
            tuple(sorted(answered)),
            0.0,
        )
        self.evidence.record_crash(report, self.now_s)

    def advance(self, runner: str) -> None:
        """Let a runner work for a step."""
        runs = self.runs_by_runner[runner]
        if any(
            run.deadly_part and self.now_s - run.began_at_s >= FIRST_EVENT_S
            for run in runs
        ):
            self.crash(runner)
            return
        for run in list(runs):
            age_s = self.now_s - run.began_at_s
            if run.watched and age_s >= ANSWERED_S:
                self.evidence.record_answer(run.watched, self.now_s, self.now_s)
                runs[runs.index(run)] = run._replace(watched=())
        for run in [run for run in runs if self.now_s - run.began_at_s >= WHOLE_S]:
            runs.remove(run)
            self.served_parts.update(run.traits[:-1])

    def move_home(self) -> None:
        """Move the home to a host that knows only the stored suspects."""
        suspects = self.evidence.suspects
        self.evidence = CrashEvidence(f"h{self.n_homes}", self.policy)
        self.n_homes += 1
        for number, suspect in enumerate(suspects):
            self.evidence.import_suspect(f"s{number}", suspect, self.now_s)

    def run(self) -> SimulationOutcome:
        """Play the whole run."""
        n_steps = round(N_SECONDS / STEP_S)
        for step in range(n_steps):
            self.now_s += STEP_S
            if self.rng.random() < SOUND_PER_S * STEP_S / 2:
                self.submit()
                self.submit()
            for part in self.deadly_parts:
                if self.rng.random() < DEADLY_PER_S * STEP_S:
                    self.submit(part)
            for runner in self.runs_by_runner:
                self.advance(runner)
            if step and step % round(HOME_MOVE_S / STEP_S) == 0:
                self.move_home()
            if step and step % round(ACCIDENT_S / STEP_S) == 0:
                self.crash(self.rng.choice(sorted(self.runs_by_runner)))
            if step in self.burst_steps:
                for runner in self.rng.sample(sorted(self.runs_by_runner), 2):
                    self.crash(runner)
        return SimulationOutcome(
            dict(self.n_runs),
            self.n_sound,
            self.n_sound_blocked,
            self.asked_parts - self.served_parts,
        )


def run_simulation(seed: int, n_deadly: int) -> SimulationOutcome:
    """Play a run of ``N_SECONDS`` with the given number of deadly parts."""
    return Simulation(seed, n_deadly).run()


def run_bursts(seed: int, policy: CrashPolicy = SHARED_RUNS) -> SimulationOutcome:
    """Play a run of sound requests with bursts of accidents."""
    return Simulation(seed, 0, has_bursts=True, policy=policy).run()
