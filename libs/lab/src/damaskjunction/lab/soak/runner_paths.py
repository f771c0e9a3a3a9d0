"""Network paths from hosts to runners, a proxy for each pair of them."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from damaskjunction.core import Address, HostId
from damaskjunction.standins import Mode, ProxyStandin


class Cut(NamedTuple):
    """How some hosts do not reach the runners of some endpoints."""

    hosts: frozenset[HostId]
    endpoints: frozenset[str]
    mode: Mode


class EndpointPaths:
    """The paths from all hosts to one endpoint.

    Parameters
    ----------
    proxies_by_host : mapping
        Proxy before the endpoint for each host.
    """

    def __init__(self, proxies_by_host: Mapping[HostId, ProxyStandin]) -> None:
        self.proxies_by_host = proxies_by_host
        self.mode = Mode.PASS

    def refuse(self) -> None:
        """Refuse new connections, like a host whose process has ended."""
        for proxy in self.proxies_by_host.values():
            proxy.refuse()

    def listen(self) -> None:
        """Accept connections again after ``refuse``."""
        for proxy in self.proxies_by_host.values():
            proxy.listen()


class RunnerPaths:
    """All paths from hosts to runners.

    Runners register at one address, whichever host connects to it. A host's process
    connects to the same port at an address of its own, where its proxy listens.

    Parameters
    ----------
    ip_by_host : mapping
        Address at which the proxies of a host listen.
    """

    def __init__(self, ip_by_host: Mapping[HostId, str]) -> None:
        self._ip_by_host = ip_by_host
        self._cuts: list[Cut] = []
        self.paths_by_endpoint: dict[str, EndpointPaths] = {}

    def ip_of(self, host: HostId) -> str:
        """Return the address at which the proxies of a host listen."""
        return self._ip_by_host[host]

    async def add(self, endpoint: str, port: int, target: Address) -> None:
        """Add the paths to an endpoint, which begin at a port and lead to a target."""
        proxies_by_host = {
            host: ProxyStandin(Address(ip, port), target)
            for host, ip in self._ip_by_host.items()
        }
        for proxy in proxies_by_host.values():
            await proxy.start()
        self.paths_by_endpoint[endpoint] = EndpointPaths(proxies_by_host)

    async def close(self) -> None:
        """Close all connections."""
        for paths in self.paths_by_endpoint.values():
            for proxy in paths.proxies_by_host.values():
                proxy.set_mode(Mode.CLOSED)
                await proxy.close()

    def set_mode(self, endpoint: str, mode: Mode) -> None:
        """Set how the paths from all hosts to an endpoint that are not cut behave."""
        self.paths_by_endpoint[endpoint].mode = mode
        self._apply(self._ip_by_host, [endpoint])

    def begin(self, cut: Cut) -> None:
        """Cut hosts off; a cut that began later goes before others of the same path."""
        self._cuts.append(cut)
        self._apply(cut.hosts, cut.endpoints)

    def end(self, cut: Cut) -> None:
        """End a cut."""
        self._cuts.remove(cut)
        self._apply(cut.hosts, cut.endpoints)

    @property
    def cut_hosts(self) -> frozenset[HostId]:
        """The hosts that are cut off now, from some runners at least."""
        return frozenset().union(*(cut.hosts for cut in self._cuts))

    def n_forwarded(self, host: HostId) -> int:
        """Return how many bytes went over a host's paths to runners so far."""
        return sum(
            paths.proxies_by_host[host].n_forwarded
            for paths in self.paths_by_endpoint.values()
        )

    def _apply(self, hosts: Iterable[HostId], endpoints: Iterable[str]) -> None:
        for endpoint in endpoints:
            paths = self.paths_by_endpoint[endpoint]
            for host in hosts:
                mode = self._cut_mode(host, endpoint) or paths.mode
                paths.proxies_by_host[host].set_mode(mode)

    def _cut_mode(self, host: HostId, endpoint: str) -> Mode | None:
        for cut in reversed(self._cuts):
            if host in cut.hosts and endpoint in cut.endpoints:
                return cut.mode
        return None
