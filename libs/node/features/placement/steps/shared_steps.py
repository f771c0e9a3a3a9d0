"""Steps shared with other features."""

from damaskjunction.standins import steps

__all__ = ["steps"]
