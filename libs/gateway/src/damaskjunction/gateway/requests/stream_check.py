"""Checks that what a runner sends continues a stream."""

from __future__ import annotations

from typing import NamedTuple

from damaskjunction.core import Outcome
from damaskjunction.gateway.runners.runner_responses import (
    RunnerFailedError,
)
from damaskjunction.http import RawEvent, RawEventParser

FIRST_EVENT_ID = 1


class StreamPart(NamedTuple):
    """The next events of a stream, and why no more of it can follow, empty if it can.

    The events hold in any case.
    """

    events: tuple[RawEvent, ...]
    fault: str


class StreamCheck:
    """Checks the events of one runner's answer; each must follow on the one before.

    The ids of a stream count its events, from ``FIRST_EVENT_ID`` on.

    Parameters
    ----------
    last_event_id : int or None
        The event after which the runner was asked to go on; None for a new stream.
    """

    def __init__(self, last_event_id: int | None) -> None:
        self._last_event_id = last_event_id
        self._parser = RawEventParser()

    @property
    def last_event_id(self) -> int | None:
        """The last event that is known, None before the first."""
        return self._last_event_id

    @property
    def n_buffered(self) -> int:
        """Bytes of the event that is not complete."""
        return self._parser.n_buffered

    def feed(self, data: bytes) -> StreamPart:
        """Add bytes of the answer and return the events that they complete.

        Raises
        ------
        BrokenResponseError
            When an event is too large.
        """
        events: list[RawEvent] = []
        for event in self._parser.feed(data):
            if fault := self._find_fault(event):
                return StreamPart(tuple(events), fault)
            self._last_event_id = event.event_id
            events.append(event)
        return StreamPart(tuple(events), "")

    def _find_fault(self, event: RawEvent) -> str:
        if b"\r" in event.raw:
            return "bytes of another answer"  # a head has carriage returns
        last_event_id = self._last_event_id
        due = FIRST_EVENT_ID if last_event_id is None else last_event_id + 1
        if event.event_id != due:
            return f"event {event.event_id} where {due} was due"
        return ""

    def check_end(self) -> None:
        """Check that the answer may end here.

        Nothing may follow the event after which it was to go on, when only the end of
        the stream was lost.

        Raises
        ------
        RunnerFailedError
            When it ends within an event, or is a new stream without any.
        """
        if not self._parser.is_between_events:
            raise RunnerFailedError(Outcome.RAN, "stream_cut", "within an event")
        if self._last_event_id is None:
            raise RunnerFailedError(Outcome.RAN, "stream_cut", "before any event")
