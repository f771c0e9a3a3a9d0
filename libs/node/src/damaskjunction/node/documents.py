"""Kinds of stored objects, and the JSON documents of the host's own kinds."""

from __future__ import annotations

from typing import TypedDict

CONFIGURATION_KIND = "configuration"
CONFIGURATION_NAME = "current"
PLAN_KIND = "plan"
HOSTS_KIND = "hosts"
HOSTS_NAME = "list"
LEASE_KIND = "lease"
QUARANTINE_KIND = "quarantine"
CALL_KIND = "call"
JOB_KIND = "job"
QUEUE_KIND = "queue"
UPLOAD_KIND = "upload"
SEGMENT_KIND = "segment"
ITEMS_KIND = "items"
CHUNK_KIND = "chunk"
RESULTS_KIND = "results"
USAGE_KIND = "usage"
PEAK_KIND = "peak"
POOL_KIND = "pool"


class QuarantineDocument(TypedDict):
    """Times of conviction in seconds since the epoch, by request fingerprint."""

    convicted_since: dict[str, float]


class CallDocument(TypedDict):
    """Claim of a call under an idempotency key, with the stored response if any.

    ``claimed_at`` is in seconds since the epoch, ``status`` is 0 without a stored
    response, and ``body`` is base64-encoded.
    """

    state: str
    digest: str
    holder: str
    request_id: str
    claimed_at: float
    outcome: str
    status: int
    content_type: str
    body: str


class LeaseDocument(TypedDict):
    """Holder of a lease; the object's version is the fencing token."""

    holder: str
