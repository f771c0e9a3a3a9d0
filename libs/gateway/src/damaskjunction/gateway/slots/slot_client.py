"""The client side of slots: acquires them from the home of their service.

A slot is held by an open call to its home. When the home is lost, or another host
becomes the home, the slot is registered at the new home, so that it is still counted
and can be revoked.
"""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import AsyncGenerator, Callable
from itertools import islice
from typing import Any

from damaskjunction.core import (
    EntryHost,
    HostId,
    Outcome,
    RequestError,
    RunnerId,
    ServiceName,
    Timers,
    WorkClass,
)
from damaskjunction.gateway.runners.suspect_registry import SuspectRegistry
from damaskjunction.gateway.slots.home_choice import HOME_SUSPECT_TIME_S, HomeChoice
from damaskjunction.gateway.slots.queue_waits import AskAgainError, QueueWaits, age_ask
from damaskjunction.gateway.slots.slot import Slot
from damaskjunction.gateway.slots.slot_home import SlotHome
from damaskjunction.gateway.state import ServingState
from damaskjunction.gateway.versions.version_registry import VersionRegistry
from damaskjunction.node import TaskSet
from damaskjunction.routing import (
    LimitObservations,
    RunnerLimit,
    runners_at,
)
from damaskjunction.wire import (
    Message,
    PeerLinks,
    RunnerSeen,
    SlotAsk,
    SlotGranted,
    SlotQueued,
    SlotRevoked,
)

logger = logging.getLogger(__name__)

# A batch item that no home answers in time gets no slot, so a busy home has longer.
FIRST_REPLY_TIMEOUT_S_BY_CLASS = {WorkClass.ONLINE: 0.2, WorkClass.BATCH: 1.0}
MAX_HOMES_TRIED = 2
HEALTH_REPORT_TIMEOUT_S = 1.0
NO_HOME_RETRY_AFTER_S = 0.3
WITHDRAWN = "withdrawn"  # why an ask that is not wanted any more got no slot


class SlotClient:
    """Acquires slots and holds them until they are released.

    Parameters
    ----------
    state : ServingState
        Runners, services and hosts.
    home : SlotHome
        The slot pools of this host.
    suspects : SuspectRegistry
        Tells which requests may crash runners.
    links : PeerLinks
        Links to other hosts.
    timers : Timers
        The process's timer service.
    version_registry : VersionRegistry
        Tells which runners may begin streams.
    observed_limits : LimitObservations
        The rate limits that runners have named to this host.
    rng : random.Random
        Chooses a runner when no home can be reached.
    """

    def __init__(
        self,
        state: ServingState,
        home: SlotHome,
        suspects: SuspectRegistry,
        links: PeerLinks,
        timers: Timers,
        *,
        version_registry: VersionRegistry,
        observed_limits: LimitObservations,
        rng: random.Random,
    ) -> None:
        self._state = state
        self._home = home
        self._suspects = suspects
        self._version_registry = version_registry
        self._links = links
        self._timers = timers
        self._observed_limits = observed_limits
        self._rng = rng
        self._slots: set[Slot] = set()
        self._waits = QueueWaits(rng)
        self._home_choice = HomeChoice(state.homes, timers)
        self._unhealthy: set[RunnerId] = set()
        self._tasks = TaskSet()
        state.view.subscribe(self._follow_homes)

    async def acquire(
        self,
        ask: SlotAsk,
        on_ask: Callable[[HostId], None] = lambda home: None,
        is_wanted: Callable[[], bool] = lambda: True,
    ) -> Slot:
        """Return a slot once it is granted.

        When no home can be reached, an online request gets a slot that no home counts.
        ``on_ask`` is called with each host that is asked. A queued ask is repeated at
        the new home when the home changes, and after ``MAX_WAIT_S`` at most. It is
        withdrawn once ``is_wanted`` returns False.

        Raises
        ------
        RequestError
            ``NOT_RUN`` when the slot is refused or the ask withdrawn.
        """
        asked_at_s = self._timers.now()
        next_ask = ask
        while is_wanted():
            try:
                return await self._acquire_once(next_ask, on_ask, is_wanted)
            except AskAgainError:
                next_ask = age_ask(ask, self._timers.now() - asked_at_s)
        raise RequestError(Outcome.NOT_RUN, WITHDRAWN)

    async def _acquire_once(
        self,
        ask: SlotAsk,
        on_ask: Callable[[HostId], None],
        is_wanted: Callable[[], bool],
    ) -> Slot:
        ask = self._with_news(ask)
        slot = Slot(ask, is_wanted, self._slots.discard)
        try:
            candidates = self._home_choice.candidates(ask.service_name)
            for host in islice(candidates, MAX_HOMES_TRIED):
                on_ask(host.host_id)
                if await self._request_from(host, ask, slot):
                    self._slots.add(slot)
                    self._follow_home(slot)  # it may have moved meanwhile
                    return slot
        except BaseException:
            await slot.release()
            raise
        slot.runner_id = self._choose_without_home(ask)
        self._slots.add(slot)
        return slot

    def report_health(self, seen: RunnerSeen) -> None:
        """Report a runner's health to the home; success only after a failure."""
        if seen.is_well and seen.runner_id not in self._unhealthy:
            return
        if seen.is_well:
            self._unhealthy.discard(seen.runner_id)
        else:
            self._unhealthy.add(seen.runner_id)
        self._home.record_health(seen)
        home = self.home_of(seen.service_name)
        if home is not None and home.host_id != self._state.view.own.host_id:
            self._tasks.begin(self._send_health_report(home, seen))

    def is_unhealthy(self, runner_id: RunnerId) -> bool:
        """Return whether a runner has failed here and not answered since."""
        return runner_id in self._unhealthy

    def doubt_home(self, service: ServiceName, host_id: HostId, reason: str) -> None:
        """Ask another host than the home of a service for a while, if there is one."""
        candidates = list(self._home_choice.candidates(service))
        doubted = next((h for h in candidates if h.host_id == host_id), None)
        if doubted is not None and len(candidates) > 1:
            self._mark_suspect(doubted, reason)
            self._follow_homes()

    def pool_document(self, service: ServiceName) -> dict[str, Any]:
        """Return what this host's own pool believes of a service, if it has one."""
        document: dict[str, Any] = self._home.to_document().get(service, {})
        return document

    def home_of(self, service: ServiceName) -> EntryHost | None:
        """Return the home of a service, None when none can be reached."""
        return self._home_choice.home_of(service)

    def to_document(self) -> dict[str, Any]:
        """Return the state for the dump."""
        return {
            "n_slots": len(self._slots),
            "troubled_runners": sorted(self._unhealthy),
            "doubted_hosts": self._home_choice.suspects,
        }

    async def _request_from(self, host: EntryHost, ask: SlotAsk, slot: Slot) -> bool:
        """Request a slot from a host; return False when the host can't be reached."""
        if host.host_id == self._state.view.own.host_id:
            reservation = self._home.request(ask, slot.revoked)
            slot.reservation = reservation
            if not reservation.granted.done():
                may_wait = self._wait_condition(host, slot)
                async with self._waits.wait(ask, host.host_id, may_wait):
                    await asyncio.wait((reservation.granted,))
            runner_id = await reservation.granted
            is_limited = reservation.pool.is_limited(runner_id)
            granted = SlotGranted(runner_id, reservation.watched, is_limited)
        else:
            may_wait = self._wait_condition(host, slot)
            call = await self._open_call(host, ask, may_wait)
            if call is None:
                return False
            slot.call, granted = call
            slot.reader = asyncio.ensure_future(self._watch_call(host, slot, slot.call))
        slot.home_id = host.host_id
        slot.runner_id, slot.watched, is_limited = granted
        if is_limited:
            self._observed_limits.await_answer(slot.runner_id)
        return True

    def _wait_condition(self, host: EntryHost, slot: Slot) -> Callable[[], bool]:
        """Return the function that tells whether an ask may wait at a host."""

        def may_wait() -> bool:
            home = self.home_of(slot.ask.service_name)
            return slot.is_wanted() and (home is None or home.host_id == host.host_id)

        return may_wait

    async def _open_call(
        self, host: EntryHost, ask: SlotAsk, may_wait: Callable[[], bool]
    ) -> tuple[AsyncGenerator[Message, None], SlotGranted] | None:
        replies = self._links.call(host.peer, ask.work_class.value, ask)
        try:
            async with asyncio.timeout(FIRST_REPLY_TIMEOUT_S_BY_CLASS[ask.work_class]):
                reply = await anext(replies)
            if isinstance(reply, SlotQueued):
                async with self._waits.wait(ask, host.host_id, may_wait):
                    reply = await anext(replies)
            if not isinstance(reply, SlotGranted):
                raise RequestError(Outcome.UNKNOWN, "bad_reply", repr(reply))
            return replies, reply
        except (RequestError, TimeoutError, StopAsyncIteration) as error:
            await replies.aclose()
            if _is_refusal(error):
                raise
            self._mark_suspect(host, repr(error))
            return None
        except BaseException:
            await replies.aclose()
            raise

    async def _watch_call(
        self, host: EntryHost, slot: Slot, call: AsyncGenerator[Message, None]
    ) -> None:
        """Handle a revocation by the home, and move the slots when the home is lost."""
        try:
            async for message in call:
                if isinstance(message, SlotRevoked):
                    slot.revoked.set()
        except RequestError as error:
            self._mark_suspect(host, repr(error))
        if slot.call is call:
            slot.home_id = ""
        if not slot.is_closed:
            self._rehome_slots()

    def _follow_homes(self) -> None:
        """Move slots and asks to the homes of this time."""
        self._waits.end_unwanted()
        self._rehome_slots()

    def _rehome_slots(self) -> None:
        """Move slots that are held elsewhere to the current home."""
        for slot in self._slots:
            self._follow_home(slot)

    def _follow_home(self, slot: Slot) -> None:
        home = self.home_of(slot.ask.service_name)
        is_misplaced = home is not None and home.host_id != slot.home_id
        if is_misplaced and not slot.is_moving:
            slot.is_moving = True
            self._tasks.begin(self._rehome(slot))

    async def _rehome(self, slot: Slot) -> None:
        """Move a slot until it is at the home of that time; one move at a time."""
        try:
            while not slot.is_closed:
                home = self.home_of(slot.ask.service_name)
                if home is None or home.host_id == slot.home_id:
                    return
                await self._register_at(home, slot)
        finally:
            slot.is_moving = False
            if slot.is_closed:
                await slot.release()

    async def _register_at(self, home: EntryHost, slot: Slot) -> None:
        await slot.release()
        ask = self._with_news(slot.ask)._replace(held_runner=slot.runner_id)
        try:
            if not await self._request_from(home, ask, slot):
                slot.home_id = ""
        except RequestError as error:
            slot.home_id = home.host_id
            extra = {"request": ask.request_id, "reason": error.reason}
            logger.info("slot not registered at its new home", extra=extra)

    def _mark_suspect(self, host: EntryHost, error: str) -> None:
        self._home_choice.mark_suspect(host, error)
        self._timers.once(HOME_SUSPECT_TIME_S, self._follow_homes)

    def _with_news(self, ask: SlotAsk) -> SlotAsk:
        """Return an ask that tells what runners of its service said to this host."""
        return ask._replace(
            limits=self._limits_of(ask.service_name),
            leaving=self._state.leaving_notices(ask.service_name),
        )

    def _limits_of(self, service: ServiceName) -> tuple[RunnerLimit, ...]:
        """Return the limits that runners of a service have named to this host."""
        if self._observed_limits.is_empty:
            return ()
        runner_ids = {r.runner_id for r in self._state.runners_of(service)}
        return self._observed_limits.of_runners(runner_ids, self._timers.now())

    def _choose_without_home(self, ask: SlotAsk) -> RunnerId:
        """Return a random runner for a request whose homes can't be reached.

        Runners with a rate limit are left out: only the home knows what is left of it.

        Raises
        ------
        RequestError
            ``NOT_RUN`` for batch work and suspect requests, or when no runner is left.
        """
        runners = [
            runner.runner_id
            for runner in runners_at(
                self._state.runners_of(ask.service_name), ask.software_version
            )
            if runner.runner_id not in ask.avoid
            and self._version_registry.may_begin(runner.service, runner.version)
            and not self._observed_limits.is_limited(runner.runner_id)
        ]
        if self._suspects.is_suspect(ask.service_name, ask.traits):
            raise RequestError(
                Outcome.NOT_RUN, "crashes_runners", retry_after_s=NO_HOME_RETRY_AFTER_S
            )
        if not runners or ask.work_class is WorkClass.BATCH:
            raise RequestError(
                Outcome.NOT_RUN, "no_home", retry_after_s=NO_HOME_RETRY_AFTER_S
            )
        return self._rng.choice(runners)

    async def _send_health_report(self, host: EntryHost, seen: RunnerSeen) -> None:
        try:
            async with asyncio.timeout(HEALTH_REPORT_TIMEOUT_S):
                await self._links.ask(host.peer, WorkClass.ONLINE.value, seen)
        except (RequestError, TimeoutError) as error:
            logger.info("runner health not reported", extra={"error": repr(error)})


def _is_refusal(error: Exception) -> bool:
    """Return whether a home refused, as opposed to being unreachable."""
    return (
        isinstance(error, RequestError)
        and error.outcome is Outcome.NOT_RUN
        and error.reason != "peer_unreachable"
    )
