"""Hooks that behave runs around each scenario."""

from damaskjunction.standins.scenarios import after_scenario, before_scenario

__all__ = ["after_scenario", "before_scenario"]
