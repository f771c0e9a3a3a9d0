"""Messages of membership and of the control plane's documents.

Membership's messages are defined in that library and only registered here.
"""

from __future__ import annotations

from typing import NamedTuple

from damaskjunction.core import DataCentre, Revision
from damaskjunction.membership import Datagram, DocumentRevision, MemberUpdate
from damaskjunction.wire.codec import register_message
from damaskjunction.wire.messages import HostStatus

for _message_type in (DocumentRevision, MemberUpdate, Datagram):
    register_message(_message_type)


@register_message
class MembersQuery(NamedTuple):
    """Asks a host for its complete member list."""


@register_message
class MemberList(NamedTuple):
    """The complete member list of a host, its own entry first."""

    updates: tuple[MemberUpdate, ...]


@register_message
class DocumentQuery(NamedTuple):
    """Asks a host for a revision of a document newer than ``base_revision``."""

    kind: str
    name: str
    base_revision: Revision


@register_message
class DocumentText(NamedTuple):
    """A document as a delta to ``base_revision``; revision 0: nothing newer is held.

    ``middle``, compressed by zlib, goes between the first ``n_prefix`` and the last
    ``n_suffix`` bytes of the base.
    """

    kind: str
    name: str
    revision: Revision
    base_revision: Revision
    n_prefix: int
    n_suffix: int
    middle: bytes


@register_message
class DataCentreQuery(NamedTuple):
    """Asks a host for the active revisions in its data centre."""


@register_message
class DataCentreStatus(NamedTuple):
    """The active revisions on the hosts of a data centre."""

    data_centre: DataCentre
    hosts: tuple[HostStatus, ...]


@register_message
class StoreCall(NamedTuple):
    """Asks a host to forward a call to the platform's store.

    A host that can't reach the store itself sends it. ``stall_s`` is the stall timeout
    in seconds: the longest wait for the next byte of the response.
    """

    method: str
    target: str
    body: bytes
    stall_s: float


@register_message
class StoreAnswer(NamedTuple):
    """The response of the platform's store."""

    status: int
    body: bytes
