"""Membership protocol over UDP."""
