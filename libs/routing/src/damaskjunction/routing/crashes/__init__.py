"""Requests that crash runners."""
