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
    stable_hash,
)
from damaskjunction.core.units import MILLISECOND_S
from damaskjunction.gateway.dispatch_context import DispatchContext
from damaskjunction.gateway.jobs.item_events import collect_events
from damaskjunction.gateway.jobs.item_progress import ItemProgress
from damaskjunction.gateway.jobs.item_requests import make_item_request
from damaskjunction.gateway.jobs.item_slots import ATTEMPT_TIMEOUT_S, ItemSlots
from damaskjunction.gateway.jobs.job_repository import StoredJob
from damaskjunction.gateway.jobs.owed_items import ItemState, OwedItem
from damaskjunction.gateway.jobs.result_writer import BackOff
from damaskjunction.gateway.jobs.silence_watch import SilenceWatch
from damaskjunction.gateway.runners.runner_responses import (
    CONNECTION_LOST_REASONS,
    RunnerFailedError,
)
from damaskjunction.gateway.slots.slot import Slot
from damaskjunction.gateway.slots.slot_client import WITHDRAWN
from damaskjunction.gateway.versions.stream_version import ADMISSION_REASONS
from damaskjunction.http import ReadPacer
from damaskjunction.node import cancel_tasks
from damaskjunction.routing import Route
from damaskjunction.wire import RunnerSeen

logger = logging.getLogger(__name__)

MAX_ITEMS_AT_ONCE = 64  # of one service, on one host
ROUTE_POLL_S = 1.0
READ_INTERVAL_S = 50 * MILLISECOND_S  # of the events of all items
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
        self._slots = ItemSlots(context, self._find_route, self._remaining_s)
        self._read_pacer = ReadPacer(context.timers, READ_INTERVAL_S)
        self._places_by_service: dict[ServiceName, asyncio.Semaphore] = {}

    async def close(self) -> None:
        """Cancel the probes of runners."""
        await self._slots.close()

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
        """Run an item at a runner, or at others while that one is silent."""
        try:
            slot: Slot | None = await self._slots.acquire(job, route, progress)
        except RequestError as error:
            return AttemptOutcome(False, False, error.reason)
        except TimeoutError:
            progress.end_slot_wait()
            return AttemptOutcome(False, False, "version_busy")
        progress.excluded_runners.clear()
        while slot is not None:
            outcome, slot = await self._run_at(job, route, progress, slot)
        return outcome

    async def _run_at(
        self, job: StoredJob, route: Route, progress: ItemProgress, slot: Slot
    ) -> tuple[AttemptOutcome, Slot | None]:
        """Run an item at the runner of a slot, which is released.

        Returns the slot of another runner if that has to take the item over.
        """
        watch = self._slots.watch(
            job,
            route,
            progress,
            slot,
            lambda: self._record_fault(route, progress, slot.runner_id, "silent"),
        )
        try:
            outcome = await self._run_watched(job, route, progress, slot, watch)
            return outcome, None if outcome.is_final else watch.take_standby()
        finally:
            await watch.close()

    async def _run_watched(
        self,
        job: StoredJob,
        route: Route,
        progress: ItemProgress,
        slot: Slot,
        watch: SilenceWatch,
    ) -> AttemptOutcome:
        progress.owed.enter(ItemState.RUNNING, place=slot.runner_id)
        progress.hearing.begin()
        revoked = asyncio.ensure_future(slot.revoked.wait())
        work = asyncio.ensure_future(self._send_and_collect(job, route, progress, slot))
        left = asyncio.ensure_future(watch.wait_until_left())
        try:
            await asyncio.wait(
                (revoked, work, left), return_when=asyncio.FIRST_COMPLETED
            )
            if work.done():
                return work.result()
            if revoked.done():
                return AttemptOutcome(False, False, "revoked")
            left.result()
            raise _silent(progress, is_fault=not watch.has_standby)
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
                await cancel_tasks([work, revoked, left])
            finally:
                await slot.close()

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
            make_item_request(progress.item, job.record, self._state.table),
            remaining_s=ATTEMPT_TIMEOUT_S,
            stall_s=ATTEMPT_TIMEOUT_S,
            last_event_id=progress.last_event_id,
            new_connection=is_repeated,
            is_stream=True,
            is_process_checked=self._state.has_engines(service)
            and progress.is_process_checked(runner),
        )
        progress.hearing.record()
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
                    runner_response.body.set_pacer(self._read_pacer)
                    await collect_events(progress, runner_response, self._timers)
            except TimeoutError:
                raise RunnerFailedError(Outcome.RAN, "no_end", is_fault=True) from None
            await self._runner_client.check_end(runner_response)
            progress.version.check_joined()
        finally:
            runner_response.body.close()
        self._slot_client.report_health(RunnerSeen(service, slot.runner_id, True))
        return AttemptOutcome(True, True, "whole")

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


def _silent(progress: ItemProgress, *, is_fault: bool) -> RunnerFailedError:
    """Return the failure of a run whose runner fell silent."""
    if progress.hearing.n_parts:
        return RunnerFailedError(
            Outcome.RAN, "stream_cut", "stalled", is_fault=is_fault
        )
    return RunnerFailedError(Outcome.UNKNOWN, "silent", is_fault=is_fault)
