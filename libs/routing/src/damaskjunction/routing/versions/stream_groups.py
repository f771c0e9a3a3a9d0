"""Which origins of streams are written to the store together, and over which object.

While several versions of a service may have streams, its home writes their origins to a
fixed number of objects, the groups, in turn. What a group holds is proof, whoever wrote
it and however late it was written; what none holds is unknown.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from damaskjunction.core import RequestId, Revision, ServiceName
from damaskjunction.routing.versions.stream_versions import (
    MAX_STREAMS_KNOWN,
    StreamOrigin,
)

N_GROUPS = 8
MAX_GROUP_STREAMS = MAX_STREAMS_KNOWN // N_GROUPS


class StoredGroup(NamedTuple):
    """A group as it is in the store: the version of each stream."""

    number: int
    revision: Revision
    version_by_id: Mapping[RequestId, str]


class GroupWrite(NamedTuple):
    """A group to be written if its revision is still ``revision``, 0 for none."""

    number: int
    revision: Revision
    version_by_id: Mapping[RequestId, str]


class _Pending(NamedTuple):
    version: str
    began_at_s: float


class StreamGroups:
    """The groups of one service, as its home knows them.

    Nothing is written before they have been read: after the loss of all hosts they hold
    all that is known of the streams before it.

    Parameters
    ----------
    life_s : float
        Seconds for which a stream may live; a group is kept for at least as long.
    """

    def __init__(self, life_s: float) -> None:
        self.is_known = False
        self._life_s = life_s
        self._revisions_by_number: dict[int, Revision] = {}
        self._ids_by_number: dict[int, frozenset[RequestId]] = {}
        self._pending_by_id: dict[RequestId, _Pending] = {}
        self._open_number: int | None = None
        self._opened_at_s = 0.0
        self._open_versions_by_id: dict[RequestId, str] = {}

    def add(self, origin: StreamOrigin, now_s: float) -> None:
        """Add the origin of a stream, unless it is stored already or is not proved."""
        request_id = origin.request_id
        is_stored = any(request_id in ids for ids in self._ids_by_number.values())
        if origin.is_proved and not is_stored:
            pending = _Pending(origin.software_version, now_s - origin.age_s)
            self._pending_by_id.setdefault(request_id, pending)

    def has_pending(self, now_s: float) -> bool:
        """Return whether there are origins of streams that live and aren't stored."""
        self._pending_by_id = {
            request_id: pending
            for request_id, pending in self._pending_by_id.items()
            if now_s - pending.began_at_s < self._life_s
        }
        return bool(self._pending_by_id)

    def observe_groups(self, groups: Iterable[StoredGroup]) -> None:
        """Process the groups that the store has."""
        self.is_known = True
        self._open_number = None
        self._revisions_by_number = {}
        self._ids_by_number = {}
        for group in groups:
            self._revisions_by_number[group.number] = group.revision
            self._observe_stored(group.number, group.version_by_id)

    def next_write(self, now_s: float) -> GroupWrite | None:
        """Return the group to write now, None if all origins are stored."""
        if not self.is_known or not self.has_pending(now_s):
            return None
        if self._open_number is None or self._is_open_group_over(now_s):
            self._open_next(now_s)
        assert self._open_number is not None
        version_by_id = dict(self._open_versions_by_id)
        for request_id, pending in self._pending_by_id.items():
            if len(version_by_id) >= MAX_GROUP_STREAMS:
                break
            version_by_id[request_id] = pending.version
        revision = self._revisions_by_number.get(self._open_number, 0)
        return GroupWrite(self._open_number, revision, version_by_id)

    def observe_written(self, write: GroupWrite, revision: Revision) -> None:
        """Process the acknowledgement of a write."""
        self._revisions_by_number[write.number] = revision
        self._observe_stored(write.number, write.version_by_id)
        if write.number == self._open_number:
            self._open_versions_by_id = dict(write.version_by_id)

    def observe_conflict(self, number: int, group: StoredGroup | None) -> None:
        """Process that a group has another revision, as an earlier write had effect.

        Parameters
        ----------
        number : int
            The number of the group.
        group : StoredGroup or None
            What the store has, None if the group is gone.
        """
        self._open_number = None
        self._revisions_by_number.pop(number, None)
        self._ids_by_number.pop(number, None)
        if group is not None:
            self._revisions_by_number[number] = group.revision
            self._observe_stored(number, group.version_by_id)

    def _observe_stored(
        self, number: int, version_by_id: Mapping[RequestId, str]
    ) -> None:
        self._ids_by_number[number] = frozenset(version_by_id)
        for request_id in version_by_id:
            self._pending_by_id.pop(request_id, None)

    def _is_open_group_over(self, now_s: float) -> bool:
        is_full = len(self._open_versions_by_id) >= MAX_GROUP_STREAMS
        return is_full or now_s - self._opened_at_s >= self._life_s / (N_GROUPS - 1)

    def _open_next(self, now_s: float) -> None:
        """Open the group that was written least lately."""
        revisions = self._revisions_by_number
        self._open_number = min(range(N_GROUPS), key=lambda n: revisions.get(n, 0))
        self._opened_at_s = now_s
        self._open_versions_by_id = {}


def stored_origins(
    service: ServiceName, groups: Iterable[StoredGroup]
) -> list[StreamOrigin]:
    """Return the origins that the groups of a service prove.

    A request that is named with two versions proves none.
    """
    versions_by_id: dict[RequestId, set[str]] = {}
    for group in groups:
        for request_id, version in group.version_by_id.items():
            versions_by_id.setdefault(request_id, set()).add(version)
    return [
        StreamOrigin(request_id, service, versions.pop(), "", 0, 0.0, is_proved=True)
        for request_id, versions in versions_by_id.items()
        if len(versions) == 1
    ]
