"""A process with a peer that sends without end, and with a sound one.

Usage: ``flood_peer.py FLOOD``. It prints the ports of the two, and ends with its input.
"""

from __future__ import annotations

import asyncio
import sys

from damaskjunction.standins.floods import FLOODS_BY_NAME

HEAD = b"HTTP/1.1 200 OK\r\n"
INTERIM_HEAD = b"HTTP/1.1 100 Continue\r\n"
SOUND_RESPONSE = HEAD + b"Content-Length: 2\r\n\r\nok"
REQUEST_END = b"\r\n\r\n"
IDLE_S = 0.3  # until bytes follow a whole response
AFTER_RESPONSE = "bytes after the response"
INTERIM_HEADS = "interim heads"


async def _write_without_end(writer: asyncio.StreamWriter, flood: str) -> None:
    if flood == AFTER_RESPONSE:
        writer.write(SOUND_RESPONSE)
        await asyncio.sleep(IDLE_S)
        flood = "a body"
    else:
        writer.write(INTERIM_HEAD if flood == INTERIM_HEADS else HEAD)
        writer.write(FLOODS_BY_NAME[flood].first)
    while True:
        writer.write(FLOODS_BY_NAME[flood].repeated)
        await writer.drain()


async def _flood(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, flood: str
) -> None:
    try:
        await reader.readuntil(REQUEST_END)
        await _write_without_end(writer, flood)
    except (OSError, asyncio.IncompleteReadError):
        writer.close()


async def _serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    try:
        while True:
            await reader.readuntil(REQUEST_END)
            writer.write(SOUND_RESPONSE)
            await writer.drain()
    except (OSError, asyncio.IncompleteReadError):
        writer.close()


async def _main(flood: str) -> None:
    servers = [
        await asyncio.start_server(lambda r, w: _flood(r, w, flood), "127.0.0.1", 0),
        await asyncio.start_server(_serve, "127.0.0.1", 0),
    ]
    ports = (str(server.sockets[0].getsockname()[1]) for server in servers)
    print(*ports, flush=True)
    await asyncio.get_running_loop().run_in_executor(None, sys.stdin.read)


if __name__ == "__main__":
    asyncio.run(_main(sys.argv[1]))
