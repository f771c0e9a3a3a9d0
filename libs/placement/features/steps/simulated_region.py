"""A simulated region whose engines follow the plan."""

from __future__ import annotations

from collections import Counter

from damaskjunction.core import (
    Address,
    Configuration,
    ModelSpec,
    PlacementSpec,
    Plan,
    Runner,
    ServiceKind,
    ServiceSpec,
)
from damaskjunction.placement import (
    PlanInput,
    RunnerState,
    RunnerStatus,
    assignment_order_key,
    make_plan,
)

STEPS_TO_CONVERGE = 60


class Region:
    """Simulated engines that follow the plan, one state transition per step."""

    def __init__(self):
        self.services_by_name = {}
        self.models_by_name = {}
        self.placement = PlacementSpec(weight_store_gb_per_s=1000.0)
        self.runners_by_id = {}
        self.statuses_by_runner = {}
        self.required_by_service = {}
        self.broken_versions = set()
        self.plan = Plan()
        self.previous = Plan()
        self.n_ready_history = []
        self.n_in_transition_history = []

    def add_service(self, name, low, high, **extra):
        self.models_by_name[name] = ModelSpec(name, "v1")
        self.services_by_name[name] = ServiceSpec(
            name, ServiceKind.ENGINE, name, low, high, **extra
        )

    def change_service(self, name, **changes):
        service = self.services_by_name[name]
        self.services_by_name[name] = service._replace(**changes)

    def add_engines(self, count, centres):
        for _ in range(count):
            number = len(self.runners_by_id)
            runner = Runner(
                f"engine-{number:04d}",
                "lima",
                centres[number % len(centres)],
                Address("127.0.0.1", 1 + number),
                ServiceKind.ENGINE,
            )
            self.runners_by_id[runner.runner_id] = runner
            status = RunnerStatus(runner.runner_id, RunnerState.EMPTY)
            self.statuses_by_runner[runner.runner_id] = status

    def to_input(self):
        configuration = Configuration(
            1,
            self.services_by_name,
            self.models_by_name,
            placement=self.placement,
        )
        return PlanInput(
            configuration,
            list(self.runners_by_id.values()),
            self.plan,
            self.statuses_by_runner,
            self.required_by_service,
        )

    def make_plan(self):
        self.previous = self.plan
        self.plan = make_plan(self.to_input())
        self._record_counts()

    def step(self):
        self.make_plan()
        for assignment in self.plan.assignments_by_runner.values():
            self._follow(assignment)

    def converge(self):
        for _ in range(STEPS_TO_CONVERGE):
            self.step()

    def _follow(self, assignment):
        status = self.statuses_by_runner[assignment.runner_id]
        key = assignment_order_key(assignment)
        if status.state in (RunnerState.UNREACHABLE, RunnerState.LOST):
            return
        if status.loaded != key:
            status = status._replace(loaded=key, state=RunnerState.LOADING)
        elif assignment.version in self.broken_versions:
            status = status._replace(state=RunnerState.FAILED, reason="no such file")
        elif status.state is not RunnerState.FAILED:
            status = status._replace(state=RunnerState.READY)
        self.statuses_by_runner[assignment.runner_id] = status

    def _record_counts(self):
        self.n_ready_history.append(
            Counter(
                self.plan.assignments_by_runner[runner_id].service
                for runner_id in self.plan.ready_runners
            )
        )
        in_transition = self.plan.assignments_by_runner.keys() - self.plan.ready_runners
        self.n_in_transition_history.append(
            Counter(
                self.plan.assignments_by_runner[runner_id].service
                for runner_id in in_transition
            )
        )

    def n_ready(self, name):
        ready = self.plan.ready_runners
        held = self.plan.assignments_by_runner
        return sum(held[runner_id].service == name for runner_id in ready)

    def runners_of(self, name):
        held = self.plan.assignments_by_runner.values()
        return sorted(a.runner_id for a in held if a.service == name)

    def moved_runners(self):
        previous = self.previous.assignments_by_runner
        after = self.plan.assignments_by_runner
        return [name for name in after if after[name] != previous.get(name)]
