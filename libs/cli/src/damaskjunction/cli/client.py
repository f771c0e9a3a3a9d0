"""Client for a host's HTTP API, and the arguments for its address and credentials."""

from __future__ import annotations

import argparse
import asyncio
import json
import os
from collections.abc import AsyncIterator, Coroutine, Mapping
from pathlib import Path
from typing import Any, NamedTuple, TypeVar

from damaskjunction.cli.command import CommandError, ExitCode
from damaskjunction.core import Address, LoopTimers
from damaskjunction.core.types import EMPTY
from damaskjunction.http import (
    BrokenResponseError,
    ClientResponse,
    ConnectFailedError,
    Event,
    EventParser,
    HttpClient,
)

T = TypeVar("T")

HOST_VARIABLE = "DAMASKJUNCTION_HOST"
KEY_FILE_VARIABLE = "DAMASKJUNCTION_KEY_FILE"
TOKEN_FILE_VARIABLE = "DAMASKJUNCTION_TOKEN_FILE"

EXIT_CODE_BY_STATUS: Mapping[int, ExitCode] = {
    409: ExitCode.CONFLICT,
    422: ExitCode.FINDINGS,
    503: ExitCode.NOT_RUN,
    504: ExitCode.UNKNOWN,
}


class HostResponse(NamedTuple):
    """A complete response of a host."""

    status: int
    headers: Mapping[str, str]
    body: bytes

    def to_json(self) -> Any:
        """Return the body parsed as JSON."""
        return json.loads(self.body)


def add_host_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the arguments for the host's address and the output format."""
    parser.add_argument(
        "--host",
        metavar="IP:PORT",
        default=os.environ.get(HOST_VARIABLE),
        help=f"a host's address for callers (default: ${HOST_VARIABLE})",
    )
    parser.add_argument("--json", action="store_true", help="print JSON")


def add_key_argument(parser: argparse.ArgumentParser) -> None:
    """Add the argument for the file with a workspace's key."""
    parser.add_argument(
        "--key-file",
        metavar="FILE",
        default=os.environ.get(KEY_FILE_VARIABLE),
        help=f"file with the workspace's key (default: ${KEY_FILE_VARIABLE})",
    )


def add_token_argument(parser: argparse.ArgumentParser) -> None:
    """Add the argument for the file with the administration token."""
    parser.add_argument(
        "--token-file",
        metavar="FILE",
        default=os.environ.get(TOKEN_FILE_VARIABLE),
        help=f"file with the administration token (default: ${TOKEN_FILE_VARIABLE})",
    )


class HostClient:
    """HTTP client of one host, with the credentials from the command-line arguments.

    Parameters
    ----------
    arguments : argparse.Namespace
        Parsed arguments: ``host``, and optionally ``key_file`` or ``token_file``.
    """

    def __init__(self, arguments: argparse.Namespace) -> None:
        self._address = _host_address(arguments)
        self._headers = _credentials(arguments)
        self._client = HttpClient(LoopTimers())

    async def send(
        self,
        method: str,
        target: str,
        *,
        body: bytes = b"",
        headers: Mapping[str, str] = EMPTY,
    ) -> HostResponse:
        """Send a request and return the complete response.

        Raises
        ------
        CommandError
            When the host is unreachable, aborts the response or responds with an error.
        """
        client_response = await self._open(method, target, body, headers)
        try:
            response = HostResponse(
                client_response.status,
                client_response.headers,
                await client_response.read(),
            )
        except BrokenResponseError as error:
            raise CommandError(ExitCode.UNKNOWN, str(error)) from None
        if response.status >= 400:
            raise _response_error(response)
        return response

    async def stream(
        self, method: str, target: str, *, body: bytes = b""
    ) -> AsyncIterator[Event]:
        """Send a request and yield the server-sent events of the response.

        Raises
        ------
        CommandError
            When the host is unreachable, aborts the response or responds with an error.
        """
        client_response = await self._open(method, target, body, EMPTY)
        try:
            if client_response.status >= 400:
                body = await client_response.read()
                raise _response_error(
                    HostResponse(client_response.status, client_response.headers, body)
                )
            parser = EventParser()
            async for data in client_response.chunks():
                for event in parser.feed(data):
                    yield event
        except BrokenResponseError as error:
            raise CommandError(ExitCode.UNKNOWN, str(error)) from None
        finally:
            client_response.close()

    def close(self) -> None:
        """Close all connections."""
        self._client.close()

    async def _open(
        self, method: str, target: str, body: bytes, headers: Mapping[str, str]
    ) -> ClientResponse:
        try:
            return await self._client.send(
                self._address,
                method,
                target,
                headers={**self._headers, **headers},
                body=body,
            )
        except ConnectFailedError as error:
            hint = "is the host running, and is --host its address for callers?"
            raise CommandError(ExitCode.NOT_RUN, f"{error}; {hint}") from None
        except BrokenResponseError as error:
            raise CommandError(ExitCode.UNKNOWN, str(error)) from None


def run_coroutine(coroutine: Coroutine[Any, Any, T]) -> T:
    """Run a coroutine to completion on a new event loop and return its result."""
    return asyncio.run(coroutine)


def _host_address(arguments: argparse.Namespace) -> Address:
    if not arguments.host:
        message = f"no host: give --host IP:PORT or set {HOST_VARIABLE}"
        raise CommandError(ExitCode.USAGE, message)
    try:
        return Address.from_text(arguments.host)
    except ValueError as error:
        raise CommandError(ExitCode.USAGE, f"--host: {error}") from None


def _credentials(arguments: argparse.Namespace) -> Mapping[str, str]:
    path = getattr(arguments, "key_file", None) or getattr(
        arguments, "token_file", None
    )
    if path is None:
        return EMPTY
    return {"Authorization": f"Bearer {Path(path).read_text().strip()}"}


def _response_error(response: HostResponse) -> CommandError:
    code = EXIT_CODE_BY_STATUS.get(response.status, ExitCode.FAILED)
    try:
        error = response.to_json()["error"]
    except (ValueError, KeyError, TypeError):
        return CommandError(code, f"the host responded with status {response.status}")
    lines = [f"{error.get('reason', 'error')}: {error.get('detail', '')}".rstrip(": ")]
    lines += [str(finding) for finding in error.get("findings", ())]
    if error.get("retry_after_s"):
        lines.append(f"try again in {error['retry_after_s']:g} s")
    return CommandError(code, "\n".join(lines))
