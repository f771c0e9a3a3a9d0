"""Settings of tests that draw their operations by chance."""

from __future__ import annotations

from typing import Any

from hypothesis import HealthCheck, Phase, settings


def repeatable(n_runs: int, **options: Any) -> settings:
    """Return settings under which each test run draws the same, in ``n_runs`` runs."""
    return settings(
        max_examples=n_runs,
        deadline=None,
        derandomize=True,
        database=None,
        phases=(Phase.generate,),
        suppress_health_check=list(HealthCheck),
        **options,
    )
