"""Runs batch items at runners and retries them until each has a result."""

from __future__ import annotations

import asyncio
import logging
import math
from typing import NamedTuple

from damaskjunction.batch import BatchItem, ItemResult
from damaskjunction.core import (
    Outcome,
    RequestError,
    RunnerId,
    ServiceName,
    WorkClass,
    stable_hash,
)
from damaskjunction.core.units import MIB, MILLISECOND_S
from damaskjunction.gateway.dispatch_context import DispatchContext
from damaskjunction.gateway.jobs.item_progress import ItemProgress
from damaskjunction.gateway.jobs.job_repository import StoredJob
from damaskjunction.gateway.jobs.owed_items import ItemNeed, ItemState, OwedItem
from damaskjunction.gateway.jobs.result_writer import BackOff
from damaskjunction.gateway.requests.stream_check import StreamCheck
from damaskjunction.gateway.runners.runner_responses import (
    CONNECTION_LOST_REASONS,
    RunnerFailedError,
    RunnerResponse,
)
from damaskjunction.gateway.slots.slot import Slot
from damaskjunction.gateway.slots.slot_client import WITHDRAWN
from damaskjunction.gateway.versions.stream_version import ADMISSION_REASONS
from damaskjunction.http import (
    BrokenResponseError,
    ReadPacer,
)
from damaskjunction.node import cancel_tasks
from damaskjunction.platform import item_request
from damaskjunction.routing import Route
from damaskjunction.wire import RunnerSeen, SlotAsk

logger = logging.getLogger(__name__)

MAX_ITEMS_AT_ONCE = 64  # of one service, on one host
ROUTE_POLL_S = 1.0
ATTEMPT_TIMEOUT_S = 60.0  # to get a slot, and again for the runner's work
STALL_TIMEOUT_S = 3.0
READ_INTERVAL_S = 50 * MILLISECOND_S  # of the events of all items
MAX_OUTPUT_BYTES = 8 * MIB
N_PROMPT_RETRIES = 3
RETRY_DELAY_S = 0.5  # doubles with each further crash
MAX_RETRY_DELAY_S = 2.0
DEFAULT_RETENTION_S = 60.0  # while the active routes lack the job's route
UNPROCESSABLE_STATUS = 422
# The next attempt follows these at once.
UNDELAYED_REASONS = ("revoked", WITHDRAWN)


class AttemptOutcome(NamedTuple):
    """The outcome of one attempt at an item.

    ``is_whole`` means that the output is complete. No further attempt follows one that
    ``is_final``. ``reason`` is for logs, except that an attempt is repeated without a
    delay for the ``UNDELAYED_REASONS``.
    """

    is_whole: bool
    is_final: bool
    reason: str


class ItemRunner:
    """Runs items, at most ``MAX_ITEMS_AT_ONCE`` of a service at a time.

    Parameters
    ----------
    context : DispatchContext
        What is needed to send items to runners.
    back_off : BackOff
        Sleeps between attempts.
    """

    def __init__(self, context: DispatchContext, back_off: BackOff) -> None:
        self._state = context.state
        self._slot_client = context.slot_client
        self._runner_client = context.runner_client
        self._runner_faults = context.runner_faults
        self._timers = context.timers
        self._metrics = context.metrics
        self._budget = context.budget
        self._back_off = back_off
        self._read_pacer = ReadPacer(context.timers, READ_INTERVAL_S)
        self._places_by_service: dict[ServiceName, asyncio.Semaphore] = {}

    async def run(self, job: StoredJob, item: BatchItem, owed: OwedItem) -> ItemResult:
        """Run an item, retrying at other runners, until it has a result."""
        progress = ItemProgress(
            item, owed, self._state, self._timers, budget=self._budget
        )
        try:
            outcome = await self._run_to_end(job, progress)
        finally:
            progress.close()
        text = "\n".join(progress.texts) if outcome.is_whole else ""
        extra = {
            "job": job.record.job_id,
            "item": item.item_id,
            "reason": outcome.reason,
        }
        logger.info("item ended", extra=extra)
        self._metrics.count("items", is_whole=str(outcome.is_whole))
        return ItemResult(item.item_id, outcome.is_whole, text)

    async def _run_to_end(
        self, job: StoredJob, progress: ItemProgress
    ) -> AttemptOutcome:
        """Return the final outcome of an item."""
        outcome = AttemptOutcome(False, False, "")
        while not outcome.is_final:
            await self._delay_after_crashes(progress)
            route = await self._wait_for_route(job, progress)
            if route is None:
                return AttemptOutcome(False, True, "retention over")
            outcome = await self._run_with_retries(job, route, progress)
        return outcome

    async def _wait_for_route(
        self, job: StoredJob, progress: ItemProgress
    ) -> Route | None:
        """Return the job's route once it is in force, None if it is too late then."""
        while self._remaining_s(job, progress) > 0:
            route = self._find_route(job)
            if route is not None:
                return route
            progress.owed.enter(ItemState.NO_ROUTE)
            remaining_s = self._remaining_s(job, progress)
            await asyncio.sleep(min(max(remaining_s, 0.0) + 0.01, ROUTE_POLL_S))
        return None

    def _find_route(self, job: StoredJob) -> Route | None:
        return self._state.table.find_by_name(job.record.route_name)

    def _remaining_s(self, job: StoredJob, progress: ItemProgress) -> float:
        """Return the seconds until the item may be given up, infinite if never.

        Counted from the start on this host, since wall clocks differ and jump: no item
        expires before its retention is over.
        """
        route = self._find_route(job)
        retention_s = DEFAULT_RETENTION_S if route is None else route.retention_s
        if not retention_s:
            return math.inf
        return progress.started_at_s + retention_s - self._timers.now()

    async def _run_with_retries(
        self, job: StoredJob, route: Route, progress: ItemProgress
    ) -> AttemptOutcome:
        """Attempt an item until the outcome is final, or it has to wait elsewhere.

        It gives its place back when its route has changed or a delay is due.

        There is no last attempt: an item under which runners crashed is not to blame
        for that. It has one of the ``MAX_ITEMS_AT_ONCE`` places of its service.
        """
        service = route.service_for(stable_hash(progress.item.item_id))
        n_retries = 0
        progress.owed.enter(ItemState.QUEUED)
        async with self._places_of(service):
            while True:
                if self._remaining_s(job, progress) <= 0:
                    return AttemptOutcome(False, True, "retention over")
                if self._find_route(job) != route:
                    return AttemptOutcome(False, False, "route changed")
                outcome = await self._attempt(job, route, progress)
                progress.owed.reason = outcome.reason
                if outcome.is_final:
                    return outcome
                if progress.n_failures >= route.max_attempts:
                    return AttemptOutcome(False, True, "failed at each attempt")
                if progress.n_crashes >= N_PROMPT_RETRIES:
                    return outcome
                if outcome.reason not in UNDELAYED_REASONS:
                    progress.owed.enter(ItemState.DELAYED)
                    await self._back_off(min(n_retries, 3))
                    n_retries += 1

    def _places_of(self, service: ServiceName) -> asyncio.Semaphore:
        """Return the places of a service: the items of one hold up no others."""
        places = self._places_by_service.get(service)
        if places is None:
            places = asyncio.Semaphore(MAX_ITEMS_AT_ONCE)
            self._places_by_service[service] = places
        return places

    async def _delay_after_crashes(self, progress: ItemProgress) -> None:
        """Wait before a retry that follows ``N_PROMPT_RETRIES`` crashes or more."""
        if progress.n_crashes < N_PROMPT_RETRIES:
            return
        doublings = min(progress.n_crashes - N_PROMPT_RETRIES, 8)
        progress.owed.enter(ItemState.DELAYED)
        await asyncio.sleep(min(RETRY_DELAY_S * 2.0**doublings, MAX_RETRY_DELAY_S))

    async def _attempt(
        self, job: StoredJob, route: Route, progress: ItemProgress
    ) -> AttemptOutcome:
        try:
            slot = await self._acquire_slot(job, route, progress)
        except RequestError as error:
            return AttemptOutcome(False, False, error.reason)
        except TimeoutError:
            progress.end_slot_wait()
            return AttemptOutcome(False, False, "version_busy")
        progress.excluded_runners.clear()
        progress.owed.enter(ItemState.RUNNING, place=slot.runner_id)
        revoked = asyncio.ensure_future(slot.revoked.wait())
        work = asyncio.ensure_future(self._send_and_collect(job, route, progress, slot))
        try:
            await asyncio.wait((revoked, work), return_when=asyncio.FIRST_COMPLETED)
            if not work.done():
                return AttemptOutcome(False, False, "revoked")
            return work.result()
        except RunnerFailedError as error:
            if error.outcome is not Outcome.NOT_RUN:
                progress.owed.record_work()
            self._record_failure(route, progress, slot, error)
            return AttemptOutcome(False, False, error.reason)
        except RequestError as error:
            progress.begin_afresh(error.reason)
            return AttemptOutcome(False, False, error.reason)
        finally:
            progress.end_attempt()
            progress.owed.enter(ItemState.CLOSING, place=slot.runner_id)
            try:
                await cancel_tasks([work, revoked])
            finally:
                await slot.close()

    async def _acquire_slot(
        self, job: StoredJob, route: Route, progress: ItemProgress
    ) -> Slot:
        """Acquire a slot at a runner that may go on with the item.

        Raises
        ------
        RequestError
            ``NOT_RUN`` when the slot is refused.
        TimeoutError
            When no slot at the item's version was granted in time.
        """
        record = job.record
        service = route.service_for(stable_hash(progress.item.item_id))
        runners = self._state.runners_of(service)
        version = progress.version_to_keep(service, runners)
        request = item_request(progress.item, record.host)
        due_at_s = record.sent_at_s + route.completion_target_s
        ask = SlotAsk(
            request_id=progress.item.item_id,
            service_name=service,
            work_class=WorkClass.BATCH,
            parts=request.shared_parts,
            avoid=progress.runners_to_avoid(runners, version),
            start_within_s=ATTEMPT_TIMEOUT_S,
            due_in_s=due_at_s - self._timers.wall(),
            software_version=version,
        )
        progress.owed.need = ItemNeed(service, version, ask.avoid)
        async with asyncio.timeout(progress.slot_wait_limit_s(version)):
            return await self._slot_client.acquire(
                ask,
                lambda home: progress.owed.enter(
                    ItemState.WAITING_FOR_SLOT, place=home
                ),
                lambda: self._find_route(job) == route,
            )

    async def _send_and_collect(
        self, job: StoredJob, route: Route, progress: ItemProgress, slot: Slot
    ) -> AttemptOutcome:
        """Send an item to a runner and collect its output.

        Raises
        ------
        RunnerFailedError
            When the output is incomplete.
        RequestError
            When the runner must not go on with it, or it may be of several versions.
        """
        service = route.service_for(stable_hash(progress.item.item_id))
        runner = self._state.find_runner(service, slot.runner_id)
        if runner is None:
            raise RunnerFailedError(Outcome.NOT_RUN, "runner_gone")
        progress.version.check(runner)
        extra = {"item": progress.item.item_id, "runner": runner.runner_id}
        logger.info("item sent", extra=extra)
        is_repeated = runner.runner_id in progress.runners_tried
        progress.runners_tried.add(runner.runner_id)
        runner_response = await self._runner_client.send(
            runner,
            item_request(progress.item, job.record.host),
            remaining_s=ATTEMPT_TIMEOUT_S,
            stall_s=STALL_TIMEOUT_S,
            last_event_id=progress.last_event_id,
            new_connection=is_repeated,
            is_stream=True,
            is_process_checked=self._state.has_engines(service)
            and progress.is_process_checked(runner),
        )
        try:
            if runner_response.head.status != 200:
                await self._runner_client.read_body(runner_response, ATTEMPT_TIMEOUT_S)
                if runner_response.head.status == UNPROCESSABLE_STATUS:
                    return AttemptOutcome(False, True, "can never be done")
                progress.n_failures += runner_response.head.status == 500
                raise RunnerFailedError(
                    Outcome.RAN, "failed", str(runner_response.head.status)
                )
            try:
                async with asyncio.timeout(ATTEMPT_TIMEOUT_S):
                    await self._collect(progress, runner_response)
            except TimeoutError:
                raise RunnerFailedError(Outcome.RAN, "no_end", is_fault=True) from None
            await self._runner_client.check_end(runner_response)
            progress.version.check_joined()
        finally:
            runner_response.body.close()
        self._slot_client.report_health(RunnerSeen(service, slot.runner_id, True))
        return AttemptOutcome(True, True, "whole")

    async def _collect(self, progress: ItemProgress, response: RunnerResponse) -> None:
        check = StreamCheck(progress.last_event_id)
        event_at_s = self._timers.now()
        response.body.set_pacer(self._read_pacer)
        try:
            async for chunk in response.body.chunks():
                part = check.feed(chunk)
                response.body.keep(check.n_buffered)
                event_at_s = self._timers.now() if part.events else event_at_s
                if self._timers.now() - event_at_s > STALL_TIMEOUT_S:
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

    def _record_fault(
        self, route: Route, progress: ItemProgress, runner_id: RunnerId, reason: str
    ) -> None:
        service = route.service_for(stable_hash(progress.item.item_id))
        runner = self._state.find_runner(service, runner_id)
        if runner is None:
            return
        seen = RunnerSeen(service, runner_id, False)
        self._runner_faults.record(
            runner, reason, lambda: self._slot_client.report_health(seen)
        )

    def _record_failure(
        self,
        route: Route,
        progress: ItemProgress,
        slot: Slot,
        error: RunnerFailedError,
    ) -> None:
        progress.excluded_runners.add(slot.runner_id)
        if error.reason in ADMISSION_REASONS:
            progress.record_denial(slot.runner_id)
        progress.n_crashes += error.reason in CONNECTION_LOST_REASONS
        if error.is_fault:
            self._record_fault(route, progress, slot.runner_id, error.reason)
        extra = {
            "item": progress.item.item_id,
            "runner": slot.runner_id,
            "reason": error.reason,
            "detail": error.detail,
            "last_event_id": progress.last_event_id,
        }
        logger.info("item attempt failed", extra=extra)
