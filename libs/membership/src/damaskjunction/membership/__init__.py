"""Failure detection, gossip, and replication of control-plane documents.

The package makes decisions only: it does no input or output.
"""

from damaskjunction.membership.deltas import Delta, apply_delta, make_delta
from damaskjunction.membership.detector import MAX_DATAGRAM_BYTES, FailureDetector
from damaskjunction.membership.documents import (
    DocumentDelta,
    DocumentKey,
    DocumentReplicas,
    Fetch,
    HeldDocument,
)
from damaskjunction.membership.member_table import (
    WATCHERS_PER_DATA_CENTRE,
    MemberTable,
    choose_watchers,
)
from damaskjunction.membership.sources import choose_feed_sources
from damaskjunction.membership.types import (
    Datagram,
    DatagramKind,
    DocumentRevision,
    DocumentsAnnounced,
    Effect,
    Health,
    Member,
    MembersChanged,
    MemberState,
    MemberUpdate,
    Send,
    Timing,
    first_incarnation,
)
from damaskjunction.membership.view import FleetView, make_view

__all__ = [
    "MAX_DATAGRAM_BYTES",
    "WATCHERS_PER_DATA_CENTRE",
    "Datagram",
    "DatagramKind",
    "Delta",
    "DocumentDelta",
    "DocumentKey",
    "DocumentReplicas",
    "DocumentRevision",
    "DocumentsAnnounced",
    "Effect",
    "FailureDetector",
    "Fetch",
    "FleetView",
    "Health",
    "HeldDocument",
    "Member",
    "MemberState",
    "MemberTable",
    "MemberUpdate",
    "MembersChanged",
    "Send",
    "Timing",
    "apply_delta",
    "choose_feed_sources",
    "choose_watchers",
    "first_incarnation",
    "make_delta",
    "make_view",
]
