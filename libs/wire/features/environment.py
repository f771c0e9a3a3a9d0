"""Hooks for behave."""

from damaskjunction.standins import scenarios
from damaskjunction.standins.scenarios import before_scenario

__all__ = ["after_scenario", "before_scenario"]


def after_scenario(context, scenario):
    if hasattr(context, "stop"):
        scenarios.run(context, context.stop())
    scenarios.after_scenario(context, scenario)
