"""Callers' requests: their attempts at runners and their responses."""
