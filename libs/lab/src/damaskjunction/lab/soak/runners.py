"""Runners of a soak, which record what they run in its history."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncGenerator, AsyncIterator, Callable
from functools import partial
from typing import Any, Self, cast

from damaskjunction.core import LoopTimers, RequestId
from damaskjunction.http import EVENT_STREAM_TYPE, Request, Response
from damaskjunction.lab.soak.history import (
    NOT_RUN_STATUSES,
    Event,
    History,
    Run,
    RunEnd,
    RunnerEnd,
    RunnerLife,
)
from damaskjunction.lab.soak.runner_paths import EndpointPaths
from damaskjunction.standins import (
    RawRequest,
    RawRunnerStandin,
    RunnerStandin,
)

ITEM_PREFIX = "job"  # of the ids of batch items
ITEM_EVENT_INTERVAL_S = 0.1  # besides that of all streams
WORKSPACE_HEADER, KEY_HEADER = "x-tenant", "authorization"
LIFE_HEADER = "X-Soak-Runner"  # in each answer: the life of the runner that wrote it


class RecordedEvents:
    """Events of an answer, whose end is recorded also if no event was ever read.

    Parameters
    ----------
    events : AsyncIterator of bytes
        The events; an asynchronous generator.
    interval_s : float
        Seconds to wait after each event.
    record_end : callable
        Called once they have ended or are closed.
    """

    def __init__(
        self,
        events: AsyncIterator[bytes],
        interval_s: float,
        record_end: Callable[[], None],
    ) -> None:
        self._events = cast(AsyncGenerator[bytes], events)
        self._interval_s = interval_s
        self._record_end = record_end
        self._has_begun = self._has_ended = False

    def __aiter__(self) -> Self:
        return self

    async def __anext__(self) -> bytes:
        if self._has_begun:
            await asyncio.sleep(self._interval_s)
        self._has_begun = True
        try:
            return await anext(self._events)
        except BaseException:
            self._end()
            raise

    async def aclose(self) -> None:
        """Close the events."""
        await self._events.aclose()
        self._end()

    def _end(self) -> None:
        if not self._has_ended:
            self._has_ended = True
            self._record_end()


class SoakRunner(RunnerStandin):
    """A runner that records each request it begins to process in the history.

    While its process is down, the paths to it refuse connections as well. Each event
    names the version of its software. Events of batch items are slow, so that others
    wait.

    Parameters
    ----------
    history : History
        Receives its runs.
    timers : Timers
        The soak's timer service.
    paths : EndpointPaths
        The paths to its endpoint.
    life_id : str
        Identifies it among all runners of the soak, also those with the same id.

    Attributes
    ----------
    event_interval_s : float
        Seconds to wait after each event of a stream, besides the usual.
    """

    def __init__(
        self,
        history: History,
        timers: LoopTimers,
        paths: EndpointPaths,
        life_id: str,
        *args: Any,
        **kwargs: Any,
    ):
        super().__init__(*args, **kwargs)
        self.life_id = life_id
        self.event_interval_s = 0.0
        self._leaves_at_s: float | None = None
        self._drains_at_s: float | None = None
        self._history = history
        self._timers = timers
        self._paths = paths
        self._started_at_s = timers.now()

    async def close(self) -> None:
        """Stop serving."""
        await super().close()
        self._record_end_of_process()
        life = RunnerLife(
            self.life_id,
            self.version,
            self._started_at_s,
            self._timers.now(),
            self._leaves_at_s,
            self._drains_at_s,
        )
        self._history.lives.append(life)

    def _record_end_of_process(self) -> None:
        end = RunnerEnd(self.runner_id, self._timers.now())
        self._history.runner_ends.append(end)

    def announce_end(self, *, in_reports: bool) -> None:
        """Say in all responses from now on that it is leaving, and in reports too."""
        self.faults["leaving"] = 1
        self.faults["report_leaving"] = int(in_reports)
        self._leaves_at_s = self._timers.now()

    def register_in_store(self, state: str) -> None:
        """Register in the store with a state, or update the state."""
        super().register_in_store(state)
        if state == "draining":
            self._drains_at_s = self._timers.now()

    async def close_and_restart(self) -> None:
        """End like a process that crashes, and start again."""
        self._paths.refuse()
        self._record_end_of_process()
        await super().close_and_restart()
        self._paths.listen()

    def record_run(self, request_id: RequestId, last_event_id: str) -> None:
        """Record that the processing of a request begins."""
        super().record_run(request_id, last_event_id)
        last = int(last_event_id) if last_event_id else -1
        headers = self.headers_by_request[request_id]
        run = Run(
            request_id,
            self.runner_id,
            self._timers.now(),
            last,
            self.life_id,
            headers.get(WORKSPACE_HEADER, ""),
            KEY_HEADER in headers,
        )
        self._history.runs.append(run)

    def event_text(self, number: int, body: bytes) -> str:
        """Return the data of an event, which names its stream by the request's body."""
        return Event(number, self.version, body.decode()).text

    async def _serve(self, request: Request) -> Response:
        request_id = request.headers.get("x-request-id", "")
        try:
            response = await super()._serve(request)
        except BaseException:
            self._record_end(request_id, 0)
            raise
        headers = {**response.headers, LIFE_HEADER: self.life_id}
        response = response._replace(headers=headers)
        if not isinstance(response.body, bytes):
            interval_s = self.event_interval_s
            if request_id.startswith(ITEM_PREFIX):
                interval_s = ITEM_EVENT_INTERVAL_S
            end = partial(self._record_end, request_id, 200)
            events = RecordedEvents(response.body, interval_s, end)
            return response._replace(body=events)
        if response.status not in NOT_RUN_STATUSES:
            self._record_end(request_id, response.status)
        return response

    def _record_end(self, request_id: RequestId, status: int) -> None:
        if request_id:  # a report has none
            end = RunEnd(request_id, self.life_id, self._timers.now(), status)
            self._history.run_ends.append(end)


class FaultyRunner(RawRunnerStandin):
    """A runner that answers by a script and records each request it runs.

    Parameters
    ----------
    history : History
        Receives its runs.
    timers : Timers
        The soak's timer service.
    n_events : int
        Number of events of its answers, which are no streams if it is 0.
    """

    def __init__(
        self,
        history: History,
        timers: LoopTimers,
        n_events: int,
        *args: Any,
        **kwargs: Any,
    ) -> None:
        content_type = EVENT_STREAM_TYPE if n_events else "text/plain"
        super().__init__(
            *args, content_type=content_type, has_true_reports=True, **kwargs
        )
        self._history = history
        self._timers = timers
        self._n_events = n_events

    async def close(self) -> None:
        """End like a process."""
        await super().close()
        end = RunnerEnd(self.runner_id, self._timers.now())
        self._history.runner_ends.append(end)

    def record_run(self, request: RawRequest) -> None:
        """Record that a request begins to run."""
        super().record_run(request)
        last = int(request.last_event_id) if request.last_event_id else -1
        run = Run(request.request_id, self.runner_id, self._timers.now(), last)
        self._history.runs.append(run)

    def record_end(self, request: RawRequest, status: int) -> None:
        """Record that the work on a request has ended."""
        self._history.run_ends.append(
            RunEnd(request.request_id, self.runner_id, self._timers.now(), status)
        )

    def encode_event(self, number: int, request: RawRequest) -> bytes:
        """Return an event of the answer to a request."""
        event = Event(number, self.version, request.body.decode())
        return event.encode(self.version)

    def answer_body(self, request: RawRequest) -> bytes:
        """Return the rest of a stream, or the plain body."""
        if not self._n_events:
            return super().answer_body(request)
        first = int(request.last_event_id or 0) + 1
        return b"".join(
            self.encode_event(number, request)
            for number in range(first, self._n_events + 1)
        )
