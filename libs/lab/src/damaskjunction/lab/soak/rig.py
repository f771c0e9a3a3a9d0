"""Fleet of a soak: real host processes with stand-ins of the runners and the store."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
from collections.abc import Mapping
from pathlib import Path
from typing import Any

from damaskjunction.core import Address, LoopTimers
from damaskjunction.core.units import KIB
from damaskjunction.http import BrokenResponseError, ConnectFailedError, HttpClient
from damaskjunction.lab.soak.history import History, MemoryPeak, Run
from damaskjunction.standins import (
    BATCH_ROUTE,
    ONCE_ROUTE,
    READINESS_PATH,
    RESUMABLE_ROUTE,
    RETRYABLE_ROUTE,
    Mode,
    ProxyStandin,
    RunnerStandin,
    StoreStandin,
    allocate_addresses,
    make_configuration,
    make_route,
    make_settings_text,
)

HOST_NAME = "soak.example"
ENGINE, PLAIN = "llm", "api"  # names of the two services
N_EVENTS = 10
DEADLY_PART = "deadly"
ENGINE_SLOTS, PLAIN_SLOTS = 4, 16
PORTS = {"caller": 18144, "readiness": 18140, "directory": 18143, "peer": 17660}
STOP_GRACE_S = 6
START_TIMEOUT_S = 20.0
POLL_INTERVAL_S = 0.05
STOP_TIMEOUT_S = 10.0

# Name, kind, service and options of each route.
_ROUTES: tuple[tuple[str, str, str, Mapping[str, Any]], ...] = (
    ("ask", "streaming", ENGINE, ONCE_ROUTE),
    ("alert", "streaming", ENGINE, RESUMABLE_ROUTE),
    ("look", "idempotent", PLAIN, RETRYABLE_ROUTE),
    ("order", "non_idempotent", PLAIN, ONCE_ROUTE),
    ("night", "batch", ENGINE, BATCH_ROUTE),
)


class SoakRunner(RunnerStandin):
    """A runner that records each request it begins to process in the history.

    While its process is down, its proxy refuses connections as well.
    """

    def __init__(
        self,
        history: History,
        timers: LoopTimers,
        proxy: ProxyStandin,
        *args: Any,
        **kwargs: Any,
    ):
        super().__init__(*args, **kwargs)
        self._history = history
        self._timers = timers
        self._proxy = proxy

    async def close_and_restart(self) -> None:
        """End like a process that crashes, and start again."""
        self._proxy.refuse()
        await super().close_and_restart()
        await self._proxy.listen()

    def record_run(self, request_id: str, last_event_id: str) -> None:
        """Record that the processing of a request begins."""
        super().record_run(request_id, last_event_id)
        last = int(last_event_id) if last_event_id else -1
        run = Run(request_id, self.runner_id, self._timers.now(), last)
        self._history.runs.append(run)


class SoakRig:
    """Hosts by name, runners by endpoint, and the store.

    An endpoint is a fixed proxied address at which one runner runs after another. Each
    host reaches the store through a proxy of its own.

    Parameters
    ----------
    folder : Path
        Where settings and logs of the hosts are written.
    n_hosts, n_engines, n_plain : int
        Number of hosts, engine runners and plain runners.
    """

    def __init__(
        self, folder: Path, *, n_hosts: int, n_engines: int, n_plain: int
    ) -> None:
        self.timers = LoopTimers()
        self.history = History(N_EVENTS)
        self.client = HttpClient(self.timers, connect_timeout_s=1.0)
        self._folder = folder
        # Hosts listen on the same ports in each soak, so each process that runs soaks
        # has a loopback network of its own.
        self._address_prefix = (
            f"127.{os.getpid() % 200 + 20}.{os.getpid() // 200 % 250}"
        )
        n_runners = n_engines + n_plain
        # The store has one address, a host's proxy two (listening and control), and a
        # runner three: its own and those of its proxy.
        self._addresses = allocate_addresses(1 + 2 * n_hosts + 3 * n_runners)
        self.store_address = self._addresses.pop()
        self.store = StoreStandin(self.store_address, self.timers)
        self.host_names = [f"h{number}" for number in range(n_hosts)]
        self.endpoints = [
            f"{service}{number}"
            for service, count in ((ENGINE, n_engines), (PLAIN, n_plain))
            for number in range(count)
        ]
        # Held while a fault freezes, stops or replaces a host or runner.
        self.locks = {
            name: asyncio.Lock() for name in (*self.host_names, *self.endpoints)
        }
        self.proxies: dict[str, ProxyStandin] = {}
        self.runners: dict[str, SoakRunner] = {}
        self._target_addresses: dict[str, Address] = {}
        self._proxy_addresses: dict[str, Address] = {}
        self._n_runners_started = 0
        self.has_deadly_part = False
        self.limit_per_s_by_endpoint: dict[str, float] = {}
        self.configuration_version = 0
        self.processes: dict[str, asyncio.subprocess.Process] = {}

    async def start(self) -> None:
        """Start the store, runners and hosts; return when each host is ready."""
        await self.store.start()
        self.write_configuration()
        for endpoint in self.endpoints:
            await self._add_proxy(endpoint, self._addresses.pop())
            await self.start_runner(endpoint)
        for name in self.host_names:
            await self._add_proxy(name, self.store_address)
            await self.start_host(name)
        async with asyncio.timeout(START_TIMEOUT_S):
            for name in self.host_names:
                while not await self.is_ready(name):  # noqa: ASYNC110
                    await asyncio.sleep(POLL_INTERVAL_S)

    async def close(self) -> None:
        """Kill the host processes and close the stand-ins."""
        for name, process in self.processes.items():
            self._record_memory(name)
            if process.returncode is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            await process.wait()
        for runner in self.runners.values():
            await runner.close()
        for proxy in self.proxies.values():
            proxy.set_mode(Mode.CLOSED)
            await proxy.close()
        self.client.close()
        await self.store.close()

    async def _add_proxy(self, name: str, target: Address) -> None:
        listen, control = self._addresses.pop(), self._addresses.pop()
        self._proxy_addresses[name], self._target_addresses[name] = listen, target
        self.proxies[name] = ProxyStandin(listen, target, control)
        await self.proxies[name].start()

    # Hosts

    def host_address(self, name: str, port: int) -> Address:
        """Return the address of a port of a host."""
        return Address(
            f"{self._address_prefix}.{self.host_names.index(name) + 2}", port
        )

    async def start_host(self, name: str) -> None:
        """Start a host's process."""
        path = self._folder / f"{name}.conf"
        path.write_text(self._settings_text(name))
        with (self._folder / f"{name}.log").open("ab") as log:
            self.processes[name] = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "damaskjunction.gateway",
                "host",
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                # The end of a shell hangs up on frozen processes of its group.
                process_group=0,
                env={**os.environ, "DAMASKJUNCTION_SETTINGS": str(path)},
            )

    def _record_memory(self, name: str) -> None:
        """Record the peak memory of a host's process, unless it has just ended."""
        process = self.processes[name]
        if process.returncode is not None:
            return
        try:
            status = Path(f"/proc/{process.pid}/status").read_text()
        except (FileNotFoundError, ProcessLookupError):
            return  # a kill by another fault came first
        _, field, value = status.partition("VmHWM:")
        if field:
            peak_bytes = int(value.split()[0]) * KIB
            self.history.peaks.append(MemoryPeak(name, peak_bytes))

    async def stop_host(self, name: str, signal_number: signal.Signals) -> None:
        """Signal a host and wait for its exit; kill it after ``STOP_TIMEOUT_S``.

        A frozen host is resumed first, as it would not handle the signal.
        """
        self._record_memory(name)
        process = self.processes[name]
        if process.returncode is None:
            process.send_signal(signal.SIGCONT)
            process.send_signal(signal_number)
        try:
            async with asyncio.timeout(STOP_TIMEOUT_S):
                await process.wait()
        except TimeoutError:
            process.kill()
            await process.wait()

    def signal_host(self, name: str, signal_number: signal.Signals) -> None:
        """Signal a host if its process is running."""
        process = self.processes[name]
        if process.returncode is None:
            process.send_signal(signal_number)

    async def is_ready(self, name: str) -> bool:
        """Return whether a host's readiness probe succeeds."""
        address = self.host_address(name, PORTS["readiness"])
        try:
            response = await self.client.send(
                address, "GET", READINESS_PATH, stall_s=1.0, new_connection=True
            )
            await response.read()
        except (BrokenResponseError, ConnectFailedError):
            return False  # a host that does not respond is not ready
        return response.status == 200

    def _settings_text(self, name: str) -> str:
        return make_settings_text(
            name,
            self.host_address(name, 0).ip,
            "z1" if self.host_names.index(name) % 2 else "z2",
            ports=PORTS,
            store=self._proxy_addresses[name],
            stop_grace_s=STOP_GRACE_S,
        )

    # Runners and configuration

    async def start_runner(self, endpoint: str) -> None:
        """Start a runner at an endpoint, under an id that was not used before."""
        is_engine = endpoint.startswith(ENGINE)
        self._n_runners_started += 1
        runner = SoakRunner(
            self.history,
            self.timers,
            self.proxies[endpoint],
            f"{endpoint}-{self._n_runners_started}",
            self._target_addresses[endpoint],
            ENGINE if is_engine else PLAIN,
            self.store,
            n_events=N_EVENTS if is_engine else 0,
            slots=ENGINE_SLOTS if is_engine else PLAIN_SLOTS,
            advertised=self._proxy_addresses[endpoint],
        )
        if self.has_deadly_part:
            runner.faults["deadly_part"] = DEADLY_PART
        runner.faults["limit_per_s"] = self.limit_per_s_by_endpoint.get(endpoint, 0)
        await runner.start()
        self.runners[endpoint] = runner

    async def stop_runner(self, endpoint: str) -> None:
        """Stop a runner at once and remove its entry from the store."""
        runner = self.runners.pop(endpoint)
        await runner.close()
        self.store.remove("servers", runner.runner_id)

    def write_configuration(self) -> None:
        """Write the next version of the configuration to the store."""
        self.configuration_version += 1
        self.store.put(
            "config", "main", _make_configuration(self.configuration_version)
        )


def _make_configuration(version: int) -> dict[str, Any]:
    """Return a configuration with a route of each kind and a route ``v{version}``."""
    routes = [
        make_route(name, HOST_NAME, f"/{name}/", kind, service, **options)
        for name, kind, service, options in (
            *_ROUTES,
            (f"v{version}", "idempotent", PLAIN, RETRYABLE_ROUTE),
        )
    ]
    return make_configuration(
        version, routes, engine=ENGINE, plain=PLAIN, slots=ENGINE_SLOTS
    )
