"""The membership protocol on a UDP endpoint; brings the host's view up to date."""

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
from damaskjunction.node.datagrams import Datagrams, OpenDatagrams, open_datagrams
from damaskjunction.node.state import HostView
from damaskjunction.node.tasks import cancel_tasks
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
LEAVE_LINGER_S = 1.5
QUERY_TIMEOUT_S = 2.0
MEMBERS_PERIOD_S = 300.0
MEMBERS_FIRST_S = 0.6
MEMBERS_SECOND_S = 20.0
N_SEEDS_TOLD = 3

DocumentsHandler: TypeAlias = Callable[[HostId, tuple[DocumentRevision, ...]], None]


class Membership:
    """The hosts that this one knows, and what it tells them.

    Parameters
    ----------
    view : HostView
        Takes the hosts; tells what is in force here.
    links : PeerLinks
        Links to other hosts.
    timers : Timers
        The process's timer service.
    detector : FailureDetector
        The protocol's decisions.
    metrics : Metrics
        Takes counts of datagrams.
    chance : random.Random
        Source of random choices.
    seeds : iterable of Address, optional
        Probe addresses to start from while the platform cannot be reached.
    open_endpoint : callable, optional
        Opens the endpoint of datagrams.
    """

    def __init__(
        self,
        view: HostView,
        links: PeerLinks,
        timers: Timers,
        *,
        detector: FailureDetector,
        metrics: Metrics,
        chance: random.Random,
        seeds: Iterable[Address] = (),
        open_endpoint: OpenDatagrams = open_datagrams,
    ) -> None:
        self._view = view
        self._links = links
        self._timers = timers
        self._metrics = metrics
        self._chance = chance
        self._seeds = tuple(seeds)
        self._open = open_endpoint
        self._datagrams: Datagrams | None = None
        self._tick: Subscription | None = None
        self._joining: asyncio.Task[None] | None = None
        self._documents_handler: DocumentsHandler | None = None
        self.detector = detector
        view.subscribe(self._tell_in_force)
        metrics.gauge("membership_hosts", lambda: len(detector.fleet_hosts()))
        metrics.gauge("membership_awareness", lambda: detector.awareness)
        metrics.gauge("membership_isolated", lambda: float(self.is_isolated()))

    async def start(self) -> None:
        """Bind the socket and begin to probe."""
        self._datagrams = await self._open(self._view.own.probe, self._take)
        self._tick = self._timers.every(Timing().tick_s, self._on_tick)
        self._joining = asyncio.ensure_future(self._keep_whole())

    async def close(self) -> None:
        """Stop probing and release the socket."""
        if self._tick is not None:
            self._tick.cancel()
        if self._joining is not None:
            await cancel_tasks([self._joining])
        if self._datagrams is not None:
            self._datagrams.close()

    async def leave(self) -> None:
        """Tell that this host is leaving; return when peers had time to hear it."""
        self._run(self.detector.leave())
        await asyncio.sleep(LEAVE_LINGER_S)

    def subscribe_documents(self, handler: DocumentsHandler) -> None:
        """Call back when a host told which documents it holds."""
        self._documents_handler = handler

    def apply_host_list(self, hosts: Iterable[EntryHost]) -> None:
        """Take the platform's host list."""
        self._run(self.detector.apply_host_list(hosts, self._timers.now()))

    def announce(self, documents: tuple[DocumentRevision, ...]) -> None:
        """Tell which documents this host holds."""
        self._run(self.detector.announce(documents))

    def is_isolated(self) -> bool:
        """Return whether this host hears none of the others."""
        return self.detector.is_isolated(self._timers.now())

    def is_watcher(self) -> bool:
        """Return whether this host watches the platform for its data centre."""
        own = self._view.own
        watchers = self.detector.watchers(own.data_centre)
        return any(member.host.host_id == own.host_id for member in watchers)

    def host_named(self, host_id: HostId) -> EntryHost | None:
        """Return a host by its id, None when it is not known."""
        member = self.detector.member_table.members_by_id.get(host_id)
        return member.host if member is not None else None

    def data_centres(self) -> list[DataCentre]:
        """Return the data centres that have hosts."""
        members = self.detector.member_table.non_dead_members()
        names = {member.host.data_centre for member in members}
        return sorted(names | {self._view.own.data_centre})

    def statuses(self, data_centre: DataCentre) -> tuple[HostStatus, ...]:
        """Return what the hosts of a data centre last told to be in force there."""
        members = (self.detector.own, *self.detector.member_table.non_dead_members())
        return tuple(
            _to_status(member)
            for member in members
            if member.host.data_centre == data_centre
        )

    def member_list(self) -> MemberList:
        """Return all that is known of the hosts."""
        return MemberList(tuple(self.detector.member_rumours()))

    def to_document(self) -> dict[str, Any]:
        """Return the state for the dump."""
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

    async def _keep_whole(self) -> None:
        """Take whole lists of members: soon after the start, then now and then."""
        self._greet_seeds()
        delays_s = [MEMBERS_PERIOD_S, MEMBERS_SECOND_S, MEMBERS_FIRST_S]
        while True:
            delay_s = delays_s[-1]
            await asyncio.sleep(delay_s * self._chance.uniform(0.5, 1.5))
            if not await self._take_members():
                self._greet_seeds()
            elif len(delays_s) > 1:
                delays_s.pop()

    def _greet_seeds(self) -> None:
        """Ping some of the hosts that the settings name."""
        others = [seed for seed in self._seeds if seed != self._view.own.probe]
        count = min(N_SEEDS_TOLD, len(others))
        self._run(self.detector.ping_addresses(self._chance.sample(others, count)))

    async def _take_members(self) -> bool:
        peers = self.detector.member_table.non_dead_members()
        if not peers:
            return False
        peer = self._chance.choice(peers).host.peer
        try:
            async with asyncio.timeout(QUERY_TIMEOUT_S):
                answer = await self._links.ask(peer, CONTROL_LANE, MembersQuery())
        except (RequestError, TimeoutError):
            return False
        assert isinstance(answer, MemberList)
        self._run(self.detector.merge_member_list(answer.rumours, self._timers.now()))
        return True

    def _on_tick(self) -> None:
        self._run(self.detector.tick(self._timers.now()))

    def _take(self, data: bytes, address: Address) -> None:
        self._metrics.count("membership_datagrams", direction="in")
        self._metrics.count("membership_bytes", len(data), direction="in")
        try:
            datagram = decode_message(DATAGRAM_KIND, data)
        except DecodeError as error:
            logger.warning("datagram not understood", extra={"error": str(error)})
            return
        now_s = self._timers.now()
        self._run(self.detector.receive(datagram, address, now_s))

    def _run(self, effects: list[Effect]) -> None:
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
        """Put the hosts into the view; log who came and who went."""
        before = self._view.fleet.hosts_by_id
        hosts = self.detector.fleet_hosts()
        self._view.apply_hosts(hosts)
        after = self._view.fleet.hosts_by_id
        for host_id, host in after.items():
            if host_id in before and host.state is not before[host_id].state:
                logger.info(f"host {host.state.value}", extra={"host": host_id})
        for host_id in sorted(after.keys() ^ before.keys()):
            change = "joined" if host_id in after else "gone"
            self._metrics.count("membership_changes", change=change)
            logger.info(f"host {change}", extra={"host": host_id})

    def _send(self, effect: Send) -> None:
        if self._datagrams is None:
            return
        data = encode_message(effect.datagram)
        if len(data) > MAX_DATAGRAM_BYTES:
            extra = {"bytes": len(data), "target": effect.datagram.target}
            logger.warning("datagram too large", extra=extra)
            return
        self._metrics.count("membership_datagrams", direction="out")
        self._metrics.count("membership_bytes", len(data), direction="out")
        self._datagrams.send(data, effect.address)

    def _tell_in_force(self) -> None:
        self.detector.set_active_revisions(
            self._view.configuration.revision,
            self._view.plan.revision,
            self._timers.now(),
        )


def _to_status(member: Member) -> HostStatus:
    revisions = member.configuration_revision, member.plan_revision
    return HostStatus(member.host.host_id, *revisions, _state_text(member))


def _state_text(member: Member) -> str:
    if member.is_leaving:
        return "leaving"
    if member.health is Health.SUSPECT:
        return "suspect"
    return "serving" if member.configuration_revision else "waiting"
