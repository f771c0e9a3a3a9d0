"""Imports the steps that features of several libraries share."""

from damaskjunction.standins import steps

__all__ = ["steps"]
