"""Client of the platform's object store, under ``/damaskjunction/objects``.

``PlatformClient`` is the client of the object API under ``/v1/``.
"""

from __future__ import annotations

import json
from collections.abc import Mapping
from typing import Any
from urllib.parse import quote, urlencode

from damaskjunction.core import PlatformUnavailableError, PlatformUnknownError, Revision
from damaskjunction.core.types import EMPTY
from damaskjunction.platform.statuses import check_read, check_write
from damaskjunction.platform.store_documents import (
    decode_object,
    decode_page,
    decode_watch,
)
from damaskjunction.platform.store_objects import (
    HistoryGoneError,
    ObjectChanges,
    ObjectConflictError,
    ObjectPage,
    PlatformObject,
)
from damaskjunction.platform.store_transport import (
    OBJECTS_PATH,
    StoreReply,
    StoreTransport,
)

CALL_STALL_TIMEOUT_S = 2.5
WATCH_STALL_MARGIN_S = 2.0


class StoreClient:
    """Client of the store's object API.

    Parameters
    ----------
    transport : StoreTransport
        Transport for the calls.
    """

    def __init__(self, transport: StoreTransport) -> None:
        self._transport = transport
        self.n_calls_by_result: dict[str, int] = {}

    async def get(self, kind: str, name: str) -> PlatformObject | None:
        """Return an object, or None if it does not exist.

        Raises
        ------
        PlatformUnavailableError
            If the read failed.
        """
        reply = await self._call("GET", _object_path(kind, name))
        if reply.status == 404:
            return None
        check_read(reply.status)
        return decode_object(kind, reply.body)

    async def list_page(
        self, kind: str, *, after: str = "", may_be_stale: bool = False
    ) -> ObjectPage:
        """Return a page of the objects of a kind, in order of name.

        ``after`` is the last name of the previous page. With ``may_be_stale`` the store
        may serve an outdated page.

        Raises
        ------
        PlatformUnavailableError
            If the read failed.
        """
        query: dict[str, str] = {}
        if after:
            query["After"] = after
        if may_be_stale:
            query["StaleOk"] = "1"
        reply = await self._call("GET", _object_path(kind, "", query))
        check_read(reply.status)
        return decode_page(kind, reply.body)

    async def list_all(self, kind: str) -> ObjectPage:
        """Return all objects of a kind.

        ``store_revision`` is that of the first page, so that a watch from it sees every
        change made while the pages were read.

        Raises
        ------
        PlatformUnavailableError
            If the read failed.
        """
        page = await self.list_page(kind)
        objects = list(page.objects)
        first_revision = page.store_revision
        while page.continue_after:
            page = await self.list_page(kind, after=page.continue_after)
            objects += page.objects
        return ObjectPage(tuple(objects), "", first_revision)

    async def watch(
        self, kind: str, *, since: Revision, wait_s: float
    ) -> ObjectChanges:
        """Return the changes of a kind after a revision.

        Long-polls for up to ``wait_s`` until there is a change.

        Raises
        ------
        HistoryGoneError
            If the store no longer has all changes since then.
        PlatformUnavailableError
            If the read failed.
        """
        query = {"Watch": str(since), "WaitMs": str(int(wait_s * 1000))}
        reply = await self._call(
            "GET", _object_path(kind, "", query), stall_s=wait_s + WATCH_STALL_MARGIN_S
        )
        if reply.status == 410:
            raise HistoryGoneError(
                f"{kind}: changes since revision {since} are no longer stored"
            )
        check_read(reply.status)
        return decode_watch(kind, reply.body)

    async def create(self, kind: str, name: str, content: Any) -> PlatformObject:
        """Create an object.

        Raises
        ------
        ObjectConflictError
            If an object of that name exists.
        PlatformUnavailableError
            If the call had no effect.
        PlatformUnknownError
            If the call may have taken effect, or may still do so.
        """
        document = {"Metadata": {"Name": name}, "Spec": content}
        return await self._write_object(
            "POST", kind, name, _object_path(kind, name), document
        )

    async def replace(
        self, kind: str, name: str, content: Any, *, revision: Revision
    ) -> PlatformObject:
        """Replace the content of an object if it has the given revision.

        Raises
        ------
        ObjectConflictError
            If the object has another revision or no longer exists.
        PlatformUnavailableError, PlatformUnknownError
            As for ``create``.
        """
        document = {"Metadata": {"Name": name, "Revision": revision}, "Spec": content}
        return await self._write_object(
            "PUT", kind, name, _object_path(kind, name), document
        )

    async def set_status(
        self, kind: str, name: str, status: Any, *, revision: Revision
    ) -> PlatformObject:
        """Replace the status of an object if it has the given revision.

        Raises as ``replace`` does.
        """
        document = {"Metadata": {"Name": name, "Revision": revision}, "Status": status}
        path = _object_path(kind, name) + "/status"
        return await self._write_object("PUT", kind, name, path, document)

    async def delete(self, kind: str, name: str) -> None:
        """Delete an object if it exists.

        Raises
        ------
        PlatformUnavailableError, PlatformUnknownError
            As for ``create``.
        """
        reply = await self._call("DELETE", _object_path(kind, name), is_write=True)
        if reply.status != 404:
            check_write(reply.status)

    async def _write_object(
        self, method: str, kind: str, name: str, path: str, document: Any
    ) -> PlatformObject:
        body = json.dumps(document, separators=(",", ":")).encode()
        reply = await self._call(method, path, body=body, is_write=True)
        if reply.status == 404:
            raise ObjectConflictError(f"{kind}/{name} does not exist", None)
        if reply.status == 409:
            # The object may be this call's own, written by a hedge of it.
            raise ObjectConflictError(
                f"{kind}/{name} has another revision or already exists",
                _read_written(kind, reply.body),
            )
        check_write(reply.status)
        return _read_written(kind, reply.body)

    async def _call(
        self,
        method: str,
        target: str,
        *,
        body: bytes = b"",
        is_write: bool = False,
        stall_s: float = CALL_STALL_TIMEOUT_S,
    ) -> StoreReply:
        call = _call_label(method, target)
        try:
            reply = await self._transport.send(method, target, body, stall_s)
        except PlatformUnavailableError:
            self._count(f"{call} unavailable")
            raise
        except PlatformUnknownError as error:
            self._count(f"{call} unknown")
            if is_write:
                raise
            raise PlatformUnavailableError(str(error)) from None
        self._count(f"{call} {reply.status}")
        return reply

    def _count(self, result: str) -> None:
        counts = self.n_calls_by_result
        counts[result] = counts.get(result, 0) + 1


def _read_written(kind: str, body: bytes) -> PlatformObject:
    """Return the object that a write was answered with.

    Raises
    ------
    PlatformUnknownError
        If it can't be read, so that it is not known what is stored.
    """
    try:
        return decode_object(kind, body)
    except PlatformUnavailableError as error:
        raise PlatformUnknownError(str(error)) from None


def _call_label(method: str, target: str) -> str:
    """Return the label under which a call is counted: method (or WATCH) and kind."""
    kind = target.removeprefix(OBJECTS_PATH + "/").partition("?")[0].partition("/")[0]
    return f"{'WATCH' if 'Watch=' in target else method} {kind}"


def _object_path(kind: str, name: str, query: Mapping[str, str] = EMPTY) -> str:
    path = f"{OBJECTS_PATH}/{quote(kind, safe='')}"
    if name:
        path += "/" + quote(name, safe="")
    return f"{path}?{urlencode(query)}" if query else path
