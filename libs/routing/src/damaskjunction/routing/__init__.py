"""Decisions on admission, runner choice, limits and retries."""
