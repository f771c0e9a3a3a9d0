"""Runs of batch items at runners, until each has a result."""

from __future__ import annotations

import asyncio
import logging
from typing import NamedTuple

from damaskjunction.batch import BatchItem, ItemResult
from damaskjunction.core import (
    Outcome,
    RequestError,
    WorkClass,
    stable_hash,
)
from damaskjunction.gateway.dispatch_context import DispatchContext
from damaskjunction.gateway.job_book import KnownJob
from damaskjunction.gateway.result_writer import Pause
from damaskjunction.gateway.runner_client import (
    CRASH_REASONS,
    RunnerFailedError,
    find_runner,
)
from damaskjunction.gateway.slot_client import Slot
from damaskjunction.http import BrokenResponseError, ClientResponse, RawEventParser
from damaskjunction.node import end_tasks
from damaskjunction.platform import item_request
from damaskjunction.routing import Route
from damaskjunction.wire import RunnerSeen, SlotAsk

logger = logging.getLogger(__name__)

MAX_ITEMS_AT_ONCE = 64
ITEM_TIME_S = 60.0
STALL_S = 3.0
MAX_BREAKS = 3
MAX_LATE_TRIES = 3
LATE_TRY_S = 4.0
DEFAULT_RETENTION_S = 60.0
NEVER_DONE_STATUS = 422


class ItemEnd(NamedTuple):
    """How one run of an item ended; ``reason`` is for logs."""

    is_whole: bool
    is_final: bool
    reason: str


class _ItemRun:
    """What is known of an item over all its runs."""

    def __init__(self, item: BatchItem, began_at_s: float) -> None:
        self.item = item
        self.began_at_s = began_at_s
        self.texts: list[str] = []
        self.last_event_id: int | None = None
        self.n_failures = 0
        self.n_breaks = 0
        self.avoid: set[str] = set()


class ItemRunner:
    """Runs items, a bounded number at once.

    Parameters
    ----------
    context : DispatchContext
        What items are sent by.
    pause : Pause
        Waits between tries.
    """

    def __init__(self, context: DispatchContext, pause: Pause) -> None:
        self._state = context.state
        self._slot_client = context.slot_client
        self._runner_client = context.runner_client
        self._timers = context.timers
        self._metrics = context.metrics
        self._pause = pause
        self._places = asyncio.Semaphore(MAX_ITEMS_AT_ONCE)

    async def run(self, job: KnownJob, item: BatchItem) -> ItemResult:
        """Run an item, again and at other runners, until it has a result."""
        run = _ItemRun(item, self._timers.now())
        async with self._places:
            end = await self._run_to_end(job, run)
        text = "\n".join(run.texts) if end.is_whole else ""
        extra = {"job": job.record.job_id, "item": item.item_id, "reason": end.reason}
        logger.info("item ended", extra=extra)
        self._metrics.count("items", is_whole=str(end.is_whole))
        return ItemResult(item.item_id, end.is_whole, text)

    async def _run_to_end(self, job: KnownJob, run: _ItemRun) -> ItemEnd:
        n_tries = 0
        while True:
            route = self._state.table.find_by_name(job.record.route_name)
            retention_s = DEFAULT_RETENTION_S if route is None else route.retention_s
            # Counted from here, since times of day differ and jump: never too early.
            left_s = run.began_at_s + retention_s - self._timers.now()
            if retention_s and left_s <= 0:
                return ItemEnd(False, True, "retention over")
            if route is None or run.n_breaks >= MAX_BREAKS + MAX_LATE_TRIES:
                await asyncio.sleep(min(max(left_s, 0.0) + 0.01, 1.0))
                continue
            if run.n_breaks >= MAX_BREAKS:
                await asyncio.sleep(LATE_TRY_S * 2.0 ** (run.n_breaks - MAX_BREAKS))
            end = await self._run_once(job, route, run)
            if end.is_final:
                return end
            if run.n_failures >= route.max_attempts:
                return ItemEnd(False, True, "failed at each attempt")
            if end.reason != "revoked":
                await self._pause(min(n_tries, 3))
                n_tries += 1

    async def _run_once(self, job: KnownJob, route: Route, run: _ItemRun) -> ItemEnd:
        try:
            slot = await self._take_slot(job, route, run)
        except RequestError as error:
            return ItemEnd(False, False, error.reason)
        run.avoid.clear()
        revoked = asyncio.ensure_future(slot.revoked.wait())
        work = asyncio.ensure_future(self._work(job, route, run, slot))
        try:
            await asyncio.wait((revoked, work), return_when=asyncio.FIRST_COMPLETED)
            if not work.done():
                return ItemEnd(False, False, "revoked")
            return work.result()
        except RunnerFailedError as error:
            self._note_failure(route, run, slot, error)
            return ItemEnd(False, False, error.reason)
        finally:
            await end_tasks([work, revoked])
            await slot.close()

    async def _take_slot(self, job: KnownJob, route: Route, run: _ItemRun) -> Slot:
        record = job.record
        request = item_request(run.item, record.host)
        due_at_s = record.sent_at_s + route.completion_target_s
        return await self._slot_client.acquire(
            SlotAsk(
                request_id=run.item.item_id,
                service_name=route.service_for(stable_hash(run.item.item_id)),
                work_class=WorkClass.BATCH,
                parts=request.shared_parts,
                avoid=tuple(run.avoid),
                start_within_s=ITEM_TIME_S,
                due_in_s=due_at_s - self._timers.wall(),
            )
        )

    async def _work(
        self, job: KnownJob, route: Route, run: _ItemRun, slot: Slot
    ) -> ItemEnd:
        """Send an item to a runner and collect what it makes.

        Raises
        ------
        RunnerFailedError
            When the output is not whole.
        """
        service = route.service_for(stable_hash(run.item.item_id))
        runner = find_runner(self._state.runners_of(service), slot.runner_id)
        if runner is None:
            raise RunnerFailedError(Outcome.NOT_RUN, "runner_gone")
        answer = await self._runner_client.send(
            runner,
            item_request(run.item, job.record.host),
            remaining_s=ITEM_TIME_S,
            stall_s=STALL_S,
            last_event_id=run.last_event_id,
        )
        try:
            if answer.head.status != 200:
                await self._runner_client.read_body(answer)
                if answer.head.status == NEVER_DONE_STATUS:
                    return ItemEnd(False, True, "can never be done")
                run.n_failures += answer.head.status == 500
                raise RunnerFailedError(Outcome.RAN, "failed", str(answer.head.status))
            await self._collect(run, answer.body)
        finally:
            answer.body.close()
        self._slot_client.report_health(RunnerSeen(service, slot.runner_id, True))
        return ItemEnd(True, True, "whole")

    async def _collect(self, run: _ItemRun, response: ClientResponse) -> None:
        blocks = RawEventParser()
        try:
            async for chunk in response.chunks():
                for block in blocks.feed(chunk):
                    if block.event_id is None:
                        continue
                    known = run.last_event_id
                    if known is not None and block.event_id <= known:
                        continue
                    run.last_event_id = block.event_id
                    run.texts.append(block.data)
                    run.n_breaks = 0
        except BrokenResponseError as error:
            raise RunnerFailedError(
                Outcome.RAN, "stream_cut", str(error), is_fault=True
            ) from None
        if not blocks.is_between_events:
            raise RunnerFailedError(Outcome.RAN, "stream_cut", "within an event")

    def _note_failure(
        self, route: Route, run: _ItemRun, slot: Slot, error: RunnerFailedError
    ) -> None:
        run.avoid.add(slot.runner_id)
        run.n_breaks += error.reason in CRASH_REASONS
        if error.is_fault:
            service = route.service_for(stable_hash(run.item.item_id))
            self._slot_client.report_health(RunnerSeen(service, slot.runner_id, False))
        extra = {
            "item": run.item.item_id,
            "runner": slot.runner_id,
            "reason": error.reason,
            "detail": error.detail,
            "last_event_id": run.last_event_id,
        }
        logger.info("item attempt failed", extra=extra)
