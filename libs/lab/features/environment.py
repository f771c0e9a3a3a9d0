"""behave hooks of the lab features."""

from damaskjunction.standins.scenarios import after_scenario, before_scenario

__all__ = ["after_scenario", "before_scenario"]
