"""Clients that take no heed of what they cost a host."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Iterable, Iterator, Sequence
from pathlib import Path

from damaskjunction.core import Address
from damaskjunction.core.units import KIB, MIB

HOST_NAME = "caddies.example"
PIECE_BYTES = 64 * KIB
SMALL_PIECE_BYTES = 1 * KIB  # for what a host takes slowly
AHEAD_BYTES = 12 * MIB  # of requests that one client sends ahead
BUFFER_BYTES = 4 * KIB
QUIET_S = 1.0
MAX_QUIETS = 5
REST_S = 4.0
SAMPLE_S = 0.01
N_ASLEEP = 12  # samples in a row for which a process at rest does not run
SHORT_BYTES = 1000  # by which a body stops short of its end


def _request(method: str, path: str, headers: str = "") -> bytes:
    head = f"{method} {path} HTTP/1.1\r\nHost: {HOST_NAME}\r\nX-Request-Id: g\r\n"
    return f"{head}{headers}\r\n".encode()


def requests_ahead(path: str) -> Iterator[bytes]:
    """Return pieces of many requests, one behind the other."""
    request = _request("GET", path)
    piece = request * (PIECE_BYTES // len(request))
    for _ in range(AHEAD_BYTES // len(piece)):
        yield piece


def body_with_length(
    path: str, n_bytes: int, n_short: int, headers: str = ""
) -> Iterator[bytes]:
    """Return the pieces of a request whose body lacks its last ``n_short`` bytes."""
    yield _request("POST", path, f"{headers}Content-Length: {n_bytes}\r\n")
    n_left = n_bytes - n_short
    while n_left > 0:
        n_piece = min(PIECE_BYTES, n_left)
        yield b"x" * n_piece
        n_left -= n_piece


def body_in_chunks(
    path: str,
    n_bytes: int,
    n_short: int,
    chunk_bytes: int = KIB,
    *,
    piece_bytes: int = PIECE_BYTES,
    headers: str = "",
) -> Iterator[bytes]:
    """Return the pieces of a request whose body comes in small chunks."""
    yield _request("POST", path, f"{headers}Transfer-Encoding: chunked\r\n")
    chunk = b"%x\r\n%b\r\n" % (chunk_bytes, b"x" * chunk_bytes)
    n_chunks = (n_bytes - n_short) // chunk_bytes
    n_at_once = piece_bytes // chunk_bytes
    for _ in range(n_chunks // n_at_once):
        yield chunk * n_at_once
    yield chunk * (n_chunks % n_at_once)
    if not n_short:
        yield b"0\r\n\r\n"


class GreedyCrowd:
    """Connections that stay open, and from which nothing is read."""

    def __init__(self, address: Address) -> None:
        self._address = address
        self._sockets: list[socket.socket] = []
        self._n_taken = 0

    async def send(self, clients: Sequence[Iterable[bytes]]) -> None:
        """Send the pieces of each client on a connection, all at the same time.

        Returns when all are sent or their connections closed, when the host has taken
        nothing from anybody for ``QUIET_S``, and after ``MAX_QUIETS`` of that.
        """
        sending = asyncio.gather(*(self._send(pieces) for pieces in clients))
        n_taken = -1
        for _ in range(MAX_QUIETS):
            if sending.done() or n_taken == self._n_taken:
                break
            n_taken = self._n_taken
            await asyncio.wait([sending], timeout=QUIET_S)
        sending.cancel()
        await asyncio.gather(sending, return_exceptions=True)

    async def send_for(
        self, seconds: float, clients: Sequence[Iterable[bytes]]
    ) -> None:
        """Send the pieces of each client, all at the same time, for a while at most."""
        sending = asyncio.gather(*(self._send(pieces) for pieces in clients))
        await asyncio.wait([sending], timeout=seconds)
        sending.cancel()
        await asyncio.gather(sending, return_exceptions=True)

    async def _send(self, pieces: Iterable[bytes]) -> None:
        loop = asyncio.get_running_loop()
        client = socket.socket()
        self._sockets.append(client)
        client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)
        client.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, BUFFER_BYTES)
        client.setblocking(False)
        try:
            await loop.sock_connect(client, self._address)
            for piece in pieces:
                await loop.sock_sendall(client, piece)
                self._n_taken += len(piece)
        except OSError:
            return

    def close(self) -> None:
        """Close all connections."""
        for client in self._sockets:
            client.close()


async def wait_until_at_rest(process_id: int) -> None:
    """Return once a process has nothing to do, has ended or ``REST_S`` are over."""
    n_asleep = 0
    for _ in range(int(REST_S / SAMPLE_S)):
        await asyncio.sleep(SAMPLE_S)
        if n_asleep >= N_ASLEEP:
            return
        n_asleep = n_asleep + 1 if _is_asleep(process_id) else 0


def _is_asleep(process_id: int) -> bool:
    """Return whether a process neither runs nor waits for a processor."""
    try:
        text = Path(f"/proc/{process_id}/stat").read_text()
    except OSError:
        return True  # it has ended
    return text.rpartition(") ")[2].startswith("S")


async def ask_whole(address: Address, pieces: Iterable[bytes]) -> int:
    """Send one request and return the status of its answer, 0 without one."""
    try:
        reader, writer = await asyncio.open_connection(*address)
    except OSError:
        return 0
    try:
        for piece in pieces:
            writer.write(piece)
            await writer.drain()
        line = await reader.readline()
        return int(line.split()[1]) if line else 0
    except OSError:
        return 0
    finally:
        writer.close()


def frame_short_of_its_end(n_bytes: int) -> Iterator[bytes]:
    """Return most of a frame that a host would send to another one."""
    yield n_bytes.to_bytes(4)
    for _ in range(n_bytes // PIECE_BYTES - 1):
        yield bytes(PIECE_BYTES)


def large_head(path: str, n_bytes: int) -> Iterator[bytes]:
    """Return a request whose headers have ``n_bytes``."""
    n_pad = n_bytes - 100
    yield _request("POST", path, f"X-Pad: {'x' * n_pad}\r\nContent-Length: 0\r\n")
