"""Which runner of a service takes a request."""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from typing import NamedTuple, TypeAlias

from damaskjunction.core import Registry, Runner, RunnerId, rendezvous_order

PREFIX_CHARACTERS = 256
LOAD_BOUND = 1.25
FREE_OCCUPANCY = 0.5


class ChoiceInput(NamedTuple):
    """What a choice is made from.

    ``occupancies_by_runner`` is requests per slot; see ``RunnerLoads.occupancies``.
    """

    prompt: str
    runners: Sequence[Runner]
    occupancies_by_runner: Mapping[RunnerId, float]

    def occupancy(self, runner: Runner) -> float:
        """Return requests per slot of one runner."""
        return self.occupancies_by_runner.get(runner.runner_id, 0.0)


RunnerChoice: TypeAlias = Callable[[ChoiceInput], Sequence[Runner]]

runner_choices: Registry[RunnerChoice] = Registry("runner choice")


@runner_choices.register("least_loaded")
def order_by_load(given: ChoiceInput) -> Sequence[Runner]:
    """Return runners by requests per slot."""
    return sorted(given.runners, key=lambda runner: (given.occupancy(runner), runner))


@runner_choices.register("prefix_affinity")
def order_by_prefix(given: ChoiceInput) -> Sequence[Runner]:
    """Return runners by rendezvous on the prompt's prefix, with a bound on load.

    The prefix's own runner comes first while it has free slots, or no more than
    ``LOAD_BOUND`` times the mean load. Otherwise the less loaded of the prefix's next
    two comes first, so that the overflow of one prefix finds its cache again and load
    spreads as with two random choices.
    """
    by_id = {runner.runner_id: runner for runner in given.runners}
    weights = [(runner.runner_id, float(runner.slots)) for runner in given.runners]
    order = rendezvous_order(given.prompt[:PREFIX_CHARACTERS], weights)
    preferred = [by_id[name] for name in order]
    first, others = preferred[:1], preferred[1:]
    if not first or _has_room(first[0], given):
        return preferred
    pair = sorted(others[:2], key=given.occupancy)
    rest = sorted([*first, *others[2:], *pair[1:]], key=given.occupancy)
    return [*pair[:1], *rest]


def _has_room(runner: Runner, given: ChoiceInput) -> bool:
    occupancies = [given.occupancy(other) for other in given.runners]
    mean = sum(occupancies) / len(occupancies)
    return given.occupancy(runner) <= max(FREE_OCCUPANCY, LOAD_BOUND * mean)
