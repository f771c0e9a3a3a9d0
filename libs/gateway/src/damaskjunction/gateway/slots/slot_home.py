"""The home of slots: grants the slots of services to this host and to others."""

from __future__ import annotations

import asyncio
import logging
from typing import Any

from damaskjunction.core import (
    Outcome,
    RequestError,
    RequestId,
    Runner,
    RunnerId,
    ServiceName,
    Subscription,
    Timers,
    WorkClass,
)
from damaskjunction.gateway.runners.runner_client import RunnerClient
from damaskjunction.gateway.runners.runner_faults import RunnerFaults
from damaskjunction.gateway.runners.runner_responses import (
    RunnerFailedError,
)
from damaskjunction.gateway.runners.suspect_registry import SuspectRegistry
from damaskjunction.gateway.slots.slot_home_log import SlotHomeLog
from damaskjunction.gateway.slots.slot_tickets import slot_ticket
from damaskjunction.gateway.state import ServingState
from damaskjunction.gateway.versions.version_registry import VersionRegistry
from damaskjunction.node import PeerHandlers, TaskSet
from damaskjunction.routing import (
    GrantSlot,
    RefuseSlot,
    RevokeSlot,
    RunnerVersions,
    SlotEffect,
    SlotPool,
)
from damaskjunction.wire import (
    Noted,
    Reply,
    RunnerSeen,
    SlotAsk,
    SlotGranted,
    SlotQueued,
    SlotRevoked,
)

logger = logging.getLogger(__name__)

EXPIRY_PERIOD_S = 0.1
REPORT_POLL_PERIOD_S = 0.5
REPORT_TIMEOUT_S = 0.4
REPLACED_RETRY_AFTER_S = 0.3


class SlotReservation:
    """A slot requested from this home, queued or granted until ``close``.

    ``granted`` resolves to the runner, or to the ``RequestError`` of a refusal.
    ``watched`` are the request's traits whose answer is to be reported.
    """

    def __init__(
        self,
        home: SlotHome,
        pool: SlotPool,
        request_id: RequestId,
        revoked: asyncio.Event,
    ) -> None:
        self._home = home
        self.pool = pool
        self.request_id = request_id
        self.granted: asyncio.Future[RunnerId] = (
            asyncio.get_running_loop().create_future()
        )
        self.revoked = revoked
        self.watched: tuple[str, ...] = ()

    def close(self) -> None:
        """Release the slot, or leave the queue."""
        self._home.release(self)


class SlotHome:
    """The slot pools of this host, one for each service.

    Parameters
    ----------
    state : ServingState
        Runners and services.
    suspects : SuspectRegistry
        Tells which requests may crash runners.
    runner_client : RunnerClient
        Polls the reports of runners.
    version_registry : VersionRegistry
        Tells which runners may begin streams.
    timers : Timers
        The process's timer service.
    runner_faults : RunnerFaults
        Judges reports that fail.
    """

    def __init__(
        self,
        state: ServingState,
        suspects: SuspectRegistry,
        runner_client: RunnerClient,
        version_registry: VersionRegistry,
        timers: Timers,
        *,
        runner_faults: RunnerFaults,
    ) -> None:
        self._state = state
        self._suspects = suspects
        self._version_registry = version_registry
        self._runner_client = runner_client
        self._timers = timers
        self._runner_faults = runner_faults
        self._pools_by_service: dict[ServiceName, SlotPool] = {}
        self._reservations_by_id: dict[RequestId, SlotReservation] = {}
        self._runners_by_service: dict[ServiceName, list[Runner]] = {}
        self._home_services: set[ServiceName] = set()
        self._report_polls: Subscription | None = None
        self._expiry: Subscription | None = None
        self._log = SlotHomeLog()
        self._polls = TaskSet()
        state.view.subscribe(self._apply_view)
        version_registry.subscribe(self._apply_view)

    async def start(self) -> None:
        """Start polling the reports of runners."""
        self._report_polls = self._timers.every(
            REPORT_POLL_PERIOD_S, self._poll_reports
        )

    async def close(self) -> None:
        """Stop the timers and the polls in flight."""
        for subscription in (self._report_polls, self._expiry):
            if subscription is not None:
                subscription.cancel()
        await self._polls.close()

    def register(self, handlers: PeerHandlers) -> None:
        """Register the handlers for calls of other hosts."""
        handlers.register(SlotAsk)(self._handle_slot_ask)
        handlers.register(RunnerSeen)(self._handle_runner_seen)

    def request(self, ask: SlotAsk, revoked: asyncio.Event) -> SlotReservation:
        """Request a slot; ``revoked`` is set when the holder has to release it.

        A repeated request id replaces the former request, and ``held_runner`` adopts
        a slot that was granted by another home.
        """
        now_s = self._timers.now()
        ticket = slot_ticket(ask, now_s)
        self._state.record_leaving(ask.leaving)
        self._start_expiry()
        pool = self._pool(ask.service_name)
        self._update_runners(ask.service_name, pool)
        pool.observe_limits(ask.limits, now_s)
        former = self._reservations_by_id.get(ask.request_id)
        if former is not None:
            self._refuse_replaced(former)
            former.close()
        reservation = SlotReservation(self, pool, ask.request_id, revoked)
        self._reservations_by_id[ask.request_id] = reservation
        if ask.held_runner:
            pool.adopt(ticket, ask.held_runner, now_s)
            reservation.granted.set_result(ask.held_runner)
        elif (refusal := self._refusal_of_suspect(ask)) is not None:
            self._apply_effects([refusal])
        else:
            reservation.watched = self._suspects.watched(ask.service_name, ask.traits)
            effects = pool.submit(ticket, now_s)
            self._log.log_refusals(ask.service_name, pool, effects, now_s)
            self._apply_effects(effects)
        return reservation

    def _refusal_of_suspect(self, ask: SlotAsk) -> RefuseSlot | None:
        """Return the refusal of a request that may crash runners.

        Batch items are never refused: their callers expect each to be run in the end.
        """
        if ask.work_class is WorkClass.BATCH:
            return None
        blocked_s = self._suspects.blocked_for_s(ask.service_name, ask.traits)
        if not blocked_s:
            return None
        return RefuseSlot(ask.request_id, "crashes_runners", blocked_s)

    def _refuse_replaced(self, former: SlotReservation) -> None:
        """Refuse a request that waits, since another host asks for the same one.

        A cancelled future would end the task that waits for it, and an item with it.
        """
        if not former.granted.done():
            error = RequestError(
                Outcome.NOT_RUN, "replaced", retry_after_s=REPLACED_RETRY_AFTER_S
            )
            former.granted.set_exception(error)
            former.granted.exception()  # the holder may be gone already

    def release(self, reservation: SlotReservation) -> None:
        """Release a slot, or remove a request from the queue."""
        if self._reservations_by_id.get(reservation.request_id) is not reservation:
            return
        del self._reservations_by_id[reservation.request_id]
        reservation.granted.cancel()
        self._apply_effects(
            reservation.pool.release(reservation.request_id, self._timers.now())
        )

    def record_health(self, seen: RunnerSeen) -> None:
        """Record a runner's health."""
        pool = self._pool(seen.service_name)
        if seen.is_well:
            pool.record_success(seen.runner_id)
        else:
            self._record_failure(pool, seen.runner_id)

    def _record_failure(self, pool: SlotPool, runner_id: RunnerId) -> None:
        for_s = pool.record_failure(runner_id, self._timers.now())
        extra = {"runner": runner_id, "for_s": round(for_s, 3)}
        logger.info("runner ejected", extra=extra)

    def to_document(self) -> dict[str, Any]:
        """Return the state for the dump."""
        pools = self._pools_by_service.items()
        return {service: pool.to_document() for service, pool in pools}

    def _pool(self, service: ServiceName) -> SlotPool:
        pool = self._pools_by_service.get(service)
        if pool is None:
            pool = self._pools_by_service[service] = SlotPool()
            self._set_runners(service, pool)
            self._update_home(service, pool)
        return pool

    def _set_runners(self, service: ServiceName, pool: SlotPool) -> None:
        spec = self._state.table.services_by_name.get(service)
        engine = spec.engine if spec is not None else None
        known = self._state.runners_of(service)
        may_begin = self._version_registry.may_begin
        runners = [r for r in known if may_begin(service, r.version)]
        slots_by_runner = {
            runner.runner_id: min(runner.slots, engine.slots)
            if engine is not None
            else runner.slots
            for runner in runners
        }
        versions = RunnerVersions({r.runner_id: r.version for r in runners})
        data_centres = {r.runner_id: r.data_centre for r in runners}
        self._runners_by_service[service] = known
        workspaces = self._state.table.workspaces_by_name.values()
        pool.set_shares({w.name: w.share for w in workspaces if w.share > 0})
        effects = pool.set_runners(
            slots_by_runner, self._timers.now(), versions, data_centres
        )
        self._apply_effects(effects)

    def _update_runners(self, service: ServiceName, pool: SlotPool) -> None:
        """Apply which runners leave, as told by them or by other hosts."""
        if self._state.runners_of(service) != self._runners_by_service[service]:
            self._set_runners(service, pool)

    def _apply_view(self) -> None:
        for service, pool in self._pools_by_service.items():
            self._set_runners(service, pool)
            self._update_home(service, pool)

    def _update_home(self, service: ServiceName, pool: SlotPool) -> None:
        is_home = self._state.homes.is_own(service)
        if is_home and service not in self._home_services:
            logger.info("home of slots here", extra={"service": service})
            self._home_services.add(service)
            pool.start_takeover(self._timers.now())
        elif not is_home and service in self._home_services:
            logger.info("home of slots elsewhere", extra={"service": service})
            self._home_services.discard(service)

    def _start_expiry(self) -> None:
        """Expire requests from now on, as long as there are any or this is a home."""
        if self._expiry is None:
            self._expire_requests()
            self._expiry = self._timers.every(EXPIRY_PERIOD_S, self._continue_expiry)

    def _continue_expiry(self) -> None:
        if self._expiry and not self._reservations_by_id and not self._home_services:
            self._expiry.cancel()
            self._expiry = None
        else:
            self._expire_requests()

    def _expire_requests(self) -> None:
        now_s = self._timers.now()
        for service, pool in self._pools_by_service.items():
            self._update_runners(service, pool)
            self._apply_effects(pool.expire(now_s))
            is_home = service in self._home_services
            self._log.log_queue(service, pool, now_s, is_home=is_home)
            self._log.log_leaving(service, pool, now_s)

    def _poll_reports(self) -> None:
        """Poll the runners of the services that are asked for here.

        They include those whose home is elsewhere, as long as hosts go by another view.
        """
        for service, pool in self._pools_by_service.items():
            if service not in self._home_services and not pool.counts.n_requests:
                continue
            if not self._state.has_engines(service):
                continue
            for runner in self._state.runners_of(service):
                self._polls.begin(self._poll_report(service, runner))

    async def _poll_report(self, service: ServiceName, runner: Runner) -> None:
        pool = self._pools_by_service[service]
        try:
            async with asyncio.timeout(REPORT_TIMEOUT_S):
                report = await self._runner_client.fetch_report(runner)
        except (RunnerFailedError, TimeoutError) as error:
            extra = {"runner": runner.runner_id, "error": repr(error)}
            logger.info("runner report failed", extra=extra)
            self._runner_faults.record(
                runner,
                "no_report",
                lambda: self._record_failure(pool, runner.runner_id),
            )
            return
        n_requests = report.n_running + report.n_queued
        now_s = self._timers.now()
        observed = self._runner_client.observed_limits
        pool.observe_limits(observed.of_runners([runner.runner_id], now_s), now_s)
        self._apply_effects(pool.observe_report(runner.runner_id, n_requests, now_s))

    def _apply_effects(self, effects: list[SlotEffect]) -> None:
        for effect in effects:
            reservation = self._reservations_by_id.get(effect.request_id)
            if reservation is None:
                continue
            match effect:
                case GrantSlot(_, runner_id):
                    if not reservation.granted.done():
                        reservation.granted.set_result(runner_id)
                case RevokeSlot():
                    reservation.revoked.set()
                case RefuseSlot(_, reason, retry_after_s):
                    if not reservation.granted.done():
                        reservation.granted.set_exception(
                            RequestError(
                                Outcome.NOT_RUN, reason, retry_after_s=retry_after_s
                            )
                        )

    async def _handle_slot_ask(self, ask: SlotAsk, reply: Reply) -> None:
        reservation = self.request(ask, asyncio.Event())
        try:
            if not reservation.granted.done():
                await reply(SlotQueued())
            runner_id = await reservation.granted
            is_limited = reservation.pool.is_limited(runner_id)
            await reply(SlotGranted(runner_id, reservation.watched, is_limited))
            await reservation.revoked.wait()
            await reply(SlotRevoked())
            await asyncio.Event().wait()  # the holder ends the call
        finally:
            reservation.close()

    async def _handle_runner_seen(self, seen: RunnerSeen, reply: Reply) -> None:
        self.record_health(seen)
        await reply(Noted())
