"""Reads the state of a running fleet through its HTTP interfaces."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

from damaskjunction.http import BrokenResponseError, ConnectFailedError
from damaskjunction.standins import DeployedFleet

POLL_INTERVAL_S = 0.05
STALL_TIMEOUT_S = 2.0


class FleetObserver:
    """Reads the state of a running fleet through its HTTP interfaces.

    Parameters
    ----------
    deployed : DeployedFleet
        The running fleet.
    """

    def __init__(self, deployed: DeployedFleet) -> None:
        self.deployed = deployed
        self.unavailable_hosts: set[str] = set()

    async def get_json(self, name: str, target: str) -> Any:
        """Return the JSON document that a process serves at ``target``."""
        response = await self.deployed.fleet.call(
            name, "GET", target, stall_s=STALL_TIMEOUT_S
        )
        return response.to_json()

    def available_hosts(self) -> list[str]:
        """Return the hosts that are not killed or frozen."""
        return [
            host
            for host in self.deployed.hosts_by_id
            if host not in self.unavailable_hosts
        ]

    async def lease_holders(self) -> list[str]:
        """Return the hosts that consider themselves the holder of the lease."""
        documents = await asyncio.gather(
            *(self.get_json(host, "/v1/dump") for host in self.available_hosts())
        )
        pairs = zip(self.available_hosts(), documents, strict=True)
        return [host for host, document in pairs if document["placement"]["may_act"]]

    async def service_summary(self, host: str, name: str) -> Any:
        """Return the summary of a service as a host reports it."""
        document = await self.get_json(host, "/v1/services")
        return {entry["name"]: entry for entry in document["services"]}[name]

    async def wait_until(
        self, condition: Callable[[], Awaitable[bool]], timeout_s: float = 60.0
    ) -> float:
        """Wait until a condition holds and return the seconds that it took.

        Raises
        ------
        TimeoutError
            When it does not hold within ``timeout_s``.
        """
        timers = self.deployed.fleet.timers
        began_s = timers.now()
        while timers.now() < began_s + timeout_s:
            try:
                if await condition():
                    return timers.now() - began_s
            except (ConnectFailedError, BrokenResponseError):
                pass  # the host is unavailable during its fault; poll again
            await asyncio.sleep(POLL_INTERVAL_S)
        raise TimeoutError(f"condition does not hold within {timeout_s:g} s")
