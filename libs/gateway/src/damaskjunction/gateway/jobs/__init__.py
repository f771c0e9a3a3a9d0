"""Batch jobs: their items, their results and the hosts that run them."""
