"""Runs of stateful property tests that are the same each time."""

from __future__ import annotations

from hypothesis import HealthCheck, Phase, settings
from hypothesis.stateful import RuleBasedStateMachine, run_state_machine_as_test


def run_deterministic(
    machine_type: type[RuleBasedStateMachine], n_examples: int, n_steps: int
) -> None:
    """Run a machine ``n_examples`` times, ``n_steps`` steps at most each time."""
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
