"""Fleets of hosts without runners, and the resource usage of their processes."""

from __future__ import annotations

import asyncio
import json
import math
import os
from collections.abc import Sequence
from datetime import datetime
from pathlib import Path
from typing import Any, NamedTuple

import yaml

from damaskjunction.core.units import MIB
from damaskjunction.standins import BufferedResponse, DeployedFleet, deployments

N_HOSTS = (3, 9, 27, 81)
HOSTS_PER_DATA_CENTRE = 9
MIN_DATA_CENTRES = 3
FLEET_N_HOSTS = 370  # size of the fleet to which measurements are extrapolated
START_TIMEOUT_S = 90.0
POLL_INTERVAL_S = 0.2
UDP_HEADER_BYTES = 28  # with the IPv4 header
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
LOG_TIME_FORMAT = "%Y-%m-%d %H:%M:%S,%f"


class LogLine(NamedTuple):
    """A parsed line of a host's log; ``at_s`` is in seconds since the epoch."""

    host_id: str
    at_s: float
    message: str
    fields: dict[str, Any]


class ResourceUsage(NamedTuple):
    """CPU time and traffic of one host since its start, and its resident memory."""

    processor_s: float
    resident_mb: float
    n_datagrams: float
    n_bytes: float


class ControlFleet:
    """Hosts of one region without runners, whose datagrams can be dropped.

    Parameters
    ----------
    n_hosts : int
        Number of hosts to run.
    seed : int
        Seed of the datagram faults.
    """

    def __init__(self, n_hosts: int, seed: int) -> None:
        n_data_centres = max(
            MIN_DATA_CENTRES, math.ceil(n_hosts / HOSTS_PER_DATA_CENTRE)
        )
        data_centres = tuple(f"lima-{number + 1}" for number in range(n_data_centres))
        deployment = deployments.get("control")._replace(
            n_hosts=n_hosts, data_centres=data_centres
        )
        self.deployed = DeployedFleet(deployment, has_host_faults=True, seed=seed)
        self.fleet = self.deployed.fleet
        self.names: list[str] = []
        self.revision = 0

    async def start(self) -> None:
        """Start the hosts, configure them and wait until each sees all others."""
        try:
            await self.deployed.start()
            self.names = list(self.deployed.hosts_by_id)
            response = await self.apply(self.names[0], 1.0)
            self.revision = response.to_json()["revision"]
            await self.wait_until_joined()
        except BaseException:
            await self.close()
            raise

    async def close(self) -> None:
        """Stop all processes of the fleet."""
        await self.deployed.close()

    async def apply(
        self, name: str, share: float, *, expected: int = 0, editor: str = "lab"
    ) -> BufferedResponse:
        """Change one workspace's share and apply the configuration through a host."""
        document = json.loads(json.dumps(self.deployed.deployment.configuration))
        document["workspaces"]["clubs"]["share"] = share
        return await self.fleet.call(
            name,
            "PUT",
            f"/v1/configuration?editor={editor}",
            body=yaml.safe_dump(document).encode(),
            headers={"If-Match": str(expected)},
        )

    async def set_platform_faults(self, **faults: object) -> None:
        """Set the injected faults of the platform."""
        await self.fleet.call("platform", "PUT", "/test/faults", document=faults)

    async def set_datagram_loss(self, fraction: float) -> None:
        """Drop a fraction of the datagrams sent to each host."""
        for name in self.names:
            await self.deployed.set_datagram_faults(name, loss=fraction)

    async def wait_until_joined(self) -> None:
        """Wait until every host sees all hosts as members."""
        for name in self.names:

            async def sees_all_hosts(name: str = name) -> bool:
                metrics = await self.metrics_of(name)
                return metrics.get("membership_hosts", 0.0) >= len(self.names)

            what = f"{name} sees all {len(self.names)} hosts"
            await self.fleet.wait_for(sees_all_hosts, what, START_TIMEOUT_S)

    async def metrics_of(self, name: str) -> dict[str, float]:
        """Return the metrics of a host, by series."""
        response = await self.fleet.call(name, "GET", "/metrics")
        pairs = (line.rsplit(" ", 1) for line in response.body.decode().splitlines())
        return {series: float(value) for series, value in pairs}

    async def usage_of(self, name: str) -> ResourceUsage:
        """Return the resource usage of a host."""
        metrics = await self.metrics_of(name)
        n_datagrams = _sum_of(metrics, "membership_datagrams")
        n_bytes = _sum_of(metrics, "membership_bytes") + UDP_HEADER_BYTES * n_datagrams
        n_bytes += _sum_of(metrics, "document_bytes")
        pid = self.fleet.pid_of(name)
        return ResourceUsage(
            cpu_seconds_of(pid), resident_mb_of(pid), n_datagrams, n_bytes
        )

    async def platform_calls(self) -> dict[str, int]:
        """Return the number of platform calls by verb and kind (``"GET hosts"``)."""
        response = await self.fleet.call("platform", "GET", "/test/counts")
        counts: dict[str, int] = response.to_json()
        return counts

    def lines(self, message: str, since_s: float = 0.0) -> list[LogLine]:
        """Return the log lines of all hosts with a message, from ``since_s`` on."""
        found = []
        for name in self.names:
            for text in self.fleet.log_of(name).splitlines():
                if f'"message": "{message}"' in text:
                    fields = json.loads(text)
                    at_s = datetime.strptime(
                        fields["asctime"], LOG_TIME_FORMAT
                    ).timestamp()
                    if at_s >= since_s:
                        found.append(LogLine(name, at_s, message, fields))
        return found

    async def activation_delays(
        self, revision: int, since_s: float, timeout_s: float
    ) -> list[float]:
        """Return the sorted delays until a revision is active, one for each host.

        The delays count from ``since_s``; a host where it was active before has 0.
        Hosts where it is not active within ``timeout_s`` have none.
        """
        deadline_at_s = self.fleet.timers.now() + timeout_s
        while True:
            lines = self.lines("configuration in force")
            delays = {
                line.host_id: max(0.0, line.at_s - since_s)
                for line in lines
                if line.fields["revision"] >= revision
            }
            is_timed_out = self.fleet.timers.now() > deadline_at_s
            if len(delays) == len(self.names) or is_timed_out:
                return sorted(delays.values())
            await asyncio.sleep(POLL_INTERVAL_S)


def _sum_of(metrics: dict[str, float], name: str) -> float:
    return sum(
        value
        for series, value in metrics.items()
        if series == name or series.startswith(f"{name}{{")
    )


def cpu_seconds_of(pid: int) -> float:
    """Return the user and system CPU time of a process, in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S


def resident_mb_of(pid: int) -> float:
    """Return the resident memory of a process in MiB."""
    n_pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return n_pages * os.sysconf("SC_PAGE_SIZE") / MIB


def percentile(values: Sequence[float], percent: float) -> float:
    """Return a percentile by nearest rank, or 0 if there are no values."""
    if not values:
        return 0.0
    rank = math.ceil(percent / 100 * len(values))
    return sorted(values)[max(0, rank - 1)]


def extrapolate(points: Sequence[tuple[float, float]], x: float) -> float:
    """Return the value at ``x`` of the least-squares line through the points."""
    mean_x = sum(point[0] for point in points) / len(points)
    mean_y = sum(point[1] for point in points) / len(points)
    spread = sum((point[0] - mean_x) ** 2 for point in points)
    if not spread:
        return mean_y
    slope = sum((px - mean_x) * (py - mean_y) for px, py in points) / spread
    return mean_y + slope * (x - mean_x)
