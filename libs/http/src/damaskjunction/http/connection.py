"""One HTTP/1.1 connection of a client, on h11."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Hashable, Mapping
from typing import NamedTuple, TypeAlias, cast

import h11

from damaskjunction.core import Address, parse_digits
from damaskjunction.core.units import KIB
from damaskjunction.http.backlog import BacklogTurns
from damaskjunction.http.connector import OpenConnection
from damaskjunction.http.messages import BrokenResponseError, StalledResponseError
from damaskjunction.http.pacing import ReadPacer
from damaskjunction.http.protocol import (
    decode_headers,
    encode_headers,
    prepare_for_reuse,
)
from damaskjunction.http.sockets import has_waiting_bytes
from damaskjunction.http.stalls import StallTimer, has_unread_data

ProtocolEvent: TypeAlias = h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]

READ_BYTES = 32 * KIB
WRITE_BYTES = 64 * KIB
MAX_CHUNKS_AT_ONCE = 64  # handling so many takes about as long as a read
DEFAULT_STALL_TIMEOUT_S = 30.0
MAX_INTERIM_HEADS = 8
STATUS_CODES = range(200, 600)  # of responses; the parser takes larger ones, too
KEEP_ALIVE_TIMEOUT_FRACTION = 0.5


class ResponseHead(NamedTuple):
    """Status and headers of a response; header names are lower-case."""

    status: int
    headers: Mapping[str, str]


class Connection:
    """A client connection, used for one request at a time.

    ``peer`` is the process at its other end, None while that is not known.

    Parameters
    ----------
    address : Address
        The address to which it leads.
    opened : OpenConnection
        The open connection.
    turns : BacklogTurns
        The turns of all connections of the client.
    """

    def __init__(
        self, address: Address, opened: OpenConnection, turns: BacklogTurns
    ) -> None:
        self.address = address
        self.is_relayed = opened.is_relayed
        self.n_requests = 0
        self.idle_since_s = 0.0
        self.peer: Hashable | None = None
        self.keep_alive_timeout_s = math.inf
        self._reader = opened.reader
        self._writer = opened.writer
        self._may_reuse = opened.may_reuse
        self._protocol = h11.Connection(h11.CLIENT)
        self.stall_s = DEFAULT_STALL_TIMEOUT_S
        self.pacer: ReadPacer | None = None
        self._stall_timer = StallTimer(opened.reader)
        self._turns = turns
        self._has_backlog = False
        self._kept_event: ProtocolEvent | None = None
        self._failure: h11.RemoteProtocolError | None = None

    async def exchange(
        self,
        method: str,
        target: str,
        headers: Mapping[str, str],
        body: bytes,
        stall_s: float,
    ) -> ResponseHead:
        """Send a request and return the status and headers of the response."""
        self.stall_s = stall_s
        self.pacer = None
        self.n_requests += 1
        request_headers = {
            "Host": str(self.address),
            "Content-Length": str(len(body)),
            **headers,
        }
        request = h11.Request(
            method=method, target=target, headers=encode_headers(request_headers)
        )
        try:
            async with asyncio.timeout(stall_s):
                await self._send(request, body)
        except (OSError, TimeoutError) as error:
            raise BrokenResponseError(f"{self.address}: {error!r}") from None
        try:
            async with asyncio.timeout(stall_s):
                return await self._read_head()
        except TimeoutError:
            detail = f"{self.address}: no complete head in {stall_s:.3f} s"
            raise StalledResponseError(detail) from None

    async def _send(self, request: h11.Request, body: bytes) -> None:
        """Send a request; a large body is not copied as a whole."""
        send = self._protocol.send
        parts = (request, h11.Data(data=body), h11.EndOfMessage())
        written = [send(part) or b"" for part in parts]
        if len(body) <= WRITE_BYTES:
            written = [b"".join(written)]
        for data in written:
            view = memoryview(data)
            for begin in range(0, len(data), WRITE_BYTES):
                self._writer.write(view[begin : begin + WRITE_BYTES])
                await self._writer.drain()

    async def read_body(self) -> bytes | None:
        """Return the next part of the body, or None at its end.

        Chunks that have arrived together are one part.
        """
        event: ProtocolEvent = await self._next_event()
        if not isinstance(event, h11.Data):
            return None
        chunks = []
        while isinstance(event, h11.Data):
            chunks.append(bytes(event.data))
            if len(chunks) == MAX_CHUNKS_AT_ONCE:
                self._has_backlog = True
                return b"".join(chunks)
            event = self._take_next_chunk()
        return b"".join(chunks)

    def prepare_for_reuse(self) -> bool:
        """Prepare for the next request; return whether the connection is reusable."""
        if has_unread_data(self._reader):
            return False  # they belong to no request
        self._transport.resume_reading()  # a pacer may have paused it
        return prepare_for_reuse(self._protocol)

    def is_reusable(self) -> bool:
        """Return whether the connection is open and no unread bytes wait on it."""
        if self._reader.at_eof() or self._writer.is_closing():
            return False
        if not self._may_reuse():
            return False
        # Bytes after a complete response belong to no request.
        return not (
            self._protocol.trailing_data[0]
            or has_unread_data(self._reader)
            or has_waiting_bytes(self._writer)
        )

    def abort(self) -> None:
        """Close the connection at once, without flushing unsent data."""
        self._stall_timer.close()
        self._writer.transport.abort()

    @property
    def _transport(self) -> asyncio.Transport:
        return cast(asyncio.Transport, self._writer.transport)

    async def _read_head(self) -> ResponseHead:
        for _ in range(1 + MAX_INTERIM_HEADS):
            event = await self._next_event()
            if isinstance(event, h11.Response):
                if event.status_code not in STATUS_CODES:
                    detail = f"{self.address}: status {event.status_code}"
                    raise BrokenResponseError(detail)
                headers = decode_headers(event.headers)
                self._apply_keep_alive_timeout(headers.get("keep-alive", ""))
                return ResponseHead(event.status_code, headers)
        raise BrokenResponseError(f"{self.address}: too many interim heads")

    def _apply_keep_alive_timeout(self, text: str) -> None:
        """Limit reuse to a fraction of the peer's announced keep-alive timeout.

        Otherwise the peer might close the connection while a request is being sent.
        """
        for part in text.split(","):
            name, _, value = part.strip().partition("=")
            timeout_s = parse_digits(value) if name == "timeout" else None
            if timeout_s is not None:
                self.keep_alive_timeout_s = KEEP_ALIVE_TIMEOUT_FRACTION * timeout_s

    async def _pause_reading(self, pacer: ReadPacer) -> None:
        """Leave what arrives to the kernel until the next reads of the pacer.

        While read data are left, no more is read: the stream reader, which stops
        reading at its limit, would not notice that another one has resumed it.
        """
        self._transport.pause_reading()
        try:
            await pacer.wait()
        finally:
            if not has_unread_data(self._reader):
                self._transport.resume_reading()

    def _take_event(self) -> ProtocolEvent:
        """Return the next event of what has been read.

        Raises
        ------
        h11.RemoteProtocolError
            When the peer does not keep to the protocol.
        """
        if self._failure is not None:
            raise self._failure
        event, self._kept_event = self._kept_event, None
        return self._protocol.next_event() if event is None else event

    def _take_next_chunk(self) -> ProtocolEvent:
        """Return the next event of what has been read if it is a chunk.

        Another one, or a failure, is kept until the chunks before it are handled.
        """
        try:
            event = self._protocol.next_event()
        except h11.RemoteProtocolError as error:
            self._failure = error
            return h11.NEED_DATA
        if not isinstance(event, h11.Data) and event is not h11.NEED_DATA:
            self._kept_event = event
        return event

    async def _next_event(self) -> h11.Event:
        if self._has_backlog:
            self._has_backlog = False
            await self._turns.wait()
        try:
            while (event := self._take_event()) is h11.NEED_DATA:
                if self.pacer is not None:
                    await self._pause_reading(self.pacer)
                data = await self._stall_timer.read(READ_BYTES, self.stall_s)
                if len(data) == READ_BYTES:
                    await self._turns.wait()
                self._protocol.receive_data(data)
        except TimeoutError:
            detail = f"{self.address}: no data received for {self.stall_s:.3f} s"
            raise StalledResponseError(detail) from None
        except (OSError, h11.RemoteProtocolError) as error:
            raise BrokenResponseError(f"{self.address}: {error!r:.200}") from None
        if isinstance(event, h11.ConnectionClosed) or event is h11.PAUSED:
            raise BrokenResponseError(f"{self.address}: closed before end of response")
        assert isinstance(event, h11.Event)
        return event
