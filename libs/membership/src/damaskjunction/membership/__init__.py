"""Decisions on which hosts are alive and which revision is in force."""

from damaskjunction.membership.view import FleetView, make_view

__all__ = ["FleetView", "make_view"]
