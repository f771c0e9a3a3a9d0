"""Requests of callers: their routes, entry, home and metering."""
