"""What faulty peers send without end, after the first lines of a response's head."""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

from damaskjunction.core.units import KIB

BLOCK_BYTES = 64 * KIB
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"


class Flood(NamedTuple):
    """``first`` is sent once, then ``repeated`` without end."""

    first: bytes
    repeated: bytes


def _repeat(part: bytes) -> bytes:
    return part * (BLOCK_BYTES // len(part))


FLOODS_BY_NAME: Mapping[str, Flood] = {
    "header lines": Flood(b"", _repeat(b"X-A: " + b"a" * 500 + b"\r\n")),
    "one header line": Flood(b"X-A: ", _repeat(b"a")),
    "a body": Flood(b"\r\n", _repeat(b"x")),
    "a body of a known length": Flood(
        b"Content-Length: 99999999999\r\n\r\n", _repeat(b"x")
    ),
    "chunks of two bytes": Flood(CHUNKED, _repeat(b"2\r\nab\r\n")),
    "chunks of one byte": Flood(CHUNKED, _repeat(b"1\r\na\r\n")),
    "a chunk header": Flood(CHUNKED, _repeat(b"0")),
    "a chunk extension": Flood(CHUNKED + b"5;", _repeat(b"e")),
    "trailers": Flood(CHUNKED + b"0\r\n", _repeat(b"X-T: " + b"t" * 500 + b"\r\n")),
    "one event": Flood(CHUNKED, b"10000\r\n" + _repeat(b"x") + b"\r\n"),
    "one event in small chunks": Flood(CHUNKED, _repeat(b"2\r\nxx\r\n")),
    "empty events": Flood(b"\r\n", _repeat(b"data:\n\n")),
    "interim heads": Flood(b"\r\n", _repeat(b"HTTP/1.1 100 Continue\r\n\r\n")),
}
