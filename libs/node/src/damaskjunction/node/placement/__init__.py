"""Placement of models: the region's lease, its planner and state reports."""
