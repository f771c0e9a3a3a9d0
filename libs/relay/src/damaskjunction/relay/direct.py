"""Direct connections from this host to runners."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from typing import NamedTuple

from damaskjunction.core import Address, HostId
from damaskjunction.core.units import MILLISECOND_S
from damaskjunction.http import (
    RECEIVE_BUFFER_BYTES,
    bound_receive_buffer,
    enable_tcp_keepalive,
)
from damaskjunction.routing import Reach

PROOF_S = 30 * MILLISECOND_S  # for which a connection has to last


class Streams(NamedTuple):
    """The streams of an open connection."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter


class Attempt(NamedTuple):
    """What came of an attempt to connect to a runner.

    ``streams`` are None unless it is connected. ``relay`` is the host through which it
    was made, empty for a direct one.
    """

    reach: Reach
    streams: Streams | None = None
    relay: HostId = ""


async def open_connection(address: Address) -> Streams:
    """Open a connection to a runner; raises OSError when it fails."""
    streams = Streams(
        *await asyncio.open_connection(*address, limit=RECEIVE_BUFFER_BYTES)
    )
    enable_tcp_keepalive(streams.writer)
    bound_receive_buffer(streams.writer)
    return streams


class DirectPath:
    """The path from this host to runners."""

    async def connect(self, address: Address, timeout_s: float) -> Attempt:
        """Attempt to connect to a runner within ``timeout_s`` seconds."""
        try:
            async with asyncio.timeout(timeout_s):
                return Attempt(Reach.CONNECTED, await open_connection(address))
        except ConnectionRefusedError:
            return Attempt(Reach.REFUSED)
        except (OSError, TimeoutError):
            return Attempt(Reach.SILENT)

    async def connect_lastingly(self, address: Address, timeout_s: float) -> Attempt:
        """Attempt to connect; a connection that ends by itself at once is none."""
        return await proved(await self.connect(address, timeout_s))

    async def probe(self, address: Address, timeout_s: float) -> Reach:
        """Return what comes of an attempt whose connection is not used."""
        attempt = await self.connect_lastingly(address, timeout_s)
        abort(attempt)
        return attempt.reach


async def proved(attempt: Attempt) -> Attempt:
    """Return an attempt once its connection has proved to last.

    Something between this host and the runner may accept a connection and reset it.
    """
    if attempt.streams is None:
        return attempt
    ending = asyncio.ensure_future(_wait_for_end(attempt.streams.reader))
    try:
        await asyncio.wait((ending,), timeout=PROOF_S)
        if not ending.done():
            return attempt
    except BaseException:
        abort(attempt)
        raise
    finally:
        ending.cancel()
    abort(attempt)
    return Attempt(Reach.SILENT)


async def _wait_for_end(reader: asyncio.StreamReader) -> None:
    """Wait until a connection on which nothing is expected ends or is reset."""
    with suppress(OSError):  # a reset is an end
        await reader.read(1)


def abort(attempt: Attempt) -> None:
    """Close the connection of an attempt, if it has one."""
    if attempt.streams is not None:
        attempt.streams.writer.transport.abort()


def discard(task: asyncio.Task[Attempt]) -> None:
    """Cancel an attempt; close its connection if it comes all the same."""
    task.cancel()
    task.add_done_callback(_abort_if_connected)


def _abort_if_connected(task: asyncio.Task[Attempt]) -> None:
    if not task.cancelled() and task.exception() is None:
        abort(task.result())
