"""Admission control of single runners by their homes."""
