"""Which runner of a service takes a request."""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from typing import NamedTuple, TypeAlias

from damaskjunction.core import Registry, Runner, RunnerId, rendezvous_order

PREFIX_CHARACTERS = 256
LOAD_BOUND = 1.25


class ChoiceInput(NamedTuple):
    """What a choice is made from.

    ``in_flight_by_runner`` counts requests that this host has under way.
    """

    prompt: str
    runners: Sequence[Runner]
    in_flight_by_runner: Mapping[RunnerId, int]


RunnerChoice: TypeAlias = Callable[[ChoiceInput], Sequence[Runner]]

runner_choices: Registry[RunnerChoice] = Registry("runner choice")


@runner_choices.register("least_loaded")
def order_by_load(given: ChoiceInput) -> Sequence[Runner]:
    """Return runners by requests under way per slot."""
    load = given.in_flight_by_runner
    return sorted(
        given.runners,
        key=lambda runner: (load.get(runner.runner_id, 0) / runner.slots, runner),
    )


@runner_choices.register("prefix_affinity")
def order_by_prefix(given: ChoiceInput) -> Sequence[Runner]:
    """Return runners by rendezvous on the prompt's prefix, the overloaded last.

    A runner is overloaded when it has more than ``LOAD_BOUND`` times its share of the
    requests under way.
    """
    by_id = {runner.runner_id: runner for runner in given.runners}
    weights = [(runner.runner_id, float(runner.slots)) for runner in given.runners]
    order = rendezvous_order(given.prompt[:PREFIX_CHARACTERS], weights)
    load = given.in_flight_by_runner
    total = sum(load.get(name, 0) for name in by_id) + 1
    slots = sum(runner.slots for runner in given.runners) or 1

    def is_over(name: str) -> bool:
        bound = LOAD_BOUND * total * by_id[name].slots / slots
        return load.get(name, 0) + 1 > max(bound, 1)

    return [by_id[name] for name in sorted(order, key=is_over)]
