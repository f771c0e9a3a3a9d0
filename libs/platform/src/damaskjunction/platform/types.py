"""Values that the platform's object API takes and returns."""

from __future__ import annotations

from typing import NamedTuple, Protocol

from damaskjunction.core import EntryHost, Revision, Runner


class StoredObject(NamedTuple):
    """An object as read: its name, version, value and who wrote it.

    Versions come from one counter of the whole store, so a later write of any object
    has a higher version.
    """

    kind: str
    name: str
    version: Revision
    value: bytes
    operation_id: str = ""


class ObjectList(NamedTuple):
    """One page of objects; ``after`` continues the listing, empty at its end."""

    objects: tuple[StoredObject, ...]
    after: str
    revision: Revision


class WatchResult(NamedTuple):
    """What changed in one kind since a revision.

    ``deleted`` names objects that are gone.
    """

    revision: Revision
    objects: tuple[StoredObject, ...]
    deleted: tuple[str, ...] = ()


class HostList(NamedTuple):
    """The platform's list of live and leaving hosts, which lags."""

    revision: Revision
    hosts: tuple[EntryHost, ...]
    runners: tuple[Runner, ...]


class ObjectStore(Protocol):
    """The platform's object API, as the system uses it.

    Every call may raise ``PlatformUnavailableError`` (it had no effect), and a write
    may raise ``PlatformUnknownError`` (it may have had).
    """

    async def get(self, kind: str, name: str) -> StoredObject | None:
        """Return an object, None when there is none."""

    async def put(
        self,
        kind: str,
        name: str,
        value: bytes,
        *,
        expected_version: Revision,
        operation_id: str,
    ) -> Revision:
        """Write an object if it is at ``expected_version`` (0: absent).

        Returns the new version. Raises ``ConflictError`` when it is not.
        """

    async def delete(
        self, kind: str, name: str, *, expected_version: Revision, operation_id: str
    ) -> None:
        """Delete an object if it is at ``expected_version``."""

    async def list_objects(
        self, kind: str, *, prefix: str = "", after: str = "", limit: int = 100
    ) -> ObjectList:
        """Return objects of a kind by name, one page."""

    async def watch(
        self, kind: str, *, after_revision: Revision, timeout_s: float
    ) -> WatchResult:
        """Return what changed after a revision, waiting at most ``timeout_s``."""

    async def hosts(self, *, after_revision: Revision = 0) -> HostList | None:
        """Return the list of hosts, None when it is still at a known revision."""
