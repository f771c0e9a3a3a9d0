"""The end of a tunnel at the host that relays it."""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Callable, Sequence
from contextlib import suppress

from damaskjunction.core import Address
from damaskjunction.core.units import KIB
from damaskjunction.http import enable_tcp_keepalive
from damaskjunction.relay.direct import Attempt, DirectPath, abort
from damaskjunction.routing import Reach, RunnerPaths, trusted_reach
from damaskjunction.telemetry import Metrics
from damaskjunction.wire import OpenTunnel, encode_chunk, encode_tunnel_reply

logger = logging.getLogger(__name__)

CONNECT_TIMEOUT_S = 0.15
N_CONTROLS = 3  # other runners that are probed while one does not answer
CONTROL_DELAY_S = 0.05
CONTROL_TIMEOUT_S = 0.1
LINGER_S = 1.0  # after the runner's last byte, for the host to end the connection
READ_BYTES = 64 * KIB
DRAIN_POLL_S = 0.05


class TunnelServer:
    """Relays connections of other hosts to the runners that this host knows.

    Parameters
    ----------
    paths : RunnerPaths
        Tells which runners this host can't reach itself.
    direct_path : DirectPath
        The path from this host.
    may_relay : callable
        Returns whether the runner at an address may be used.
    runner_addresses : callable
        Returns the addresses of all listed runners.
    metrics : Metrics
        Counts the tunnels.
    rng : random.Random
        Chooses the runners that tell whether this host is cut off itself.
    max_tunnels : int
        Tunnels that are open at once.
    """

    def __init__(
        self,
        paths: RunnerPaths,
        direct_path: DirectPath,
        may_relay: Callable[[Address], bool],
        runner_addresses: Callable[[], Sequence[Address]],
        *,
        metrics: Metrics,
        rng: random.Random,
        max_tunnels: int,
    ) -> None:
        self._paths = paths
        self._direct_path = direct_path
        self._may_relay = may_relay
        self._runner_addresses = runner_addresses
        self._metrics = metrics
        self._rng = rng
        self.max_tunnels = max_tunnels
        self._n_tunnels = 0
        metrics.gauge("relayed_tunnels", lambda: float(self._n_tunnels))

    async def serve(
        self,
        ask: OpenTunnel,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Connect to the runner that a host asks for, and relay until either ends."""
        self._n_tunnels += 1
        try:
            attempt = await self._connect(ask.address)
            extra = {"runner": str(ask.address), "reach": attempt.reach.value}
            logger.info("connection relayed", extra=extra)
            self._metrics.count("relayed_connections", end="asks")
            writer.write(encode_tunnel_reply(attempt.reach))
            if attempt.streams is None:
                await writer.drain()
                return
            try:
                enable_tcp_keepalive(writer)
                await _relay(*attempt.streams, reader, writer)
            finally:
                attempt.streams.writer.transport.abort()
        finally:
            self._n_tunnels -= 1

    async def drain(self) -> None:
        """Wait until no tunnel is open."""
        while self._n_tunnels:  # noqa: ASYNC110 - only while the host stops
            await asyncio.sleep(DRAIN_POLL_S)

    async def _connect(self, address: Address) -> Attempt:
        """Connect directly; a failure is trusted if another runner is reached."""
        is_refused = self._n_tunnels > self.max_tunnels or self._paths.is_cut(address)
        if is_refused or address not in self._runner_addresses():
            return Attempt(Reach.UNKNOWN)
        connecting = asyncio.ensure_future(
            self._direct_path.connect(address, CONNECT_TIMEOUT_S)
        )
        await asyncio.wait((connecting,), timeout=CONTROL_DELAY_S)
        controls: list[Reach] = []
        if not connecting.done() or connecting.result().streams is None:
            controls = await self._probe_others(address)
        attempt = await connecting
        if attempt.streams is not None and not self._may_relay(address):
            abort(attempt)  # that it has ended may be told, a request not sent
            return Attempt(Reach.UNKNOWN)
        return attempt._replace(reach=trusted_reach(attempt.reach, controls))

    async def _probe_others(self, address: Address) -> list[Reach]:
        """Return what comes of connecting to some other runners."""
        others = [other for other in self._runner_addresses() if other != address]
        chosen = self._rng.sample(others, min(N_CONTROLS, len(others)))
        attempts = await asyncio.gather(
            *(self._direct_path.connect(other, CONTROL_TIMEOUT_S) for other in chosen)
        )
        for attempt in attempts:
            abort(attempt)
        return [attempt.reach for attempt in attempts]


async def _relay(
    runner_reader: asyncio.StreamReader,
    runner_writer: asyncio.StreamWriter,
    host_reader: asyncio.StreamReader,
    host_writer: asyncio.StreamWriter,
) -> None:
    """Copy bytes both ways until the host or the runner ends its connection."""
    to_runner = asyncio.ensure_future(_copy_requests(host_reader, runner_writer))
    to_host = asyncio.ensure_future(_copy_answers(runner_reader, host_writer))
    tasks = (to_runner, to_host)
    try:
        await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        if to_host.done() and to_host.result():
            await asyncio.wait((to_runner,), timeout=LINGER_S)
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


async def _copy_requests(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    with suppress(OSError):  # either end was lost, which ends the tunnel
        while data := await reader.read(READ_BYTES):
            writer.write(data)
            await writer.drain()


async def _copy_answers(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> bool:
    """Copy the runner's bytes; return whether the runner has ended its stream."""
    with suppress(OSError):  # either end was lost, which ends the tunnel
        while data := await reader.read(READ_BYTES):
            writer.write(encode_chunk(data))
            await writer.drain()
        writer.write(encode_chunk(b""))
        await writer.drain()
        return True
    return False
