"""A process with a runner whose answers never end.

Usage: ``flooding_runner.py PORT FLOOD``. Reports are sound. It ends with its input and
prints how many requests it has begun to answer.
"""

from __future__ import annotations

import asyncio
import sys

from damaskjunction.standins.floods import FLOODS_BY_NAME

REPORT_TARGET = b" /damaskjunction/report "
REPORT = b'{"Running": 0, "Waiting": 0}'
LARGE_TEXT = b"x" * 20_000
answered: list[bytes] = []
# The texts of events that are numbered, as those of a stream have to be.
EVENT_TEXTS = {"small events": b"", "large events": LARGE_TEXT}
EVENTS_AT_ONCE = {"small events": 4000, "large events": 4}


def _header_of(head: bytes, name: bytes) -> bytes:
    for line in head.split(b"\r\n"):
        if line.lower().startswith(name + b":"):
            return line.partition(b":")[2].strip()
    return b""


async def _answer(writer: asyncio.StreamWriter, head: bytes, flood: str) -> None:
    request_id = _header_of(head, b"x-request-id")
    answered.append(request_id)
    common = (
        b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
        b"X-Request-Id: " + request_id + b"\r\nX-Response-Stamp: s\r\n"
    )
    if flood in FLOODS_BY_NAME:
        writer.write(common + FLOODS_BY_NAME[flood].first)
        while True:
            writer.write(FLOODS_BY_NAME[flood].repeated)
            await writer.drain()
    writer.write(common + b"\r\n")
    number = int(_header_of(head, b"last-event-id") or 0)
    while True:
        for _ in range(EVENTS_AT_ONCE[flood]):
            number += 1
            writer.write(b"id: %d\ndata: %s\n\n" % (number, EVENT_TEXTS[flood]))
        await writer.drain()


async def _serve(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, flood: str
) -> None:
    try:
        while True:
            head = await reader.readuntil(b"\r\n\r\n")
            length = int(_header_of(head, b"content-length") or 0)
            await reader.readexactly(length)
            if REPORT_TARGET in head:
                writer.write(
                    b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(REPORT)
                )
                writer.write(REPORT)
            else:
                await _answer(writer, head, flood)
    except (OSError, asyncio.IncompleteReadError):
        return  # the caller has closed the connection
    finally:
        writer.close()


async def _main(port: int, flood: str) -> None:
    await asyncio.start_server(lambda r, w: _serve(r, w, flood), "127.0.0.1", port)
    print("ready", flush=True)
    await asyncio.get_running_loop().run_in_executor(None, sys.stdin.read)
    print(len(answered), flush=True)


if __name__ == "__main__":
    asyncio.run(_main(int(sys.argv[1]), sys.argv[2]))
