"""Composition root: creates the components of a host and connects them."""

from __future__ import annotations

import asyncio
from contextlib import aclosing
from pathlib import Path
from typing import NamedTuple

from damaskjunction.http import HttpLimits, HttpServer, ReceiveBudget
from damaskjunction.membership import FailureDetector, first_incarnation
from damaskjunction.node.admin.admin import Admin
from damaskjunction.node.admin.services import ServiceRoutes
from damaskjunction.node.components import Component
from damaskjunction.node.jobs.job_cancel import JobCanceller
from damaskjunction.node.jobs.job_cleaner import JobCleaner
from damaskjunction.node.jobs.job_routes import JobRoutes
from damaskjunction.node.jobs.job_store import JobStore
from damaskjunction.node.jobs.job_submission import SubmissionRoutes
from damaskjunction.node.jobs.job_worker import JobWorker
from damaskjunction.node.jobs.peak_budget import PeakBudget
from damaskjunction.node.membership.datagrams import (
    DatagramEndpointFactory,
    open_udp_endpoint,
)
from damaskjunction.node.membership.membership import Membership
from damaskjunction.node.placement.leasing import LeaseManager
from damaskjunction.node.placement.placer import Placer
from damaskjunction.node.placement.state_reports import StateReportCollector
from damaskjunction.node.replication.document_replicator import DocumentReplicator
from damaskjunction.node.runners.crashes import CrashTracker
from damaskjunction.node.runners.probing import RunnerProbes
from damaskjunction.node.serving.caller_routes import CallerRoutes
from damaskjunction.node.serving.claims import CallClaims
from damaskjunction.node.serving.demand import DemandMeter
from damaskjunction.node.serving.entry import RequestRouter
from damaskjunction.node.serving.home import Home
from damaskjunction.node.serving.metering import Meter, MeteredRequestRunner
from damaskjunction.node.serving.request_routes import RequestRoutes
from damaskjunction.node.serving.selection import RunnerSelector
from damaskjunction.node.shared_dependencies import SharedDependencies, make_shared
from damaskjunction.node.shutdown import GracefulShutdown, refuse_when_leaving
from damaskjunction.placement import RunnerStatus
from damaskjunction.routing import Forward, VerdictNews, admission_policies
from damaskjunction.settings import HostSettings
from damaskjunction.wire import (
    DataCentreQuery,
    DocumentQuery,
    JobStopped,
    MembersQuery,
    PeerServer,
    PlacementQuery,
    Reply,
    StatusQuery,
    StopJob,
)


class _Online(NamedTuple):
    """Components that serve requests."""

    home: Home
    entry: MeteredRequestRunner
    meter: Meter
    demand: DemandMeter
    crashes: CrashTracker
    claims: CallClaims


class _Batch(NamedTuple):
    """Components that run batch jobs."""

    peak: PeakBudget
    worker: JobWorker
    cleaner: JobCleaner


class _Control(NamedTuple):
    """Components that maintain the host's view and the region's plan."""

    membership: Membership
    replicator: DocumentReplicator
    probes: RunnerProbes
    lease_manager: LeaseManager
    placer: Placer


class HostProcess:
    """All components of one host.

    Parameters
    ----------
    settings : HostSettings
        Settings of the host.
    open_endpoint : callable, optional
        Opens the UDP endpoint of the membership protocol.
    """

    def __init__(
        self,
        settings: HostSettings,
        open_endpoint: DatagramEndpointFactory = open_udp_endpoint,
    ) -> None:
        shared = make_shared(settings)
        self._view = shared.view
        self._store = shared.store
        self._links = shared.links
        online = _wire_online(shared)
        control = _wire_control(shared, online, open_endpoint)
        batch = _wire_batch(shared, online)
        guards = shared.guards
        callers = HttpServer(
            settings.caller,
            shared.routes.handle,
            limits=HttpLimits(n_connections=settings.max_descriptors),
            guard=guards.clients,
        )
        self._runner_access = access = shared.runner_access
        peers = PeerServer(
            settings.peer,
            shared.timers,
            shared.peer_handlers.handle,
            access.tunnel_server.serve,
            guard=guards.peers,
        )
        self._shutdown = GracefulShutdown(
            shared.view,
            control.membership,
            callers,
            first_drains=(batch.worker.drain,),
            last_drains=(online.claims.drain, online.home.drain, peers.drain),
        )
        self._components: tuple[Component, ...] = (
            online.home,
            peers,
            *control,
            online.crashes,
            online.claims,
            *batch,
            callers,
        )
        self.leave_requested = asyncio.Event()
        shared.view.subscribe(self._check_listed_state)

    async def start(self) -> None:
        """Start every component in order, the callers' HTTP server last."""
        for component in self._components:
            await component.start()

    async def drain(self) -> None:
        """Stop accepting work and return when all work in progress has ended."""
        await self._shutdown.run()

    async def close(self) -> None:
        """Stop every component in reverse order, then close links and store client."""
        for component in reversed(self._components):
            await component.close()
        await self._runner_access.diagnosis.close()
        self._links.close()
        self._store.close()

    def _check_listed_state(self) -> None:
        if self._view.is_listed_leaving:
            self.leave_requested.set()


def _wire_online(shared: SharedDependencies) -> _Online:
    view, timers, metrics = shared.view, shared.timers, shared.metrics
    policy = admission_policies.get(shared.settings.admission)
    selection = RunnerSelector(view, timers, policy)
    crashes = CrashTracker(
        view,
        shared.links,
        shared.store,
        timers,
        rng=shared.rng,
        metrics=metrics,
        diagnosis=shared.runner_access.diagnosis,
    )
    connector = shared.runner_access.connector
    home = Home(
        view,
        selection,
        crashes,
        timers,
        metrics,
        connector=connector,
        budget=ReceiveBudget(shared.memory.responses),
    )
    demand = DemandMeter()
    meter = Meter(view, timers, metrics)
    router = RequestRouter(
        home,
        shared.links,
        RequestRoutes(view, selection, timers),
        selection,
        crashes=crashes,
        timers=timers,
        rng=shared.rng,
        metrics=metrics,
        demand=demand,
    )
    entry = MeteredRequestRunner(router, meter, timers)
    claims = CallClaims(shared.store, entry, view.own.host_id, timers, rng=shared.rng)
    CallerRoutes(view, entry, claims).register(shared.routes)
    shared.dump.sections.register("delivery")(router.to_document)
    _register_online(shared, home, crashes)
    return _Online(home, entry, meter, demand, crashes, claims)


def _register_online(
    shared: SharedDependencies, home: Home, crashes: CrashTracker
) -> None:
    view, links = shared.view, shared.links
    shared.dump.sections.register("runners")(home.to_document)
    shared.dump.sections.register("quarantine")(crashes.to_document)
    shared.metrics.gauge("links_replaced_total", lambda: links.n_replaced)

    @shared.peer_handlers.register(VerdictNews)
    async def merge_verdict(news: VerdictNews, reply: Reply) -> None:
        crashes.merge(news)

    @shared.peer_handlers.register(Forward)
    async def run(forward: Forward, reply: Reply) -> None:
        refuse_when_leaving(view)
        async with aclosing(home.run(forward)) as answers:
            async for answer in answers:
                await reply(answer)


def _wire_control(
    shared: SharedDependencies, online: _Online, open_endpoint: DatagramEndpointFactory
) -> _Control:
    view, timers, metrics = shared.view, shared.timers, shared.metrics
    incarnation = first_incarnation(timers.wall())
    membership = Membership(
        view,
        shared.links,
        timers,
        detector=FailureDetector(view.own, incarnation, shared.rng),
        metrics=metrics,
        rng=shared.rng,
        seeds=shared.settings.seeds,
        open_endpoint=open_endpoint,
    )
    replicator = DocumentReplicator(
        view,
        shared.store,
        shared.links,
        membership,
        timers=timers,
        metrics=metrics,
        rng=shared.rng,
    )
    placement = _wire_placement(shared, online.demand)
    control = _Control(membership, replicator, *placement)
    _register_control(shared, control, online.demand)
    return control


def _wire_placement(
    shared: SharedDependencies, demand: DemandMeter
) -> tuple[RunnerProbes, LeaseManager, Placer]:
    view, timers, metrics = shared.view, shared.timers, shared.metrics
    connector = shared.runner_access.connector
    probes = RunnerProbes(view, timers, metrics, connector)
    lease_manager = LeaseManager(view, shared.store, timers, metrics)
    collector = StateReportCollector(
        view,
        shared.links,
        probes=probes,
        demand=demand,
        timers=timers,
        metrics=metrics,
    )
    placer = Placer(
        view,
        shared.store,
        lease_manager=lease_manager,
        probes=probes,
        collector=collector,
        timers=timers,
        metrics=metrics,
    )
    return probes, lease_manager, placer


def _register_control(
    shared: SharedDependencies, control: _Control, demand: DemandMeter
) -> None:
    admin = Admin(
        shared.view,
        shared.store,
        shared.links,
        control.membership,
        on_stored=control.replicator.put_configuration,
        metrics=shared.metrics,
        dump=shared.dump,
        token=_read_token(shared.settings),
    )
    admin.register(shared.routes)
    ServiceRoutes(shared.view, admin.authorize).register(shared.routes)
    sections = shared.dump.sections
    sections.register("host")(lambda: admin.own_status()._asdict())
    sections.register("membership")(control.membership.to_document)
    sections.register("documents")(control.replicator.to_document)
    sections.register("placement")(control.placer.to_document)
    _register_queries(shared, admin, control)
    _register_placement(shared, control, demand)


def _register_queries(
    shared: SharedDependencies, admin: Admin, control: _Control
) -> None:
    handlers = shared.peer_handlers

    @handlers.register(StatusQuery)
    async def report_status(query: StatusQuery, reply: Reply) -> None:
        await reply(admin.own_status())

    @handlers.register(DataCentreQuery)
    async def report_data_centre(query: DataCentreQuery, reply: Reply) -> None:
        await reply(admin.data_centre_status())

    @handlers.register(DocumentQuery)
    async def send_document(query: DocumentQuery, reply: Reply) -> None:
        await reply(control.replicator.handle_query(query))

    @handlers.register(MembersQuery)
    async def report_members(query: MembersQuery, reply: Reply) -> None:
        await reply(control.membership.member_list())


def _register_placement(
    shared: SharedDependencies, control: _Control, demand: DemandMeter
) -> None:
    handlers = shared.peer_handlers

    @handlers.register(RunnerStatus)
    async def handle_change(status: RunnerStatus, reply: Reply) -> None:
        if control.lease_manager.may_act():
            control.placer.record_change(status)

    @handlers.register(PlacementQuery)
    async def report_placement(query: PlacementQuery, reply: Reply) -> None:
        reports = control.probes.report(query.known_digest)
        for report in (*reports, *demand.loads()):
            await reply(report)


def _wire_batch(shared: SharedDependencies, online: _Online) -> _Batch:
    view, timers, metrics = shared.view, shared.timers, shared.metrics
    jobs = JobStore(shared.store, metrics, shared.rng)
    peak = PeakBudget(
        view,
        jobs,
        online.meter,
        timers=timers,
        metrics=metrics,
        rng=shared.rng,
    )
    worker = JobWorker(
        view,
        jobs,
        online.entry,
        meter=online.meter,
        peak=peak,
        timers=timers,
        metrics=metrics,
        rng=shared.rng,
    )
    cleaner = JobCleaner(view, jobs, timers)
    canceller = JobCanceller(view, jobs, worker, shared.links, timers)
    SubmissionRoutes(view, jobs, timers).register(shared.routes)
    JobRoutes(view, jobs, canceller, peak, timers).register(shared.routes)
    shared.dump.sections.register("batch")(worker.to_document)
    shared.dump.sections.register("peak")(peak.to_document)

    @shared.peer_handlers.register(StopJob)
    async def stop_job(message: StopJob, reply: Reply) -> None:
        await worker.stop_job(message.job_id)
        await reply(JobStopped(message.job_id))

    return _Batch(peak, worker, cleaner)


def _read_token(settings: HostSettings) -> str:
    if not settings.admin_token_file:
        return ""
    return Path(settings.admin_token_file).read_text().strip()
