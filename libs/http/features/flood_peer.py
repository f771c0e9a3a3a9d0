"""A process with a peer that sends without end, and with a sound one.

Usage: ``flood_peer.py FLOOD``. It prints the ports of the two, and ends with its input.
"""

from __future__ import annotations

import asyncio
import sys

HEAD = b"HTTP/1.1 200 OK\r\n"
SOUND_RESPONSE = HEAD + b"Content-Length: 2\r\n\r\nok"
CHUNKED_HEAD = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
REQUEST_END = b"\r\n\r\n"
BLOCK_BYTES = 64 * 1024
IDLE_S = 0.3  # until bytes follow a whole response


def _repeat(part: bytes) -> bytes:
    return part * (BLOCK_BYTES // len(part))


# What is sent first, and what is then repeated without end.
FLOODS = {
    "header lines": (HEAD, _repeat(b"X-A: " + b"a" * 500 + b"\r\n")),
    "one header line": (HEAD + b"X-A: ", _repeat(b"a")),
    "interim heads": (b"", _repeat(b"HTTP/1.1 100 Continue\r\n\r\n")),
    "a body": (HEAD + b"\r\n", _repeat(b"x")),
    "a body of a known length": (
        HEAD + b"Content-Length: 99999999999\r\n\r\n",
        _repeat(b"x"),
    ),
    "chunks of two bytes": (CHUNKED_HEAD, _repeat(b"2\r\nab\r\n")),
    "chunks of one byte": (CHUNKED_HEAD, _repeat(b"1\r\na\r\n")),
    "a chunk header": (CHUNKED_HEAD, _repeat(b"0")),
    "a chunk extension": (CHUNKED_HEAD + b"5;", _repeat(b"e")),
    "trailers": (CHUNKED_HEAD + b"0\r\n", _repeat(b"X-T: " + b"t" * 500 + b"\r\n")),
    "one event": (CHUNKED_HEAD, b"10000\r\n" + _repeat(b"x") + b"\r\n"),
    "one event in small chunks": (CHUNKED_HEAD, _repeat(b"2\r\nxx\r\n")),
    "empty events": (HEAD + b"\r\n", _repeat(b"data:\n\n")),
    "bytes after the response": (SOUND_RESPONSE, _repeat(b"x")),
}


async def _flood(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, flood: str
) -> None:
    first, repeated = FLOODS[flood]
    try:
        await reader.readuntil(REQUEST_END)
        writer.write(first)
        if first.endswith(SOUND_RESPONSE):
            await asyncio.sleep(IDLE_S)
        while True:
            writer.write(repeated)
            await writer.drain()
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
