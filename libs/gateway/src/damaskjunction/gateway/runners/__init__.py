"""Calls to runners, and what their failures and crashes tell."""
