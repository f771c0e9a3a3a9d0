"""Decisions on batch jobs: claims, commits, cancellation and the peak."""
