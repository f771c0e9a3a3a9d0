"""Checked settings of a host and the operators' text."""
