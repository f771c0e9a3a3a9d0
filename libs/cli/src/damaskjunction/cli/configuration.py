"""Commands for the configuration: ``check``, ``apply``, ``text`` and ``status``."""

from __future__ import annotations

import argparse
import asyncio
import getpass
import sys
from pathlib import Path
from typing import Any
from urllib.parse import urlencode

from damaskjunction.cli.client import (
    HostClient,
    add_host_arguments,
    add_token_argument,
    run_coroutine,
)
from damaskjunction.cli.command import CommandError, ExitCode, register_command
from damaskjunction.cli.output import (
    clear_progress,
    print_json,
    print_progress,
    print_table,
)
from damaskjunction.core import Configuration
from damaskjunction.node.admin.registered_names import check_registered_names
from damaskjunction.settings import read_configuration

STATUS_POLL_INTERVAL_S = 0.2
DEFAULT_WAIT_TIMEOUT_S = 30.0


def _load_configuration(path: Path) -> Configuration:
    text = path.read_text()
    configuration = read_configuration(text, path.name)
    check_registered_names(configuration, text, path.name)
    return configuration


def _add_check_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("text", type=Path, help="configuration file")


@register_command(
    "check",
    "Check a configuration and print every finding with its line and key.",
    _add_check_arguments,
    "damaskjunction check fleet.yaml",
)
def run_check(arguments: argparse.Namespace) -> int:
    """Check a configuration file locally, without a host."""
    configuration = _load_configuration(arguments.text)
    n_services = len(configuration.services_by_name)
    n_workspaces = len(configuration.workspaces_by_name)
    print(
        f"{arguments.text.name}: no findings; "
        f"{n_services} services, {n_workspaces} workspaces"
    )
    return ExitCode.OK


def _add_apply_arguments(parser: argparse.ArgumentParser) -> None:
    _add_check_arguments(parser)
    add_host_arguments(parser)
    add_token_argument(parser)
    parser.add_argument(
        "--expect",
        type=int,
        metavar="REVISION",
        help="revision to replace; 0 if there is none yet (default: the newest)",
    )
    parser.add_argument(
        "--wait",
        action="store_true",
        help="wait until the revision is active on every host",
    )
    parser.add_argument(
        "--timeout-s",
        type=float,
        default=DEFAULT_WAIT_TIMEOUT_S,
        help="limit of --wait, in seconds",
    )


@register_command(
    "apply",
    "Check a configuration and make it the active one.",
    _add_apply_arguments,
    "damaskjunction apply fleet.yaml --expect 12 --wait",
)
def run_apply(arguments: argparse.Namespace) -> int:
    """Check a configuration file and submit it to a host."""
    _load_configuration(arguments.text)
    return run_coroutine(_apply(arguments))


async def _apply(arguments: argparse.Namespace) -> int:
    client = HostClient(arguments)
    try:
        expected = arguments.expect
        if expected is None:
            expected = await _newest_revision(client)
        query = urlencode({"source": arguments.text.name, "editor": getpass.getuser()})
        response = await client.send(
            "PUT",
            f"/v1/configuration?{query}",
            body=arguments.text.read_bytes(),
            headers={"If-Match": str(expected)},
        )
        revision = response.to_json()["revision"]
        if arguments.wait:
            await _wait_until_active(client, revision, arguments.timeout_s)
    finally:
        client.close()
    if arguments.json:
        print_json({"revision": revision, "in_force": bool(arguments.wait)})
    else:
        state = "active on every host" if arguments.wait else "accepted"
        print(f"revision {revision} is {state}")
    return ExitCode.OK


async def _newest_revision(client: HostClient) -> int:
    try:
        response = await client.send("GET", "/v1/configuration")
    except CommandError as error:
        if str(error).startswith("no_configuration"):
            return 0
        raise
    return int(response.headers["revision"])


async def _wait_until_active(
    client: HostClient, revision: int, timeout_s: float
) -> None:
    outdated: list[str] = []
    try:
        async with asyncio.timeout(timeout_s):
            while True:
                document = (await client.send("GET", "/v1/status")).to_json()
                outdated = _outdated_hosts(document, revision)
                if not outdated:
                    return
                print_progress(
                    f"{len(outdated)} hosts do not use revision {revision} yet"
                )
                await asyncio.sleep(STATUS_POLL_INTERVAL_S)
    except TimeoutError:
        message = (
            f"revision {revision} is accepted but not yet active on: "
            f"{', '.join(outdated)}"
        )
        raise CommandError(ExitCode.TIMED_OUT, message) from None
    finally:
        clear_progress()


def _outdated_hosts(document: dict[str, Any], revision: int) -> list[str]:
    """Return the hosts without a revision, except those that are leaving."""
    return [
        host["host_id"]
        for host in document["hosts"]
        if host["configuration_revision"] < revision and host["state"] != "leaving"
    ]


def _add_operator_arguments(parser: argparse.ArgumentParser) -> None:
    add_host_arguments(parser)
    add_token_argument(parser)


@register_command(
    "text",
    "Print the stored configuration; its revision goes to standard error.",
    _add_operator_arguments,
    "damaskjunction text > fleet.yaml",
)
def run_text(arguments: argparse.Namespace) -> int:
    """Print the stored configuration and its revision."""
    response = run_coroutine(_get(arguments, "/v1/configuration"))
    text = response.body.decode()
    revision = int(response.headers["revision"])
    if arguments.json:
        print_json({"revision": revision, "text": text})
    else:
        print(text, end="")
        print(f"revision {revision}", file=sys.stderr)
    return ExitCode.OK


@register_command(
    "status",
    "Show each host's state and revisions; --json adds each runner's service.",
    _add_operator_arguments,
    "damaskjunction status",
)
def run_status(arguments: argparse.Namespace) -> int:
    """Print a table of the hosts with their state and revisions."""
    document = run_coroutine(_get(arguments, "/v1/status")).to_json()
    if arguments.json:
        print_json(document)
        return ExitCode.OK
    revision = document["revision"]
    outdated = _outdated_hosts(document, revision)
    n_hosts = len(document["hosts"])
    print(
        f"revision {revision}: active on {n_hosts - len(outdated)} of {n_hosts} hosts"
    )
    rows = [
        (
            host["host_id"],
            host["state"],
            host["configuration_revision"],
            host["plan_revision"],
        )
        for host in document["hosts"]
    ]
    print_table(("host", "state", "configuration", "plan"), rows)
    return ExitCode.OK


async def _get(arguments: argparse.Namespace, target: str) -> Any:
    client = HostClient(arguments)
    try:
        return await client.send("GET", target)
    finally:
        client.close()
