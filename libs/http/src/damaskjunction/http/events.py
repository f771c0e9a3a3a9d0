"""Server-sent events, encoded and parsed without input or output."""

from __future__ import annotations

from typing import NamedTuple


class Event(NamedTuple):
    """One server-sent event; ``data`` is one line of JSON text."""

    name: str
    data: str


def encode_event(event: Event) -> bytes:
    """Return the bytes of ``event`` on the wire."""
    return f"event: {event.name}\ndata: {event.data}\n\n".encode()


class EventParser:
    """Incremental parser: bytes in, whole events out."""

    def __init__(self) -> None:
        self._rest = b""

    def feed(self, data: bytes) -> list[Event]:
        """Take bytes and return the events that they complete."""
        *blocks, self._rest = (self._rest + data).split(b"\n\n")
        return [_parse_block(block.decode()) for block in blocks if block.strip()]


def _parse_block(block: str) -> Event:
    name = "message"
    data = []
    for line in block.split("\n"):
        field, _, value = line.partition(":")
        if field == "event":
            name = value.strip()
        elif field == "data":
            data.append(value.removeprefix(" "))
    return Event(name, "\n".join(data))


class EventBlock(NamedTuple):
    """A whole event as received; ``event_id`` is None when it has none."""

    raw: bytes
    event_id: int | None
    data: str


class EventBlocks:
    """Incremental splitter: bytes in, whole events out as they were received."""

    def __init__(self) -> None:
        self._rest = b""

    @property
    def is_between_events(self) -> bool:
        """Whether all bytes so far belong to whole events."""
        return not self._rest

    def feed(self, data: bytes) -> list[EventBlock]:
        """Take bytes and return the events that they complete."""
        *blocks, self._rest = (self._rest + data).split(b"\n\n")
        return [_to_block(block) for block in blocks]


def _to_block(block: bytes) -> EventBlock:
    event_id = None
    data = []
    for line in block.decode(errors="replace").split("\n"):
        field, _, value = line.partition(":")
        value = value.removeprefix(" ")
        if field == "id" and value.strip().isdigit():
            event_id = int(value)
        elif field == "data":
            data.append(value)
    return EventBlock(block + b"\n\n", event_id, "\n".join(data))
