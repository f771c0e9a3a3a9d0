"""Decisions on which hosts are alive and which revision is in force."""
