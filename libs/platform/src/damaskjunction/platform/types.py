"""Protocol and results of the platform's object API under ``/v1/``."""

from __future__ import annotations

from typing import NamedTuple, Protocol

from damaskjunction.core import EntryHost, Revision, Runner


class StoredObject(NamedTuple):
    """Object as read, with the operation id of the write that produced it.

    Versions come from one counter for the whole store, so a later write of any object
    has a higher version.
    """

    kind: str
    name: str
    version: Revision
    value: bytes
    operation_id: str = ""


class ObjectList(NamedTuple):
    """Page of objects; ``after`` is the cursor of the next page, empty on the last."""

    objects: tuple[StoredObject, ...]
    after: str
    revision: Revision


class WatchResult(NamedTuple):
    """Changes of the objects of one kind since a revision.

    ``deleted`` holds the names of the deleted objects.
    """

    revision: Revision
    objects: tuple[StoredObject, ...]
    deleted: tuple[str, ...] = ()


class HostList(NamedTuple):
    """The platform's list of live and leaving hosts; it may be out of date."""

    revision: Revision
    hosts: tuple[EntryHost, ...]
    runners: tuple[Runner, ...]


class ObjectStore(Protocol):
    """The part of the platform's object API that the system uses.

    Every call may raise ``PlatformUnavailableError`` (the call had no effect), and a
    write may raise ``PlatformUnknownError`` (the write may have taken effect).
    """

    async def get(self, kind: str, name: str) -> StoredObject | None:
        """Return an object, or None if it does not exist."""

    async def put(
        self,
        kind: str,
        name: str,
        value: bytes,
        *,
        expected_version: Revision,
        operation_id: str,
    ) -> Revision:
        """Write an object if its version is ``expected_version`` (0: does not exist).

        Returns the new version. Raises ``ConflictError`` on a version mismatch.
        """

    async def delete(
        self, kind: str, name: str, *, expected_version: Revision, operation_id: str
    ) -> None:
        """Delete an object if its version is ``expected_version``."""

    async def list_objects(
        self, kind: str, *, prefix: str = "", after: str = "", limit: int = 100
    ) -> ObjectList:
        """Return one page of the objects of a kind, in order of name."""

    async def watch(
        self, kind: str, *, after_revision: Revision, timeout_s: float
    ) -> WatchResult:
        """Return the changes after a revision; long-polls for up to ``timeout_s``."""

    async def hosts(self, *, after_revision: Revision = 0) -> HostList | None:
        """Return the host list, or None if it is unchanged since ``after_revision``."""
