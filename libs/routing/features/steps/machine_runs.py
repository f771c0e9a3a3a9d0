"""Runs of stateful property tests that are the same each time."""

from __future__ import annotations

from collections.abc import Sequence

from hypothesis import HealthCheck, Phase, seed, settings
from hypothesis.stateful import RuleBasedStateMachine, run_state_machine_as_test


def run_deterministic(
    machine_type: type[RuleBasedStateMachine],
    n_examples: int,
    n_steps: int,
    seeds: Sequence[int | None] = (None,),
) -> None:
    """Run a machine ``n_examples`` times a seed, ``n_steps`` steps at most each time.

    The draws of a seed depend on the constants of all modules that are loaded, too.
    Several seeds find by other draws what one may miss once a module has changed.
    """
    for number in seeds:
        machine = machine_type if number is None else seed(number)(machine_type)
        _run(machine, n_examples, n_steps)


def _run(
    machine_type: type[RuleBasedStateMachine], n_examples: int, n_steps: int
) -> None:
    run_state_machine_as_test(
        machine_type,
        settings=settings(
            max_examples=n_examples,
            stateful_step_count=n_steps,
            derandomize=True,
            database=None,
            deadline=None,
            print_blob=False,
            phases=(Phase.generate,),
            suppress_health_check=list(HealthCheck),
        ),
    )
