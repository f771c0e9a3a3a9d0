"""A deployment that runs as processes on loopback."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

import yaml

from damaskjunction.core import Address, EntryHost, HostState, Runner, ServiceKind
from damaskjunction.core.types import EMPTY
from damaskjunction.platform import entry_host_to_document, runner_to_document
from damaskjunction.standins.cut_paths import Cut
from damaskjunction.standins.deployment import Deployment
from damaskjunction.standins.fleet import BufferedResponse, Fleet, ProcessSpec
from damaskjunction.standins.ports import allocate_addresses
from damaskjunction.standins.proxy import Mode

ADDRESSES_PER_HOST = 3  # caller, peer and probe
N_SEED_ADDRESSES = 3


class DeployedFleet:
    """A deployment that runs as processes on loopback.

    Parameters
    ----------
    deployment : Deployment
        Hosts, runners and configuration.
    engine_arguments : tuple of str, optional
        Additional command-line arguments of each engine.
    host_settings : mapping, optional
        Additional settings of each host.
    proxied : tuple of str, optional
        Hosts and runners that the others reach through a fault-injecting proxy: a
        host at its peer address, a runner at its only address.
    has_host_faults : bool, optional
        Whether faults can be injected into the datagrams that hosts receive, and into
        their paths to runners.
    seed : int, optional
        Seed of the datagram faults.
    """

    def __init__(
        self,
        deployment: Deployment,
        engine_arguments: tuple[str, ...] = (),
        proxied: tuple[str, ...] = (),
        host_settings: Mapping[str, str] = EMPTY,
        *,
        has_host_faults: bool = False,
        seed: int = 1,
    ) -> None:
        self.deployment = deployment
        self.fleet = Fleet()
        self.hosts_by_id: dict[str, EntryHost] = {}
        self.runners_by_id: dict[str, Runner] = {}
        self._engine_arguments = engine_arguments
        self._host_settings = host_settings
        self._proxied = proxied
        self._listed_addresses_by_name: dict[str, Address] = {}
        self._has_host_faults = has_host_faults
        self._seed = seed

    async def start(self) -> None:
        """Start every process and wait until all respond."""
        fleet = self.fleet
        (platform,) = allocate_addresses(1)
        fleet.addresses_by_name["platform"] = platform
        await fleet.start(_standin_spec("platform", "platform", platform))
        self._make_runners()
        self._make_hosts()
        await fleet.wait_until_responding(["platform"])
        await self._start_proxies()
        await self.publish_hosts()
        for runner in self.runners_by_id.values():
            await fleet.start(self._runner_spec(runner))
        for host in self.hosts_by_id.values():
            await fleet.start(self._host_spec(host))
        await fleet.wait_until_responding([*self.runners_by_id, *self.hosts_by_id])

    async def close(self) -> None:
        """Kill every process."""
        await self.fleet.close()

    async def publish_hosts(self) -> None:
        """Publish the current hosts and runners as the platform's host list."""
        document = {
            "hosts": [
                entry_host_to_document(
                    host._replace(
                        peer=self._listed_addresses_by_name.get(host_id, host.peer)
                    )
                )
                for host_id, host in self.hosts_by_id.items()
            ],
            "runners": [
                runner_to_document(
                    runner._replace(
                        address=self._listed_addresses_by_name.get(
                            runner_id, runner.address
                        )
                    )
                )
                for runner_id, runner in self.runners_by_id.items()
            ],
        }
        await self.fleet.call("platform", "PUT", "/test/hosts", document=document)

    async def set_mode(self, name: str, mode: Mode) -> None:
        """Set the mode of the proxy in front of a host or runner."""
        document = {"mode": mode.value}
        await self.fleet.call(_proxy_name(name), "PUT", "/test/mode", document=document)

    async def mark_leaving(self, name: str) -> None:
        """Mark a host or runner as leaving in the platform's host list."""
        if name in self.hosts_by_id:
            host = self.hosts_by_id[name]
            self.hosts_by_id[name] = host._replace(state=HostState.LEAVING)
        else:
            runner = self.runners_by_id[name]
            self.runners_by_id[name] = runner._replace(state=HostState.LEAVING)
        await self.publish_hosts()

    async def apply_configuration(
        self, *, expected_revision: int = 0, text: str = ""
    ) -> BufferedResponse:
        """Apply a configuration (default: the deployment's) through the first host."""
        body = text or yaml.safe_dump(
            dict(self.deployment.configuration), sort_keys=False
        )
        headers = {"If-Match": str(expected_revision)}
        first = next(iter(self.hosts_by_id))
        return await self.fleet.call(
            first, "PUT", "/v1/configuration", body=body.encode(), headers=headers
        )

    async def wait_until_serving(self, revision: int) -> None:
        """Wait until every host has a configuration revision, a plan and ready engines.

        Raises
        ------
        TimeoutError
            When a host does not get there in time.
        """
        for host_id in self.hosts_by_id:

            async def has_revision(host_id: str = host_id) -> bool:
                response = await self.fleet.call(host_id, "GET", "/v1/status")
                statuses_by_id = {
                    host["host_id"]: host for host in response.to_json()["hosts"]
                }
                return bool(
                    statuses_by_id.get(host_id, {}).get("configuration_revision", 0)
                    >= revision
                    and statuses_by_id[host_id]["plan_revision"] > 0
                )

            await self.fleet.wait_for(
                has_revision, f"{host_id} has revision {revision}"
            )

            async def has_engines(host_id: str = host_id) -> bool:
                return await self._has_ready_engines(host_id)

            await self.fleet.wait_for(has_engines, f"{host_id} has ready engines")

    async def _has_ready_engines(self, host_id: str) -> bool:
        """Return whether a host sees as many ready engines as the configuration allows.

        That is ``max_runners`` of all engine services, or all engines if fewer run.
        """
        response = await self.fleet.call(host_id, "GET", "/v1/services")
        engines = [
            service
            for service in response.to_json()["services"]
            if service["kind"] == ServiceKind.ENGINE
        ]
        n_required = sum(service["max_runners"] for service in engines)
        n_engines = sum(
            runner.kind is ServiceKind.ENGINE for runner in self.runners_by_id.values()
        )
        n_ready = sum(service["n_ready"] for service in engines)
        return bool(n_ready >= min(n_required, n_engines))

    async def _start_proxies(self) -> None:
        for name in self._proxied:
            listen, control = allocate_addresses(2)
            target = (
                self.hosts_by_id[name].peer
                if name in self.hosts_by_id
                else self.runners_by_id[name].address
            )
            extra = ("--target", str(target), "--control", str(control))
            proxy = _proxy_name(name)
            self._listed_addresses_by_name[name] = listen
            self.fleet.addresses_by_name[proxy] = control
            await self.fleet.start(_standin_spec(proxy, "proxy", listen, *extra))
            await self.fleet.wait_until_responding([proxy])

    async def set_datagram_faults(self, host_id: str, **faults: object) -> None:
        """Set faults of the datagrams that a host receives, see ``FaultyDatagrams``."""
        await self.fleet.call(
            _control_name(host_id), "PUT", "/test/faults", document=faults
        )

    async def cut_paths(self, host_id: str, how: Cut | None) -> None:
        """Cut the paths from a host to all runners, or make them whole with None."""
        runners = self.runners_by_id.values() if how else ()
        document = {
            "addresses": [str(runner.address) for runner in runners],
            "how": how or Cut.RESET,
        }
        control = _control_name(host_id)
        await self.fleet.call(control, "PUT", "/test/cut", document=document)

    def _make_runners(self) -> None:
        for group in self.deployment.runners:
            addresses = allocate_addresses(group.n_runners)
            for number, address in enumerate(addresses):
                runner_id = f"{group.prefix}-{number}"
                centres = self.deployment.data_centres
                self.runners_by_id[runner_id] = Runner(
                    runner_id,
                    self.deployment.region,
                    centres[number % len(centres)],
                    address,
                    ServiceKind.PLAIN if group.service else ServiceKind.ENGINE,
                    group.service,
                )
                self.fleet.addresses_by_name[runner_id] = address

    def _make_hosts(self) -> None:
        n_hosts = self.deployment.n_hosts
        addresses = allocate_addresses((ADDRESSES_PER_HOST + 1) * n_hosts)
        controls = addresses[ADDRESSES_PER_HOST * n_hosts :]
        for number in range(self.deployment.n_hosts):
            first = ADDRESSES_PER_HOST * number
            caller, peer, probe = addresses[first : first + ADDRESSES_PER_HOST]
            centres = self.deployment.data_centres
            centre = centres[number % len(centres)]
            host_id = f"{centre}-{number}"
            self.hosts_by_id[host_id] = EntryHost(
                host_id, self.deployment.region, centre, caller, peer, probe
            )
            self.fleet.addresses_by_name[host_id] = caller
        if self._has_host_faults:
            for host_id, address in zip(self.hosts_by_id, controls, strict=True):
                self.fleet.addresses_by_name[_control_name(host_id)] = address

    def _runner_spec(self, runner: Runner) -> ProcessSpec:
        if runner.service:
            extra: tuple[str, ...] = ("--service", runner.service)
            return _standin_spec(runner.runner_id, "plain", runner.address, *extra)
        store = str(self.fleet.addresses_by_name["platform"])
        extra = ("--slots", str(runner.slots), "--weight-store", store)
        extra += self._engine_arguments
        return _standin_spec(runner.runner_id, "engine", runner.address, *extra)

    async def start_host(self, host: EntryHost, settings: Mapping[str, Any]) -> None:
        """Start an additional host with the given settings."""
        await self.fleet.start(self._host_spec_with_settings(host, settings))

    def _host_spec(self, host: EntryHost) -> ProcessSpec:
        document = {
            "host_id": host.host_id,
            "region": host.region,
            "data_centre": host.data_centre,
            "caller": str(host.caller),
            "peer": str(host.peer),
            "probe": str(host.probe),
            "platform": str(self.fleet.addresses_by_name["platform"]),
            **self._host_settings,
            "seeds": self._seed_addresses(host),
        }
        return self._host_spec_with_settings(host, document)

    def _host_spec_with_settings(
        self, host: EntryHost, settings: Mapping[str, Any]
    ) -> ProcessSpec:
        path = self.fleet.folder / f"{host.host_id}.yaml"
        path.write_text(yaml.safe_dump(dict(settings), sort_keys=False))
        if self._has_host_faults:
            control = self.fleet.addresses_by_name[_control_name(host.host_id)]
            extra = ("--settings", str(path), "--seed", str(self._seed))
            return _standin_spec(host.host_id, "host", control, *extra)
        arguments = ("damaskjunction.cli", "host", "--settings", str(path))
        return ProcessSpec(host.host_id, arguments)

    def _seed_addresses(self, host: EntryHost) -> list[str]:
        others = [other for other in self.hosts_by_id.values() if other != host]
        return [str(other.probe) for other in others[:N_SEED_ADDRESSES]]


def _control_name(host_id: str) -> str:
    return f"{host_id}-control"


def _proxy_name(name: str) -> str:
    return f"proxy-{name}"


def _standin_spec(name: str, kind: str, address: Address, *extra: str) -> ProcessSpec:
    arguments = ("damaskjunction.standins", kind, "--address", str(address), *extra)
    return ProcessSpec(name, arguments)
