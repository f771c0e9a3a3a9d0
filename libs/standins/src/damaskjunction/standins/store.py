"""Stand-in for the platform's object store, with its protocol."""

from __future__ import annotations

import asyncio
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
PAGE_ITEMS = 500
MAX_WAIT_S = 30.0


class _Stored(NamedTuple):
    revision: int
    made: int
    spec: Any
    status: Any


class _Event(NamedTuple):
    revision: int
    kind: str
    name: str
    stored: _Stored
    is_removed: bool


class StoreStandin:
    """In-memory objects by kind and name, with conditional writes and watches.

    Faults: ``down`` (1: connections are aborted), ``refuse`` (1: every call gets status
    503), ``slow_s`` (delay of each response), ``lose_answers`` (the next n writes take
    effect but get no response), ``no_history`` (the next n watches get status 410, as
    if their revision were no longer in the history).

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
        self._objects_by_kind: dict[str, dict[str, _Stored]] = {}
        self._events: list[_Event] = []
        self._changed = asyncio.Event()
        self.n_calls = 0
        self._n_cuts = 0
        self.faults = Faults("down", "refuse", "slow_s", "lose_answers", "no_history")
        self._server = HttpServer(address, self._serve)

    async def start(self) -> None:
        """Start to listen and serve."""
        await self._server.start()

    async def close(self) -> None:
        """Stop serving."""
        await self._server.close()

    def put(self, kind: str, name: str, spec: Any) -> int:
        """Write an object's spec like an operator or a runner; return its revision."""
        known = self._objects(kind).get(name)
        status = known.status if known is not None else None
        return self._store(kind, name, spec, status).revision

    def remove(self, kind: str, name: str) -> None:
        """Remove an object."""
        stored = self._objects(kind).pop(name)
        self._revision += 1
        self._note(_Event(self._revision, kind, name, stored, True))

    def names(self, kind: str) -> list[str]:
        """Return the names of the objects of a kind."""
        return sorted(self._objects(kind))

    def status(self, kind: str, name: str) -> Any:
        """Return the status of an object."""
        return self._objects(kind)[name].status

    async def _serve(self, request: Request) -> Response:
        if self.faults["down"]:
            raise ConnectionResetError("outage")
        self.n_calls += 1
        if self.faults["refuse"]:
            return Response(503)
        if self.faults["slow_s"]:
            await asyncio.sleep(self.faults["slow_s"])
        kind, _, rest = request.path.removeprefix(OBJECTS_PATH).partition("/")
        name, _, part = rest.partition("/")
        response = await self._answer(request, kind, unquote(name), part)
        if request.method != "GET" and self.faults.take("lose_answers"):
            raise ConnectionResetError("injected fault: response lost")
        if self.faults["down"]:
            raise ConnectionResetError("outage")
        return response

    async def _answer(
        self, request: Request, kind: str, name: str, part: str
    ) -> Response:
        if request.method != "GET":
            return await self._change(request, kind, name, part)
        if name:
            stored = self._objects(kind).get(name)
            if stored is None:
                return Response(404)
            return to_json_response(_document(name, stored))
        if "Watch" in request.query:
            return await self._watch(request, kind)
        return self._list(request, kind)

    async def _change(
        self, request: Request, kind: str, name: str, part: str
    ) -> Response:
        known = self._objects(kind).get(name)
        if request.method == "DELETE":
            if known is None:
                return Response(404)
            self.remove(kind, name)
            return to_json_response(_document(name, known))
        document = await read_json(request)
        if request.method == "POST":
            return self._create(kind, name, document["Spec"])
        if known is None:
            return Response(404)
        wanted = document["Metadata"].get("Revision")
        if wanted is not None and wanted != known.revision:
            return to_json_response(_document(name, known), status=409)
        if part == "status":
            stored = self._store(kind, name, known.spec, document["Status"])
        else:
            stored = self._store(kind, name, document["Spec"], known.status)
        return to_json_response(_document(name, stored))

    def _create(self, kind: str, name: str, spec: Any) -> Response:
        known = self._objects(kind).get(name)
        if known is not None:
            return to_json_response(_document(name, known), status=409)
        return to_json_response(_document(name, self._store(kind, name, spec, None)))

    def _list(self, request: Request, kind: str) -> Response:
        after = request.query.get("After", "")
        objects = self._objects(kind)
        names = [name for name in sorted(objects) if name > after]
        page = names[:PAGE_ITEMS]
        document = {
            "Items": [_document(name, objects[name]) for name in page],
            "HasMore": len(names) > len(page),
            "CurrentRev": self._revision,
        }
        return to_json_response(document)

    async def _watch(self, request: Request, kind: str) -> Response:
        if self.faults.take("no_history"):
            return Response(410)
        since = int(request.query["Watch"])
        wait_s = min(MAX_WAIT_S, int(request.query.get("WaitMs", "0")) / 1000.0)
        end_s = self._timers.now() + wait_s
        n_cuts = self._n_cuts
        while not (events := self._events_since(kind, since)):
            changed = self._changed
            try:
                async with asyncio.timeout(end_s - self._timers.now()):
                    await changed.wait()
            except TimeoutError:
                break
            if self._n_cuts != n_cuts:
                raise ConnectionResetError("injected fault: watch aborted")
            if self.faults["refuse"]:
                return Response(503)
        document = {
            "events": [
                {
                    "Removed": event.is_removed,
                    "Object": _document(event.name, event.stored),
                }
                for event in events
            ],
            "CurrentRev": self._revision,
        }
        return to_json_response(document)

    def _events_since(self, kind: str, since: int) -> list[_Event]:
        return [e for e in self._events if e.kind == kind and e.revision > since]

    def _objects(self, kind: str) -> dict[str, _Stored]:
        return self._objects_by_kind.setdefault(kind, {})

    def _store(self, kind: str, name: str, spec: Any, status: Any) -> _Stored:
        known = self._objects(kind).get(name)
        if known is not None and known.spec == spec and known.status == status:
            return known
        self._revision += 1
        made = known.made if known is not None else self._revision
        stored = _Stored(self._revision, made, spec, status)
        self._objects(kind)[name] = stored
        self._note(_Event(self._revision, kind, name, stored, False))
        return stored

    def put_unheard(self, kind: str, name: str, spec: Any) -> None:
        """Write an object without an event in the history; abort all open watches."""
        self.put(kind, name, spec)
        self._events.clear()
        self._n_cuts += 1

    def turn_away(self) -> None:
        """Respond with status 503 to every call from now on and to all open watches."""
        self.faults["refuse"] = 1
        self._wake()

    def _note(self, event: _Event) -> None:
        self._events.append(event)
        self._wake()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()


def _document(name: str, stored: _Stored) -> dict[str, Any]:
    return {
        "Metadata": {
            "Name": name,
            "Revision": stored.revision,
            "CreateRev": stored.made,
            "Finalizers": [],
            "Deleting": False,
        },
        "Spec": stored.spec,
        "Status": stored.status,
    }
