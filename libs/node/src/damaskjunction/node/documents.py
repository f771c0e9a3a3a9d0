"""JSON documents of the host's own kinds of objects."""

from __future__ import annotations

from typing import TypedDict

CONFIGURATION_KIND = "configuration"
CONFIGURATION_NAME = "current"
PLAN_KIND = "plan"
HOSTS_KIND = "hosts"
HOSTS_NAME = "list"
LEASE_KIND = "lease"
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


class LeaseDocument(TypedDict):
    """Who holds a lease; the object's version is the fencing number."""

    holder: str
