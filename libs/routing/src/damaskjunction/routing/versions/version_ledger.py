"""The record of the software versions of one service, and who may begin a stream."""

from __future__ import annotations

from typing import NamedTuple

from damaskjunction.core import ServiceName
from damaskjunction.routing.routes import RouteKind, RouteTable

CLOSE_DELAY_S = 2.0  # unlisted for so long, a version is closed
LAG_ALLOWANCE_S = 5.0  # of hosts that follow the listed versions and the records
MAX_REVIEW_GAP_S = 3.0  # after a longer one, this host was frozen: it counts anew


class ClosedVersion(NamedTuple):
    """A version that begins no stream; ``closing`` differs from closing to closing."""

    version: str
    closing: int


class VersionRecord(NamedTuple):
    """The versions that may have events in a stream that goes on.

    ``open_versions`` may begin streams, in the order in which they were announced;
    ``closed_versions`` no longer do, but streams that they began may live.
    """

    open_versions: tuple[str, ...] = ()
    closed_versions: tuple[ClosedVersion, ...] = ()
    n_closings: int = 0

    @property
    def versions(self) -> tuple[str, ...]:
        """All versions that the record names."""
        return (*self.open_versions, *(c.version for c in self.closed_versions))

    @property
    def sole_version(self) -> str | None:
        """The version of every stream that may live, None if that is not known."""
        versions = self.versions
        return versions[0] if len(versions) == 1 and versions[0] else None


def unknown_record(revision: int) -> VersionRecord:
    """Return the record of versions that are not known, as of a revision.

    Any version may have begun streams, so it is mixed until these have ended. No former
    closing has the number of the revision, since each was a change of the store.
    """
    return VersionRecord((), (ClosedVersion("", revision),), revision)


# Before the first record, a version that left since may have begun streams.
FIRST_RECORD = unknown_record(0)


class VersionLedger:
    """What one host knows of the versions of a service: the listed ones and the record.

    Two steps drop a version: once it is unlisted for ``CLOSE_DELAY_S`` it is closed,
    and once it is closed for as long as a stream may live it is dropped. A host whose
    record is older than that by less than a stream's life begins none in vain.
    """

    def __init__(self) -> None:
        self.record: VersionRecord | None = None
        self.revision = 0
        self.listed: frozenset[str] = frozenset()
        self._is_record_known = False
        self._reviewed_at_s = float("-inf")
        self._unlisted_since_by_version: dict[str, float] = {}
        self._closed_since: dict[ClosedVersion, float] = {}

    @property
    def is_mixed(self) -> bool:
        """Whether streams of several versions may live."""
        named = self.record.versions if self.record is not None else ()
        return len(self.listed.union(named)) > 1

    def may_begin(self, version: str) -> bool:
        """Return whether runners of a version may begin streams.

        A sole version may before the first record of the service is written.
        """
        if self.record is not None:
            return version in self.record.open_versions
        return self._is_record_known and self.listed == {version}

    def observe_listed(self, versions: frozenset[str]) -> bool:
        """Process the versions that are listed now; return whether they changed."""
        is_changed = versions != self.listed
        self.listed = versions
        return is_changed

    def observe_record(self, record: VersionRecord | None, revision: int) -> bool:
        """Process a record that was read or acknowledged; return whether it is news.

        None stands for a record that does not exist at the revision.
        """
        if self._is_record_known and (record is None or revision <= self.revision):
            return False
        self._is_record_known = True
        if record is not None:
            self.record, self.revision = record, revision
        return True

    def review(self, now_s: float, retention_s: float) -> VersionRecord | None:
        """Return the record that the home is to write, None if it stands.

        Parameters
        ----------
        now_s : float
            The present time of the ``Timers`` clock.
        retention_s : float
            Seconds for which a stream may live after the close of its version.
        """
        if now_s - self._reviewed_at_s > MAX_REVIEW_GAP_S:
            self._unlisted_since_by_version.clear()
            self._closed_since.clear()
        self._reviewed_at_s = now_s
        if not self._is_record_known or not (self.record or self.listed):
            return None
        record = self.record or FIRST_RECORD
        closing = self._versions_to_close(record, now_s)
        kept = self._closed_to_keep(record, now_s, retention_s)
        opening = sorted(self.listed.difference(record.open_versions))
        n_closings = record.n_closings + 1 if closing else record.n_closings
        desired = VersionRecord(
            (*(v for v in record.open_versions if v not in closing), *opening),
            (*kept, *(ClosedVersion(version, n_closings) for version in closing)),
            n_closings,
        )
        return desired if desired != self.record else None

    def _versions_to_close(self, record: VersionRecord, now_s: float) -> list[str]:
        since_by_version = self._unlisted_since_by_version
        for version in list(since_by_version):
            if version in self.listed or version not in record.open_versions:
                del since_by_version[version]
        for version in record.open_versions:
            if version not in self.listed:
                since_by_version.setdefault(version, now_s)
        return [
            version
            for version, at_s in since_by_version.items()
            if now_s - at_s >= CLOSE_DELAY_S
        ]

    def _closed_to_keep(
        self, record: VersionRecord, now_s: float, retention_s: float
    ) -> list[ClosedVersion]:
        closed_since = {
            closed: self._closed_since.get(closed, now_s)
            for closed in record.closed_versions
        }
        self._closed_since = closed_since
        return [
            closed
            for closed, at_s in closed_since.items()
            if closed.version not in self.listed and now_s - at_s < retention_s
        ]


def stream_lives(table: RouteTable) -> dict[ServiceName, float]:
    """Return for how long a closed version counts, in seconds, by service.

    Only services that have streams or items are named. A caller may take a stream up
    until its time is over, which is at most a whole attempt after the last one began.
    """
    lives_by_service: dict[ServiceName, float] = {}
    for routes in table.routes_by_host.values():
        for route in routes:
            if route.kind not in (RouteKind.STREAM, RouteKind.BATCH):
                continue
            timeout_s = route.timeout_s if route.kind is RouteKind.STREAM else 0.0
            life_s = 2.0 * timeout_s + LAG_ALLOWANCE_S
            for part in route.services:
                known_s = lives_by_service.get(part.service, 0.0)
                lives_by_service[part.service] = max(known_s, life_s)
    return lives_by_service
