"""Selection of runners and admitting hosts by the configured admission policy."""

from __future__ import annotations

from collections.abc import Sequence

from damaskjunction.core import EntryHost, Runner, ServiceName, Timers, WorkClass
from damaskjunction.node.state import HostView
from damaskjunction.routing import (
    AdmissionPolicy,
    ChoiceInput,
    RunnerLoad,
    RunnerLoads,
    runner_choices,
)


class RunnerSelector:
    """Selects runners for requests, and the hosts that admit to them.

    Parameters
    ----------
    view : HostView
        Known runners and hosts.
    timers : Timers
        Timer service of the process.
    policy : AdmissionPolicy
        Determines which host admits to a runner and how runners are ranked.
    """

    def __init__(self, view: HostView, timers: Timers, policy: AdmissionPolicy) -> None:
        self.policy = policy
        self.loads = RunnerLoads()
        self._view = view
        self._timers = timers
        self._rank = runner_choices.get(policy.runner_choice)

    def rank_runners(
        self, service: ServiceName, work_class: WorkClass, prompt: str
    ) -> Sequence[Runner]:
        """Return the runners of a service, the preferred one for a prompt first."""
        runners = self._view.runners_of(service)
        occupancies = self.loads.occupancies(runners, work_class, self._timers.now())
        return self._rank(ChoiceInput(prompt, runners, occupancies))

    def admitting_host(
        self, runner: Runner, hosts: Sequence[EntryHost] | None = None
    ) -> EntryHost | None:
        """Return the host that admits to a runner, or None without candidates.

        ``hosts`` are the candidates, by default all serving hosts.
        """
        if hosts is None:
            hosts = self._view.serving_hosts()
        return self.policy.admitting_host(runner, hosts, self._view.own)

    def is_home_of(self, runner: Runner) -> bool:
        """Return whether this host admits to a runner."""
        host = self.admitting_host(runner)
        return host is not None and host.host_id == self._view.own.host_id

    def record_load(self, load: RunnerLoad) -> None:
        """Record the load that a home reported with an answer."""
        if self.policy.uses_home_load:
            self.loads.record(load, self._timers.now())

    def record_report(self, runner: Runner, n_running: int) -> None:
        """Record the number of running requests that a runner reported itself."""
        if not self.policy.uses_home_load:
            load = RunnerLoad(runner.runner_id, runner.slots, n_running, 0)
            self.loads.record(load, self._timers.now())
