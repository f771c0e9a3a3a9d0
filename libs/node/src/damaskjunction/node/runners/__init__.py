"""Runners: protocols, access, probes, load reports and crashes."""
