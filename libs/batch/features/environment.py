"""Behave hooks; the batch features need none."""
