"""Runs the membership protocol over UDP and keeps the host's view up to date."""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Callable, Iterable
from typing import Any, TypeAlias

from damaskjunction.core import (
    Address,
    DataCentre,
    EntryHost,
    HostId,
    RequestError,
    Subscription,
    Timers,
)
from damaskjunction.membership import (
    MAX_DATAGRAM_BYTES,
    Datagram,
    DocumentRevision,
    DocumentsAnnounced,
    Effect,
    FailureDetector,
    Health,
    Member,
    MembersChanged,
    Send,
    Timing,
)
from damaskjunction.node.membership.datagrams import (
    DatagramEndpoint,
    DatagramEndpointFactory,
    open_udp_endpoint,
)
from damaskjunction.node.state import HostView
from damaskjunction.node.tasks import cancel_tasks, supervise
from damaskjunction.telemetry import Metrics
from damaskjunction.wire import (
    DecodeError,
    HostStatus,
    MemberList,
    MembersQuery,
    PeerLinks,
    decode_message,
    encode_message,
)

logger = logging.getLogger(__name__)

CONTROL_LANE = "control"
DATAGRAM_KIND = Datagram.__name__
LEAVE_GOSSIP_S = 1.5
QUERY_TIMEOUT_S = 2.0
MEMBER_SYNC_PERIOD_S = 300.0
FIRST_MEMBER_SYNC_S = 0.6
SECOND_MEMBER_SYNC_S = 20.0
MAX_SEEDS_PINGED = 3

DocumentsHandler: TypeAlias = Callable[[HostId, tuple[DocumentRevision, ...]], None]


class Membership:
    """Tracks the known hosts, and announces this host's state and documents to them.

    The failure detector decides; this class does the input and output.

    Parameters
    ----------
    view : HostView
        Updated with the hosts; source of the active revisions to announce.
    links : PeerLinks
        Links to other hosts.
    timers : Timers
        Timer service of this process.
    detector : FailureDetector
        Decisions of the protocol, without input and output.
    metrics : Metrics
        Counts datagrams and their bytes.
    rng : random.Random
        Random number generator, for jitter and for the choice of peers.
    seeds : iterable of Address, optional
        Probe addresses to join through while the platform cannot be reached.
    open_endpoint : callable, optional
        Opens the datagram endpoint.
    """

    def __init__(
        self,
        view: HostView,
        links: PeerLinks,
        timers: Timers,
        *,
        detector: FailureDetector,
        metrics: Metrics,
        rng: random.Random,
        seeds: Iterable[Address] = (),
        open_endpoint: DatagramEndpointFactory = open_udp_endpoint,
    ) -> None:
        self._view = view
        self._links = links
        self._timers = timers
        self._metrics = metrics
        self._rng = rng
        self._seeds = tuple(seeds)
        self._open_endpoint = open_endpoint
        self._endpoint: DatagramEndpoint | None = None
        self._tick_timer: Subscription | None = None
        self._sync_task: asyncio.Task[None] | None = None
        self._documents_handler: DocumentsHandler | None = None
        self.detector = detector
        view.subscribe(self._update_active_revisions)
        metrics.gauge("membership_hosts", lambda: len(detector.fleet_hosts()))
        metrics.gauge("membership_awareness", lambda: detector.awareness)
        metrics.gauge("membership_isolated", lambda: float(self.is_isolated()))

    async def start(self) -> None:
        """Bind the socket and start probing."""
        self._endpoint = await self._open_endpoint(self._view.own.probe, self._receive)
        self._tick_timer = self._timers.every(Timing().tick_s, self._on_tick)
        self._sync_task = asyncio.ensure_future(
            supervise("member lists", self._sync_members)
        )

    async def close(self) -> None:
        """Stop probing and release the socket."""
        if self._tick_timer is not None:
            self._tick_timer.cancel()
        if self._sync_task is not None:
            await cancel_tasks([self._sync_task])
        if self._endpoint is not None:
            self._endpoint.close()

    async def leave(self) -> None:
        """Announce that this host is leaving and allow time for gossip to spread it."""
        self._execute(self.detector.leave())
        await asyncio.sleep(LEAVE_GOSSIP_S)

    def subscribe_documents(self, handler: DocumentsHandler) -> None:
        """Call the handler whenever a host announces the documents that it holds."""
        self._documents_handler = handler

    def apply_host_list(self, hosts: Iterable[EntryHost]) -> None:
        """Apply the platform's host list."""
        self._execute(self.detector.apply_host_list(hosts, self._timers.now()))

    def announce(self, documents: tuple[DocumentRevision, ...]) -> None:
        """Announce which documents this host holds."""
        self._execute(self.detector.announce(documents))

    def is_isolated(self) -> bool:
        """Return whether this host receives nothing from the others."""
        return self.detector.is_isolated(self._timers.now())

    def is_watcher(self) -> bool:
        """Return whether this host watches the platform for its data centre."""
        own = self._view.own
        watchers = self.detector.watchers(own.data_centre)
        return any(member.host.host_id == own.host_id for member in watchers)

    def find_host(self, host_id: HostId) -> EntryHost | None:
        """Return the host with an id, None when it is not known."""
        member = self.detector.member_table.members_by_id.get(host_id)
        return member.host if member is not None else None

    def data_centres(self) -> list[DataCentre]:
        """Return the data centres that have hosts."""
        members = self.detector.member_table.non_dead_members()
        names = {member.host.data_centre for member in members}
        return sorted(names | {self._view.own.data_centre})

    def host_statuses(self, data_centre: DataCentre) -> tuple[HostStatus, ...]:
        """Return the status that each host of a data centre announced last."""
        members = (self.detector.own, *self.detector.member_table.non_dead_members())
        return tuple(
            _member_status(member)
            for member in members
            if member.host.data_centre == data_centre
        )

    def member_list(self) -> MemberList:
        """Return updates of all known hosts."""
        return MemberList(tuple(self.detector.member_updates()))

    def to_document(self) -> dict[str, Any]:
        """Return the state as a JSON document for the dump."""
        detector = self.detector
        members = sorted(detector.member_table.members_by_id.items())
        return {
            "incarnation": detector.own.incarnation,
            "awareness": detector.awareness,
            "is_isolated": self.is_isolated(),
            "is_watcher": self.is_watcher(),
            "members": {
                host_id: f"{member.state} {member.health} listed={member.listed_state}"
                for host_id, member in members
            },
        }

    async def _sync_members(self) -> None:
        """Fetch full member lists from peers: twice soon after the start, then rarely.

        When a fetch fails, the seeds are pinged again.
        """
        self._ping_seeds()
        delays_s = [MEMBER_SYNC_PERIOD_S, SECOND_MEMBER_SYNC_S, FIRST_MEMBER_SYNC_S]
        while True:
            delay_s = delays_s[-1]
            await asyncio.sleep(delay_s * self._rng.uniform(0.5, 1.5))
            if not await self._fetch_member_list():
                self._ping_seeds()
            elif len(delays_s) > 1:
                delays_s.pop()

    def _ping_seeds(self) -> None:
        """Ping up to ``MAX_SEEDS_PINGED`` random seeds."""
        others = [seed for seed in self._seeds if seed != self._view.own.probe]
        count = min(MAX_SEEDS_PINGED, len(others))
        self._execute(self.detector.ping_addresses(self._rng.sample(others, count)))

    async def _fetch_member_list(self) -> bool:
        peers = self.detector.member_table.non_dead_members()
        if not peers:
            return False
        peer = self._rng.choice(peers).host.peer
        try:
            async with asyncio.timeout(QUERY_TIMEOUT_S):
                response = await self._links.ask(peer, CONTROL_LANE, MembersQuery())
        except (RequestError, TimeoutError):
            return False
        assert isinstance(response, MemberList)
        self._execute(
            self.detector.merge_member_list(response.updates, self._timers.now())
        )
        return True

    def _on_tick(self) -> None:
        self._execute(self.detector.tick(self._timers.now()))

    def _receive(self, data: bytes, address: Address) -> None:
        self._metrics.count("membership_datagrams", direction="in")
        self._metrics.count("membership_bytes", len(data), direction="in")
        try:
            datagram = decode_message(DATAGRAM_KIND, data)
        except DecodeError as error:
            logger.warning("datagram could not be decoded", extra={"error": str(error)})
            return
        now_s = self._timers.now()
        self._execute(self.detector.receive(datagram, address, now_s))

    def _execute(self, effects: list[Effect]) -> None:
        for effect in effects:
            match effect:
                case Send():
                    self._send(effect)
                case MembersChanged():
                    self._apply_hosts()
                case DocumentsAnnounced(host_id, documents):
                    if self._documents_handler is not None:
                        self._documents_handler(host_id, documents)

    def _apply_hosts(self) -> None:
        """Update the view with the known hosts and log the changes."""
        previous = self._view.fleet.hosts_by_id
        hosts = self.detector.fleet_hosts()
        self._view.apply_hosts(hosts)
        current = self._view.fleet.hosts_by_id
        for host_id, host in current.items():
            if host_id in previous and host.state is not previous[host_id].state:
                logger.info(f"host {host.state.value}", extra={"host": host_id})
        for host_id in sorted(current.keys() ^ previous.keys()):
            change = "joined" if host_id in current else "gone"
            self._metrics.count("membership_changes", change=change)
            logger.info(f"host {change}", extra={"host": host_id})

    def _send(self, effect: Send) -> None:
        if self._endpoint is None:
            return
        data = encode_message(effect.datagram)
        if len(data) > MAX_DATAGRAM_BYTES:
            extra = {"bytes": len(data), "target": effect.datagram.target}
            logger.warning("datagram too large", extra=extra)
            return
        self._metrics.count("membership_datagrams", direction="out")
        self._metrics.count("membership_bytes", len(data), direction="out")
        self._endpoint.send(data, effect.address)

    def _update_active_revisions(self) -> None:
        self.detector.set_active_revisions(
            self._view.configuration.revision,
            self._view.plan.revision,
            self._timers.now(),
        )


def _member_status(member: Member) -> HostStatus:
    revisions = member.configuration_revision, member.plan_revision
    return HostStatus(member.host.host_id, *revisions, _state_name(member))


def _state_name(member: Member) -> str:
    if member.is_leaving:
        return "leaving"
    if member.health is Health.SUSPECT:
        return "suspect"
    return "serving" if member.configuration_revision else "waiting"
