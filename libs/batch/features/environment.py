"""Hooks of behave."""
