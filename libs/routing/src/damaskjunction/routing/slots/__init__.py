"""Allocation of the slots of a service by its home."""
