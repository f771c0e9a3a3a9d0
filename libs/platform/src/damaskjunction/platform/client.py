"""HTTP client of the platform's object API and host list under ``/v1/``.

``StoreClient`` is the client of the object API under ``/damaskjunction/objects``.
"""

from __future__ import annotations

import json
from collections.abc import Mapping
from typing import Any
from urllib.parse import quote, urlencode

from damaskjunction.core import (
    Address,
    ConflictError,
    PlatformUnavailableError,
    PlatformUnknownError,
    Revision,
    Timers,
)
from damaskjunction.core.types import EMPTY
from damaskjunction.http import (
    BrokenResponseError,
    ClientResponse,
    ConnectFailedError,
    HttpClient,
)
from damaskjunction.platform.documents import (
    ObjectDocument,
    decode_host_list,
)
from damaskjunction.platform.statuses import check_read, check_write
from damaskjunction.platform.types import (
    HostList,
    ObjectList,
    StoredObject,
    WatchResult,
)

DEFAULT_TIMEOUT_S = 2.0
OBJECT_VERSION_HEADER = "object-version"
OPERATION_ID_HEADER = "operation-id"


def _object_path(kind: str, name: str) -> str:
    return f"/v1/objects/{quote(kind, safe='')}/{quote(name, safe='')}"


def _decode_object(kind: str, document: ObjectDocument) -> StoredObject:
    return StoredObject(
        kind,
        document["name"],
        document["version"],
        document["value"].encode(),
        document["operation_id"],
    )


class PlatformClient:
    """HTTP client of the object API and the host list.

    Calls and watches use separate connections, so that a pending watch does not delay
    a call.

    Parameters
    ----------
    address : Address
        Address of the platform's service.
    timers : Timers
        The process's timer service.
    timeout_s : float, optional
        Seconds without receiving a byte after which a call times out.
    """

    def __init__(
        self,
        address: Address,
        timers: Timers,
        *,
        timeout_s: float = DEFAULT_TIMEOUT_S,
    ) -> None:
        self._address = address
        self._timeout_s = timeout_s
        self._calls = HttpClient(timers)
        self._watches = HttpClient(timers)
        self.n_calls = 0

    def close(self) -> None:
        """Close all connections."""
        self._calls.close()
        self._watches.close()

    async def get(self, kind: str, name: str) -> StoredObject | None:
        """Return an object, or None if it does not exist.

        Raises
        ------
        PlatformUnavailableError
            If the read failed.
        """
        response = await self._read("GET", _object_path(kind, name))
        body = await self._read_body(response)
        if response.status == 404:
            return None
        check_read(response.status)
        version = int(response.headers[OBJECT_VERSION_HEADER])
        operation_id = response.headers.get(OPERATION_ID_HEADER, "")
        return StoredObject(kind, name, version, body, operation_id)

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

        If the response to a write is lost, the object is read back and its operation id
        compared to determine whether the write took effect.

        Raises
        ------
        ConflictError
            If the object has another version.
        PlatformUnavailableError
            If the write had no effect.
        PlatformUnknownError
            If the write may have taken effect, or may still do so, and reading the
            object back did not show which.
        """
        try:
            response = await self._write(
                "PUT", _object_path(kind, name), value, expected_version, operation_id
            )
            body = await self._read_write_body(response)
            if response.status != 409:
                check_write(response.status)
        except PlatformUnknownError:
            return await self._resolve(kind, name, expected_version, operation_id)
        if response.status == 409:
            version = int(response.headers[OBJECT_VERSION_HEADER])
            writer = response.headers.get(OPERATION_ID_HEADER, "")
            if writer == operation_id:
                return version
            raise ConflictError(version, body, writer)
        return int(response.headers[OBJECT_VERSION_HEADER])

    async def delete(
        self, kind: str, name: str, *, expected_version: Revision, operation_id: str
    ) -> None:
        """Delete an object if its version is ``expected_version``.

        Raises
        ------
        ConflictError
            If the object has another version.
        PlatformUnavailableError
            If the call had no effect.
        PlatformUnknownError
            If the call may have taken effect.
        """
        response = await self._write(
            "DELETE", _object_path(kind, name), b"", expected_version, operation_id
        )
        body = await self._read_write_body(response)
        if response.status == 409:
            version = int(response.headers[OBJECT_VERSION_HEADER])
            raise ConflictError(
                version, body, response.headers.get(OPERATION_ID_HEADER, "")
            )
        check_write(response.status)

    async def list_objects(
        self, kind: str, *, prefix: str = "", after: str = "", limit: int = 100
    ) -> ObjectList:
        """Return one page of the objects of a kind, in order of name.

        Raises
        ------
        PlatformUnavailableError
            If the read failed.
        """
        query = urlencode({"prefix": prefix, "after": after, "limit": limit})
        target = f"/v1/objects/{quote(kind, safe='')}?{query}"
        document = await self._read_json(target)
        objects = tuple(_decode_object(kind, entry) for entry in document["objects"])
        return ObjectList(objects, document["after"], document["revision"])

    async def watch(
        self, kind: str, *, after_revision: Revision, timeout_s: float
    ) -> WatchResult:
        """Return the changes after a revision; long-polls for up to ``timeout_s``.

        Raises
        ------
        PlatformUnavailableError
            If the read failed.
        """
        query = urlencode({"after": after_revision, "timeout_s": timeout_s})
        target = f"/v1/watch/{quote(kind, safe='')}?{query}"
        document = await self._read_json(
            target, client=self._watches, stall_s=timeout_s + self._timeout_s
        )
        objects = tuple(_decode_object(kind, entry) for entry in document["objects"])
        return WatchResult(document["revision"], objects, tuple(document["deleted"]))

    async def hosts(self, *, after_revision: Revision = 0) -> HostList | None:
        """Return the host list, or None if it is unchanged since ``after_revision``.

        Raises
        ------
        PlatformUnavailableError
            If the read failed.
        """
        headers = {"If-None-Match": str(after_revision)} if after_revision else {}
        response = await self._read("GET", "/v1/hosts", headers=headers)
        body = await self._read_body(response)
        if response.status == 304:
            return None
        check_read(response.status)
        return decode_host_list(body)

    async def _resolve(
        self, kind: str, name: str, expected_version: Revision, operation_id: str
    ) -> Revision:
        """Determine whether a write without a response took effect."""
        try:
            stored = await self.get(kind, name)
        except PlatformUnavailableError as error:
            raise PlatformUnknownError(f"{kind}/{name}: {error}") from None
        if stored is not None and stored.operation_id == operation_id:
            return stored.version
        if stored is not None and stored.version != expected_version:
            raise ConflictError(stored.version, stored.value, stored.operation_id)
        raise PlatformUnknownError(f"{kind}/{name}: the write may still take effect")

    async def _read_json(
        self,
        target: str,
        *,
        client: HttpClient | None = None,
        stall_s: float | None = None,
    ) -> Any:
        response = await self._read("GET", target, client=client, stall_s=stall_s)
        body = await self._read_body(response)
        check_read(response.status)
        return json.loads(body)

    async def _read(
        self,
        method: str,
        target: str,
        *,
        client: HttpClient | None = None,
        stall_s: float | None = None,
        headers: Mapping[str, str] = EMPTY,
    ) -> ClientResponse:
        self.n_calls += 1
        try:
            return await (client or self._calls).send(
                self._address,
                method,
                target,
                headers=headers,
                stall_s=stall_s or self._timeout_s,
            )
        except (ConnectFailedError, BrokenResponseError) as error:
            raise PlatformUnavailableError(str(error)) from None

    async def _write(
        self,
        method: str,
        target: str,
        body: bytes,
        expected_version: Revision,
        operation_id: str,
    ) -> ClientResponse:
        self.n_calls += 1
        headers: Mapping[str, str] = {
            "If-Match": str(expected_version),
            OPERATION_ID_HEADER: operation_id,
        }
        try:
            return await self._calls.send(
                self._address,
                method,
                target,
                headers=headers,
                body=body,
                stall_s=self._timeout_s,
            )
        except ConnectFailedError as error:
            raise PlatformUnavailableError(str(error)) from None
        except BrokenResponseError as error:
            raise PlatformUnknownError(str(error)) from None

    async def _read_body(self, response: ClientResponse) -> bytes:
        try:
            return await response.read()
        except BrokenResponseError as error:
            raise PlatformUnavailableError(str(error)) from None

    async def _read_write_body(self, response: ClientResponse) -> bytes:
        try:
            return await response.read()
        except BrokenResponseError as error:
            raise PlatformUnknownError(str(error)) from None
