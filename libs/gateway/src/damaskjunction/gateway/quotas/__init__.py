"""Limits on the requests of workspaces over all hosts together."""
