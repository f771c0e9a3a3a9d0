"""Runner and admitting host of a request, by the policy that the settings name."""

from __future__ import annotations

from collections.abc import Sequence

from damaskjunction.core import EntryHost, Runner, Timers, WorkClass
from damaskjunction.routing import (
    AdmissionPolicy,
    ChoiceInput,
    RunnerLoad,
    RunnerLoads,
    runner_choices,
)


class Selection:
    """Chooses runners, and the hosts that admit to them.

    Parameters
    ----------
    own : EntryHost
        This host.
    timers : Timers
        The process's timer service.
    policy : AdmissionPolicy
        Which host admits, and how runners are chosen.
    """

    def __init__(self, own: EntryHost, timers: Timers, policy: AdmissionPolicy) -> None:
        self.policy = policy
        self.loads = RunnerLoads()
        self._own = own
        self._timers = timers
        self._choose = runner_choices.get(policy.runner_choice)

    def order(
        self, runners: Sequence[Runner], work_class: WorkClass, prompt: str
    ) -> Sequence[Runner]:
        """Return runners, the best for a prompt first."""
        occupancies = self.loads.occupancies(runners, work_class, self._timers.now())
        return self._choose(ChoiceInput(prompt, runners, occupancies))

    def admitting_host(
        self, runner: Runner, hosts: Sequence[EntryHost]
    ) -> EntryHost | None:
        """Return which of some hosts admits to a runner, None when there is none."""
        return self.policy.admitting_host(runner, hosts, self._own)

    def note(self, load: RunnerLoad) -> None:
        """Take the load that a home told with an answer."""
        if self.policy.tells_load:
            self.loads.note(load, self._timers.now())

    def note_report(self, runner: Runner, n_running: int) -> None:
        """Take a runner's own report of its load."""
        if not self.policy.tells_load:
            load = RunnerLoad(runner.runner_id, runner.slots, n_running, 0)
            self.loads.note(load, self._timers.now())
