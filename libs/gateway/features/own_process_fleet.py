"""A fleet whose only host is a process of its own, as the platform starts it."""

from __future__ import annotations

import asyncio
import os
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

from platform_fleet import ENGINE, PLAIN, PlatformFleet

from damaskjunction import standins
from damaskjunction.core import Address
from damaskjunction.platform import ProcessSettings

PORTS = {"caller": 20001, "readiness": 20002, "directory": 20003, "peer": 20010}
HOST = "h0"
PATHS = {ENGINE: "/ask/1", PLAIN: "/look/1"}
PAUSE_S = 0.05
START_TIMEOUT_S = 20.0


class OwnProcessFleet(PlatformFleet):
    """A store and runners in this process, and a host in a process of its own.

    Parameters
    ----------
    configuration : dict
        What the store has as the configuration.
    settings : dict
        Lines of the host's settings file beyond the usual ones.
    """

    def __init__(self, configuration: Any, settings: dict[str, object]) -> None:
        super().__init__(0)
        self._configuration = configuration
        self._more_settings = settings
        self._folder = tempfile.TemporaryDirectory()
        self.host: subprocess.Popen[bytes] | None = None

    async def start(self) -> None:
        await self.store.start()
        self.store.put("config", "main", self._configuration)
        number = os.getpid() % 60_000
        ip = f"127.78.{number // 250}.{number % 250 + 1}"
        text = standins.make_settings_text(
            HOST, ip, "z1", ports=PORTS, store=self._store_address, stop_grace_s=3.0
        )
        more = "".join(f"{key}={value}\n" for key, value in self._more_settings.items())
        path = Path(self._folder.name) / "host.conf"
        path.write_text(text + more)
        self._start_host_process(path)
        addresses = {name: Address(ip, port) for name, port in PORTS.items()}
        self.settings[HOST] = ProcessSettings(
            HOST,
            "r1",
            "z1",
            ip,
            addresses["caller"],
            addresses["readiness"],
            addresses["directory"],
            PORTS["peer"],
            (),
            self._store_address,
            {"z1": "r1"},
        )

    def _start_host_process(self, path: Path) -> None:
        self.host = subprocess.Popen(
            [sys.executable, "-m", "damaskjunction.gateway", "host"],
            stdout=subprocess.DEVNULL,
            stderr=subprocess.DEVNULL,
            env={**os.environ, "DAMASKJUNCTION_SETTINGS": str(path)},
        )

    async def wait_until_served(self, service: str) -> None:
        async with asyncio.timeout(START_TIMEOUT_S):
            # No host in this process tells of a change.
            while (await self.ask(service, "first"))[0] != 200:  # noqa: ASYNC110
                await asyncio.sleep(PAUSE_S)

    async def ask(self, service: str, request_id: str) -> tuple[int, float]:
        """Return the status, 0 if the answer is incomplete, and the time it took."""
        began_at_s = time.monotonic()
        reply = await self.call(HOST, "POST", PATHS[service], request_id=request_id)
        status = reply.status if reply.is_complete else 0
        return status, time.monotonic() - began_at_s

    def peak_memory_mb(self) -> float:
        """Return the most memory that the host has had at once."""
        lines = Path(f"/proc/{self.host.pid}/status").read_text().splitlines()
        line = next(line for line in lines if line.startswith("VmHWM"))
        return int(line.split()[1]) / 1024

    def n_descriptors(self) -> int:
        """Return how many descriptors the host has open."""
        return len(os.listdir(f"/proc/{self.host.pid}/fd"))

    async def close(self) -> None:
        if self.host is not None and self.host.returncode is None:
            self.host.kill()
            self.host.communicate()
        await super().close()
        self._folder.cleanup()
