"""What an accepted connection sends: responses, whole or streamed."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator

import h11

from damaskjunction.core.units import KIB
from damaskjunction.http.client_end import ClientEnd
from damaskjunction.http.client_memory import ClientMemory
from damaskjunction.http.messages import HttpError, Response, error_response
from damaskjunction.http.protocol import encode_headers
from damaskjunction.http.read_ahead import FULL_BYTES, AheadReader

WRITE_HIGH_WATER_BYTES = 32 * KIB
WRITE_BYTES = 64 * KIB


class ResponseWriter:
    """Writes the responses of a connection, as fast as its client reads them.

    Parameters
    ----------
    writer : asyncio.StreamWriter
        The connection.
    reader : AheadReader
        Tells when the client disconnects.
    protocol : h11.Connection
        The state of the connection.
    client : ClientEnd
        The client that is waited for.
    stall_timeout_s : float
        Seconds in which the client has to read most of what was written.
    memory : ClientMemory
        Counts what is held for clients.
    """

    def __init__(
        self,
        writer: asyncio.StreamWriter,
        reader: AheadReader,
        protocol: h11.Connection,
        client: ClientEnd,
        *,
        stall_timeout_s: float,
        memory: ClientMemory,
    ) -> None:
        self._writer = writer
        self._reader = reader
        self._protocol = protocol
        self._client = client
        self._stall_timeout_s = stall_timeout_s
        self._memory = memory

    async def send(
        self, head: h11.Request, response: Response, *, is_last: bool
    ) -> None:
        """Send the response to a request, the last of the connection or not."""
        headers = encode_headers(response.headers)
        if response.content_type is not None:
            headers.insert(0, (b"Content-Type", response.content_type.encode()))
        if isinstance(response.body, bytes):
            headers.append((b"Content-Length", b"%d" % len(response.body)))
        if is_last or self._protocol.their_state is not h11.DONE:
            headers.append((b"Connection", b"close"))
        await self._write(
            h11.Response(status_code=response.status, headers=headers, reason=b"")
        )
        if not isinstance(response.body, bytes):
            await self._send_stream(response.body)
        elif head.method != b"HEAD":
            await self._write(h11.Data(data=response.body))
        await self._write(h11.EndOfMessage())

    async def send_error(self, error: HttpError) -> None:
        """Send the response to a request that can't be read, if none has begun."""
        if self._protocol.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        response = error_response(error)
        assert isinstance(response.body, bytes)
        headers = [
            *encode_headers(response.headers),
            (b"Content-Type", str(response.content_type).encode()),
            (b"Content-Length", b"%d" % len(response.body)),
            (b"Connection", b"close"),
        ]
        await self._write(
            h11.Response(status_code=response.status, headers=headers, reason=b"")
        )
        await self._write(h11.Data(data=response.body))
        await self._write(h11.EndOfMessage())

    async def send_continue(self) -> None:
        """Ask the client for the body that it announced."""
        await self._write(
            h11.InformationalResponse(status_code=100, headers=[], reason=b"")
        )

    async def _send_stream(self, chunks: AsyncIterator[bytes]) -> None:
        """Stream chunks to the client; raise when it disconnects."""
        sender = asyncio.ensure_future(self._send_chunks(chunks))
        watcher = asyncio.ensure_future(self._reader.wait_for_disconnect())
        try:
            await asyncio.wait((sender, watcher), return_when=asyncio.FIRST_COMPLETED)
            if not sender.done():
                raise ConnectionResetError("the peer closed the connection")
            await sender
        finally:
            sender.cancel()
            watcher.cancel()
            await asyncio.gather(sender, watcher, return_exceptions=True)

    async def _send_chunks(self, chunks: AsyncIterator[bytes]) -> None:
        async for chunk in chunks:
            await self._write(h11.Data(data=chunk))

    async def _write(self, event: h11.Event) -> None:
        """Send an event; apply backpressure only when the write buffer is large."""
        data = self._protocol.send(event)
        if not data:
            return
        if len(data) <= WRITE_BYTES:
            self._writer.write(data)
            await self._wait_while_full(len(data))
            return
        view = memoryview(data)
        for begin in range(0, len(data), WRITE_BYTES):
            self._writer.write(view[begin : begin + WRITE_BYTES])
            await self._wait_while_full(len(data))

    async def _wait_while_full(self, n_held: int) -> None:
        n_buffered = self._writer.transport.get_write_buffer_size()
        if n_buffered > WRITE_HIGH_WATER_BYTES:
            await self._wait_until_read(FULL_BYTES + n_held)

    async def _wait_until_read(self, n_held: int) -> None:
        """Wait until the client has read most of what was written.

        Raises
        ------
        TimeoutError
            When it does not, for the time that the limits give it.
        """
        holding = self._memory.open(lambda: self._client.drop("unread answers"))
        holding.resize(n_held)
        try:
            with self._client.waiting():
                async with asyncio.timeout(self._stall_timeout_s):
                    await self._writer.drain()
        except TimeoutError:
            self._client.is_dropped = True
            self._client.report("unread answers")
            raise
        finally:
            holding.close()
