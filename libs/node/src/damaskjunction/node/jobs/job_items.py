"""Runs individual items of batch jobs, with retries."""

from __future__ import annotations

import asyncio
import uuid
from collections.abc import Awaitable, Callable
from contextlib import aclosing

from damaskjunction.batch import (
    PREEMPTED,
    GiveUp,
    InFlightWindow,
    ItemDocument,
    ItemErrorDocument,
    ItemRetryState,
    JobDocument,
    ResultDocument,
    encode,
)
from damaskjunction.core import Outcome, RequestError, Timers, WorkClass
from damaskjunction.node.jobs.job_slots import ItemSlots
from damaskjunction.node.serving.caller_request import CallerRequest
from damaskjunction.node.serving.caller_routes import ENGINE_PATH, JSON_TYPE
from damaskjunction.node.serving.metering import Meter, RequestRunner
from damaskjunction.routing import Token
from damaskjunction.telemetry import Metrics

BASE_TIMEOUT_S = 60.0
TIMEOUT_PER_TOKEN_S = 0.5
FAILED_ATTEMPTS_METRIC = "batch_items_turned_away_total"


class ItemRunner:
    """Runs items, each until it has a result or may not be retried.

    Parameters
    ----------
    request_runner : RequestRunner
        Runs requests.
    slots : ItemSlots
        Limits the items in flight on this host.
    window : InFlightWindow
        Its limit adapts to the first-token latencies and refusals of attempts.
    meter : Meter
        Estimates the cost of an item.
    timers : Timers
        The process's timer service.
    metrics : Metrics
        Counts attempts and failed items.
    """

    def __init__(
        self,
        request_runner: RequestRunner,
        slots: ItemSlots,
        window: InFlightWindow,
        *,
        meter: Meter,
        timers: Timers,
        metrics: Metrics,
    ) -> None:
        self._request_runner = request_runner
        self._slots = slots
        self._window = window
        self._meter = meter
        self._timers = timers
        self._metrics = metrics

    async def run(
        self,
        job: JobDocument,
        index: int,
        item: ItemDocument,
        *,
        max_tries: int,
        may_start: Callable[[], Awaitable[bool]],
    ) -> ResultDocument | None:
        """Return the item's result, or None when the item may not start.

        ``may_start`` is awaited before each attempt; it returns False when the claim of
        the chunk is lost or stopped. A retry resumes after the tokens received so far.
        """
        texts: list[str] = []
        retry_state = ItemRetryState(max_tries)
        while True:
            n_remaining = item["max_tokens"] - len(texts)
            request = _make_request(job, item, len(texts))
            await self._slots.acquire(
                request.request_id, self._meter.estimate_cost(n_remaining)
            )
            try:
                if not await may_start():
                    return None
                await self._run_attempt(request, texts)
                return {"index": index, "text": "".join(texts)}
            except RequestError as error:
                decision = retry_state.next_step(error)
                self._record_failure(error)
            finally:
                self._slots.release(request.request_id)
            if isinstance(decision, GiveUp):
                self._metrics.count(
                    "batch_items_given_up_total", reason=decision.reason
                )
                return {"index": index, "error": _error_to_document(decision)}
            await asyncio.sleep(decision.delay_s)

    async def _run_attempt(self, request: CallerRequest, texts: list[str]) -> None:
        started_s = self._timers.now()
        has_first_token = False
        self._metrics.count("batch_runs_total")
        async with aclosing(self._request_runner.run(request)) as messages:
            async for message in messages:
                if not isinstance(message, Token):
                    continue
                texts.append(message.text)
                if not has_first_token:
                    has_first_token = True
                    wait_s = self._timers.now() - started_s
                    self._window.record_first_token(wait_s, self._slots.n_in_flight)
                    self._metrics.observe_duration("batch_first_token_seconds", wait_s)

    def _record_failure(self, error: RequestError) -> None:
        self._metrics.count(FAILED_ATTEMPTS_METRIC, reason=error.reason)
        if error.outcome is Outcome.NOT_RUN or error.reason == PREEMPTED:
            self._window.record_refusal()


def _error_to_document(give_up: GiveUp) -> ItemErrorDocument:
    return {"reason": give_up.reason, "detail": give_up.detail, "tries": give_up.tries}


def _make_request(
    job: JobDocument, item: ItemDocument, n_received: int
) -> CallerRequest:
    return CallerRequest(
        request_id=uuid.uuid4().hex,
        service=job["service"],
        workspace=job["workspace"],
        work_class=WorkClass.BATCH,
        deadline_s=BASE_TIMEOUT_S + TIMEOUT_PER_TOKEN_S * item["max_tokens"],
        idempotent=True,
        path=ENGINE_PATH,
        content_type=JSON_TYPE,
        body=encode(item),
        prompt=item["prompt"],
        from_token=n_received,
    )
