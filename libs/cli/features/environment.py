"""Behave hooks of the features of the command-line interface."""

from damaskjunction.standins.scenarios import after_scenario, before_scenario

__all__ = ["after_scenario", "before_scenario"]
