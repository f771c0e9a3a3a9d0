"""The end of a tunnel at the host that asks for it."""

from __future__ import annotations

import asyncio

from damaskjunction.core import Address
from damaskjunction.http import (
    RECEIVE_BUFFER_BYTES,
    bound_receive_buffer,
    enable_tcp_keepalive,
)
from damaskjunction.relay.direct import Attempt, Streams
from damaskjunction.routing import Reach
from damaskjunction.wire import DecodeError, TunnelDecoder, encode_tunnel_ask


class _TunnelProtocol(asyncio.StreamReaderProtocol):
    """Feeds a reader with the bytes of the runner at the other end of a tunnel.

    The reader sees the runner's end of its stream. When the relay is lost before, it
    raises ``ConnectionResetError``.
    """

    def __init__(
        self, reader: asyncio.StreamReader, loop: asyncio.AbstractEventLoop
    ) -> None:
        super().__init__(reader, loop=loop)
        self._reader = reader
        self._decoder = TunnelDecoder()
        self._transport_of_tunnel: asyncio.BaseTransport | None = None
        self.replied: asyncio.Future[Reach] = loop.create_future()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport_of_tunnel = transport
        super().connection_made(transport)

    def data_received(self, data: bytes) -> None:
        if self._decoder.is_ended:
            return
        try:
            part = self._decoder.feed(data)
        except DecodeError as error:
            self._lose(ConnectionResetError(f"invalid bytes from the relay: {error}"))
            return
        if self._decoder.reach is not None and not self.replied.done():
            self.replied.set_result(self._decoder.reach)
        if part:
            self._reader.feed_data(part)
        if self._decoder.is_ended:
            self._reader.feed_eof()

    def eof_received(self) -> bool:
        if not self._decoder.is_ended:
            self._lose(ConnectionResetError("the relay closed the tunnel"))
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        if self._decoder.is_ended:
            exc = None
        else:
            exc = exc or ConnectionResetError("the relay was lost")
            self._fail_reply(exc)
        super().connection_lost(exc)

    def _lose(self, error: ConnectionResetError) -> None:
        self._fail_reply(error)
        self._reader.set_exception(error)
        if isinstance(self._transport_of_tunnel, asyncio.Transport):
            self._transport_of_tunnel.abort()

    def _fail_reply(self, error: Exception) -> None:
        if not self.replied.done():
            self.replied.set_exception(error)
            self.replied.exception()  # asyncio logs one that is not retrieved


async def open_tunnel(relay: Address, runner: Address, timeout_s: float) -> Attempt:
    """Attempt to connect to a runner through the host at a peer address.

    A relay that gives no answer within ``timeout_s`` seconds is one of unknown reach.
    """
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader(limit=RECEIVE_BUFFER_BYTES, loop=loop)
    transport: asyncio.Transport | None = None
    try:
        async with asyncio.timeout(timeout_s):
            transport, protocol = await loop.create_connection(
                lambda: _TunnelProtocol(reader, loop), *relay
            )
            writer = asyncio.StreamWriter(transport, protocol, reader, loop)
            writer.write(encode_tunnel_ask(runner))
            reach = await protocol.replied
    except (OSError, TimeoutError):
        reach = Reach.UNKNOWN
    except BaseException:
        if transport is not None:
            transport.abort()
        raise
    if reach is Reach.CONNECTED:
        enable_tcp_keepalive(writer)
        bound_receive_buffer(writer)
        return Attempt(reach, Streams(reader, writer))
    if transport is not None:
        transport.abort()
    return Attempt(reach)
