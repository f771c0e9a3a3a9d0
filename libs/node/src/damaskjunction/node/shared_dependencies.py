"""Dependencies that the components of a host share, and their construction."""

from __future__ import annotations

import random
from typing import NamedTuple

from damaskjunction.core import LoopTimers, Timers, stable_hash
from damaskjunction.core.units import MIB
from damaskjunction.http import Routes
from damaskjunction.node.components import PeerHandlers
from damaskjunction.node.guards import HostGuards, make_guards
from damaskjunction.node.memory_shares import MemoryShares, share_memory
from damaskjunction.node.state import HostView
from damaskjunction.platform import PlatformClient
from damaskjunction.relay import RunnerAccess
from damaskjunction.settings import HostSettings
from damaskjunction.telemetry import Metrics, StateDump
from damaskjunction.wire import PeerLinks

MAX_TUNNELS = 256  # that are open at once for other hosts
TUNNEL_REUSE_S = 1.0


class SharedDependencies(NamedTuple):
    """Dependencies that the components of a host share."""

    settings: HostSettings
    view: HostView
    store: PlatformClient
    links: PeerLinks
    timers: Timers
    rng: random.Random
    metrics: Metrics
    dump: StateDump
    routes: Routes
    peer_handlers: PeerHandlers
    runner_access: RunnerAccess
    memory: MemoryShares
    guards: HostGuards


def make_shared(settings: HostSettings) -> SharedDependencies:
    """Return the shared dependencies of the host that the settings describe."""
    timers, metrics, dump = LoopTimers(), Metrics(), StateDump()
    view = HostView(settings.to_entry_host())
    rng = random.Random(stable_hash(settings.seed or settings.host_id))
    access = _make_runner_access(view, timers, metrics, rng)
    dump.sections.register("runner_paths")(access.to_document)
    memory = share_memory(settings.memory_mb * MIB)
    return SharedDependencies(
        settings=settings,
        view=view,
        store=PlatformClient(settings.platform, timers),
        links=PeerLinks(timers),
        timers=timers,
        rng=rng,
        metrics=metrics,
        dump=dump,
        routes=Routes(),
        peer_handlers=PeerHandlers(),
        runner_access=access,
        memory=memory,
        guards=make_guards(memory, settings.max_descriptors, timers, metrics),
    )


def _make_runner_access(
    view: HostView, timers: LoopTimers, metrics: Metrics, rng: random.Random
) -> RunnerAccess:
    access = RunnerAccess(
        view.other_hosts,
        lambda address: address in view.runner_addresses(),
        lambda: sorted(view.runner_addresses()),
        timers=timers,
        metrics=metrics,
        rng=rng,
        max_reuse_s=TUNNEL_REUSE_S,
        max_tunnels=MAX_TUNNELS,
    )
    view.subscribe(access.retain_listed)
    return access
