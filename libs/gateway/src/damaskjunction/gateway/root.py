"""The composition root of a host on the platform: creates and wires its components."""

from __future__ import annotations

import asyncio
import logging
import random

from damaskjunction.core import Address, EntryHost, LoopTimers, stable_hash
from damaskjunction.gateway.client_servers import ClientServers
from damaskjunction.gateway.dispatch_context import DispatchContext
from damaskjunction.gateway.front_end import FrontEnd
from damaskjunction.gateway.inspection import make_inspection_routes, register_sections
from damaskjunction.gateway.jobs.cancellation_notifier import CancellationNotifier
from damaskjunction.gateway.jobs.job_cleaner import JobCleaner
from damaskjunction.gateway.jobs.job_front import JobFront
from damaskjunction.gateway.jobs.job_memory import JobMemory
from damaskjunction.gateway.jobs.job_repository import JobRepository
from damaskjunction.gateway.jobs.job_worker import JobWorker
from damaskjunction.gateway.jobs.result_reader import ResultReader
from damaskjunction.gateway.quotas.quota_gate import QuotaGate
from damaskjunction.gateway.requests.online import OnlineHandler
from damaskjunction.gateway.requests.plain_places import PlainPlaces
from damaskjunction.gateway.runners.crash_reporter import CrashReporter
from damaskjunction.gateway.runners.runner_client import RunnerClient
from damaskjunction.gateway.runners.runner_faults import RunnerFaults
from damaskjunction.gateway.runners.suspect_registry import SuspectRegistry
from damaskjunction.gateway.slots.slot_client import SlotClient
from damaskjunction.gateway.slots.slot_home import SlotHome
from damaskjunction.gateway.state import ServingState
from damaskjunction.gateway.store.change_feed import ChangeFeed
from damaskjunction.gateway.store.followed_kinds import followed_kinds
from damaskjunction.gateway.store.host_registry import HostRegistry
from damaskjunction.gateway.store.kind_follower import KindFollower
from damaskjunction.gateway.store.relayed_transport import RelayedTransport
from damaskjunction.gateway.store.retirements import RetirementHandler
from damaskjunction.gateway.store.store_contact import StoreContact
from damaskjunction.gateway.versions.stored_origins import StoredOrigins
from damaskjunction.gateway.versions.stream_origins import StreamOriginKeeper
from damaskjunction.gateway.versions.take_ups import TakeUpResolver
from damaskjunction.gateway.versions.version_registry import VersionRegistry
from damaskjunction.http import ReceiveBudget
from damaskjunction.membership import FailureDetector, Timing, first_incarnation
from damaskjunction.node import (
    Component,
    HostView,
    Membership,
    PeerHandlers,
    make_guards,
    share_memory,
)
from damaskjunction.platform import (
    DirectTransport,
    ProcessSettings,
    StoreClient,
)
from damaskjunction.relay import RunnerAccess
from damaskjunction.routing import LeavingRunners, StopSchedule
from damaskjunction.telemetry import Metrics, StateDump
from damaskjunction.wire import MemberList, MembersQuery, PeerLinks, PeerServer, Reply

logger = logging.getLogger(__name__)

TIMING = Timing(probe_period_s=0.5, ack_timeout_s=0.2, suspicion_timeout_s=1.0)
RUNNER_DESCRIPTOR_FRACTION = 0.25  # of the file descriptors of the process
TUNNEL_DESCRIPTOR_FRACTION = 0.1  # of the file descriptors of the process
DESCRIPTORS_PER_TUNNEL = 2
# A runner that leaves gets no requests over a tunnel that was opened before.
TUNNEL_REUSE_FRACTION = 0.5  # of the time in which a runner that leaves still serves


class GatewayProcess:
    """All components of one host on the platform.

    Parameters
    ----------
    settings : ProcessSettings
        The settings that the platform gives this process.
    """

    def __init__(self, settings: ProcessSettings) -> None:
        assert settings.caller is not None
        timers = LoopTimers()
        start_ms = int(timers.wall() * 1000)
        rng = random.Random(stable_hash(settings.host_id, str(start_ms)))
        self._settings = settings
        self._timers = timers
        self._memory = share_memory(settings.memory_bytes)
        peer = Address(settings.ip, settings.peer_port)
        own = EntryHost(
            settings.host_id,
            settings.region,
            settings.data_centre,
            settings.caller,
            peer,
            peer,
        )
        self.view = HostView(own)
        self.metrics, self.dump = Metrics(), StateDump()
        self._links = PeerLinks(timers)
        self._direct_transport = DirectTransport(settings.store, timers)
        transport = RelayedTransport(
            self._direct_transport, self.view, self._links, timers, rng
        )
        self._store = StoreClient(transport)
        self._contact = StoreContact(timers)
        self.state = self._make_state()
        handlers = PeerHandlers()
        transport.register(handlers)
        self._membership = self._make_membership(own, rng, handlers)
        self._access = access = self._make_runner_access(rng)
        runner_faults = RunnerFaults(access.diagnosis)
        self._runner_client = RunnerClient(
            timers,
            self.state.leaving,
            connector=access.connector,
            may_have_ended=access.diagnosis.may_have_ended,
            budget=ReceiveBudget(self._memory.responses),
        )
        self._suspects = suspects = SuspectRegistry(
            self._store, timers, self.metrics, f"{settings.host_id}.{start_ms}"
        )
        self._version_registry = version_registry = VersionRegistry(
            self._store, self.state, timers, self.metrics
        )
        home = SlotHome(
            self.state,
            suspects,
            self._runner_client,
            version_registry,
            timers,
            runner_faults=runner_faults,
        )
        home.register(handlers)
        slot_client = SlotClient(
            self.state,
            home,
            suspects,
            self._links,
            timers,
            version_registry=version_registry,
            observed_limits=self._runner_client.observed_limits,
            rng=rng,
        )
        crash_reporter = CrashReporter(
            self.state,
            suspects,
            slot_client,
            self._links,
            timers,
            diagnosis=access.diagnosis,
        )
        crash_reporter.register(handlers)
        self._origin_keeper = origin_keeper = StreamOriginKeeper(
            self.state, version_registry, self._links, timers
        )
        origin_keeper.register(handlers)
        stored_origins = StoredOrigins(
            self._store,
            self.state,
            version_registry,
            origin_keeper,
            timers=timers,
            metrics=self.metrics,
        )
        take_ups = TakeUpResolver(
            self.state,
            version_registry,
            origin_keeper,
            stored_origins,
            timers=timers,
            metrics=self.metrics,
        )
        self.quota_gate = self._make_quota_gate(handlers)
        context = DispatchContext(
            self.state,
            slot_client,
            self._runner_client,
            suspects,
            crash_reporter,
            runner_faults,
            version_registry,
            origin_keeper,
            take_ups,
            timers,
            self.metrics,
            rng,
            self._runner_client.budget,
            self.quota_gate,
        )
        online_handler = OnlineHandler(context, self._make_plain_places())
        self.job_repository = job_repository = JobRepository(
            self._store, JobMemory(self._memory.jobs, self._memory.cached_items)
        )
        self._worker = JobWorker(job_repository, context)
        jobs = self._make_job_front(handlers)
        self._front_end = front_end = FrontEnd(
            self.state,
            online_handler,
            jobs,
            self.quota_gate,
            metrics=self.metrics,
            timers=timers,
        )
        guards = make_guards(
            self._memory, settings.max_descriptors, timers, self.metrics
        )
        self._servers = ClientServers(
            settings,
            front_end,
            make_inspection_routes(self.metrics, self.dump),
            guards.clients,
        )
        self._peer_server = PeerServer(
            peer,
            timers,
            handlers.handle,
            access.tunnel_server.serve,
            guard=guards.peers,
        )
        self._host_registry = HostRegistry(
            self._store, own, self._membership, self.view, settings.n_cores
        )
        self._change_feed = self._make_change_feed(transport, rng)
        self._change_feed.register(handlers)
        self._register_dump_sections(home, slot_client, transport)
        self.view.subscribe(self._apply_http_limits)
        self._components: tuple[Component, ...] = (
            transport,
            suspects,
            version_registry,
            origin_keeper,
            stored_origins,
            crash_reporter,
            runner_faults,
            home,
            self.quota_gate,
            self._peer_server,
            self._membership,
            self._host_registry,
            self._change_feed,
            self._worker,
            JobCleaner(job_repository, self.view, timers, settings.result_retention_s),
            RetirementHandler(self._store, self.view, rng),
            self._servers,
        )

    @property
    def store_calls(self) -> dict[str, int]:
        """Numbers of calls to the store so far, by operation and result."""
        return dict(self._store.n_calls_by_result)

    @property
    def has_lost_store(self) -> bool:
        """Whether this host gets changes neither from the store nor from a host."""
        return self._change_feed.has_lost_store

    async def start(self) -> None:
        """Start all components in order."""
        for component in self._components:
            await component.start()

    async def drain(self) -> None:
        """Drain the host within the stop grace period.

        Announces that the host is leaving. Callers who still come are served, or
        refused at once if their requests may outlast the grace period. Jobs are
        stopped before that, so that another host can take them over. At last the host
        stops listening and waits for the requests in flight.
        """
        now_s = self._timers.now()
        schedule = StopSchedule(now_s, self._settings.stop_grace_s)
        self.view.start_draining()
        self._front_end.begin_stop(schedule)
        self._servers.caller.disable_keep_alive()
        leaving = asyncio.ensure_future(self._leave(schedule.items_until_s - now_s))
        await asyncio.sleep(schedule.listens_until_s - now_s)
        try:
            async with asyncio.timeout(schedule.ends_at_s - self._timers.now()):
                await leaving
                await self._servers.caller.drain()
                await self._access.tunnel_server.drain()
        except TimeoutError:
            logger.warning("requests aborted at the end of the stop grace period")

    async def _leave(self, items_s: float) -> None:
        """Tell the other hosts, stop batch items after a time, then deregister."""
        await asyncio.gather(
            self._membership.leave(),
            self._worker.drain(items_s),
            asyncio.sleep(items_s),
        )
        await self._host_registry.deregister()

    async def close(self) -> None:
        """Stop all components in the reverse order of their start."""
        for component in reversed(self._components):
            await component.close()
        self._links.close()
        self._runner_client.close()
        self._direct_transport.close()

    def _make_runner_access(self, rng: random.Random) -> RunnerAccess:
        settings = self._settings
        n_descriptors = TUNNEL_DESCRIPTOR_FRACTION * settings.max_descriptors
        access = RunnerAccess(
            self.view.other_hosts,
            self.state.may_use,
            self.state.runner_addresses,
            timers=self._timers,
            metrics=self.metrics,
            rng=rng,
            max_reuse_s=TUNNEL_REUSE_FRACTION * settings.drain_s,
            max_tunnels=int(n_descriptors / DESCRIPTORS_PER_TUNNEL),
        )
        self.view.subscribe(access.retain_listed)
        self.dump.sections.register("runner_paths")(access.to_document)
        return access

    def _make_plain_places(self) -> PlainPlaces:
        limit = RUNNER_DESCRIPTOR_FRACTION * self._settings.max_descriptors
        places = PlainPlaces(int(limit))
        self.metrics.gauge("plain_requests", lambda: float(places.n_taken))
        self.metrics.gauge("plain_requests_refused", lambda: float(places.n_refused))
        return places

    def _make_job_front(self, handlers: PeerHandlers) -> JobFront:
        jobs, timers = self.job_repository, self._timers
        notifier = CancellationNotifier(jobs, self.view, self._links)
        notifier.register(handlers)
        reader = ResultReader(jobs, self._worker, self.view, self._links, timers)
        reader.register(handlers)
        return JobFront(jobs, reader, notifier, state=self.state, timers=timers)

    def _make_quota_gate(self, handlers: PeerHandlers) -> QuotaGate:
        gate = QuotaGate(
            self.state,
            self._links,
            self._timers,
            self.metrics,
            bounds=self._settings.quota_bounds,
        )
        gate.register(handlers)
        return gate

    def _make_state(self) -> ServingState:
        settings = self._settings
        leaving = LeavingRunners(settings.drain_s, settings.max_skew_s)
        return ServingState(
            self.view,
            self._timers,
            settings.regions_by_data_centre,
            leaving,
            self._contact,
        )

    def _make_change_feed(
        self, transport: RelayedTransport, rng: random.Random
    ) -> ChangeFeed:
        followed = followed_kinds(
            self.state,
            self.job_repository,
            hosts=self._host_registry.state,
            suspects=self._suspects.state,
            versions=self._version_registry.kind_state,
        )
        followers = [
            KindFollower(
                self._store,
                kind.state,
                rng=rng,
                watch_wait_s=kind.watch_wait_s,
                coalesce_s=kind.coalesce_s,
            )
            for kind in followed
        ]
        return ChangeFeed(
            followers,
            self.view,
            self._links,
            transport,
            self._timers,
            contact=self._contact,
            drain_s=self._settings.drain_s,
            rng=rng,
        )

    def _make_membership(
        self, own: EntryHost, rng: random.Random, handlers: PeerHandlers
    ) -> Membership:
        incarnation = first_incarnation(self._timers.wall())
        membership = Membership(
            self.view,
            self._links,
            self._timers,
            detector=FailureDetector(own, incarnation, rng, timing=TIMING),
            metrics=self.metrics,
            rng=rng,
            seeds=tuple(
                Address(seed.ip, self._settings.peer_port)
                for seed in self._settings.seeds
            ),
        )

        @handlers.register(MembersQuery)
        async def send_members(query: MembersQuery, reply: Reply) -> None:
            members: MemberList = membership.member_list()
            await reply(members)

        return membership

    def _register_dump_sections(
        self, home: SlotHome, slot_client: SlotClient, transport: RelayedTransport
    ) -> None:
        counts = self._store.n_calls_by_result
        documents_by_name = {
            "slots": home.to_document,
            "leaving": self.state.leaving.to_document,
            "suspects": self._suspects.to_document,
            "software_versions": self._version_registry.to_document,
            "stream_origins": self._origin_keeper.to_document,
            "quotas": self.quota_gate.to_document,
            "slot_desk": slot_client.to_document,
            "open_jobs": self._worker.to_document,
            "owed_items": self._worker.owed_items.to_document,
            "store_path": transport.to_document,
            "store_news": self._change_feed.to_document,
            "membership": self._membership.to_document,
            "store_calls": lambda: counts,
        }
        register_sections(self.dump, documents_by_name)
        job_memory = self.job_repository.memory
        self.metrics.gauge("job_held_bytes", lambda: float(job_memory.held.n_bytes))
        self.metrics.gauge("jobs_refused_room", lambda: float(job_memory.n_refused))
        self.metrics.gauge(
            "runner_connects", lambda: float(self._runner_client.n_connections_opened)
        )
        self.metrics.gauge("store_calls", lambda: float(sum(counts.values())))

    def _apply_http_limits(self) -> None:
        self._servers.apply_limits(self.state.table.limits)
