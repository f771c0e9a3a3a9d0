"""Decisions on batch jobs: claims, commits, cancellation and the peak."""

from damaskjunction.batch.jobs import (
    MAX_JOB_ITEMS,
    Chunk,
    ItemDocument,
    JobDocument,
    ResultDocument,
    chunk_name,
    job_id_of,
    split_items,
)

__all__ = [
    "MAX_JOB_ITEMS",
    "Chunk",
    "ItemDocument",
    "JobDocument",
    "ResultDocument",
    "chunk_name",
    "job_id_of",
    "split_items",
]
