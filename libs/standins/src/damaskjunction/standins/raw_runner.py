"""Stand-in for a runner that writes the bytes of its answers itself.

A script, registered by name, writes one answer to the socket, so that it may be no
valid HTTP.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable
from typing import NamedTuple, TypeAlias

import h11

from damaskjunction.core import Address, Registry, RequestId, RunnerId, ServiceName
from damaskjunction.standins.runner import REPORT_PATH, RUNNERS_KIND, make_entry
from damaskjunction.standins.store import StoreStandin

READ_BYTES = 64 * 1024
N_EVENTS = 10
SLOTS = 8
EVENT_INTERVAL_S = 0.02

AnswerScript: TypeAlias = Callable[
    ["RawRunnerStandin", asyncio.StreamWriter, RequestId], Awaitable[None]
]
answer_scripts: Registry[AnswerScript] = Registry("answer script")


class _Received(NamedTuple):
    head: h11.Request
    body: bytes


class RawRequest(NamedTuple):
    """A request to a raw runner; ``last_event_id`` is empty for a new stream."""

    request_id: RequestId
    last_event_id: str
    body: bytes


class RawRunnerStandin:
    """A runner that answers each request by a script.

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
    script : str
        Name of the answer script.
    has_endless_reports : bool, optional
        Whether its reports have no end, either.
    has_true_reports : bool, optional
        Whether reports are true also on connections that are kept, where the script
        answers them otherwise.
    content_type : str, optional
        Content type of its answers.
    version : str, optional
        Version of its software.
    """

    def __init__(
        self,
        runner_id: RunnerId,
        address: Address,
        service: ServiceName,
        store: StoreStandin,
        *,
        script: str,
        has_endless_reports: bool = False,
        has_true_reports: bool = False,
        content_type: str = "text/plain",
        version: str = "v1",
    ) -> None:
        self.runner_id = runner_id
        self._address = address
        self._service = service
        self._store = store
        self._script = answer_scripts.get(script)
        self._has_endless_reports = has_endless_reports
        self._has_true_reports = has_true_reports
        self.content_type = content_type
        self.version = version
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._kept_writers: set[asyncio.StreamWriter] = set()
        self._requests_by_writer: dict[asyncio.StreamWriter, list[RawRequest]] = {}
        self.n_requests = self.n_answering = 0
        self.n_connections = 0
        self.refused_ids: set[RequestId] = set()
        self.n_runs = 0
        self.n_bytes_written = 0

    async def start(self) -> None:
        """Start to listen and register as ready."""
        self._server = await asyncio.start_server(
            self._serve, self._address.ip, self._address.port
        )
        entry = make_entry(self._service, self._address, SLOTS, version=self.version)
        self._store.put(RUNNERS_KIND, self.runner_id, entry)

    async def close(self) -> None:
        """End like a process: stop listening and close all connections."""
        if self._server is not None:
            self._server.close()
        for writer in self._writers:
            writer.close()

    def record_run(self, request: RawRequest) -> None:
        """Record that a request begins to run."""
        self.n_runs += 1

    def record_end(self, request: RawRequest, status: int) -> None:
        """Record that the work on a request has ended; status 0 without an answer."""

    def answer_body(self, request: RawRequest) -> bytes:
        """Return the body of a whole answer that is no stream."""
        return request.request_id.encode()

    def encode_event(self, number: int, request: RawRequest) -> bytes:
        """Return an event of the answer to a request."""
        return f"id: {number}\ndata: token {number}\n\n".encode()

    def request_of(self, writer: asyncio.StreamWriter) -> RawRequest:
        """Return the latest request of a connection."""
        return self._requests_by_writer[writer][-1]

    async def write(self, writer: asyncio.StreamWriter, data: bytes) -> None:
        """Write bytes of an answer."""
        writer.write(data)
        self.n_bytes_written += len(data)
        await writer.drain()

    def write_to_kept(self, data: bytes) -> None:
        """Write bytes that belong to no request to all connections that are kept."""
        for writer in self._kept_writers:
            writer.write(data)

    def keep(self, writer: asyncio.StreamWriter) -> list[RequestId]:
        """Keep a connection after the answer, and return the ids of its requests.

        Calls for reports on it are answered by the script, too, by default.
        """
        self._kept_writers.add(writer)
        return [request.request_id for request in self._requests_by_writer[writer]]

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        self._requests_by_writer[writer] = []
        self.n_connections += 1
        try:
            is_kept = True
            while is_kept and (request := await _read_request(reader)) is not None:
                await self._answer(request, writer)
                is_kept = writer in self._kept_writers
        except (OSError, asyncio.IncompleteReadError):
            return  # the caller has closed the connection
        finally:
            self._writers.discard(writer)
            self._kept_writers.discard(writer)
            del self._requests_by_writer[writer]
            writer.close()

    async def _answer(self, received: _Received, writer: asyncio.StreamWriter) -> None:
        is_report = received.head.target.decode() == REPORT_PATH
        is_scripted = writer in self._kept_writers and not self._has_true_reports
        if is_report and not is_scripted:
            if self._has_endless_reports:
                await answer_endless_body(self, writer, "")
            await self.write(writer, _report_answer())
            return
        headers = {
            name.decode(): value.decode() for name, value in received.head.headers
        }
        request = RawRequest(
            headers.get("x-request-id", ""),
            headers.get("last-event-id", ""),
            received.body,
        )
        self._requests_by_writer[writer].append(request)
        self.n_requests += 1
        self.n_answering += 1
        try:
            await self._script(self, writer, request.request_id)
        finally:
            self.n_answering -= 1


async def _read_request(reader: asyncio.StreamReader) -> _Received | None:
    """Return a request once its body is read, None without a request."""
    protocol = h11.Connection(h11.SERVER)
    head = None
    body = b""
    while True:
        event = protocol.next_event()
        if event is h11.NEED_DATA:
            protocol.receive_data(await reader.read(READ_BYTES))
        elif isinstance(event, h11.Request):
            head = event
        elif isinstance(event, h11.Data):
            body += event.data
        elif isinstance(event, h11.EndOfMessage):
            return None if head is None else _Received(head, body)
        elif isinstance(event, h11.ConnectionClosed):
            return None


def _report_answer() -> bytes:
    body = json.dumps({"Running": 0, "Waiting": 0}).encode()
    head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
    return head.encode() + body


def unframed_head(request_id: RequestId) -> bytes:
    """Return the head of a stream that has neither a length nor chunks."""
    return (
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
        f"X-Request-Id: {request_id}\r\nX-Response-Stamp: {request_id}\r\n\r\n"
    ).encode()


async def write_events(
    runner: RawRunnerStandin,
    writer: asyncio.StreamWriter,
    first: int = 1,
    last: int = N_EVENTS,
) -> None:
    """Write events with consecutive ids."""
    for number in range(first, last + 1):
        event = runner.encode_event(number, runner.request_of(writer))
        await runner.write(writer, event)
        await asyncio.sleep(EVENT_INTERVAL_S)


@answer_scripts.register("unframed")
async def answer_unframed(
    runner: RawRunnerStandin, writer: asyncio.StreamWriter, request_id: RequestId
) -> None:
    """Write the rest of a stream, which ends with its connection."""
    last_event_id = runner.request_of(writer).last_event_id
    await runner.write(writer, unframed_head(request_id))
    await write_events(runner, writer, int(last_event_id or 0) + 1)


@answer_scripts.register("unframed, crashes")
async def crash_unframed(
    runner: RawRunnerStandin, writer: asyncio.StreamWriter, request_id: RequestId
) -> None:
    """Write a half of such a stream and end the process."""
    await runner.write(writer, unframed_head(request_id))
    await write_events(runner, writer, last=N_EVENTS // 2)
    await runner.close()


async def _write_without_end(
    runner: RawRunnerStandin, writer: asyncio.StreamWriter, data: bytes
) -> None:
    """Write until the caller closes the connection."""
    while True:
        await runner.write(writer, data)


@answer_scripts.register("endless head")
async def answer_endless_head(
    runner: RawRunnerStandin, writer: asyncio.StreamWriter, request_id: RequestId
) -> None:
    """Write a head that never ends."""
    await runner.write(writer, b"HTTP/1.1 200 OK\r\n")
    await _write_without_end(runner, writer, b"X-Filler: " + b"x" * 1000 + b"\r\n")


@answer_scripts.register("endless interim heads")
async def answer_endless_interim_heads(
    runner: RawRunnerStandin, writer: asyncio.StreamWriter, request_id: RequestId
) -> None:
    """Write informational heads, but never that of the answer."""
    await _write_without_end(runner, writer, b"HTTP/1.1 100 Continue\r\n\r\n" * 40)


@answer_scripts.register("endless body")
async def answer_endless_body(
    runner: RawRunnerStandin, writer: asyncio.StreamWriter, request_id: RequestId
) -> None:
    """Write a body that never ends and holds no event."""
    await runner.write(writer, unframed_head(request_id))
    await _write_without_end(runner, writer, b"x" * 16_000)


@answer_scripts.register("endless drip")
async def answer_endless_drip(
    runner: RawRunnerStandin, writer: asyncio.StreamWriter, request_id: RequestId
) -> None:
    """Write such a body a byte at a time, often enough not to seem stalled."""
    await runner.write(writer, unframed_head(request_id))
    while True:
        await runner.write(writer, b"x")
        await asyncio.sleep(EVENT_INTERVAL_S)
