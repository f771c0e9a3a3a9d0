"""JSON documents of the host's own kinds of objects."""

from __future__ import annotations

from typing import TypedDict

CONFIGURATION_KIND = "configuration"
CONFIGURATION_NAME = "current"
PLAN_KIND = "plan"
LEASE_KIND = "lease"
JOB_KIND = "job"
ITEMS_KIND = "items"
CLAIM_KIND = "claim"
RESULTS_KIND = "results"
QUARANTINE_KIND = "quarantine"
CALL_KIND = "call"


class QuarantineDocument(TypedDict):
    """Convicted requests: seconds since the epoch, by fingerprint."""

    convicted_since: dict[str, float]


class LeaseDocument(TypedDict):
    """Who holds a lease; the object's version is the fencing number."""

    holder: str
