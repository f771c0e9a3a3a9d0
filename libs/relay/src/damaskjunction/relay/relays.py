"""The other hosts as relays to runners, and as witnesses of their state."""

from __future__ import annotations

import asyncio
import random
from collections.abc import AsyncGenerator, Callable, Sequence

from damaskjunction.core import Address, EntryHost, HostState, Timers
from damaskjunction.relay.direct import Attempt, abort, discard, proved
from damaskjunction.relay.tunnel import open_tunnel
from damaskjunction.routing import Reach, RunnerPaths

MAX_RELAYS = 4  # asked for one connection
RELAY_STAGGER_S = 0.04  # between asking one and the next
RELAY_TIMEOUT_S = 0.2


class Relays:
    """Asks other hosts to connect to runners.

    Parameters
    ----------
    paths : RunnerPaths
        Ranks the hosts by what came of former asks.
    others : callable
        Returns all other known hosts. Those that leave are no relays, and witnesses
        only after the others.
    timers : Timers
        The process's timer service.
    rng : random.Random
        Spreads the asks over the hosts.
    """

    def __init__(
        self,
        paths: RunnerPaths,
        others: Callable[[], Sequence[EntryHost]],
        timers: Timers,
        rng: random.Random,
    ) -> None:
        self._paths = paths
        self._others = others
        self._timers = timers
        self._rng = rng

    @property
    def n_others(self) -> int:
        """Number of other hosts."""
        return len(self._others())

    async def attempts(self, runner: Address) -> AsyncGenerator[Attempt, None]:
        """Yield what comes of connecting to a runner through hosts, as it comes.

        The next host is asked when one has failed, and after ``RELAY_STAGGER_S``. When
        the generator is closed, the asks that are not answered are given up.
        """
        hosts = [host for host in self._ordered() if _is_live(host)][:MAX_RELAYS]
        waiting: set[asyncio.Task[Attempt]] = set()
        try:
            while hosts or waiting:
                if hosts:
                    ask = self._ask(hosts.pop(0), runner)
                    waiting.add(asyncio.ensure_future(ask))
                done, waiting = await asyncio.wait(
                    waiting,
                    timeout=RELAY_STAGGER_S if hosts else None,
                    return_when=asyncio.FIRST_COMPLETED,
                )
                for task in done:
                    yield task.result()
        finally:
            for task in waiting:
                discard(task)

    async def witness(self, runner: Address, n_witnesses: int) -> list[Reach]:
        """Return what up to ``n_witnesses`` other hosts see of a runner."""
        asks = [self._ask(host, runner) for host in self._ordered()[:n_witnesses]]
        attempts = [await proved(attempt) for attempt in await asyncio.gather(*asks)]
        for attempt in attempts:
            abort(attempt)
        return [attempt.reach for attempt in attempts]

    def _ordered(self) -> list[EntryHost]:
        hosts_by_id = {host.host_id: host for host in self._others()}
        order = self._paths.relay_order(
            list(hosts_by_id), self._rng, self._timers.now()
        )
        hosts = [hosts_by_id[host_id] for host_id in order]
        return sorted(hosts, key=lambda host: not _is_live(host))

    async def _ask(self, host: EntryHost, runner: Address) -> Attempt:
        attempt = await open_tunnel(host.peer, runner, RELAY_TIMEOUT_S)
        self._paths.record_relay(host.host_id, attempt.reach, self._timers.now())
        return attempt._replace(relay=host.host_id)


def _is_live(host: EntryHost) -> bool:
    return host.state is HostState.LIVE
