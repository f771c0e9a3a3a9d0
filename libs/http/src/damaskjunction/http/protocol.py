"""What the server's and the client's connections do alike with h11."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

import h11

UNLISTED_NAMES = ("set-cookie",)  # whose values may hold commas


def decode_headers(headers: Iterable[tuple[bytes, bytes]]) -> dict[str, str]:
    """Return headers as text by their names, which h11 gives in lower case.

    The values of a name that comes in several lines are joined by commas, as a list;
    of ``UNLISTED_NAMES`` the last line counts.
    """
    values_by_name: dict[str, str] = {}
    for raw_name, raw_value in headers:
        name, value = raw_name.decode("ascii"), raw_value.decode("latin-1")
        if name in values_by_name and name not in UNLISTED_NAMES:
            value = f"{values_by_name[name]},{value}"
        values_by_name[name] = value
    return values_by_name


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
