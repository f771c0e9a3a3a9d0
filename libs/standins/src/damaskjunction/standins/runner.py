"""Stand-in for a runner, which streams events by the platform's published protocol.

It serves the hosts of ``damaskjunction.gateway``.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Mapping

from damaskjunction.core import Address, RequestId, RunnerId, ServiceName
from damaskjunction.core.units import KIB
from damaskjunction.http import (
    HttpLimits,
    HttpServer,
    Request,
    Response,
    to_json_response,
)
from damaskjunction.standins.faults import Faults
from damaskjunction.standins.standstill import (
    BEFORE_EVENTS,
    BEFORE_HEAD,
    IN_BODY,
    IN_REPORT,
    Standstill,
)
from damaskjunction.standins.store import StoreStandin

RUNNERS_KIND = "servers"
EVENT_INTERVAL_S = 0.02
MAX_HEADER_BYTES = 128 * KIB
RESTART_S = 0.3
ENDLESS_CHUNK_BYTES = 16 * KIB
ENDLESS_INTERVAL_S = 0.002
REPORT_PATH = "/damaskjunction/report"
PROMPT_PARTS_HEADER = "x-prompt-prefix"


def make_entry(
    service: ServiceName,
    address: Address,
    slots: int,
    state: str = "ready",
    version: str = "",
) -> dict[str, str | int]:
    """Return a runner's object in the store; it names no version if that is empty."""
    entry: dict[str, str | int] = {
        "Service": service,
        "Addr": str(address),
        "Zone": "z1",
        "Slots": slots,
        "State": state,
    }
    if version:
        entry["Version"] = version
    return entry


class RunnerStandin:
    """A runner that responds to each request with numbered events or a plain body.

    Faults: ``break_after`` (abort streams after this event), ``full`` (1: reject
    requests as not run), ``silent_after`` (stall streams after this event), ``fail``
    (status of every response), ``impossible`` (1: status 422, which means that the item
    can never succeed), ``mute`` (1: never respond), ``abort`` (1: abort the connection
    of each request once it is recorded as run), ``crash`` (1: each request ends the
    runner's process, which is back after ``RESTART_S``), ``deadly_part`` (id of a
    prompt part: the process ends when the first event of a request with it is due),
    ``limit_per_s`` (rate limit to name in each answer), ``endless`` (1: answers have no
    end and hold no event), ``foreign`` (number of requests of unknown hosts that its
    reports count), ``leaving`` and ``report_leaving`` (1: answers and reports say that
    the runner leaves), ``fail_resumed`` (status of responses to requests that resume).
    ``born_ms`` is the Unix millisecond of its start, as its entry and reports tell it,
    0 to tell none.

    Parameters
    ----------
    runner_id : str
        Name of its object in the store.
    address : Address
        Address to listen on.
    service : str
        Service it belongs to.
    store : StoreStandin
        Store in which it registers.
    n_events : int, optional
        Events per stream; 0 sends a plain body instead of a stream.
    slots : int, optional
        Maximum number of concurrent streams.
    advertised : Address, optional
        Address to register, if it differs from ``address``.
    version : str, optional
        Version of its software, which is the type of its events; empty to state none.
    delay_s : float, optional
        Seconds before the head of an answer.

    A ``standstill`` holds the runner for as long as it lasts. ``run_ends_s`` are the
    times at which the runs of its streams ended.
    """

    def __init__(
        self,
        runner_id: RunnerId,
        address: Address,
        service: ServiceName,
        store: StoreStandin,
        *,
        n_events: int = 10,
        slots: int = 2,
        advertised: Address | None = None,
        version: str = "v1",
        delay_s: float = 0.0,
    ) -> None:
        self.runner_id = runner_id
        self.version = version
        self._advertised = advertised or address
        self._service = service
        self._store = store
        self._n_events = n_events
        self._slots = slots
        self._delay_s = delay_s
        self.n_running = 0
        self.peak_running = 0
        self.recorded_runs: list[tuple[RequestId, str]] = []
        self.run_times_s: list[float] = []
        self.run_ends_s: list[float] = []
        self.standstill: Standstill | None = None
        self.headers_by_request: dict[RequestId, dict[str, str]] = {}
        self.faults = Faults(
            "break_after",
            "full",
            "silent_after",
            "fail",
            "impossible",
            "mute",
            "abort",
            "crash",
            "deadly_part",
            "limit_per_s",
            "endless",
            "foreign",
            "leaving",
            "report_leaving",
            "fail_resumed",
        )
        self.born_ms = 0
        self.n_ends = 0
        self._address = address
        self._restart: asyncio.Task[None] | None = None
        self._server = self._make_server()

    async def start(self) -> None:
        """Start to listen and register as ready."""
        await self._server.start()
        self.register_in_store("ready")

    async def close(self) -> None:
        """Stop serving."""
        if self._restart is not None:
            self._restart.cancel()
            await asyncio.gather(self._restart, return_exceptions=True)
        await self._server.close()

    def _make_server(self) -> HttpServer:
        limits = HttpLimits(header_bytes=MAX_HEADER_BYTES)
        return HttpServer(self._address, self._serve, limits=limits)

    def _end(self) -> None:
        if self._restart is None or self._restart.done():
            self.n_ends += 1
            self._restart = asyncio.ensure_future(self.close_and_restart())

    async def close_and_restart(self) -> None:
        """End like a process that crashes, and start again after ``RESTART_S``."""
        await self._server.close()
        await asyncio.sleep(RESTART_S)
        self._server = self._make_server()
        await self._server.start()

    def register_in_store(self, state: str) -> None:
        """Register in the store with a state, or update the state."""
        entry = make_entry(
            self._service, self._advertised, self._slots, state, self.version
        )
        if self.born_ms:
            entry["born"] = self.born_ms
        self._store.put(RUNNERS_KIND, self.runner_id, entry)

    def record_run(self, request_id: RequestId, last_event_id: str) -> None:
        """Record that a request begins to run.

        ``last_event_id`` is the event after which it resumes; empty for a new run.
        """
        self.recorded_runs.append((request_id, last_event_id))
        self.run_times_s.append(asyncio.get_running_loop().time())

    def event_text(self, number: int, body: bytes) -> str:
        """Return the data of an event of the answer to a request with a body."""
        return f"token {number}"

    async def _serve(self, request: Request) -> Response:
        is_report = request.path == REPORT_PATH
        response = await self._respond(request)
        if self.faults["report_leaving" if is_report else "leaving"]:
            headers = {**response.headers, "Server-Leaving": "1"}
            return response._replace(headers=headers)
        return response

    async def _respond(self, request: Request) -> Response:
        if request.path == REPORT_PATH:
            await request.body.read()  # the connection can be used again
            await self._reach(IN_REPORT)
            n_running = self.n_running + self.faults["foreign"]
            report = {"Running": n_running, "Waiting": 0}
            if self.born_ms:
                report["born"] = self.born_ms
            return to_json_response(report)
        headers = request.headers
        request_id = headers.get("x-request-id", "")
        refusal_headers = {"X-Request-Id": request_id, "X-Not-Run": "1"}
        if headers.get("x-expect-instance", self.runner_id) != self.runner_id:
            return Response(421, headers=refusal_headers)
        if self.faults["full"] or self.n_running >= self._slots:
            return Response(503, headers=refusal_headers)
        body = await request.body.read()
        last_event_id = headers.get("last-event-id", "")
        self.headers_by_request[request_id] = dict(headers)
        self.record_run(request_id, last_event_id)
        await self._fail_without_answer()
        await asyncio.sleep(self._delay_s)
        await self._reach(BEFORE_HEAD)
        response_headers = {"X-Request-Id": request_id, "X-Response-Stamp": request_id}
        if self.faults["limit_per_s"]:
            response_headers["Server-Limit"] = str(self.faults["limit_per_s"])
        failure = self.faults["fail"]
        if last_event_id and self.faults["fail_resumed"]:
            failure = self.faults["fail_resumed"]
        if self.faults["impossible"] or failure:
            status = 422 if self.faults["impossible"] else int(failure)
            return Response(status, b"no", headers=response_headers)
        if not self._n_events and not self.faults["endless"]:
            text = request_id.encode()
            answer = text if self.standstill is None else self._write_parts(text)
            return Response(200, answer, "text/plain", response_headers)
        after = int(last_event_id) if last_event_id else 0
        events = self._stream_events(after, body, self._is_deadly(headers))
        if self.faults["endless"]:
            events = self._write_without_end()
        return Response(200, events, "text/event-stream", response_headers)

    async def _reach(self, place: str) -> None:
        if self.standstill is not None:
            await self.standstill.reach(self.runner_id, place)

    async def _write_parts(self, text: bytes) -> AsyncIterator[bytes]:
        yield text[:1]
        await self._reach(IN_BODY)
        yield text[1:]

    async def _write_without_end(self) -> AsyncIterator[bytes]:
        while True:
            yield b"x" * ENDLESS_CHUNK_BYTES
            await asyncio.sleep(ENDLESS_INTERVAL_S)

    async def _fail_without_answer(self) -> None:
        if self.faults["abort"]:
            raise ConnectionResetError("injected fault: connection aborted")
        if self.faults["crash"]:
            self._end()
        if self.faults["crash"] or self.faults["mute"]:
            await asyncio.Event().wait()

    def _is_deadly(self, headers: Mapping[str, str]) -> bool:
        parts = headers.get(PROMPT_PARTS_HEADER, "").split(",")
        ids = [part.partition(":")[0] for part in parts]
        return self.faults["deadly_part"] in ids

    async def _stream_events(
        self, after: int, body: bytes, is_deadly: bool
    ) -> AsyncIterator[bytes]:
        self.n_running += 1
        self.peak_running = max(self.peak_running, self.n_running)
        try:
            await self._reach(BEFORE_EVENTS)
            for number in range(after + 1, self._n_events + 1):
                await asyncio.sleep(EVENT_INTERVAL_S)
                if is_deadly:
                    self._end()
                    await asyncio.Event().wait()
                if self.faults["silent_after"] and number > self.faults["silent_after"]:
                    await asyncio.Event().wait()
                mark = f"event: {self.version}\n" if self.version else ""
                text = self.event_text(number, body)
                yield f"{mark}id: {number}\ndata: {text}\n\n".encode()
                await self._reach(f"event {number}")
                if self.faults["break_after"] and number >= self.faults["break_after"]:
                    raise ConnectionResetError("injected fault: stream aborted")
        finally:
            self.n_running -= 1
            self.run_ends_s.append(asyncio.get_running_loop().time())
