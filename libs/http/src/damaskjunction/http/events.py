"""Encoder and incremental parsers for server-sent events; performs no I/O."""

from __future__ import annotations

from typing import NamedTuple

from damaskjunction.core import parse_digits
from damaskjunction.core.units import KIB
from damaskjunction.http.messages import BrokenResponseError

MAX_EVENT_BYTES = 128 * KIB


class Event(NamedTuple):
    """A server-sent event; ``data`` is a single line of JSON."""

    name: str
    data: str


def encode_event(event: Event) -> bytes:
    """Return ``event`` in the ``text/event-stream`` format."""
    return f"event: {event.name}\ndata: {event.data}\n\n".encode()


class EventParser:
    """Incremental parser that turns chunks of a stream into events."""

    def __init__(self) -> None:
        self._buffer = b""

    @property
    def n_buffered(self) -> int:
        """Bytes of the event that is not complete."""
        return len(self._buffer)

    def feed(self, data: bytes) -> list[Event]:
        """Add a chunk of the stream and return the events that it completes.

        Raises
        ------
        BrokenResponseError
            When an event is larger than ``MAX_EVENT_BYTES``.
        """
        *blocks, self._buffer = (self._buffer + data).split(b"\n\n")
        _check_size(self._buffer)
        return [
            _parse_event(block.decode(errors="replace"))
            for block in blocks
            if block.strip()
        ]


def _parse_event(block: str) -> Event:
    name = "message"
    data = []
    for line in block.split("\n"):
        field, _, value = line.partition(":")
        if field == "event":
            name = value.strip()
        elif field == "data":
            data.append(value.removeprefix(" "))
    return Event(name, "\n".join(data))


def _check_size(incomplete_event: bytes) -> None:
    if len(incomplete_event) > MAX_EVENT_BYTES:
        raise BrokenResponseError("an event is too large")


class RawEvent(NamedTuple):
    """A complete event with its bytes as received.

    ``event_id`` is None when the event has no numeric id.
    """

    raw: bytes
    event_id: int | None
    data: str


class RawEventParser:
    """Incremental parser that keeps the bytes of each event as received."""

    def __init__(self) -> None:
        self._buffer = b""

    @property
    def n_buffered(self) -> int:
        """Bytes of the event that is not complete."""
        return len(self._buffer)

    @property
    def is_between_events(self) -> bool:
        """Whether the stream so far ends at the end of an event."""
        return not self._buffer

    def feed(self, data: bytes) -> list[RawEvent]:
        """Add a chunk of the stream and return the events that it completes.

        Raises
        ------
        BrokenResponseError
            When an event is larger than ``MAX_EVENT_BYTES``.
        """
        *blocks, self._buffer = (self._buffer + data).split(b"\n\n")
        _check_size(self._buffer)
        return [_parse_raw_event(block) for block in blocks]


def _parse_raw_event(block: bytes) -> RawEvent:
    event_id = None
    data = []
    for line in block.decode(errors="replace").split("\n"):
        field, _, value = line.partition(":")
        value = value.removeprefix(" ")
        if field == "id":
            number = parse_digits(value.strip())
            event_id = event_id if number is None else number
        elif field == "data":
            data.append(value)
    return RawEvent(block + b"\n\n", event_id, "\n".join(data))
