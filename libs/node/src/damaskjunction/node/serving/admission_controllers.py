"""The admission controllers of the runners that get requests through this host."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any

from damaskjunction.core import (
    Runner,
    RunnerId,
    ServiceKind,
    ServiceName,
    ServiceSpec,
    Timers,
)
from damaskjunction.node.serving.selection import RunnerSelector
from damaskjunction.node.state import HostView
from damaskjunction.routing import (
    AdmissionController,
    AdmissionEffect,
    LatencyTargets,
    LimitInput,
)


class AdmissionControllers:
    """Creates the controller of each runner and keeps its targets and home state.

    Parameters
    ----------
    view : HostView
        Known runners and services.
    selection : RunnerSelector
        Says which runners have this host as their home.
    timers : Timers
        Timer service of the process.
    apply : callable
        Carries out the effects of controllers.
    """

    def __init__(
        self,
        view: HostView,
        selection: RunnerSelector,
        timers: Timers,
        apply: Callable[[Iterable[AdmissionEffect]], None],
    ) -> None:
        self._view = view
        self._selection = selection
        self._timers = timers
        self._apply = apply
        self._controllers_by_runner: dict[RunnerId, AdmissionController] = {}

    def to_document(self) -> dict[str, Any]:
        """Return the state of each controller for the state dump."""
        return {
            runner_id: controller.state._asdict()
            for runner_id, controller in self._controllers_by_runner.items()
        }

    def controller_for(
        self, runner: Runner, service_name: ServiceName
    ) -> AdmissionController:
        """Return the controller of a runner, a new one for its first request."""
        controller = self._controllers_by_runner.get(runner.runner_id)
        if controller is None:
            targets = self._latency_targets(service_name)
            n_hosts = len(self._view.fleet.live_hosts())
            limit_input = LimitInput(runner.slots, targets, n_hosts)
            controller = AdmissionController(
                self._selection.policy.make_limits(limit_input)
            )
            controller.set_home(self._selection.is_home_of(runner), self._timers.now())
            self._controllers_by_runner[runner.runner_id] = controller
        return controller

    def update(self) -> None:
        """Update targets and home state of the admission controllers.

        The idle controller of a runner that has left the fleet is removed.
        """
        now_s = self._timers.now()
        assignments = self._view.plan.assignments_by_runner
        for runner_id, controller in list(self._controllers_by_runner.items()):
            runner = self._view.fleet.runners_by_id.get(runner_id)
            if runner is None and controller.is_idle:
                del self._controllers_by_runner[runner_id]
            if runner is None:
                continue
            if runner_id in assignments:
                controller.set_targets(
                    self._latency_targets(assignments[runner_id].service)
                )
            self._apply(controller.set_home(self._selection.is_home_of(runner), now_s))

    def reporting_runners(self) -> Iterable[Runner]:
        """Return the runners whose load reports are of use."""
        runners_by_id = self._view.fleet.runners_by_id
        if not self._selection.policy.uses_home_load:
            return runners_by_id.values()
        return [
            runners_by_id[runner_id]
            for runner_id in self._controllers_by_runner
            if runner_id in runners_by_id
        ]

    def record_report(self, runner: Runner, n_running: int) -> None:
        """Record how many requests a runner reports as running."""
        self._selection.record_report(runner, n_running)
        controller = self._controllers_by_runner.get(runner.runner_id)
        if controller is not None and self._selection.policy.uses_runner_reports:
            self._apply(controller.observe_report(n_running, self._timers.now()))

    def _latency_targets(self, service: ServiceName) -> LatencyTargets:
        spec = self._view.configuration.services_by_name.get(
            service, ServiceSpec(service, ServiceKind.ENGINE)
        )
        return LatencyTargets(spec.first_token_s, spec.token_interval_s)
