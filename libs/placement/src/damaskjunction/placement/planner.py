"""Makes the next plan of a region, as close to the target as is safe now.

A plan changes an engine's assignment only when

- every service that the new one depends on is ready,
- the weight store has bandwidth to load one more engine's weights,
- the service that loses the engine keeps the runners that its online load requires,
  and
- a roll-out has fewer runners in transition than its service allows.

Changes that are deferred are considered again in the next plan.
"""

from __future__ import annotations

import math
from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping, Sequence

from damaskjunction.core import (
    Assignment,
    HostState,
    Plan,
    RunnerId,
    ServiceKind,
    ServiceName,
    ServiceSpec,
)
from damaskjunction.placement.targets import (
    PlanInput,
    find_target_services,
    in_dependency_order,
    make_assignment,
)
from damaskjunction.placement.types import (
    RunnerState,
    assignment_state,
    ready_runners,
)

TRANSITION_DIVISOR = 10
LOAD_IN_PROGRESS_STATES = (RunnerState.EMPTY, RunnerState.LOADING, RunnerState.UNKNOWN)
FAULTY_STATES = (RunnerState.FAILED, RunnerState.UNREACHABLE, RunnerState.LOST)


def make_plan(plan_input: PlanInput) -> Plan:
    """Return the next plan for a region, with revision 0 until it is stored.

    The function is deterministic, and a region in which nothing changes keeps its plan.
    """
    return _PlanStep(plan_input, find_target_services(plan_input)).run()


def min_ready_runners(plan_input: PlanInput, service: ServiceSpec) -> int:
    """Return how many ready runners of a service a plan change has to leave."""
    required = plan_input.required_by_service.get(service.name, 0)
    return min(max(service.min_runners, required), service.max_runners)


class _PlanStep:
    """One step from the previous plan towards the target assignments."""

    def __init__(
        self,
        plan_input: PlanInput,
        target_service_by_runner: Mapping[RunnerId, ServiceName],
    ) -> None:
        self._input = plan_input
        self._configuration = plan_input.configuration
        self._services = [
            service
            for service in in_dependency_order(
                plan_input.configuration.services_by_name
            )
            if service.kind is ServiceKind.ENGINE
        ]
        self._target_by_runner = {
            runner_id: make_assignment(
                runner_id,
                self._configuration.services_by_name[name],
                plan_input.configuration,
            )
            for runner_id, name in target_service_by_runner.items()
        }
        self._n_target = Counter(a.service for a in self._target_by_runner.values())
        self._engine_ids = {
            runner.runner_id
            for runner in plan_input.runners
            if runner.kind is ServiceKind.ENGINE and runner.state is HostState.LIVE
        }
        self._assignments = self._valid_assignments()
        self._ready_ids = set(
            ready_runners(
                plan_input.previous, self._assignments, plan_input.statuses_by_runner
            )
        )
        self._n_ready = self._count_by_service(self._ready_ids)
        self._n_in_transition: Counter[ServiceName] = Counter()
        self._budget_left_gb = self._load_budget_gb()
        self._is_loading = False
        self._notes_by_service: dict[ServiceName, str] = {}

    def run(self) -> Plan:
        """Return the plan that results from the step."""
        self._count_in_progress()
        self._release_untargeted()
        pending_by_service = self._pending_by_service()
        for service in self._services:
            self._assign_pending(service, pending_by_service[service.name])
        self._note_shortages()
        assignments = dict(sorted(self._assignments.items()))
        statuses = self._input.statuses_by_runner
        return Plan(
            configuration_revision=self._configuration.revision,
            assignments_by_runner=assignments,
            ready_runners=ready_runners(self._input.previous, assignments, statuses),
            failures_by_runner=self._failures(assignments),
            notes_by_service=dict(sorted(self._notes_by_service.items())),
        )

    def _valid_assignments(self) -> dict[RunnerId, Assignment]:
        """Return the previous assignments that are still possible.

        Their engines are live and not lost, and their services still exist.
        """
        valid = {}
        for runner_id, assignment in self._input.previous.assignments_by_runner.items():
            service = self._configuration.services_by_name.get(assignment.service)
            status = self._input.statuses_by_runner.get(runner_id)
            is_lost = status is not None and status.state is RunnerState.LOST
            is_engine_service = (
                service is not None and service.kind is ServiceKind.ENGINE
            )
            if runner_id in self._engine_ids and is_engine_service and not is_lost:
                valid[runner_id] = assignment
        return valid

    def _count_by_service(self, runner_ids: Iterable[RunnerId]) -> Counter[ServiceName]:
        return Counter(self._assignments[runner_id].service for runner_id in runner_ids)

    def _load_budget_gb(self) -> float:
        """Return how many GB of weights may be loading at a time."""
        spec = self._configuration.placement
        return spec.weight_store_gb_per_s * spec.load_window_s

    def _weights_gb(self, assignment: Assignment) -> float:
        model = self._configuration.models_by_name.get(assignment.model)
        return model.weights_gb if model is not None else 0.0

    def _count_in_progress(self) -> None:
        """Charge changes in progress to the load budget and the transition limits."""
        for runner_id, assignment in self._assignments.items():
            if runner_id in self._ready_ids:
                continue
            state = assignment_state(
                assignment, self._input.statuses_by_runner.get(runner_id)
            )
            if assignment == self._target_by_runner.get(runner_id):
                self._n_in_transition[assignment.service] += 1
            if state in LOAD_IN_PROGRESS_STATES:
                self._budget_left_gb -= self._weights_gb(assignment)
                self._is_loading = True

    def _release_untargeted(self) -> None:
        """Release engines that the target assigns to no service."""
        untargeted = sorted(self._assignments.keys() - self._target_by_runner.keys())
        for runner_id in untargeted:
            if self._can_release(runner_id):
                self._release(runner_id)

    def _pending_by_service(self) -> dict[ServiceName, list[Assignment]]:
        """Return the target assignments that are not in the plan yet, by service."""
        pending: dict[ServiceName, list[Assignment]] = defaultdict(list)
        for runner_id, assignment in sorted(self._target_by_runner.items()):
            if self._assignments.get(runner_id) != assignment:
                pending[assignment.service].append(assignment)
        return pending

    def _assign_pending(
        self, service: ServiceSpec, pending: Sequence[Assignment]
    ) -> None:
        """Make as many of a service's pending assignments as is safe."""
        if not pending:
            return
        unready = self._unready_dependency(service)
        if unready:
            self._notes_by_service[service.name] = f"waits for {unready} to be ready"
            return
        reason = ""
        n_assigned = 0
        for assignment in pending:
            reason = self._blocking_reason(assignment, service)
            if not reason:
                self._reassign(assignment)
                n_assigned += 1
        if reason and not n_assigned:
            reason = self._surge(pending[0], service) or reason
        if reason:
            self._notes_by_service[service.name] = reason

    def _blocking_reason(self, assignment: Assignment, service: ServiceSpec) -> str:
        """Return why an assignment has to wait, empty when it may be made now."""
        weights_gb = self._weights_gb(assignment)
        # At least one load may run, even if its weights exceed the whole budget.
        if self._is_loading and weights_gb > self._budget_left_gb:
            return "waits for the weight store"
        current = self._assignments.get(assignment.runner_id)
        if current is None:
            return ""
        is_roll_out = current.service == assignment.service
        if is_roll_out and self._n_in_transition[
            service.name
        ] >= self._transition_limit(service):
            return "roll-out waits for the runners in transition"
        if not self._can_release(assignment.runner_id):
            return f"waits for runners that {current.service} can spare"
        return ""

    def _transition_limit(self, service: ServiceSpec) -> int:
        """Return how many runners of a service a roll-out may have in transition.

        Unless configured, it is a fraction of the runners in the target.
        """
        if service.max_in_transition:
            return service.max_in_transition
        return max(1, math.ceil(self._n_target[service.name] / TRANSITION_DIVISOR))

    def _can_release(self, runner_id: RunnerId) -> bool:
        if runner_id not in self._ready_ids:
            return True
        name = self._assignments[runner_id].service
        service = self._configuration.services_by_name[name]
        return self._n_ready[name] > min_ready_runners(self._input, service)

    def _release(self, runner_id: RunnerId) -> None:
        service = self._assignments.pop(runner_id).service
        if runner_id in self._ready_ids:
            self._ready_ids.discard(runner_id)
            self._n_ready[service] -= 1

    def _reassign(self, assignment: Assignment) -> None:
        if assignment.runner_id in self._assignments:
            self._release(assignment.runner_id)
        self._assignments[assignment.runner_id] = assignment
        self._n_in_transition[assignment.service] += 1
        self._budget_left_gb -= self._weights_gb(assignment)
        self._is_loading = True

    def _surge(self, pending: Assignment, service: ServiceSpec) -> str:
        """Add an idle engine to a roll-out that can release no runner.

        Return the note for the service, empty when this does not apply.
        """
        if self._n_in_transition[service.name] or not self._is_roll_out(pending):
            return ""
        statuses = self._input.statuses_by_runner
        idle = sorted(
            runner_id
            for runner_id in self._engine_ids - self._assignments.keys()
            if runner_id not in self._target_by_runner
            and runner_id in statuses
            and statuses[runner_id].state not in FAULTY_STATES
        )
        if not idle:
            return "roll-out waits: no runner above what is needed, and none idle"
        self._reassign(make_assignment(idle[0], service, self._configuration))
        return "roll-out goes by way of an idle runner"

    def _is_roll_out(self, assignment: Assignment) -> bool:
        current = self._assignments.get(assignment.runner_id)
        return current is not None and current.service == assignment.service

    def _unready_dependency(self, service: ServiceSpec) -> ServiceName:
        """Return the first dependency that is not ready, empty when all are."""
        for name in service.depends_on:
            if not self._is_service_ready(self._configuration.services_by_name[name]):
                return name
        return ""

    def _is_service_ready(self, service: ServiceSpec) -> bool:
        if service.min_runners == 0:
            return True
        if service.kind is ServiceKind.PLAIN:
            return any(
                runner.service == service.name and runner.state is HostState.LIVE
                for runner in self._input.runners
            )
        n_required = min(service.min_runners, self._n_target[service.name])
        return self._n_ready[service.name] >= max(1, n_required)

    def _note_shortages(self) -> None:
        for service in self._services:
            n_target = self._n_target[service.name]
            required = self._input.required_by_service.get(service.name, 0)
            if n_target < service.min_runners:
                note = f"too few runners: {n_target} of {service.min_runners}"
                self._notes_by_service[service.name] = note
            elif required > n_target:
                note = f"load requires more than {n_target} runners"
                self._notes_by_service.setdefault(service.name, note)

    def _failures(
        self, assignments: Mapping[RunnerId, Assignment]
    ) -> dict[RunnerId, str]:
        failures = {}
        for runner_id, assignment in assignments.items():
            status = self._input.statuses_by_runner.get(runner_id)
            state = assignment_state(assignment, status)
            if status is not None and state in FAULTY_STATES:
                failures[runner_id] = status.reason or state.value
        return failures
