"""Types of the membership protocol: members, updates, datagrams and effects."""

from __future__ import annotations

from collections.abc import Iterable
from enum import StrEnum
from typing import NamedTuple, TypeAlias

from damaskjunction.core import Address, EntryHost, HostId, HostState, Revision

# An incarnation is the start time in ms times this number, plus 1 per refutation.
REFUTATIONS_PER_START = 1 << 16


class MemberState(StrEnum):
    """Lifecycle state that a host reports; only advances within an incarnation."""

    STARTING = "starting"
    ALIVE = "alive"
    LEAVING = "leaving"


class Health(StrEnum):
    """Health of a host as its peers see it; only worsens within an incarnation."""

    OK = "ok"
    SUSPECT = "suspect"
    DEAD = "dead"


class DatagramKind(StrEnum):
    """Purpose of a datagram."""

    PING = "ping"
    ACK = "ack"
    PROBE_REQUEST = "probe"
    GOSSIP = "gossip"


class DocumentRevision(NamedTuple):
    """The revision of a control-plane document that a host holds."""

    kind: str
    name: str
    revision: Revision


class MemberUpdate(NamedTuple):
    """State of one host as gossiped among its peers.

    ``incarnation`` grows with each start of the host and each refutation; the higher
    one wins. The revisions are those active on the host. ``caller``, ``peer`` and
    ``probe`` are its addresses for callers, for other hosts and for datagrams, of the
    form ``ip:port``; like the location they are empty where the receiver is expected to
    know them.
    """

    host_id: HostId
    incarnation: int
    state: MemberState
    health: Health
    configuration_revision: Revision = 0
    plan_revision: Revision = 0
    region: str = ""
    data_centre: str = ""
    caller: str = ""
    peer: str = ""
    probe: str = ""


class Datagram(NamedTuple):
    """A message of the protocol; ``updates`` starts with the one about its sender.

    ``target`` is the host that should answer, or in an ``ACK`` the host that did.
    ``sequence`` matches an ``ACK`` to its probe; 0 if no probe waits for one.
    """

    kind: DatagramKind
    sequence: int
    target: HostId
    documents: tuple[DocumentRevision, ...]
    updates: tuple[MemberUpdate, ...]


class Member(NamedTuple):
    """Record of a host in the member table.

    ``listed_state`` is its state in the platform's host list, None if it is not listed.
    ``incarnation`` 0 means that the host is known from the list only.
    """

    host: EntryHost
    incarnation: int = 0
    state: MemberState = MemberState.ALIVE
    health: Health = Health.OK
    listed_state: HostState | None = None
    configuration_revision: Revision = 0
    plan_revision: Revision = 0

    @property
    def is_leaving(self) -> bool:
        """Whether the host itself or the host list reports that it is leaving."""
        is_listed_leaving = self.listed_state is HostState.LEAVING
        return is_listed_leaving or self.state is MemberState.LEAVING

    @property
    def is_dead(self) -> bool:
        """Whether the failure detector has declared the host dead."""
        return self.health is Health.DEAD


class Send(NamedTuple):
    """Effect: send a datagram to an address."""

    address: Address
    datagram: Datagram


class MembersChanged(NamedTuple):
    """Effect: the set of hosts, or the state of one of them, has changed."""


class DocumentsAnnounced(NamedTuple):
    """Effect: a host announced the document revisions that it holds."""

    host_id: HostId
    documents: tuple[DocumentRevision, ...]


Effect: TypeAlias = Send | MembersChanged | DocumentsAnnounced


class Timing(NamedTuple):
    """Periods, timeouts and limits of the protocol.

    Times are in seconds. The byte budget of gossip holds ``gossip_burst_bytes`` and is
    refilled by ``gossip_bytes_per_s``.
    ``pause_threshold_s`` is the time between two ticks above which the host counts as
    suspended in between, and ``isolation_timeout_s`` the time without any datagram
    after which it counts as isolated. ``report_period_s`` is the period of reports to
    the watchers. An unlisted host is removed after ``unlisted_retention_s``, or once it
    has been dead for ``tombstone_retention_s``. ``fan_out`` is the number of hosts
    that receive gossip per tick.
    """

    tick_s: float = 0.2
    probe_period_s: float = 1.0
    ack_timeout_s: float = 0.3
    suspicion_timeout_s: float = 3.0
    pause_threshold_s: float = 0.8
    isolation_timeout_s: float = 4.0
    report_period_s: float = 10.0
    unlisted_retention_s: float = 300.0
    tombstone_retention_s: float = 600.0
    fan_out: int = 3
    n_indirect_probes: int = 3
    gossip_bytes_per_s: float = 1000.0
    gossip_burst_bytes: float = 12_000.0


def start_epoch(incarnation: int) -> int:
    """Return the part of an incarnation that changes only when the host restarts."""
    return incarnation // REFUTATIONS_PER_START


def is_refutation(incarnation: int) -> bool:
    """Return whether an incarnation results from a refutation, not from a start."""
    return incarnation % REFUTATIONS_PER_START > 0


def first_incarnation(wall_s: float) -> int:
    """Return the incarnation of a host started at a wall-clock time in seconds.

    It is derived from the clock so that it grows across restarts without storage.
    """
    return int(wall_s * 1000) * REFUTATIONS_PER_START


def update_of(member: Member) -> MemberUpdate:
    """Return the full update about a member."""
    host = member.host
    return MemberUpdate(
        host.host_id,
        member.incarnation,
        member.state,
        member.health,
        member.configuration_revision,
        member.plan_revision,
        host.region,
        host.data_centre,
        str(host.caller),
        str(host.peer),
        str(host.probe),
    )


def host_of(update: MemberUpdate) -> EntryHost | None:
    """Return the host that an update describes, None if an address is not valid."""
    try:
        addresses = (update.caller, update.peer, update.probe)
        caller, peer, probe = map(Address.from_text, addresses)
    except ValueError:
        return None
    return EntryHost(
        update.host_id, update.region, update.data_centre, caller, peer, probe
    )


def without_addresses(update: MemberUpdate) -> MemberUpdate:
    """Return an update in short form, without location and addresses."""
    return update._replace(region="", data_centre="", caller="", peer="", probe="")


def estimate_bytes(updates: Iterable[MemberUpdate]) -> int:
    """Return an upper bound on the encoded size of updates, in bytes."""
    return sum(
        _UPDATE_OVERHEAD_BYTES + sum(map(_text_bytes, update)) for update in updates
    )


_UPDATE_OVERHEAD_BYTES = 16 * len(MemberUpdate._fields)


def _text_bytes(value: object) -> int:
    return len(value.encode()) if isinstance(value, str) else 0
