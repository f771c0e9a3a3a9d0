"""A fleet of hosts with their jobs, slots and takeovers, on a simulated clock.

Workers, clients and homes of slots are the real ones. Links, store and runners are
simulated, and each host has a view of its own.
"""

from __future__ import annotations

import asyncio
import random
from types import SimpleNamespace

from fake_homes import AllVersions, make_host
from fake_store import FakeStore
from simulated_runners import CALL_S, SERVICE, SLOTS, RunnerCalls, SimulatedRunner

from damaskjunction.batch import BatchItem, JobRecord
from damaskjunction.core import (
    LoopTimers,
    Outcome,
    PlatformError,
    PlatformUnavailableError,
    RequestError,
)
from damaskjunction.gateway.job_repository import JobRepository
from damaskjunction.gateway.job_worker import JobWorker
from damaskjunction.gateway.slot_client import SlotClient
from damaskjunction.gateway.slot_home import SlotHome
from damaskjunction.node import PeerHandlers, cancel_tasks
from damaskjunction.platform import (
    JOBS_KIND,
    RESULTS_KIND,
    decode_record,
    decode_result_list,
)
from damaskjunction.routing import (
    BackendSpec,
    EngineSpec,
    Route,
    RouteKind,
    WeightedService,
)
from damaskjunction.telemetry import Metrics

ITEMS_PER_JOB = 3
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


class SimulatedLoop(asyncio.SelectorEventLoop):
    """An event loop whose clock jumps to the next timer when nothing is ready."""

    def __init__(self):
        super().__init__()
        self._now_s = 0.0
        self._select = self._selector.select
        self._selector.select = self._jump

    def time(self):
        return self._now_s

    def _jump(self, timeout_s):
        self._now_s += timeout_s or 0.0
        return self._select(0)


class SimulatedTimers(LoopTimers):
    """The timer service on the simulated loop."""

    def now(self):
        return asyncio.get_running_loop().time()

    def wall(self):
        return 1.8e9 + self.now()


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


class View:
    """What one host knows of the fleet."""

    def __init__(self, own, hosts_by_id):
        self.own = own
        self.power_by_host = {}
        self.fleet = SimpleNamespace(hosts_by_id=hosts_by_id)
        self._observers = []

    def subscribe(self, observer):
        self._observers.append(observer)

    def serving_hosts(self):
        return list(self.fleet.hosts_by_id.values())

    def apply(self, hosts_by_id):
        self.fleet = SimpleNamespace(hosts_by_id=hosts_by_id)
        for observer in self._observers:
            observer()


class State:
    """Routes and runners; each host knows them all."""

    def __init__(self, view, fleet):
        self.view = view
        self.table = SimpleNamespace(
            find_by_name=lambda name: ROUTE, services_by_name={SERVICE: SPEC}
        )
        self._runners = [runner.entry for runner in fleet.runners_by_id.values()]

    def runners_of(self, service):
        return self._runners

    def entries_since(self, runner_id, at_s):
        return [r for r in self._runners if r.runner_id == runner_id]

    def leaving_notices(self, service):
        return ()

    def record_leaving(self, notices):
        return


class NoSuspects:
    def is_suspect(self, service, traits):
        return False

    def watched(self, service, traits):
        return ()


class Versions(AllVersions):
    def subscribe(self, observer):
        return


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

    def __init__(self, fleet, name, seen_by_id):
        self._fleet = fleet
        self.view = View(fleet.entries_by_id[name], seen_by_id)
        self.store = HostStore(fleet.store)
        state, timers = State(self.view, fleet), SimulatedTimers()
        runner_client = RunnerCalls(fleet.runners_by_id)
        suspects, versions = NoSuspects(), Versions()
        self.handlers = PeerHandlers()
        self.home = SlotHome(state, suspects, runner_client, versions, timers)
        self.home.register(self.handlers)
        rng = random.Random(name)
        client = SlotClient(
            state,
            self.home,
            suspects,
            Links(fleet, name),
            timers,
            version_registry=versions,
            observed_limits=runner_client.observed_limits,
            rng=rng,
        )
        context = SimpleNamespace(
            state=state,
            slot_client=client,
            runner_client=runner_client,
            timers=timers,
            metrics=Metrics(),
            rng=rng,
        )
        self.jobs = JobRepository(self.store)
        self.worker = JobWorker(self.jobs, context)

    async def start(self):
        await self.home.start()
        await self.worker.start()
        self.learn_jobs()

    def learn_jobs(self):
        if not self.store.is_cut and not self._fleet.store.is_away:
            self.jobs.replace_all(self._fleet.store.objects_of(JOBS_KIND))

    async def kill(self):
        await self.worker.close()
        await self.home.close()


class SimulatedFleet:
    """Hosts by name, with one store and the runners of one service."""

    def __init__(self, host_names, runner_names):
        self.store = FakeStore()
        self.store.on_write = self._tell
        self.entries_by_id = {n: make_host(i, n) for i, n in enumerate(host_names)}
        self.ids_by_address = {h.peer: n for n, h in self.entries_by_id.items()}
        self.runners_by_id = {n: SimulatedRunner(n) for n in runner_names}
        self.hosts_by_id = {}
        self.calls = []
        self.heard_by_id = {name: asyncio.Event() for name in host_names}
        self._n_jobs = 0
        for name in host_names:
            self.heard_by_id[name].set()

    def _tell(self, stored):
        if stored.kind != JOBS_KIND:
            return
        for host in self.hosts_by_id.values():
            if not host.store.is_cut:
                host.jobs.apply_object(stored)

    async def start(self, name):
        """Start a host, unless it runs."""
        if name not in self.hosts_by_id:
            seen_by_id = {n: self.entries_by_id[n] for n in [*self.hosts_by_id, name]}
            host = self.hosts_by_id[name] = Host(self, name, seen_by_id)
            await host.start()

    async def kill(self, name):
        """End a host and its connections at once."""
        host = self.hosts_by_id.pop(name, None)
        if host is not None:
            self.reset(name)
            await host.kill()

    def reset(self, name):
        """Break the open calls from and to a host."""
        for call in self.calls:
            if name in call.ends:
                call.replies.put_nowait(RequestError(Outcome.UNKNOWN, "link_lost"))

    def show(self, name, seen):
        """Let a host see these hosts, beside itself."""
        host = self.hosts_by_id.get(name)
        if host is not None:
            host.view.apply({n: self.entries_by_id[n] for n in {*seen, name}})

    async def submit(self, name):
        """Submit a job; its items are owed if that succeeds."""
        host = self.hosts_by_id.get(name)
        if host is None:
            return
        self._n_jobs += 1
        job_id = f"j{self._n_jobs}"
        ids = tuple(f"{job_id}.{number}" for number in range(ITEMS_PER_JOB))
        items = tuple(BatchItem(i, "/x", {}, b"{}", 10) for i in ids)
        sent_at_s = SimulatedTimers().wall()
        tokens = (10,) * ITEMS_PER_JOB
        record = JobRecord(job_id, "night", "h", sent_at_s, ids, tokens, 0, name)
        try:
            await host.jobs.accept(record, items)
        except PlatformError:
            return

    def owed_jobs(self):
        """Return the accepted jobs whose items are not all listed."""
        stored = self.store.objects_of(JOBS_KIND)
        return [o.name for o in stored if not (o.status or {}).get("is_done")]

    def check_results(self):
        """Check that each item of the jobs that are done is listed once."""
        for stored in self.store.objects_of(JOBS_KIND):
            segment = self.store.find(RESULTS_KIND, stored.name)
            listed = [r.item_id for r in decode_result_list(segment.content["results"])]
            expected = list(decode_record(stored.name, stored.content).item_ids)
            assert sorted(listed) == expected, (stored.name, listed)
