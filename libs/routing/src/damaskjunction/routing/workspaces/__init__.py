"""Workspaces: whose key a caller holds, and what it may reach with it."""
