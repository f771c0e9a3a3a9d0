"""Homes of slots without sockets, for tests of their client."""

from __future__ import annotations

import asyncio
import random

from damaskjunction.core import (
    Address,
    EntryHost,
    ManualTimers,
    Outcome,
    RequestError,
    WorkClass,
)
from damaskjunction.gateway.slots.home_ranking import HomeRanking
from damaskjunction.gateway.slots.slot_client import SlotClient
from damaskjunction.membership import FleetView
from damaskjunction.routing import LimitObservations
from damaskjunction.wire import SlotAsk, SlotGranted, SlotQueued

SERVICE = "llm"
RUNNER = "r1"
SETTLING_STEPS = 12


def make_host(number, name):
    address = Address(f"10.0.0.{number}", 1)
    return EntryHost(name, "r1", "z1", address, address, address)


class FakeCall:
    """A call that a home has open, and what its host does with it."""

    def __init__(self, host_id, ask):
        self.host_id = host_id
        self.ask = ask
        self.lost = asyncio.get_running_loop().create_future()


class FakeHomes:
    """The links to homes that grant, queue or keep asks waiting for an answer."""

    def __init__(self, names):
        self.hosts_by_id = {n: make_host(i, n) for i, n in enumerate(names)}
        self._ids_by_address = {h.peer: n for n, h in self.hosts_by_id.items()}
        self.open_calls = []
        self.asked_at_s = []
        self.answer_delay_s = 0.0
        self.answers = {name: asyncio.Event() for name in names}
        self.grants = {name: asyncio.Event() for name in names}
        for name in names:
            self.answers[name].set()
            self.grants[name].set()

    async def call(self, address, lane, ask):
        call = FakeCall(self._ids_by_address[address], ask)
        self.open_calls.append(call)
        self.asked_at_s.append(asyncio.get_running_loop().time())
        try:
            if self.answer_delay_s:
                await asyncio.sleep(self.answer_delay_s)
            await self._wait(call, self.answers[call.host_id])
            if not self.grants[call.host_id].is_set() and not ask.held_runner:
                yield SlotQueued()
                await self._wait(call, self.grants[call.host_id])
            yield SlotGranted(RUNNER, ())
            await call.lost
        finally:
            self.open_calls.remove(call)

    async def _wait(self, call, event):
        waiting = asyncio.ensure_future(event.wait())
        try:
            await asyncio.wait(
                (waiting, call.lost), return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            waiting.cancel()
        if call.lost.done():
            call.lost.result()

    def lose_calls(self, name):
        """Break the calls that a host has open."""
        for call in self.open_calls:
            if call.host_id == name and not call.lost.done():
                call.lost.set_exception(RequestError(Outcome.UNKNOWN, "link_lost"))


class FakeView:
    """A view of the fleet in which one host is the home."""

    def __init__(self, homes):
        self.own = make_host(99, "own")
        self.power_by_host = {}
        self.is_draining = False
        self.fleet = FleetView({})
        self._homes = homes
        self._observers = []

    def subscribe(self, observer):
        self._observers.append(observer)

    def serving_hosts(self):
        return list(self.fleet.hosts_by_id.values())

    def set_home(self, name):
        self.fleet = FleetView({name: self._homes.hosts_by_id[name]})
        for observer in self._observers:
            observer()


class FakeState:
    def __init__(self, view):
        self.view = view
        self.homes = HomeRanking(view)

    def runners_of(self, service):
        return []

    def leaving_notices(self, service):
        return ()


class NoSuspects:
    def is_suspect(self, service, traits):
        return False


class AllVersions:
    def may_begin(self, service, version):
        return True


class SlotRig:
    """A client of slots with its fake homes."""

    def __init__(self, names):
        self.homes = FakeHomes(names)
        self.view = FakeView(self.homes)
        self.timers = ManualTimers()
        self.client = SlotClient(
            FakeState(self.view),
            None,
            NoSuspects(),
            self.homes,
            self.timers,
            version_registry=AllVersions(),
            observed_limits=LimitObservations(),
            rng=random.Random(1),
        )
        self.asks = []

    def ask(self, work_class=WorkClass.BATCH):
        """Begin to ask for a slot."""
        name = f"i{len(self.asks)}"
        ask = SlotAsk(name, SERVICE, work_class, (), (), 60.0, 60.0)
        task = asyncio.ensure_future(self._acquire(ask))
        self.asks.append(task)

    async def _acquire(self, ask):
        while True:
            try:
                return await self.client.acquire(ask)
            except RequestError:
                await asyncio.sleep(0.01)

    async def settle(self):
        """Let what is ready run."""
        for _ in range(SETTLING_STEPS):
            await asyncio.sleep(0)

    def held_slots(self):
        slots = [task.result() for task in self.asks if task.done()]
        return [slot for slot in slots if not slot.is_closed]
