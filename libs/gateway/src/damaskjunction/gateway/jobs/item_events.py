"""The events of an item's answer, as they arrive from its runner."""

from __future__ import annotations

from damaskjunction.core import Outcome, Timers
from damaskjunction.core.units import MIB
from damaskjunction.gateway.jobs.item_progress import ItemProgress
from damaskjunction.gateway.jobs.silence_watch import STALL_TIMEOUT_S
from damaskjunction.gateway.requests.stream_check import StreamCheck
from damaskjunction.gateway.runners.runner_responses import (
    RunnerFailedError,
    RunnerResponse,
)
from damaskjunction.http import BrokenResponseError

MAX_OUTPUT_BYTES = 8 * MIB


async def collect_events(
    progress: ItemProgress, response: RunnerResponse, timers: Timers
) -> None:
    """Add the events of an answer to an item's progress, up to its end.

    Raises
    ------
    RunnerFailedError
        When the answer is incomplete, or is that to another request.
    """
    check = StreamCheck(progress.last_event_id)
    event_at_s = timers.now()
    try:
        async for chunk in response.body.chunks():
            progress.hearing.record()
            part = check.feed(chunk)
            response.body.keep(check.n_buffered)
            event_at_s = timers.now() if part.events else event_at_s
            # After a silence it may send the rest of an event first.
            event_at_s = max(event_at_s, progress.hearing.silence_ended_at_s)
            if timers.now() - event_at_s > STALL_TIMEOUT_S:
                raise BrokenResponseError("no event, though bytes arrive")
            for event in part.events:
                progress.add_event(
                    event, response.runner, is_proved=response.is_process_proved
                )
            if part.fault:
                raise RunnerFailedError(
                    Outcome.RAN, "foreign_event", part.fault, is_fault=True
                )
            if progress.n_bytes > MAX_OUTPUT_BYTES:
                raise BrokenResponseError("the output is too large")
        progress.check_kept()
    except BrokenResponseError as error:
        raise RunnerFailedError(
            Outcome.RAN, "stream_cut", str(error), is_fault=True
        ) from None
    check.check_end()
