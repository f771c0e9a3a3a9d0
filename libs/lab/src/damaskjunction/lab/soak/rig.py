"""Fleet of a soak: real host processes with stand-ins of the runners and the store."""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import sys
from collections import defaultdict
from collections.abc import Iterator
from pathlib import Path
from typing import NamedTuple

from damaskjunction.core import Address, HostId, LoopTimers
from damaskjunction.core.units import KIB
from damaskjunction.http import BrokenResponseError, ConnectFailedError, HttpClient
from damaskjunction.lab.soak.builds import Build, python_path
from damaskjunction.lab.soak.configuration import (
    ENGINE,
    ENGINE_SLOTS,
    PLAIN,
    PLAIN_SLOTS,
    ROUTES_CHANGE,
    make_soak_configuration,
)
from damaskjunction.lab.soak.crash_reports import read_crash_reports
from damaskjunction.lab.soak.history import (
    History,
    HostCut,
    HostDisturbance,
    HostExit,
    HostReload,
    HostStop,
    MemoryPeak,
    Room,
)
from damaskjunction.lab.soak.proxied_host import (
    LINK_PORT_OFFSET,
    RUNNER_PATH_VARIABLE,
)
from damaskjunction.lab.soak.runner_paths import Cut, RunnerPaths
from damaskjunction.lab.soak.runners import SoakRunner
from damaskjunction.node import TaskSet
from damaskjunction.standins import (
    READINESS_PATH,
    RUNNERS_KIND,
    Mode,
    ProxyStandin,
    StoreStandin,
    allocate_addresses,
    make_settings_text,
)

FAULTY_RUNNER = "faulty"  # id of a runner that a fault adds
N_EVENTS = 10
DEADLY_PART = "deadly"
PORTS = {"caller": 18144, "readiness": 18140, "directory": 18143, "peer": 17660}
METRICS_PORT = 9464
# Last numbers of addresses: that of all runners, and of the first host and its paths.
RUNNERS_NUMBER, FIRST_HOST_NUMBER, FIRST_PATH_NUMBER = 1, 2, 128
STOP_GRACE_S = 6
START_TIMEOUT_S = 20.0
POLL_INTERVAL_S = 0.05
STOP_TIMEOUT_S = 10.0


class RunnerSoftware(NamedTuple):
    """Id and software version of an endpoint's next runner."""

    runner_id: str
    version: str


class SoakRig:
    """Hosts by name, runners by endpoint, and the store.

    An endpoint is a fixed proxied address at which one runner runs after another. Each
    host reaches the store and each runner through proxies of its own, and is reached by
    the other hosts through another one.

    Parameters
    ----------
    folder : Path
        Where settings and logs of the hosts are written.
    n_hosts, n_engines, n_plain : int
        Number of hosts, engine runners and plain runners.
    former_build : Path, optional
        Sources of the build that all hosts run at first, if not the present one.
    """

    def __init__(
        self,
        folder: Path,
        *,
        n_hosts: int,
        n_engines: int,
        n_plain: int,
        former_build: Path | None = None,
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
        self._runners_ip = f"{self._address_prefix}.{RUNNERS_NUMBER}"
        n_runners = n_engines + n_plain
        # The store, the faulty runner and the proxy before the store of each host have
        # one address, and a runner two: its own and one for the port of its paths.
        self._addresses = allocate_addresses(2 + n_hosts + 2 * n_runners)
        self.store_address = self._addresses.pop()
        self.faulty_address = self._addresses.pop()
        self.store = StoreStandin(self.store_address, self.timers)
        self.host_names = [f"h{number}" for number in range(n_hosts)]
        self._former_build = former_build
        first_build = Build.PRESENT if former_build is None else Build.FORMER
        self.build_by_host = dict.fromkeys(self.host_names, first_build)
        self.endpoints = [
            f"{service}{number}"
            for service, count in ((ENGINE, n_engines), (PLAIN, n_plain))
            for number in range(count)
        ]
        # Held while a fault freezes, stops or replaces a host or runner.
        self.locks = {
            name: asyncio.Lock()
            for name in (*self.host_names, *self.endpoints, FAULTY_RUNNER)
        }
        self.store_proxies: dict[HostId, ProxyStandin] = {}
        self.link_proxies: dict[HostId, ProxyStandin] = {}
        self.paths = RunnerPaths(
            {
                name: f"{self._address_prefix}.{FIRST_PATH_NUMBER + number}"
                for number, name in enumerate(self.host_names)
            }
        )
        self.runners: dict[str, SoakRunner] = {}
        self._target_addresses: dict[str, Address] = {}
        self._listed_addresses: dict[str, Address] = {}
        self._store_proxy_addresses: dict[HostId, Address] = {}
        self._n_runners_started = 0
        self.software_by_endpoint = {
            endpoint: RunnerSoftware(f"{endpoint}-0", "v1")
            for endpoint in self.endpoints
        }
        self.n_versions = 1
        self.has_deadly_part = False
        self.limit_per_s_by_endpoint: dict[str, float] = {}
        self.configuration_version = 0
        self.processes: dict[str, asyncio.subprocess.Process] = {}
        self._signals_by_pid: dict[int, set[signal.Signals]] = defaultdict(set)
        self._exits = TaskSet()

    async def start(self) -> None:
        """Start the store, runners and hosts; return when each host is ready."""
        await self.store.start()
        self.write_configuration()
        for endpoint in self.endpoints:
            await self._add_paths(endpoint)
            await self.start_runner(endpoint)
        for name in self.host_names:
            await self._add_proxies(name)
            await self.start_host(name)
        async with asyncio.timeout(START_TIMEOUT_S):
            for name in self.host_names:
                while not await self.is_ready(name):  # noqa: ASYNC110
                    await asyncio.sleep(POLL_INTERVAL_S)

    async def close(self) -> None:
        """Kill the host processes and close the stand-ins."""
        for name, process in self.processes.items():
            self._record_memory(name)
            self._send_signals(process, signal.SIGCONT, signal.SIGKILL)
            await process.wait()
        self.history.crash_reports += read_crash_reports(self._folder, self.timers)
        await self._exits.close()
        for runner in self.runners.values():
            await runner.close()
        for proxy in (*self.store_proxies.values(), *self.link_proxies.values()):
            proxy.set_mode(Mode.CLOSED)
            await proxy.close()
        await self.paths.close()
        self.client.close()
        await self.store.close()

    async def _add_paths(self, endpoint: str) -> None:
        """Add the paths to an endpoint; its runners listen at the end of them."""
        target, port = self._addresses.pop(), self._addresses.pop().port
        self._target_addresses[endpoint] = target
        self._listed_addresses[endpoint] = Address(self._runners_ip, port)
        await self.paths.add(endpoint, port, target)

    async def _add_proxies(self, name: HostId) -> None:
        """Add the proxies between a host and the store, and before its links."""
        store = self._store_proxy_addresses[name] = self._addresses.pop()
        self.store_proxies[name] = ProxyStandin(store, self.store_address)
        await self.store_proxies[name].start()
        listen = self.host_address(name, PORTS["peer"])
        target = Address(listen.ip, listen.port + LINK_PORT_OFFSET)
        self.link_proxies[name] = ProxyStandin(listen, target)
        await self.link_proxies[name].start()

    @contextlib.contextmanager
    def cut(self, cut: Cut) -> Iterator[None]:
        """Cut hosts off from runners for as long as the context lasts."""
        is_from_all = len(cut.endpoints) == len(self.endpoints)
        began = HostCut(cut.hosts, is_from_all, self.timers.now(), float("inf"))
        position = len(self.history.cuts)
        self.history.cuts.append(began)
        self.paths.begin(cut)
        try:
            yield
        finally:
            self.paths.end(cut)
            ended = began._replace(until_s=self.timers.now())
            self.history.cuts[position] = ended

    # Hosts

    def host_address(self, name: str, port: int) -> Address:
        """Return the address of a port of a host."""
        number = FIRST_HOST_NUMBER + self.host_names.index(name)
        return Address(f"{self._address_prefix}.{number}", port)

    def data_centre(self, name: str) -> str:
        """Return the data centre of a host."""
        return "z1" if self.host_names.index(name) % 2 else "z2"

    async def start_host(self, name: str) -> None:
        """Start a host's process."""
        path = self._folder / f"{name}.conf"
        path.write_text(self._settings_text(name))
        with (self._folder / f"{name}.log").open("ab") as log:
            self.processes[name] = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "damaskjunction.lab.soak.proxied_host",
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                # The end of a shell hangs up on frozen processes of its group.
                process_group=0,
                env={
                    **os.environ,
                    **self._build_environment(name),
                    "DAMASKJUNCTION_SETTINGS": str(path),
                    RUNNER_PATH_VARIABLE: " ".join(
                        (self._runners_ip, self.paths.ip_of(name))
                    ),
                },
            )
        self._record_disturbance(name)
        self._exits.begin(self._record_exit(name, self.processes[name]))

    def _build_environment(self, name: str) -> dict[str, str]:
        """Return the variables that let a host's process run its build."""
        if self._former_build is None or self.build_by_host[name] is Build.PRESENT:
            return {}
        return {"PYTHONPATH": python_path(self._former_build)}

    async def _record_exit(
        self, name: str, process: asyncio.subprocess.Process
    ) -> None:
        started_at_s = self.timers.now()
        code = await process.wait()
        signals = frozenset(self._signals_by_pid.pop(process.pid, ()))
        now_s = self.timers.now()
        self.history.exits.append(
            HostExit(name, now_s, now_s - started_at_s, code, signals)
        )

    def _send_signals(
        self, process: asyncio.subprocess.Process, *signals: signal.Signals
    ) -> None:
        """Send signals to a process unless it has ended.

        ``Process.send_signal`` would reap one that just ended, and lose its exit code.
        """
        for number in signals:
            if process.returncode is not None:
                return
            with contextlib.suppress(ProcessLookupError):  # it has just been reaped
                os.kill(process.pid, number)
                self._signals_by_pid[process.pid].add(number)

    def _record_disturbance(self, name: str) -> None:
        disturbance = HostDisturbance(name, self.timers.now())
        self.history.disturbances.append(disturbance)

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
        """Signal a host and wait for its exit; abort it after ``STOP_TIMEOUT_S``.

        A frozen host is resumed first, as it would not handle the signal.
        """
        self._record_memory(name)
        process = self.processes[name]
        if signal_number is signal.SIGTERM:
            self.history.stops.append(HostStop(name, self.timers.now()))
        self._send_signals(process, signal.SIGCONT, signal_number)
        try:
            async with asyncio.timeout(STOP_TIMEOUT_S):
                await process.wait()
        except TimeoutError:
            self._send_signals(process, signal.SIGABRT, signal.SIGCONT)
            await process.wait()

    def signal_host(self, name: str, signal_number: signal.Signals) -> None:
        """Signal a host if its process is running."""
        process = self.processes[name]
        self._record_disturbance(name)
        if signal_number is signal.SIGHUP:
            self.history.reloads.append(HostReload(name, self.timers.now()))
        self._send_signals(process, signal_number)

    async def is_ready(self, name: str) -> bool:
        """Return whether a host's readiness probe succeeds."""
        address = self.host_address(name, PORTS["readiness"])
        return await self._get(address, READINESS_PATH) is not None

    async def read_dump(self, name: str) -> bytes | None:
        """Return the dump of a host's state, None if it does not respond."""
        return await self._get(self.host_address(name, METRICS_PORT), "/dump")

    async def _get(self, address: Address, path: str) -> bytes | None:
        """Return the body of a response with status 200, None without one."""
        try:
            response = await self.client.send(
                address, "GET", path, stall_s=1.0, new_connection=True
            )
            body = await response.read()
        except (BrokenResponseError, ConnectFailedError):
            return None
        return body if response.status == 200 else None

    def _settings_text(self, name: str) -> str:
        return make_settings_text(
            name,
            self.host_address(name, 0).ip,
            self.data_centre(name),
            ports=PORTS,
            store=self._store_proxy_addresses[name],
            stop_grace_s=STOP_GRACE_S,
        )

    # Runners and configuration

    async def start_runner(self, endpoint: str) -> None:
        """Start the runner of an endpoint that ``software_by_endpoint`` describes."""
        is_engine = endpoint.startswith(ENGINE)
        self._n_runners_started += 1
        software = self.software_by_endpoint[endpoint]
        runner = SoakRunner(
            self.history,
            self.timers,
            self.paths.paths_by_endpoint[endpoint],
            f"{software.runner_id}#{self._n_runners_started}",
            software.runner_id,
            self._target_addresses[endpoint],
            ENGINE if is_engine else PLAIN,
            self.store,
            n_events=N_EVENTS if is_engine else 0,
            slots=ENGINE_SLOTS if is_engine else PLAIN_SLOTS,
            advertised=self._listed_addresses[endpoint],
            version=software.version,
        )
        runner.born_ms = int(self.timers.wall() * 1000)
        if self.has_deadly_part:
            runner.faults["deadly_part"] = DEADLY_PART
        runner.faults["limit_per_s"] = self.limit_per_s_by_endpoint.get(endpoint, 0)
        await runner.start()
        self.runners[endpoint] = runner

    def rename_runner(self, endpoint: str) -> None:
        """Let the next runner of an endpoint have an id that was not used before."""
        software = self.software_by_endpoint[endpoint]
        new_id = f"{endpoint}-{self._n_runners_started}"
        self.software_by_endpoint[endpoint] = software._replace(runner_id=new_id)

    def release(self, endpoint: str, version: str) -> None:
        """Let the next runner of an endpoint have a version of the software."""
        software = self.software_by_endpoint[endpoint]
        self.software_by_endpoint[endpoint] = software._replace(version=version)

    def record_room(self) -> None:
        """Record the free slots of the engines that are present and name no limit."""
        engines = [
            runner
            for endpoint, runner in self.runners.items()
            if endpoint.startswith(ENGINE) and not runner.faults["limit_per_s"]
        ]
        n_slots = ENGINE_SLOTS * len(engines)
        n_free = n_slots - sum(runner.n_running for runner in engines)
        room = Room(self.timers.now(), n_free / n_slots if n_slots else 0.0)
        self.history.rooms.append(room)

    async def stop_runner(self, endpoint: str) -> None:
        """Stop a runner at once and remove its entry from the store."""
        runner = self.runners.pop(endpoint)
        await runner.close()
        self.store.remove(RUNNERS_KIND, runner.runner_id)

    def write_configuration(self, change: str = ROUTES_CHANGE) -> None:
        """Write the next version of the configuration, with a change, to the store."""
        self.configuration_version += 1
        version = self.configuration_version
        self.store.put("config", "main", make_soak_configuration(version, change))
