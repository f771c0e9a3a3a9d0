"""Selection of the runner of a service that handles a request."""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from typing import NamedTuple, TypeAlias

from damaskjunction.core import Registry, Runner, RunnerId, rendezvous_order

PREFIX_CHARACTERS = 256
LOAD_BOUND = 1.25
MAX_FREE_OCCUPANCY = 0.5


class ChoiceInput(NamedTuple):
    """Input of a runner choice policy.

    ``occupancies_by_runner`` is requests per slot; see ``RunnerLoads.occupancies``.
    """

    prompt: str
    runners: Sequence[Runner]
    occupancies_by_runner: Mapping[RunnerId, float]

    def occupancy(self, runner: Runner) -> float:
        """Return the requests per slot of a runner, 0 when its load is unknown."""
        return self.occupancies_by_runner.get(runner.runner_id, 0.0)


RunnerChoice: TypeAlias = Callable[[ChoiceInput], Sequence[Runner]]

runner_choices: Registry[RunnerChoice] = Registry("runner choice")


@runner_choices.register("least_loaded")
def order_by_load(choice_input: ChoiceInput) -> Sequence[Runner]:
    """Return the runners in ascending order of requests per slot."""
    return sorted(
        choice_input.runners,
        key=lambda runner: (choice_input.occupancy(runner), runner),
    )


@runner_choices.register("prefix_affinity")
def order_by_prefix(choice_input: ChoiceInput) -> Sequence[Runner]:
    """Return the runners by bounded-load rendezvous hashing of the prompt's prefix.

    The prefix's preferred runner comes first while its occupancy is at most
    ``MAX_FREE_OCCUPANCY``, or at most ``LOAD_BOUND`` times the mean. Otherwise the less
    loaded of the next two in rendezvous order comes first, so that the overflow of one
    prefix still hits a warm cache and load spreads as with the power of two choices.
    """
    by_id = {runner.runner_id: runner for runner in choice_input.runners}
    weights = [
        (runner.runner_id, float(runner.slots)) for runner in choice_input.runners
    ]
    order = rendezvous_order(choice_input.prompt[:PREFIX_CHARACTERS], weights)
    preferred = [by_id[name] for name in order]
    first, others = preferred[:1], preferred[1:]
    if not first or _is_within_bound(first[0], choice_input):
        return preferred
    pair = sorted(others[:2], key=choice_input.occupancy)
    rest = sorted([*first, *others[2:], *pair[1:]], key=choice_input.occupancy)
    return [*pair[:1], *rest]


def _is_within_bound(runner: Runner, choice_input: ChoiceInput) -> bool:
    occupancies = [choice_input.occupancy(other) for other in choice_input.runners]
    mean = sum(occupancies) / len(occupancies)
    return choice_input.occupancy(runner) <= max(MAX_FREE_OCCUPANCY, LOAD_BOUND * mean)
