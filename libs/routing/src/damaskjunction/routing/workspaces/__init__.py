"""Workspaces: their keys, limits and shares."""
