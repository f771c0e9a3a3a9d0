"""Behave hooks for this feature folder."""
