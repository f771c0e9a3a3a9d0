"""Stand-in for the platform's API: objects, watches, host list and weight store.

It serves the hosts of ``damaskjunction.node``.
"""

from __future__ import annotations

import asyncio
import bisect
from typing import Any, NamedTuple

from damaskjunction.core import Address, Timers
from damaskjunction.http import (
    HttpError,
    HttpServer,
    Request,
    Response,
    Routes,
    read_json,
    to_json_response,
)
from damaskjunction.standins.faults import Faults

MAX_VALUE_BYTES = 1024 * 1024
MAX_WATCH_S = 30.0


class _StoredObject(NamedTuple):
    version: int
    value: bytes
    operation_id: str


class _HostListSnapshot(NamedTuple):
    published_at_s: float
    document: dict[str, Any]


class PlatformStandin:
    """In-memory object API, host list and weight store.

    Faults: ``down`` (1: connections are aborted), ``slow_s`` (delay of each call),
    ``lose_answers`` (the next n writes take effect but get no response),
    ``hosts_lag_s`` (age at which a published host list becomes visible),
    ``calls_per_s`` (rate limit with a burst of 1 s; 0 is no limit),
    ``weights_gb_per_s`` (bandwidth of the weight store, which serves one download at a
    time; 0 is no limit).
    """

    def __init__(self, address: Address, timers: Timers) -> None:
        self._timers = timers
        self._revision = 0
        self._objects_by_kind: dict[str, dict[str, _StoredObject]] = {}
        self._deleted_by_kind: dict[str, dict[str, int]] = {}
        self._changed = asyncio.Event()
        self._host_lists: list[_HostListSnapshot] = []
        self._counts_by_call: dict[str, int] = {}
        self._rate_tokens = 0.0
        self._rate_refilled_at_s = timers.now()
        self.faults = Faults(
            "down",
            "slow_s",
            "lose_answers",
            "hosts_lag_s",
            "calls_per_s",
            "weights_gb_per_s",
        )
        self._weights_free_at_s = timers.now()
        self._server = HttpServer(address, self._handle)
        self._routes = self._make_routes()

    async def start(self) -> None:
        """Start to listen and serve."""
        await self._server.start()

    async def close(self) -> None:
        """Stop serving."""
        await self._server.close()

    def _make_routes(self) -> Routes:
        routes = Routes()
        self.faults.register(routes)
        routes.register("GET", "/v1/objects/{kind}/{name}")(self._get)
        routes.register("PUT", "/v1/objects/{kind}/{name}")(self._put)
        routes.register("DELETE", "/v1/objects/{kind}/{name}")(self._delete)
        routes.register("GET", "/v1/objects/{kind}")(self._list)
        routes.register("GET", "/v1/watch/{kind}")(self._watch)
        routes.register("GET", "/v1/hosts")(self._get_hosts)
        routes.register("PUT", "/test/hosts")(self._put_hosts)
        routes.register("GET", "/test/counts")(self._get_counts)
        routes.register("GET", "/weights/{model}/{version}")(self._get_weights)
        return routes

    async def _handle(self, request: Request) -> Response:
        if request.path.startswith(("/test/", "/weights/")):
            return await self._routes.handle(request)
        if self.faults["down"]:
            raise ConnectionResetError("outage")
        self._count(request)
        self._take_rate_token()
        if self.faults["slow_s"]:
            await asyncio.sleep(self.faults["slow_s"])
        response = await self._routes.handle(request)
        if request.method != "GET" and self.faults.consume("lose_answers"):
            raise ConnectionResetError("injected fault: response lost")
        if self.faults["down"]:
            raise ConnectionResetError("outage")
        return response

    def _count(self, request: Request) -> None:
        verb = "WATCH" if "/watch/" in request.path else request.method
        kind = request.path.split("/")[3] if request.path.count("/") > 2 else "hosts"
        call = f"{verb} {kind}"
        self._counts_by_call[call] = self._counts_by_call.get(call, 0) + 1

    def _take_rate_token(self) -> None:
        limit = self.faults["calls_per_s"]
        if not limit:
            return
        now_s = self._timers.now()
        refill = (now_s - self._rate_refilled_at_s) * limit
        self._rate_tokens = min(limit, self._rate_tokens + refill)
        self._rate_refilled_at_s = now_s
        if self._rate_tokens < 1:
            raise HttpError(429, "rate_limited")
        self._rate_tokens -= 1

    def _objects(self, kind: str) -> dict[str, _StoredObject]:
        return self._objects_by_kind.setdefault(kind, {})

    async def _get(self, request: Request, kind: str, name: str) -> Response:
        stored = self._objects(kind).get(name)
        if stored is None:
            raise HttpError(404, "no_such_object")
        return _to_response(stored)

    async def _put(self, request: Request, kind: str, name: str) -> Response:
        value = await request.body.read()
        if len(value) > MAX_VALUE_BYTES:
            raise HttpError(413, "value_too_large")
        conflict = self._find_conflict(request, kind, name)
        if conflict is not None:
            return conflict
        operation_id = request.headers.get("operation-id", "")
        self._revision += 1
        stored = _StoredObject(self._revision, value, operation_id)
        self._objects(kind)[name] = stored
        self._deleted_by_kind.setdefault(kind, {}).pop(name, None)
        self._notify_watches()
        return _to_response(stored._replace(value=b""))

    async def _delete(self, request: Request, kind: str, name: str) -> Response:
        conflict = self._find_conflict(request, kind, name)
        if conflict is not None:
            return conflict
        self._revision += 1
        self._objects(kind).pop(name, None)
        self._deleted_by_kind.setdefault(kind, {})[name] = self._revision
        self._notify_watches()
        return to_json_response({})

    def _find_conflict(self, request: Request, kind: str, name: str) -> Response | None:
        expected = int(request.headers.get("if-match", "0"))
        stored = self._objects(kind).get(name, _StoredObject(0, b"", ""))
        if stored.version == expected:
            return None
        return _to_response(stored)._replace(status=409)

    def _notify_watches(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def _list(self, request: Request, kind: str) -> Response:
        prefix = request.query.get("prefix", "")
        after = request.query.get("after", "")
        limit = int(request.query.get("limit", "100"))
        objects = self._objects(kind)
        names = sorted(name for name in objects if name.startswith(prefix))
        names = names[bisect.bisect_right(names, after) :] if after else names
        page = names[:limit]
        document = {
            "objects": [_to_document(name, objects[name]) for name in page],
            "after": page[-1] if len(names) > limit else "",
            "revision": self._revision,
        }
        return to_json_response(document)

    async def _watch(self, request: Request, kind: str) -> Response:
        after = int(request.query.get("after", "0"))
        timeout_s = min(MAX_WATCH_S, float(request.query.get("timeout_s", "10")))
        end_s = self._timers.now() + timeout_s
        document = self._changes_since(kind, after)
        while not (document["objects"] or document["deleted"]):
            changed = self._changed
            try:
                async with asyncio.timeout(end_s - self._timers.now()):
                    await changed.wait()
            except TimeoutError:
                break
            document = self._changes_since(kind, after)
        return to_json_response(document)

    def _changes_since(self, kind: str, after: int) -> dict[str, Any]:
        objects = self._objects(kind)
        deleted = self._deleted_by_kind.get(kind, {})
        return {
            "revision": self._revision,
            "objects": [
                _to_document(name, stored)
                for name, stored in objects.items()
                if stored.version > after
            ],
            "deleted": [name for name, version in deleted.items() if version > after],
        }

    async def _get_hosts(self, request: Request) -> Response:
        until_s = self._timers.now() - self.faults["hosts_lag_s"]
        published = [
            entry for entry in self._host_lists if entry.published_at_s <= until_s
        ]
        empty = {"revision": 0, "hosts": [], "runners": []}
        document = published[-1].document if published else empty
        if request.headers.get("if-none-match") == str(document["revision"]):
            return Response(304)
        return to_json_response(document)

    async def _put_hosts(self, request: Request) -> Response:
        document = await read_json(request)
        document["revision"] = len(self._host_lists) + 1
        self._host_lists.append(_HostListSnapshot(self._timers.now(), document))
        return to_json_response({"revision": document["revision"]})

    async def _get_weights(
        self, request: Request, model: str, version: str
    ) -> Response:
        rate = self.faults["weights_gb_per_s"]
        if rate:
            duration_s = float(request.query.get("gb", "1")) / rate
            start_s = max(self._timers.now(), self._weights_free_at_s)
            self._weights_free_at_s = start_s + duration_s
            await asyncio.sleep(self._weights_free_at_s - self._timers.now())
        return to_json_response({"model": model, "version": version})

    async def _get_counts(self, request: Request) -> Response:
        return to_json_response(self._counts_by_call)


def _to_response(stored: _StoredObject) -> Response:
    headers = {
        "Object-Version": str(stored.version),
        "Operation-Id": stored.operation_id,
    }
    return Response(200, stored.value, "application/octet-stream", headers)


def _to_document(name: str, stored: _StoredObject) -> dict[str, Any]:
    return {
        "name": name,
        "version": stored.version,
        "value": stored.value.decode(),
        "operation_id": stored.operation_id,
    }
