"""Replication of configuration, plan and host list."""
