"""When stored jobs and uploads are deleted."""

from __future__ import annotations

from damaskjunction.batch.documents import JobDocument
from damaskjunction.batch.jobs import JobState

UPLOAD_LIMIT_S = 3600.0


def is_expired(job: JobDocument, retention_s: float, wall_s: float) -> bool:
    """Return whether a finished job's results may be deleted."""
    if job["state"] == JobState.OPEN:
        return False
    finished_at = job.get("finished_at", wall_s)
    return wall_s - finished_at > retention_s


def is_abandoned(first_seen_s: float, now_s: float) -> bool:
    """Return whether an upload in progress was given up; by this host's own clock."""
    return now_s - first_seen_s > UPLOAD_LIMIT_S
