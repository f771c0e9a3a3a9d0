"""Messages of membership and of the control plane's documents.

Membership's messages are defined by that library; here they are entered for encoding.
"""

from __future__ import annotations

from typing import NamedTuple

from damaskjunction.core import DataCentre, Revision
from damaskjunction.membership import Datagram, DocumentRevision, Rumour
from damaskjunction.wire.codec import register_message
from damaskjunction.wire.messages import HostStatus

for _message_type in (DocumentRevision, Rumour, Datagram):
    register_message(_message_type)


@register_message
class MembersQuery(NamedTuple):
    """Asks a host for its whole list of members."""


@register_message
class MemberList(NamedTuple):
    """A host's whole list of members, its own entry first."""

    rumours: tuple[Rumour, ...]


@register_message
class DocumentQuery(NamedTuple):
    """Asks a host for a document newer than a revision that the asker holds."""

    kind: str
    name: str
    base_revision: Revision


@register_message
class DocumentText(NamedTuple):
    """A document as a change of a revision; revision 0 when nothing newer is held.

    ``middle``, compressed by zlib, stands between the first ``n_prefix`` and the last
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
    """Asks a host what is in force in its data centre."""


@register_message
class DataCentreStatus(NamedTuple):
    """What is in force on the hosts of a data centre."""

    data_centre: DataCentre
    hosts: tuple[HostStatus, ...]


@register_message
class StoreCall(NamedTuple):
    """Asks a host to make a call to the platform's store for one that can't reach it.

    ``stall_s`` is how long to wait for a byte of the answer, in seconds.
    """

    method: str
    target: str
    body: bytes
    stall_s: float


@register_message
class StoreAnswer(NamedTuple):
    """What the platform's store answered."""

    status: int
    body: bytes
