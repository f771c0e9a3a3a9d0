"""Process management on loopback for tests, experiments and the demo."""

from __future__ import annotations

import asyncio
import json
import signal
import sys
import tempfile
from collections.abc import Awaitable, Callable, Mapping, Sequence
from pathlib import Path
from typing import Any, NamedTuple

from damaskjunction.core import Address, LoopTimers
from damaskjunction.core.types import EMPTY
from damaskjunction.http import (
    BrokenResponseError,
    ConnectFailedError,
    Event,
    EventParser,
    HttpClient,
)

POLL_INTERVAL_S = 0.05
START_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 20.0


class ProcessSpec(NamedTuple):
    """Unique name of a process and the arguments of ``python -m`` that start it."""

    name: str
    arguments: tuple[str, ...]


class BufferedResponse(NamedTuple):
    """An HTTP response whose body was read completely."""

    status: int
    headers: Mapping[str, str]
    body: bytes

    def to_json(self) -> Any:
        """Return the body parsed as JSON."""
        return json.loads(self.body)


class CommandResult(NamedTuple):
    """Exit code, standard output and standard error of a command that exited."""

    exit_code: int
    stdout: str
    stderr: str


async def run_command(*arguments: str) -> CommandResult:
    """Run the ``damaskjunction`` command and wait until it exits."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "damaskjunction.cli",
        *arguments,
        stdin=asyncio.subprocess.DEVNULL,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE,
    )
    output, errors = await process.communicate()
    return CommandResult(process.returncode or 0, output.decode(), errors.decode())


class Fleet:
    """Child processes by name, their addresses, and HTTP calls to them.

    A fleet owns its processes: it kills only those that ``start`` created.
    """

    def __init__(self) -> None:
        self.timers = LoopTimers()
        self.client = HttpClient(self.timers)
        self._folder = tempfile.TemporaryDirectory(prefix="damaskjunction-")
        self.folder = Path(self._folder.name)
        self._specs_by_name: dict[str, ProcessSpec] = {}
        self._processes_by_name: dict[str, asyncio.subprocess.Process] = {}
        self.addresses_by_name: dict[str, Address] = {}

    async def close(self) -> None:
        """Kill every process of the fleet and delete its folder."""
        self.client.close()
        for process in self._processes_by_name.values():
            if process.returncode is None:
                process.kill()
        for process in self._processes_by_name.values():
            await process.wait()
        self._folder.cleanup()

    async def start(self, spec: ProcessSpec) -> None:
        """Start a process; its output is appended to ``NAME.log`` in ``folder``."""
        self._specs_by_name[spec.name] = spec
        with (self.folder / f"{spec.name}.log").open("ab") as log:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                *spec.arguments,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                # The end of a shell hangs up on frozen processes of its group.
                process_group=0,
            )
        self._processes_by_name[spec.name] = process

    async def restart(self, name: str) -> None:
        """Start an exited process again, with the same arguments."""
        await self.start(self._specs_by_name[name])

    def is_running(self, name: str) -> bool:
        """Return whether a process has not exited."""
        return self._processes_by_name[name].returncode is None

    def pid_of(self, name: str) -> int:
        """Return the process id of a process."""
        return self._processes_by_name[name].pid

    def log_of(self, name: str) -> str:
        """Return what a process has written to its log file."""
        return (self.folder / f"{name}.log").read_text(errors="replace")

    async def kill(self, name: str) -> None:
        """Send SIGKILL to a process and wait until it exits."""
        process = self._processes_by_name[name]
        if process.returncode is None:
            process.kill()
        await process.wait()

    async def stop(self, name: str) -> int:
        """Send SIGTERM to a process, wait until it exits and return its exit code."""
        self.terminate(name)
        return await self.wait(name)

    def terminate(self, name: str) -> None:
        """Send SIGTERM to a process."""
        self._processes_by_name[name].terminate()

    async def wait(self, name: str) -> int:
        """Wait until a process that was told to stop exits and return its exit code.

        Raises
        ------
        TimeoutError
            When it has not exited after ``STOP_TIMEOUT_S``.
        """
        async with asyncio.timeout(STOP_TIMEOUT_S):
            return await self._processes_by_name[name].wait()

    def freeze(self, name: str) -> None:
        """Suspend a process (SIGSTOP) until ``resume``."""
        self._send_signal(name, signal.SIGSTOP)

    def resume(self, name: str) -> None:
        """Resume a frozen process (SIGCONT)."""
        self._send_signal(name, signal.SIGCONT)

    def _send_signal(self, name: str, signal_number: signal.Signals) -> None:
        process = self._processes_by_name[name]
        if process.returncode is not None:
            message = f"{name} had exited with code {process.returncode}"
            raise RuntimeError(f"{message}: {self.log_of(name)[-2000:]}")
        process.send_signal(signal_number)

    async def call(
        self,
        name: str,
        method: str,
        target: str,
        *,
        document: object = None,
        body: bytes = b"",
        headers: Mapping[str, str] = EMPTY,
        stall_s: float = 20.0,
    ) -> BufferedResponse:
        """Send a request to a process of the fleet and return the complete response.

        ``document`` is sent as JSON in place of ``body``. The call fails after
        ``stall_s`` seconds without received data.
        """
        if document is not None:
            body = json.dumps(document).encode()
        response = await self.client.send(
            self.addresses_by_name[name],
            method,
            target,
            headers=headers,
            body=body,
            stall_s=stall_s,
        )
        return BufferedResponse(
            response.status, response.headers, await response.read()
        )

    async def wait_for(
        self,
        condition: Callable[[], Awaitable[bool]],
        description: str,
        timeout_s: float = START_TIMEOUT_S,
    ) -> None:
        """Poll a condition until it holds.

        A connection that fails counts as a condition that does not hold.

        Raises
        ------
        TimeoutError
            When it does not hold within ``timeout_s``; the message has ``description``.
        """
        deadline_s = self.timers.now() + timeout_s
        while self.timers.now() < deadline_s:
            try:
                if await condition():
                    return
            except (ConnectFailedError, BrokenResponseError):
                pass  # the process is still starting or was stopped on purpose
            await asyncio.sleep(POLL_INTERVAL_S)
        raise TimeoutError(f"timed out after {timeout_s:g} s: {description}")

    async def wait_until_responding(self, names: Sequence[str]) -> None:
        """Wait until every process responds to HTTP requests.

        Raises
        ------
        RuntimeError
            When a process exits instead; the message has the end of its log.
        TimeoutError
            When a process does not respond in time.
        """
        for name in names:

            async def responds(name: str = name) -> bool:
                if not self.is_running(name):
                    raise RuntimeError(f"{name} exited: {self.log_of(name)[-2000:]}")
                return (await self.call(name, "GET", "/")).status > 0

            await self.wait_for(responds, f"{name} responds")


def parse_events(body: bytes) -> list[Event]:
    """Return the server-sent events in a complete body."""
    return EventParser().feed(body)
