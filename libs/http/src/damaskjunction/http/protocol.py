"""What the server's and the client's connections do alike with h11."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

import h11


def decode_headers(headers: Iterable[tuple[bytes, bytes]]) -> dict[str, str]:
    """Return headers as text by their names, which h11 gives in lower case."""
    return {name.decode("ascii"): value.decode("latin-1") for name, value in headers}


def encode_headers(headers: Mapping[str, str]) -> list[tuple[bytes, bytes]]:
    """Return headers in the encoding that ``decode_headers`` reads."""
    return [
        (name.encode("ascii"), value.encode("latin-1"))
        for name, value in headers.items()
    ]


def prepare_for_reuse(protocol: h11.Connection) -> bool:
    """Prepare for the next exchange; return whether both sides have ended this one."""
    if protocol.our_state is not h11.DONE or protocol.their_state is not h11.DONE:
        return False
    protocol.start_next_cycle()
    return True
