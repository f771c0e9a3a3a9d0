"""Batch jobs: their routes, storage, chunks, items and budget."""
