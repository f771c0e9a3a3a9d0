"""Slots for requests of this host, asked for at the home of their service."""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import AsyncGenerator
from typing import Any, Protocol

from damaskjunction.core import (
    EntryHost,
    HostId,
    Outcome,
    RequestError,
    RunnerId,
    ServiceName,
    Timers,
    WorkClass,
    rendezvous_order,
)
from damaskjunction.gateway.slot_home import HomeSlot, SlotHome
from damaskjunction.gateway.state import ServingState
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

FIRST_REPLY_S = 0.2
HOME_DOUBT_S = 1.5
N_HOMES_TRIED = 2
NOTE_TIMEOUT_S = 1.0


class Slot(Protocol):
    """A slot that was granted, until ``close``."""

    runner_id: RunnerId

    async def wait_revoked(self) -> None:
        """Return when the slot has to be given back."""

    async def close(self) -> None:
        """Give the slot back; no ``wait_revoked`` may be under way."""


class _LocalSlot:
    """A slot of this host's own pool."""

    def __init__(self, slot: HomeSlot, runner_id: RunnerId) -> None:
        self._slot = slot
        self.runner_id = runner_id

    async def wait_revoked(self) -> None:
        await self._slot.revoked.wait()

    async def close(self) -> None:
        self._slot.close()


class _RemoteSlot:
    """A slot of another host's pool; the call to it stays open meanwhile."""

    def __init__(
        self, replies: AsyncGenerator[Message, None], runner_id: RunnerId
    ) -> None:
        self._replies = replies
        self.runner_id = runner_id

    async def wait_revoked(self) -> None:
        try:
            async for message in self._replies:
                if isinstance(message, SlotRevoked):
                    return
        except RequestError as error:
            logger.info("home of a slot lost", extra={"reason": error.reason})
        await asyncio.Event().wait()  # nobody is left to revoke it

    async def close(self) -> None:
        await self._replies.aclose()


class _OwnSlot:
    """A runner chosen without a home, since none could be reached."""

    def __init__(self, runner_id: RunnerId) -> None:
        self.runner_id = runner_id

    async def wait_revoked(self) -> None:
        await asyncio.Event().wait()

    async def close(self) -> None:
        pass


class SlotDesk:
    """Asks for slots.

    Parameters
    ----------
    state : ServingState
        Runners, services and hosts.
    home : SlotHome
        This host's own pools.
    links : PeerLinks
        Links to other hosts.
    timers : Timers
        The process's timer service.
    chance : random.Random
        Source of random choices.
    """

    def __init__(
        self,
        state: ServingState,
        home: SlotHome,
        links: PeerLinks,
        timers: Timers,
        chance: random.Random,
    ) -> None:
        self._state = state
        self._home = home
        self._links = links
        self._timers = timers
        self._chance = chance
        self._doubted_until_by_host: dict[HostId, float] = {}
        self._troubled: set[RunnerId] = set()
        self._notes: set[asyncio.Task[None]] = set()

    async def take(self, ask: SlotAsk) -> Slot:
        """Return a slot once it is granted.

        Raises
        ------
        RequestError
            ``NOT_RUN`` when it is refused.
        """
        for host in self._homes(ask.service_name)[:N_HOMES_TRIED]:
            if host.host_id == self._state.view.own.host_id:
                return await self._take_here(ask)
            slot = await self._take_there(host, ask)
            if slot is not None:
                return slot
        return self._choose(ask)

    def note(self, service: ServiceName, runner_id: RunnerId, *, is_well: bool) -> None:
        """Tell the home how a runner answered; good news only after bad."""
        if is_well and runner_id not in self._troubled:
            return
        if is_well:
            self._troubled.discard(runner_id)
        else:
            self._troubled.add(runner_id)
        self._home.note(service, runner_id, is_well=is_well)
        for host in self._homes(service)[:1]:
            if host.host_id != self._state.view.own.host_id:
                word = RunnerSeen(service, runner_id, is_well)
                task = asyncio.ensure_future(self._tell(host, word))
                self._notes.add(task)
                task.add_done_callback(self._notes.discard)

    def to_document(self) -> dict[str, Any]:
        """Return the state for the dump."""
        return {
            "troubled_runners": sorted(self._troubled),
            "doubted_hosts": sorted(self._doubted_until_by_host),
        }

    def _homes(self, service: ServiceName) -> list[EntryHost]:
        """Return hosts that may keep a service's slots, the one that does first."""
        now_s = self._timers.now()
        hosts_by_id = {host.host_id: host for host in self._state.view.serving_hosts()}
        names = rendezvous_order(
            f"slots/{service}", [(name, 1.0) for name in hosts_by_id]
        )
        trusted = [
            name
            for name in names
            if self._doubted_until_by_host.get(name, 0.0) <= now_s
        ]
        return [hosts_by_id[name] for name in trusted]

    async def _take_here(self, ask: SlotAsk) -> Slot:
        slot = self._home.take(ask)
        try:
            return _LocalSlot(slot, await slot.granted)
        except BaseException:
            slot.close()
            raise

    async def _take_there(self, host: EntryHost, ask: SlotAsk) -> Slot | None:
        """Ask another host; None when it gives no word in time."""
        replies = self._links.call(host.peer, ask.work_class.value, ask)
        try:
            async with asyncio.timeout(FIRST_REPLY_S):
                reply = await anext(replies)
            while isinstance(reply, SlotQueued):
                reply = await anext(replies)
            if not isinstance(reply, SlotGranted):
                raise RequestError(Outcome.UNKNOWN, "bad_reply", repr(reply))
            return _RemoteSlot(replies, reply.runner_id)
        except (RequestError, TimeoutError, StopAsyncIteration) as error:
            await replies.aclose()
            if isinstance(error, RequestError) and error.outcome is Outcome.NOT_RUN:
                if error.reason != "peer_unreachable":
                    raise
            self._doubt(host, repr(error))
            return None
        except BaseException:
            await replies.aclose()
            raise

    def _doubt(self, host: EntryHost, error: str) -> None:
        until_s = self._timers.now() + HOME_DOUBT_S
        self._doubted_until_by_host[host.host_id] = until_s
        logger.warning("home doubted", extra={"host": host.host_id, "error": error})

    def _choose(self, ask: SlotAsk) -> Slot:
        runners = [
            runner.runner_id
            for runner in self._state.runners_of(ask.service_name)
            if runner.runner_id not in ask.avoid
        ]
        if not runners or ask.work_class is WorkClass.BATCH:
            raise RequestError(Outcome.NOT_RUN, "no_home", retry_after_s=0.5)
        return _OwnSlot(self._chance.choice(runners))

    async def _tell(self, host: EntryHost, word: RunnerSeen) -> None:
        try:
            async with asyncio.timeout(NOTE_TIMEOUT_S):
                await self._links.ask(host.peer, WorkClass.ONLINE.value, word)
        except (RequestError, TimeoutError) as error:
            logger.info("word on a runner not taken", extra={"error": repr(error)})
