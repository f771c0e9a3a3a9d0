"""The member table, built from updates and the platform's host list."""

from __future__ import annotations

from collections.abc import Iterable

from damaskjunction.core import (
    DataCentre,
    EntryHost,
    HostId,
    HostState,
    rendezvous_order,
)
from damaskjunction.membership.merging import merge_update
from damaskjunction.membership.types import (
    Health,
    Member,
    MemberState,
    MemberUpdate,
    Timing,
)

WATCHERS_PER_DATA_CENTRE = 2


class MemberTable:
    """All hosts known to this host, except itself.

    A listed host is a member even before any update about it arrives. A host that is
    no longer listed stays for a bounded time; while it is alive, the next update that
    holds its addresses adds it again.

    Parameters
    ----------
    own_id : str
        Id of this host.
    timing : Timing
        How long unlisted and dead hosts are kept.
    """

    def __init__(self, own_id: HostId, timing: Timing) -> None:
        self._own_id = own_id
        self._timing = timing
        self.members_by_id: dict[HostId, Member] = {}
        self._unlisted_since_by_id: dict[HostId, float] = {}
        self._dead_since_by_id: dict[HostId, float] = {}

    def put(self, member: Member, now_s: float) -> bool:
        """Store a member; return whether its routing state changed."""
        host_id = member.host.host_id
        old = self.members_by_id.get(host_id)
        self.members_by_id[host_id] = member
        if member.listed_state is None:
            self._unlisted_since_by_id.setdefault(host_id, now_s)
        if member.is_dead:
            self._dead_since_by_id.setdefault(host_id, now_s)
        else:
            self._dead_since_by_id.pop(host_id, None)
        return old is None or _routing_state(old) != _routing_state(member)

    def merge(self, update: MemberUpdate, now_s: float) -> bool | None:
        """Merge an update; return None if nothing changed, else as ``put``.

        An update of the death of an unknown host is ignored.
        """
        old = self.members_by_id.get(update.host_id)
        if old is None and update.health is Health.DEAD:
            return None
        member = merge_update(old, update)
        if member is None or member == old:
            return None
        return self.put(member, now_s)

    def apply_host_list(self, hosts: Iterable[EntryHost], now_s: float) -> bool:
        """Apply the platform's host list; return whether any routing state changed."""
        is_changed = False
        listed_by_id = {host.host_id: host for host in hosts}
        listed_by_id.pop(self._own_id, None)
        for host_id, host in listed_by_id.items():
            old = self.members_by_id.get(host_id)
            record = host._replace(state=HostState.LIVE)
            if old is None or (old.incarnation == 0 and old.host != record):
                member = Member(record, listed_state=host.state)
            else:
                member = old._replace(listed_state=host.state)
            self._unlisted_since_by_id.pop(host_id, None)
            is_changed |= self.put(member, now_s)
        for host_id in self.members_by_id.keys() - listed_by_id.keys():
            member = self.members_by_id[host_id]._replace(listed_state=None)
            is_changed |= self.put(member, now_s)
        return self._remove_expired(now_s) or is_changed

    def _remove_expired(self, now_s: float) -> bool:
        """Remove the unlisted hosts whose retention time, as in ``Timing``, is over."""
        expired = [
            host_id
            for host_id, since_s in self._unlisted_since_by_id.items()
            if now_s - since_s > self._timing.unlisted_retention_s
            or now_s - self._dead_since_by_id.get(host_id, now_s)
            > self._timing.tombstone_retention_s
        ]
        for host_id in expired:
            del self.members_by_id[host_id]
            del self._unlisted_since_by_id[host_id]
            self._dead_since_by_id.pop(host_id, None)
        return bool(expired)

    def non_dead_members(self) -> list[Member]:
        """Return the members that are not dead, sorted by id."""
        members = sorted(self.members_by_id.items())
        return [member for _, member in members if not member.is_dead]

    def started_hosts(self) -> list[EntryHost]:
        """Return the hosts that serve or drain, with their state.

        Hosts that are dead or still starting are left out.
        """
        return [
            member.host._replace(
                state=HostState.LEAVING if member.is_leaving else HostState.LIVE
            )
            for member in self.non_dead_members()
            if member.state is not MemberState.STARTING
        ]

    def watchers(self, own: Member, data_centre: DataCentre) -> list[Member]:
        """Return the members that watch the platform for a data centre.

        ``own`` is this host, which the table does not hold.
        """
        members_by_id = {**self.members_by_id, self._own_id: own}
        watcher_ids = choose_watchers(members_by_id.values(), data_centre)
        return [members_by_id[name] for name in watcher_ids[:WATCHERS_PER_DATA_CENTRE]]


def _routing_state(member: Member) -> tuple[object, ...]:
    """Return the properties of a member that affect routing."""
    is_dead = member.is_dead
    return (
        member.host,
        member.state,
        is_dead,
        member.listed_state,
        member.incarnation == 0,
    )


def choose_watchers(members: Iterable[Member], data_centre: DataCentre) -> list[HostId]:
    """Return the candidate platform watchers of a data centre, in rendezvous order.

    The first ``WATCHERS_PER_DATA_CENTRE`` are the watchers; the rest are standbys.
    """
    candidates = [
        (member.host.host_id, 1.0)
        for member in members
        if member.host.data_centre == data_centre
        and not (member.is_dead or member.is_leaving)
    ]
    return rendezvous_order(f"watch/{data_centre}", candidates)
