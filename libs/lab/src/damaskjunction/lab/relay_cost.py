"""Experiment on the CPU time of a connection to a runner through another host."""

from __future__ import annotations

import asyncio
import random
import time
from typing import NamedTuple

from damaskjunction.core import Address, EntryHost, LoopTimers
from damaskjunction.core.units import MILLISECOND_S
from damaskjunction.http import ConnectFailedError, HttpClient
from damaskjunction.lab.experiments import (
    ExperimentOptions,
    ExperimentResult,
    Figure,
    experiments,
)
from damaskjunction.relay import Attempt, DirectPath, RunnerAccess
from damaskjunction.routing import Reach
from damaskjunction.standins import allocate_addresses
from damaskjunction.telemetry import Metrics
from damaskjunction.wire import PeerServer

N_STREAMS = 10
MAX_TUNNELS = 4000
N_ROUNDS = 60
EVENT_INTERVAL_S = 20 * MILLISECOND_S
EVENT = b"id: 17\ndata: a token of an answer, with some bytes beside it\n\n"
N_EVENTS = (1, 37)
RESPONSE_HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n"


class _CutPath(DirectPath):
    """A path over which every connection is refused."""

    async def connect(self, address: Address, timeout_s: float) -> Attempt:
        return Attempt(Reach.REFUSED)


class _Cost(NamedTuple):
    """CPU seconds of one response of some events."""

    n_events: int
    cpu_s: float


@experiments.register("relay-cost")
async def run_relay_cost(options: ExperimentOptions) -> ExperimentResult:
    """Measure what a relay adds per response and per event, at both hosts together."""
    runner, relay = allocate_addresses(2)
    listener = await asyncio.start_server(_serve_runner, *runner)
    timers = LoopTimers()
    server = PeerServer(
        relay, timers, _handle_nothing, _access(runner, (), None).tunnel_server.serve
    )
    await server.start()
    asker = _access(runner, (_host(relay),), _CutPath())
    clients = (HttpClient(timers), HttpClient(timers, connector=asker.connector))
    n_rounds = max(1, int(N_ROUNDS * options.scale))
    direct, relayed = [
        [await _measure(client, runner, n, n_rounds) for n in N_EVENTS]
        for client in clients
    ]
    for client in clients:
        client.close()
    await server.close()
    listener.close()
    added = [b.cpu_s - a.cpu_s for a, b in zip(direct, relayed, strict=True)]
    event_s = (added[1] - added[0]) / (N_EVENTS[1] - N_EVENTS[0])
    response_s = added[0] - N_EVENTS[0] * event_s
    return ExperimentResult(
        (
            Figure("relay, each response", 1e6 * response_s, "us"),
            Figure("relay, each event", 1e6 * event_s, "us"),
        )
    )


async def _measure(
    client: HttpClient, runner: Address, n_events: int, n_rounds: int
) -> _Cost:
    """Return the CPU time of a response; all streams of a round run at once."""
    began_s = time.process_time()
    for _ in range(n_rounds):
        reads = (_read(client, runner, n_events) for _ in range(N_STREAMS))
        await asyncio.gather(*reads)
    n_responses = n_rounds * N_STREAMS
    return _Cost(n_events, (time.process_time() - began_s) / n_responses)


async def _read(client: HttpClient, runner: Address, n_events: int) -> None:
    while True:
        try:
            response = await client.send(
                runner, "GET", f"/{n_events}", new_connection=True
            )
        except ConnectFailedError:
            continue  # on a busy machine it may come too late
        await response.read()
        return


async def _serve_runner(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    try:
        request = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return  # a connection that was only probed
    n_events = int(request.split()[1][1:])
    writer.write(RESPONSE_HEAD % (n_events * len(EVENT)))
    for _ in range(n_events):
        writer.write(EVENT)
        await asyncio.sleep(EVENT_INTERVAL_S)
    await reader.read()
    writer.transport.abort()


def _access(
    runner: Address, others: tuple[EntryHost, ...], path: DirectPath | None
) -> RunnerAccess:
    return RunnerAccess(
        lambda: others,
        lambda address: True,
        lambda: [runner],
        timers=LoopTimers(),
        metrics=Metrics(),
        rng=random.Random(1),
        max_reuse_s=1.0,
        max_tunnels=MAX_TUNNELS,
        direct_path=path,
    )


def _host(peer: Address) -> EntryHost:
    return EntryHost("relay", "r", "z", peer, peer, peer)


async def _handle_nothing(message: object, reply: object) -> None:
    """Handle no message: the host relays only."""
