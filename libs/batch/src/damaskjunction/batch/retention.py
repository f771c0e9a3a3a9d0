"""Retention rules for stored jobs and uploads."""

from __future__ import annotations

from damaskjunction.batch.documents import JobDocument
from damaskjunction.batch.jobs import JobState

UPLOAD_TIMEOUT_S = 3600.0


def is_expired(job: JobDocument, retention_s: float, wall_s: float) -> bool:
    """Return whether the retention period of a finished job is over."""
    if job["state"] == JobState.OPEN:
        return False
    finished_at = job.get("finished_at", wall_s)
    return wall_s - finished_at > retention_s


def is_abandoned(first_seen_s: float, now_s: float) -> bool:
    """Return whether an upload in progress timed out, by the local clock.

    ``first_seen_s`` is when the current version of the upload's record was first read.
    """
    return now_s - first_seen_s > UPLOAD_TIMEOUT_S
