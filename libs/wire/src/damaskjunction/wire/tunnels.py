"""Tunnels: connections to a runner that another host relays.

A connection to a host begins as a link does. If its first frame asks for a tunnel, the
host connects to the runner and replies; from then on the connection carries bytes only.
Those from the runner come in chunks with a length. An empty chunk is the runner's end
of its stream, so that a relay that dies is not taken for it.
"""

from __future__ import annotations

import asyncio
import struct
from typing import NamedTuple

from damaskjunction.core import Address
from damaskjunction.http import Holding
from damaskjunction.routing import Reach
from damaskjunction.wire.channel import Operation, frame_bytes, read_frame
from damaskjunction.wire.codec import (
    DecodeError,
    Frame,
    decode_frame,
    decode_message,
    encode_message,
    register_message,
)

CHUNK_LENGTH = struct.Struct("!I")
FRAME_LENGTH = struct.Struct("!I")
MAX_REPLY_BYTES = 1024


@register_message
class OpenTunnel(NamedTuple):
    """Asks a host for a tunnel to the runner at an address."""

    ip: str
    port: int

    @property
    def address(self) -> Address:
        """The address of the runner."""
        return Address(self.ip, self.port)


@register_message
class TunnelReply(NamedTuple):
    """Tells what came of the attempt; the tunnel is open if it is connected."""

    reach: Reach


def encode_tunnel_ask(address: Address) -> bytes:
    """Return the bytes that ask for a tunnel to an address."""
    body = encode_message(OpenTunnel(*address))
    return frame_bytes(Frame(0, Operation.TUNNEL, OpenTunnel.__name__, body))


def encode_tunnel_reply(reach: Reach) -> bytes:
    """Return the bytes that answer an ask for a tunnel."""
    body = encode_message(TunnelReply(reach))
    return frame_bytes(Frame(0, Operation.REPLY, TunnelReply.__name__, body))


def encode_chunk(data: bytes) -> bytes:
    """Return a chunk of the runner's bytes; an empty one ends them."""
    return CHUNK_LENGTH.pack(len(data)) + data


class TunnelDecoder:
    """Decodes what the relaying host sends: its reply, then chunks.

    ``reach`` is None until the reply has arrived. ``is_ended`` is set after the last
    chunk.
    """

    def __init__(self) -> None:
        self.reach: Reach | None = None
        self.is_ended = False
        self._buffer = bytearray()
        self._n_left = 0  # bytes of the present chunk that have not arrived

    def feed(self, data: bytes) -> bytes:
        """Return the runner's bytes among those that have arrived.

        Raises
        ------
        DecodeError
            If the bytes are no valid reply.
        """
        self._buffer += data
        if self.reach is None and not self._take_reply():
            return b""
        parts = []
        while not self.is_ended and (part := self._take_part()):
            parts.append(part)
        return b"".join(parts)

    def _take_reply(self) -> bool:
        if len(self._buffer) < FRAME_LENGTH.size:
            return False
        (length,) = FRAME_LENGTH.unpack_from(self._buffer)
        if length > MAX_REPLY_BYTES:
            raise DecodeError(f"a reply of {length} bytes is too large")
        end = FRAME_LENGTH.size + length
        if len(self._buffer) < end:
            return False
        frame = decode_frame(bytes(self._buffer[FRAME_LENGTH.size : end]))
        message = decode_message(frame.kind, frame.body)
        if not isinstance(message, TunnelReply):
            raise DecodeError(f"{frame.kind} in place of the reply to a tunnel")
        self.reach = message.reach
        del self._buffer[:end]
        return True

    def _take_part(self) -> bytes:
        """Return what has arrived of the present chunk."""
        if not self._n_left:
            if len(self._buffer) < CHUNK_LENGTH.size:
                return b""
            (self._n_left,) = CHUNK_LENGTH.unpack_from(self._buffer)
            del self._buffer[: CHUNK_LENGTH.size]
            if not self._n_left:
                self.is_ended = True
                return b""
        part = bytes(self._buffer[: self._n_left])
        del self._buffer[: len(part)]
        self._n_left -= len(part)
        return part


async def read_tunnel_ask(
    reader: asyncio.StreamReader, holding: Holding | None = None
) -> tuple[Frame, OpenTunnel | None]:
    """Return the first frame of a connection, and the ask for a tunnel if it is one.

    ``holding`` counts a large frame as it arrives.

    Raises
    ------
    DecodeError
        If the bytes are no valid frame, or no valid ask.
    OSError, asyncio.IncompleteReadError
        If the connection ends before.
    """
    frame = await read_frame(reader, holding)
    if frame.operation != Operation.TUNNEL:
        return frame, None
    message = decode_message(frame.kind, frame.body)
    if not isinstance(message, OpenTunnel):
        raise DecodeError(f"{frame.kind} does not ask for a tunnel")
    return frame, message
