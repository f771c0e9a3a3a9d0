"""Stand-in for the platform's object store, which speaks its published protocol.

It serves the hosts of ``damaskjunction.gateway``.
"""

from __future__ import annotations

import asyncio
import json
from typing import Any, NamedTuple
from urllib.parse import unquote

from damaskjunction.core import Address, Timers
from damaskjunction.http import (
    HttpServer,
    Request,
    Response,
    read_json,
    to_json_response,
)
from damaskjunction.standins.faults import Faults

OBJECTS_PATH = "/damaskjunction/objects/"
MAX_PAGE_ITEMS = 500
MAX_WATCH_S = 30.0


class _StoredObject(NamedTuple):
    revision: int
    create_revision: int
    spec: Any
    status: Any


class _ChangeEvent(NamedTuple):
    revision: int
    kind: str
    name: str
    stored: _StoredObject
    is_removed: bool


class StoreStandin:
    """In-memory objects by kind and name, with conditional writes and watches.

    Faults: ``down`` (1: connections are aborted), ``refuse`` (1: every call gets status
    503), ``read_only`` (1: every write gets status 503), ``slow_s`` (delay of each
    response), ``lose_answers`` (the next n writes take effect but get no response),
    ``no_history`` (the next n watches get status 410, as if their revision were no
    longer in the history).

    Parameters
    ----------
    address : Address
        Address to listen on.
    timers : Timers
        The process's timer service.
    """

    def __init__(self, address: Address, timers: Timers) -> None:
        self._timers = timers
        self._revision = 1
        self._objects_by_kind: dict[str, dict[str, _StoredObject]] = {}
        self._texts_by_marker: dict[str, bytes] = {}
        self._events: list[_ChangeEvent] = []
        self._changed = asyncio.Event()
        self.n_calls = 0
        self._n_watch_aborts = 0
        self.faults = Faults(
            "down", "refuse", "read_only", "slow_s", "lose_answers", "no_history"
        )
        self._server = HttpServer(address, self._serve)

    async def start(self) -> None:
        """Start to listen and serve."""
        await self._server.start()

    async def close(self) -> None:
        """Stop serving."""
        await self._server.close()

    def put(self, kind: str, name: str, spec: Any) -> int:
        """Write an object's spec as operators and runners do; return its revision."""
        existing = self._objects(kind).get(name)
        status = existing.status if existing is not None else None
        return self._put_object(kind, name, spec, status).revision

    def put_text(self, kind: str, name: str, text: bytes) -> None:
        """Write an object whose spec is given as it is sent, valid JSON or not."""
        marker = f"text {len(self._texts_by_marker)}"
        self._texts_by_marker[marker] = text
        self.put(kind, name, marker)

    def _respond(self, document: Any, *, status: int = 200) -> Response:
        """Return a response in which markers stand for their texts no more."""
        response = to_json_response(document, status=status)
        assert isinstance(response.body, bytes)
        body = response.body
        for marker, text in self._texts_by_marker.items():
            body = body.replace(json.dumps(marker).encode(), text)
        return Response(status, body, response.content_type)

    def remove(self, kind: str, name: str) -> None:
        """Remove an object."""
        stored = self._objects(kind).pop(name)
        self._revision += 1
        self._append_event(_ChangeEvent(self._revision, kind, name, stored, True))

    def names(self, kind: str) -> list[str]:
        """Return the names of the objects of a kind."""
        return sorted(self._objects(kind))

    def spec(self, kind: str, name: str) -> Any:
        """Return the spec of an object."""
        return self._objects(kind)[name].spec

    def status(self, kind: str, name: str) -> Any:
        """Return the status of an object."""
        return self._objects(kind)[name].status

    async def _serve(self, request: Request) -> Response:
        if self.faults["down"]:
            raise ConnectionResetError("outage")
        self.n_calls += 1
        is_write = request.method != "GET"
        if self.faults["refuse"] or (is_write and self.faults["read_only"]):
            return Response(503)
        if self.faults["slow_s"]:
            await asyncio.sleep(self.faults["slow_s"])
        kind, _, rest = request.path.removeprefix(OBJECTS_PATH).partition("/")
        name, _, subresource = rest.partition("/")
        response = await self._dispatch(request, kind, unquote(name), subresource)
        if request.method != "GET" and self.faults.consume("lose_answers"):
            raise ConnectionResetError("injected fault: response lost")
        if self.faults["down"]:
            raise ConnectionResetError("outage")
        return response

    async def _dispatch(
        self, request: Request, kind: str, name: str, subresource: str
    ) -> Response:
        if request.method != "GET":
            return await self._write(request, kind, name, subresource)
        if name:
            stored = self._objects(kind).get(name)
            if stored is None:
                return Response(404)
            return self._respond(_to_document(name, stored))
        if "Watch" in request.query:
            return await self._watch(request, kind)
        return self._list(request, kind)

    async def _write(
        self, request: Request, kind: str, name: str, subresource: str
    ) -> Response:
        existing = self._objects(kind).get(name)
        if request.method == "DELETE":
            if existing is None:
                return Response(404)
            self.remove(kind, name)
            return self._respond(_to_document(name, existing))
        document = await read_json(request)
        if request.method == "POST":
            return self._create(kind, name, document["Spec"])
        if existing is None:
            return Response(404)
        expected_revision = document["Metadata"].get("Revision")
        if expected_revision is not None and expected_revision != existing.revision:
            return self._respond(_to_document(name, existing), status=409)
        if subresource == "status":
            stored = self._put_object(kind, name, existing.spec, document["Status"])
        else:
            stored = self._put_object(kind, name, document["Spec"], existing.status)
        return self._respond(_to_document(name, stored))

    def _create(self, kind: str, name: str, spec: Any) -> Response:
        existing = self._objects(kind).get(name)
        if existing is not None:
            return self._respond(_to_document(name, existing), status=409)
        return self._respond(
            _to_document(name, self._put_object(kind, name, spec, None))
        )

    def _list(self, request: Request, kind: str) -> Response:
        after = request.query.get("After", "")
        objects = self._objects(kind)
        names = [name for name in sorted(objects) if name > after]
        page = names[:MAX_PAGE_ITEMS]
        document = {
            "Items": [_to_document(name, objects[name]) for name in page],
            "HasMore": len(names) > len(page),
            "CurrentRev": self._revision,
        }
        return self._respond(document)

    async def _watch(self, request: Request, kind: str) -> Response:
        if self.faults.consume("no_history"):
            return Response(410)
        since = int(request.query["Watch"])
        wait_s = min(MAX_WATCH_S, int(request.query.get("WaitMs", "0")) / 1000.0)
        end_s = self._timers.now() + wait_s
        n_watch_aborts = self._n_watch_aborts
        while not (events := self._events_since(kind, since)):
            changed = self._changed
            try:
                async with asyncio.timeout(end_s - self._timers.now()):
                    await changed.wait()
            except TimeoutError:
                break
            if self._n_watch_aborts != n_watch_aborts:
                raise ConnectionResetError("injected fault: watch aborted")
            if self.faults["refuse"]:
                return Response(503)
        document = {
            "events": [
                {
                    "Removed": event.is_removed,
                    "Object": _to_document(event.name, event.stored),
                }
                for event in events
            ],
            "CurrentRev": self._revision,
        }
        return self._respond(document)

    def _events_since(self, kind: str, since: int) -> list[_ChangeEvent]:
        return [e for e in self._events if e.kind == kind and e.revision > since]

    def _objects(self, kind: str) -> dict[str, _StoredObject]:
        return self._objects_by_kind.setdefault(kind, {})

    def _put_object(
        self, kind: str, name: str, spec: Any, status: Any
    ) -> _StoredObject:
        existing = self._objects(kind).get(name)
        if existing is not None and existing.spec == spec and existing.status == status:
            return existing
        self._revision += 1
        create_revision = (
            existing.create_revision if existing is not None else self._revision
        )
        stored = _StoredObject(self._revision, create_revision, spec, status)
        self._objects(kind)[name] = stored
        self._append_event(_ChangeEvent(self._revision, kind, name, stored, False))
        return stored

    def put_without_event(self, kind: str, name: str, spec: Any) -> None:
        """Write an object, clear the history of events and abort all open watches.

        No watch reports the write: only a new list shows it.
        """
        self.put(kind, name, spec)
        self._events.clear()
        self._n_watch_aborts += 1

    def refuse_calls(self) -> None:
        """Respond with status 503 to every call from now on and to all open watches."""
        self.faults["refuse"] = 1
        self._notify_watches()

    def _append_event(self, event: _ChangeEvent) -> None:
        self._events.append(event)
        self._notify_watches()

    def _notify_watches(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()


def _to_document(name: str, stored: _StoredObject) -> dict[str, Any]:
    return {
        "Metadata": {
            "Name": name,
            "Revision": stored.revision,
            "CreateRev": stored.create_revision,
            "Finalizers": [],
            "Deleting": False,
        },
        "Spec": stored.spec,
        "Status": stored.status,
    }
