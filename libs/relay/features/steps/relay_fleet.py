"""Hosts and runners of a scenario on loopback, in one process."""

from __future__ import annotations

import asyncio
import random
import socket
import struct
from contextlib import suppress

from damaskjunction.core import Address, EntryHost, LoopTimers
from damaskjunction.http import HttpClient
from damaskjunction.relay import Attempt, DirectPath, RunnerAccess
from damaskjunction.routing import Reach
from damaskjunction.standins import ProxyStandin, allocate_addresses
from damaskjunction.telemetry import Metrics
from damaskjunction.wire import PeerServer

HALF, REST = b"first half, ", b"second half"
HEAD = b"HTTP/1.1 200 OK\r\n"
PAUSE_S = 0.4


RESET_AT_ONCE = "reset at once"


class CuttablePath(DirectPath):
    """A direct path that can be cut; ``shape`` is then what attempts come to.

    With ``RESET_AT_ONCE`` connections open and are reset at once.
    """

    def __init__(self):
        self.shape = None
        self.silent_addresses = set()

    async def connect(self, address, timeout_s):
        if address in self.silent_addresses:
            await asyncio.sleep(timeout_s)
            return Attempt(Reach.SILENT)
        if self.shape is None:
            return await super().connect(address, timeout_s)
        if self.shape == RESET_AT_ONCE:
            attempt = await super().connect(address, timeout_s)
            attempt.streams.reader.set_exception(ConnectionResetError())
            attempt.streams.writer.transport.abort()
            return attempt
        if self.shape is Reach.SILENT:
            await asyncio.sleep(timeout_s)
        return Attempt(self.shape)


class Host:
    """One host: its ways to runners, and the server for other hosts."""

    def __init__(self, name, peer, fleet, max_tunnels=10):
        self.name = name
        self.path = CuttablePath()
        self.metrics = Metrics()
        timers = LoopTimers()
        self.entry = EntryHost(name, "r", "z", peer, peer, peer)
        self.access = RunnerAccess(
            lambda: [h.entry for h in fleet.hosts.values() if h is not self],
            lambda address: address in fleet.listed,
            lambda: list(fleet.listed),
            timers=timers,
            metrics=self.metrics,
            rng=random.Random(name),
            max_reuse_s=1.0,
            max_tunnels=max_tunnels,
            direct_path=self.path,
        )
        self.server = PeerServer(peer, timers, None, self.access.tunnel_server.serve)
        self.client = HttpClient(timers, connector=self.access.connector)


class ScriptedRunner:
    """Answers each request; ``framing`` is how its answers end."""

    def __init__(self, address):
        self.address = address
        self.framing = "length"
        self.ended = asyncio.Event()
        self._server = None

    async def start(self):
        self._server = await asyncio.start_server(self._serve, *self.address)

    def close(self):
        self._server.close()

    async def _serve(self, reader, writer):
        with suppress(OSError, asyncio.IncompleteReadError):
            while await reader.readuntil(b"\r\n\r\n"):
                await self._answer(reader, writer)
        self.ended.set()
        writer.transport.abort()

    async def _answer(self, reader, writer):
        if self.framing == "length":
            length = len(HALF + REST)
            head = HEAD + b"Content-Length: %d\r\n\r\n" % length
            writer.write(head + HALF + REST)
            return
        if self.framing == "pause":
            length = len(HALF + REST)
            writer.write(HEAD + b"Content-Length: %d\r\n\r\n" % length + HALF)
            await asyncio.sleep(PAUSE_S)
            writer.write(REST)
            return
        writer.write(HEAD + b"\r\n" + HALF)
        await writer.drain()
        if self.framing == "half":
            await reader.read()
        elif self.framing == "reset":
            await asyncio.sleep(0.05)
            reset(writer)
        else:
            writer.write(REST)
            await writer.drain()
        raise asyncio.IncompleteReadError(b"", None)


def reset(writer):
    """Close a connection by a reset, in place of an end of its stream."""
    tcp_socket = writer.get_extra_info("socket")
    tcp_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class RelayFleet:
    """The hosts and runners of a scenario."""

    def __init__(self, host_names, runner_names):
        addresses = allocate_addresses(len(host_names) + len(runner_names))
        self.runners = {name: ScriptedRunner(addresses.pop()) for name in runner_names}
        self.listed = {runner.address for runner in self.runners.values()}
        self.hosts = {}
        self.proxies = []
        for name in host_names:
            self.hosts[name] = Host(name, addresses.pop(), self)

    async def start(self):
        for runner in self.runners.values():
            await runner.start()
        for host in self.hosts.values():
            await host.server.start()

    async def put_proxies_before_peers(self):
        """Let hosts reach one another through proxies, which may fall silent."""
        for host in self.hosts.values():
            (address,) = allocate_addresses(1)
            proxy = ProxyStandin(address, host.entry.peer)
            await proxy.start()
            self.proxies.append(proxy)
            host.entry = host.entry._replace(peer=address)

    async def close(self):
        for proxy in self.proxies:
            await proxy.close()
        for host in self.hosts.values():
            host.client.close()
            await host.access.diagnosis.close()
            await host.server.close()
        for runner in self.runners.values():
            runner.close()

    def address(self, name) -> Address:
        return self.runners[name].address
