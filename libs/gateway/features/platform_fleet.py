"""Hosts, runners and the store of one scenario, all in one process on loopback."""

from __future__ import annotations

import asyncio
import json
from typing import Any, NamedTuple

from damaskjunction import standins
from damaskjunction.core import LoopTimers
from damaskjunction.gateway.root import GatewayProcess
from damaskjunction.http import (
    BrokenResponseError,
    ConnectFailedError,
    HttpClient,
)
from damaskjunction.platform import ProcessSettings
from damaskjunction.standins import (
    Mode,
    ProxyStandin,
    RunnerStandin,
    StoreStandin,
    allocate_addresses,
)

HOST_NAME = "caddies.example"
ENGINE = "llm"
PLAIN = "api"
WAIT_S = 20.0
GRACE_S = 3.0
POLL_S = 0.02


class Reply(NamedTuple):
    """A caller's view of an answer; ``is_whole`` is False when it broke off."""

    status: int
    headers: dict[str, str]
    body: bytes
    is_whole: bool


def make_route(name: str, prefix: str, kind: str, service: str, **more: Any) -> Any:
    """Return a route of the scenarios' host name."""
    return standins.make_route(name, HOST_NAME, prefix, kind, service, **more)


def make_configuration(version: int, routes: list[Any]) -> Any:
    """Return a configuration with an engine's and a plain service."""
    return standins.make_configuration(version, routes, engine=ENGINE, plain=PLAIN)


ROUTES = [
    make_route("ask", "/ask/", "streaming", ENGINE, MaxAttempts=1),
    make_route("alert", "/alert/", "streaming", ENGINE, Resumable=True, GapAimMs=100),
    make_route("look", "/look/", "idempotent", PLAIN),
    make_route("order", "/order/", "non_idempotent", PLAIN),
    make_route(
        "night",
        "/night/",
        "batch",
        ENGINE,
        CompletionTargetMs=10_000,
        RetentionS=30,
        Cap=10_000,
    ),
]


class PlatformFleet:
    """Everything of one scenario.

    Parameters
    ----------
    n_hosts : int
        How many hosts.
    """

    def __init__(self, n_hosts: int) -> None:
        self.timers = LoopTimers()
        store_address, *addresses = allocate_addresses(1 + 5 * n_hosts + 12)
        self.store = StoreStandin(store_address, self.timers)
        self._store_address = store_address
        self._addresses = addresses
        self.runners: dict[str, RunnerStandin] = {}
        self.hosts: dict[str, GatewayProcess] = {}
        self._hosts_aside: list[GatewayProcess] = []
        self.settings: dict[str, ProcessSettings] = {}
        self.proxies: dict[str, ProxyStandin] = {}
        self._client = HttpClient(self.timers)

    async def start(self, n_hosts: int) -> None:
        """Start the store, a configuration in force and the hosts."""
        await self.store.start()
        self.store.put("config", "main", make_configuration(1, ROUTES))
        for number in range(n_hosts):
            self.settings[f"h{number}"] = await self._make_settings(f"h{number}")
        for name in self.settings:
            await self.start_host(name)
        await self.wait_for(
            lambda: all(
                len(host.view.serving_hosts()) == n_hosts and host.view.is_ready
                for host in self.hosts.values()
            )
        )

    async def close(self) -> None:
        """Stop everything."""
        for host in (*self.hosts.values(), *self._hosts_aside):
            await host.close()
        for runner in self.runners.values():
            await runner.close()
        for proxy in self.proxies.values():
            proxy.set_mode(Mode.CLOSED)
        for proxy in self.proxies.values():
            await proxy.close()
        self._client.close()
        await self.store.close()

    async def start_host(self, name: str) -> None:
        """Start a host, or start it again."""
        host = GatewayProcess(self.settings[name])
        self.hosts[name] = host
        await host.start()

    async def kill_host(self, name: str) -> None:
        """End a host without a word to anyone."""
        await self.hosts.pop(name).close()

    def set_aside(self, name: str) -> None:
        """Let a host run on, of which nothing is expected."""
        del self.settings[name]
        self._hosts_aside.append(self.hosts.pop(name))

    async def add_runner(self, name: str, service: str, **options: Any) -> None:
        """Start a runner and wait until every host knows it."""
        address = self._addresses.pop()
        if service == PLAIN:
            options.setdefault("n_events", 0)
        runner = RunnerStandin(name, address, service, self.store, **options)
        self.runners[name] = runner
        await runner.start()
        await self.wait_for(
            lambda: all(
                name in host.view.fleet.runners_by_id for host in self.hosts.values()
            )
        )

    async def wait_for(self, condition: Any) -> None:
        """Return once a condition holds.

        Raises
        ------
        TimeoutError
            When it does not come to hold.
        """
        async with asyncio.timeout(WAIT_S):
            while not condition():  # noqa: ASYNC110 - conditions of many processes
                await asyncio.sleep(POLL_S)

    async def call(
        self,
        host: str,
        method: str,
        path: str,
        *,
        body: bytes = b"",
        headers: dict[str, str] | None = None,
        request_id: str = "r1",
    ) -> Reply:
        """Send a request as a caller does; status 0 when no answer came."""
        caller = self.settings[host].caller
        assert caller is not None
        all_headers = {
            "Host": HOST_NAME,
            "X-Request-Id": request_id,
            "X-Deadline-Ms": "5000",
            **(headers or {}),
        }
        read = b""
        try:
            response = await self._client.send(
                caller,
                method,
                path,
                headers=all_headers,
                body=body,
                new_connection=True,
            )
        except (BrokenResponseError, ConnectFailedError):
            return Reply(0, {}, b"", False)
        try:
            async for chunk in response.chunks():
                read += chunk
        except BrokenResponseError:
            return Reply(response.status, dict(response.headers), read, False)
        return Reply(response.status, dict(response.headers), read, True)

    async def ask_readiness(self, host: str) -> int:
        """Return the status of a host's answer to the platform's question."""
        address = self.settings[host].readiness
        assert address is not None
        target = "/damaskjunction/readiness"
        response = await self._client.send(address, "GET", target, new_connection=True)
        await response.read()
        return response.status

    async def ask_addresses(self, host: str) -> list[str]:
        """Return the addresses that a host gives to callers."""
        address = self.settings[host].directory
        assert address is not None
        target = "/damaskjunction/resolve?Name=x&Region=r1&Zone=z1"
        response = await self._client.send(address, "GET", target, new_connection=True)
        addresses: list[str] = json.loads(await response.read())["Addresses"]
        return addresses

    async def submit(
        self, host: str, job_id: str, n_items: int, *, tokens: int = 10
    ) -> Reply:
        """Submit a batch job."""
        body = standins.make_job(job_id, n_items, path="/night/x", tokens=tokens)
        return await self.call(host, "POST", "/night/", body=body, request_id=job_id)

    async def results(self, host: str, job_id: str, after: int = 0) -> Any:
        """Read a job's results; the status when there are none."""
        path = f"/damaskjunction/lots/{job_id}?After={after}"
        reply = await self.call(host, "GET", path)
        return json.loads(reply.body) if reply.status == 200 else reply.status

    async def wait_for_results(self, host: str, job_id: str, count: int) -> Any:
        """Return the results once there are as many as ``count``."""
        async with asyncio.timeout(WAIT_S):
            while True:
                answer = await self.results(host, job_id)
                if isinstance(answer, dict) and len(answer["Results"]) >= count:
                    return answer
                await asyncio.sleep(POLL_S)

    async def _make_settings(self, name: str) -> ProcessSettings:
        caller, readiness, directory, peer, proxy = (
            self._addresses.pop() for _ in range(5)
        )
        control = self._addresses.pop(0)
        proxied = ProxyStandin(proxy, self._store_address, control)
        await proxied.start()
        self.proxies[name] = proxied
        return ProcessSettings(
            host_id=name,
            region="r1",
            data_centre="z1",
            ip=peer.ip,
            caller=caller,
            readiness=readiness,
            directory=directory,
            peer_port=peer.port,
            seeds=(),
            store=proxy,
            regions_by_data_centre={"z1": "r1"},
            metrics_port=0,
            stop_grace_s=GRACE_S,
        )


def event_numbers(body: bytes) -> list[int]:
    """Return the ids of the events in a body."""
    return [
        int(line.removeprefix("id: "))
        for line in body.decode().split("\n")
        if line.startswith("id: ")
    ]
