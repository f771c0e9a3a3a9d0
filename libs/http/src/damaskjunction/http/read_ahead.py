"""What arrives on a connection while an earlier request on it is served."""

from __future__ import annotations

import asyncio

from damaskjunction.core.units import KIB
from damaskjunction.http.client_memory import ClientMemory
from damaskjunction.http.sockets import has_hung_up

READ_AHEAD_BYTES = 16 * KIB
# With what the transport, its stream reader and the parser have read.
FULL_BYTES = 128 * KIB
HANG_UP_POLL_S = 0.2


class AheadReader:
    """Reads a connection; keeps a bounded part of what arrives too early.

    Parameters
    ----------
    reader, writer : asyncio.StreamReader, asyncio.StreamWriter
        The connection.
    memory : ClientMemory
        Counts what full connections hold.
    """

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        memory: ClientMemory,
    ) -> None:
        self._reader = reader
        self._writer = writer
        self._memory = memory
        self._ahead = b""

    async def read(self, n_bytes: int) -> bytes:
        """Read what arrives, and what was kept before that; empty at the end."""
        if self._ahead:
            data, self._ahead = self._ahead, b""
            return data
        return await self._reader.read(n_bytes)

    async def wait_for_disconnect(self) -> None:
        """Return when the peer has closed the connection, or was dropped."""
        while len(self._ahead) < READ_AHEAD_BYTES:
            try:
                data = await self._reader.read(READ_AHEAD_BYTES - len(self._ahead))
            except OSError:
                return  # a reset is an end, too
            if not data:
                return
            self._ahead += data
        await self._wait_for_hang_up()

    async def _wait_for_hang_up(self) -> None:
        """Return when the peer has closed; its end lies behind what is not read."""
        holding = self._memory.open(self._writer.transport.abort)
        try:
            holding.resize(FULL_BYTES)
            # No event tells of it.
            while not (holding.is_dropped or has_hung_up(self._writer)):  # noqa: ASYNC110
                await asyncio.sleep(HANG_UP_POLL_S)
        finally:
            holding.close()
