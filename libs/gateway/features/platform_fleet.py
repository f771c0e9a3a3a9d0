"""The hosts, runners and store of a scenario, in one process on loopback."""

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
    RawRunnerStandin,
    RunnerStandin,
    StoreStandin,
    allocate_addresses,
)

HOST_NAME = "caddies.example"
ENGINE = "llm"
PLAIN = "api"
WAIT_TIMEOUT_S = 20.0
STOP_GRACE_S = 3.0
POLL_S = 0.02


class Reply(NamedTuple):
    """A response as a caller sees it; ``is_complete`` is False if it broke off."""

    status: int
    headers: dict[str, str]
    body: bytes
    is_complete: bool


def make_route(name: str, prefix: str, kind: str, service: str, **more: Any) -> Any:
    """Return a route under the host name of the scenarios."""
    return standins.make_route(name, HOST_NAME, prefix, kind, service, **more)


def make_configuration(version: int, routes: list[Any], **more: Any) -> Any:
    """Return a configuration with an engine service and a plain service."""
    return standins.make_configuration(
        version, routes, engine=ENGINE, plain=PLAIN, **more
    )


URGENT = {"Resumable": True, "GapAimMs": 100, "MaxAttempts": 4}
ROUTES = [
    make_route("ask", "/ask/", "streaming", ENGINE, MaxAttempts=1),
    make_route("alert", "/alert/", "streaming", ENGINE, Resumable=True, GapAimMs=100),
    make_route("urgent", "/urgent/", "streaming", ENGINE, **URGENT),
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
    """The processes and stand-ins of one scenario.

    Parameters
    ----------
    n_hosts : int
        Number of hosts.
    """

    def __init__(self, n_hosts: int) -> None:
        self.timers = LoopTimers()
        # Five for each host; 12 for the proxies' control ports and the runners.
        store_address, *addresses = allocate_addresses(1 + 5 * n_hosts + 12)
        self.store = StoreStandin(store_address, self.timers)
        self._store_address = store_address
        self._addresses = addresses
        self.runners: dict[str, RunnerStandin] = {}
        self.raw_runners: dict[str, RawRunnerStandin] = {}
        self.hosts: dict[str, GatewayProcess] = {}
        self._excluded_hosts: list[GatewayProcess] = []
        self.settings: dict[str, ProcessSettings] = {}
        self.proxies: dict[str, ProxyStandin] = {}
        self.runner_proxies: dict[str, ProxyStandin] = {}
        self._client = HttpClient(self.timers)

    async def start(self, n_hosts: int) -> None:
        """Start the store and the hosts, and wait until all hosts are ready."""
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
        for host in (*self.hosts.values(), *self._excluded_hosts):
            await host.close()
        for runner in (*self.runners.values(), *self.raw_runners.values()):
            await runner.close()
        proxies = (*self.proxies.values(), *self.runner_proxies.values())
        for proxy in proxies:
            proxy.set_mode(Mode.CLOSED)
        for proxy in proxies:
            await proxy.close()
        self._client.close()
        await self.store.close()

    async def start_host(self, name: str) -> None:
        """Start or restart a host."""
        host = GatewayProcess(self.settings[name])
        self.hosts[name] = host
        await host.start()

    async def kill_host(self, name: str) -> None:
        """Stop a host without draining it."""
        await self.hosts.pop(name).close()

    def exclude_host(self, name: str) -> None:
        """Exclude a running host from the checks; it is closed with the others."""
        del self.settings[name]
        self._excluded_hosts.append(self.hosts.pop(name))

    async def add_runner(self, name: str, service: str, **options: Any) -> None:
        """Start a runner and wait until every host knows it."""
        address = self._addresses.pop()
        if service == PLAIN:
            options.setdefault("n_events", 0)
        runner = RunnerStandin(name, address, service, self.store, **options)
        self.runners[name] = runner
        await self._start_runner(runner)

    async def add_proxied_runner(self, name: str, service: str, **options: Any) -> None:
        """Start a runner behind a proxy of its own, as ``add_runner`` does."""
        advertised, address = self._addresses.pop(), self._addresses.pop()
        proxy = ProxyStandin(advertised, address)
        await proxy.start()
        self.runner_proxies[name] = proxy
        runner = RunnerStandin(
            name, address, service, self.store, advertised=advertised, **options
        )
        self.runners[name] = runner
        await self._start_runner(runner)

    async def add_raw_runner(
        self, name: str, service: str, script: str, **options: Any
    ) -> None:
        """Start a runner that answers by a script, as ``add_runner`` does."""
        address = self._addresses.pop()
        runner = RawRunnerStandin(
            name, address, service, self.store, script=script, **options
        )
        self.raw_runners[name] = runner
        await self._start_runner(runner)

    def list_runner(self, name: str, service: str) -> None:
        """List a runner at an address where nothing listens."""
        address = self._addresses.pop()
        RunnerStandin(name, address, service, self.store).register_in_store("ready")

    async def _start_runner(self, runner: RunnerStandin | RawRunnerStandin) -> None:
        name = runner.runner_id
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
            When it does not hold within ``WAIT_TIMEOUT_S``.
        """
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            while not condition():  # noqa: ASYNC110 - conditions on many hosts
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
        """Send a request as a caller; the status is 0 when no response came."""
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

    async def fetch_readiness(self, host: str) -> int:
        """Return the status of a host's response to a readiness probe."""
        address = self.settings[host].readiness
        assert address is not None
        target = "/damaskjunction/readiness"
        response = await self._client.send(address, "GET", target, new_connection=True)
        await response.read()
        return response.status

    async def fetch_addresses(self, host: str) -> list[str]:
        """Return the addresses that a host returns to callers."""
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
        """Return a job's results, or the status when it is not 200."""
        path = f"/damaskjunction/lots/{job_id}?After={after}"
        reply = await self.call(host, "GET", path)
        return json.loads(reply.body) if reply.status == 200 else reply.status

    async def wait_for_results(self, host: str, job_id: str, count: int) -> Any:
        """Return a job's results once there are at least ``count``.

        Each time they are read from the start, page by page, as callers do: a page has
        any number of results.
        """
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            while True:
                document = await self.results(host, job_id)
                while isinstance(document, dict) and len(document["Results"]) < count:
                    after = len(document["Results"])
                    page = await self.results(host, job_id, after)
                    if not isinstance(page, dict) or not page["Results"]:
                        document = None
                        break
                    document["Results"] += page["Results"]
                    document["Next"] = page["Next"]
                if isinstance(document, dict):
                    return document
                await asyncio.sleep(POLL_S)

    async def _make_settings(self, name: str) -> ProcessSettings:
        caller, readiness, directory, peer, proxy = (
            self._addresses.pop() for _ in range(5)
        )
        control = self._addresses.pop(0)
        proxy_standin = ProxyStandin(proxy, self._store_address, control)
        await proxy_standin.start()
        self.proxies[name] = proxy_standin
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
            stop_grace_s=STOP_GRACE_S,
        )


def event_ids(body: bytes) -> list[int]:
    """Return the ids of the events in a body."""
    return [
        int(line.removeprefix("id: "))
        for line in body.decode().split("\n")
        if line.startswith("id: ")
    ]
