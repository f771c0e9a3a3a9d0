"""The parts of a host that place items, with simulated links, store and runners."""

from __future__ import annotations

import asyncio
import json
import random
from types import SimpleNamespace

from simulated_runners import CALL_S, SERVICE, SLOTS, RunnerCalls
from simulated_time import SimulatedTimers

from damaskjunction.core import (
    Configuration,
    HostState,
    Outcome,
    PlatformUnavailableError,
    RequestError,
)
from damaskjunction.gateway.jobs.job_front import JobFront
from damaskjunction.gateway.jobs.job_repository import JobRepository
from damaskjunction.gateway.jobs.job_worker import JobWorker
from damaskjunction.gateway.slots.slot_client import SlotClient
from damaskjunction.gateway.slots.slot_home import SlotHome
from damaskjunction.gateway.state import ServingState
from damaskjunction.gateway.versions.version_registry import (
    VERSIONS_KIND,
    VersionRegistry,
)
from damaskjunction.http import ReceiveBudget
from damaskjunction.node import HostView, PeerHandlers, cancel_tasks
from damaskjunction.platform import JOBS_KIND, RUNNERS_KIND, CallerRequest, ObjectChange
from damaskjunction.routing import (
    BackendSpec,
    CallerLimits,
    EngineSpec,
    LeavingRunners,
    Route,
    RouteKind,
    WeightedService,
    make_route_table,
)
from damaskjunction.telemetry import Metrics

ITEMS_PER_JOB = 3
DRAIN_S = 4.5
ROUTE = Route(
    "night",
    "h",
    "/",
    RouteKind.BATCH,
    (WeightedService(SERVICE, 1),),
    5,
    1,
    completion_target_s=60.0,
)
SPEC = BackendSpec(SERVICE, "", 100, EngineSpec(SLOTS, 10_000))


def make_table(version, routes):
    """Return the routes of a configuration version."""
    return make_route_table(version, routes, [SPEC], CallerLimits())


TABLE = make_table(1, [ROUTE])


class Call:
    """A call between two hosts; what a muted host sends is kept."""

    def __init__(self, caller_id, target_id):
        self.ends = {caller_id, target_id}
        self.target_id = target_id
        self.replies = asyncio.Queue()


class Links:
    """The links of one host to the others."""

    def __init__(self, fleet, own_id):
        self._fleet = fleet
        self._own_id = own_id

    async def call(self, address, lane, message):
        fleet = self._fleet
        target_id = fleet.ids_by_address[address]
        target = fleet.hosts_by_id.get(target_id)
        await asyncio.sleep(CALL_S)
        await fleet.heard_by_id[self._own_id].wait()
        if target is None:
            raise RequestError(Outcome.NOT_RUN, "peer_unreachable")
        call = Call(self._own_id, target_id)
        fleet.calls.append(call)
        serving = asyncio.ensure_future(self._serve(call, target, message))
        try:
            while True:
                reply = await call.replies.get()
                await fleet.heard_by_id[target_id].wait()
                if isinstance(reply, RequestError):
                    raise reply
                yield reply
        finally:
            fleet.calls.remove(call)
            await cancel_tasks([serving])

    async def ask(self, address, lane, message):
        async for reply in self.call(address, lane, message):
            return reply

    async def _serve(self, call, target, message):
        async def reply(answer):
            call.replies.put_nowait(answer)

        try:
            await target.handlers.handle(message, reply)
        except RequestError as error:
            call.replies.put_nowait(error)


class NoSuspects:
    def is_suspect(self, service, traits):
        return False

    def watched(self, service, traits):
        return ()


class RunnersToBlame:
    """Takes each failure for the runner's: paths to runners never fail here."""

    def record(self, runner, reason, accuse, on_path_cut=None):
        accuse()


class HostStore:
    """One host's way to the store."""

    def __init__(self, store):
        self._store = store
        self.is_cut = False

    def __getattr__(self, name):
        async def call(*args, **options):
            await asyncio.sleep(CALL_S)
            if self.is_cut:
                raise PlatformUnavailableError("cut off")
            return await getattr(self._store, name)(*args, **options)

        return call


class Host:
    """The parts of a host that place items, from ``start`` to ``kill``."""

    def __init__(self, fleet, name, seen):
        self._fleet = fleet
        self._name = name
        self.view = HostView(fleet.entries_by_id[name])
        self.store = HostStore(fleet.store)
        timers = SimulatedTimers()
        leaving = LeavingRunners()
        self.state = ServingState(self.view, timers, {}, leaving)
        self.state.table = fleet.table
        runner_client = RunnerCalls(fleet.runners_by_id, leaving)
        metrics = Metrics()
        suspects = NoSuspects()
        self.versions = VersionRegistry(self.store, self.state, timers, metrics)
        self.handlers = PeerHandlers()
        faults = RunnersToBlame()
        self.home = SlotHome(
            self.state,
            suspects,
            runner_client,
            self.versions,
            timers,
            runner_faults=faults,
        )
        self.home.register(self.handlers)
        rng = random.Random(name)
        client = SlotClient(
            self.state,
            self.home,
            suspects,
            Links(fleet, name),
            timers,
            version_registry=self.versions,
            observed_limits=runner_client.observed_limits,
            rng=rng,
        )
        context = SimpleNamespace(
            state=self.state,
            slot_client=client,
            runner_client=runner_client,
            runner_faults=faults,
            timers=timers,
            metrics=metrics,
            rng=rng,
            version_registry=self.versions,
            budget=ReceiveBudget(),
        )
        self.jobs = JobRepository(self.store)
        self.worker = JobWorker(self.jobs, context)
        self._front = JobFront(self.jobs, None, None, state=self.state, timers=timers)
        self.show(seen)

    async def start(self):
        await self.versions.start()
        await self.home.start()
        await self.worker.start()
        self.learn()

    def show(self, seen):
        """See these hosts alone, as they are now, beside this one."""
        entries_by_id = self._fleet.entries_by_id
        others = [entries_by_id[name] for name in seen if name != self._name]
        self.view.apply_hosts([self.view.own, *others])

    def observe(self, name):
        """Learn how another host is now, if it is seen."""
        if name != self._name and name in self.view.fleet.hosts_by_id:
            self.show(self.view.fleet.hosts_by_id)

    def learn(self):
        """Read all objects of the store, if it can be reached."""
        store = self._fleet.store
        if self.store.is_cut or store.is_away:
            return
        self.jobs.replace_all(store.objects_of(JOBS_KIND))
        self.state.replace_runners(store.objects_of(RUNNERS_KIND))
        versions = store.objects_of(VERSIONS_KIND)
        self.versions.kind_state.replace_all(versions, store.revision)

    def apply(self, stored):
        """Apply a write of the store, if it can be reached."""
        if self.store.is_cut:
            return
        change = ObjectChange(stored, False)
        if stored.kind == JOBS_KIND:
            self.jobs.apply_object(stored)
        elif stored.kind == RUNNERS_KIND:
            self.state.apply_runner_change(change)
        elif stored.kind == VERSIONS_KIND:
            self.versions.kind_state.apply_changes((change,), stored.revision)

    async def submit(self, job_id):
        """Submit a job as a caller does; its items are owed if it is accepted."""
        items = [
            {
                "Id": f"{job_id}.{number}",
                "Path": "/x",
                "Headers": {},
                "Body": "",
                "Tokens": 10,
            }
            for number in range(ITEMS_PER_JOB)
        ]
        body = json.dumps({"Items": items}).encode()
        request = CallerRequest(
            job_id, "POST", "/x", "/x", "h", None, (), 0, None, {}, body
        )
        await self._front.submit(request, ROUTE)

    def configure(self, table):
        """Put routes in force."""
        self.state.table = table
        self.view.apply_configuration(Configuration(revision=table.version))

    def home_id(self):
        """Return the host that keeps the slots of the service, as this host sees it."""
        return self.state.homes.homes_of(SERVICE)[0].host_id

    def start_draining(self):
        """Accept no new work; return the task that ends the work under way."""
        self.view.start_draining()
        assert self.view.own.state is HostState.LEAVING
        return asyncio.ensure_future(self.worker.drain(DRAIN_S))

    async def kill(self):
        await self.worker.close()
        await self.home.close()
        await self.versions.close()
