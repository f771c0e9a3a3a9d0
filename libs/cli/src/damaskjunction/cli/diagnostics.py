"""Commands that inspect a host's process: ``dump``, ``metrics`` and ``log-level``."""

from __future__ import annotations

import argparse
import json
from typing import Any

from damaskjunction.cli.client import (
    HostClient,
    HostResponse,
    add_host_arguments,
    add_token_argument,
    run_coroutine,
)
from damaskjunction.cli.command import ExitCode, register_command
from damaskjunction.cli.output import print_json


def _add_dump_arguments(parser: argparse.ArgumentParser) -> None:
    add_host_arguments(parser)
    add_token_argument(parser)
    parser.add_argument("--section", help="print only this section")


@register_command(
    "dump",
    "Print the internal state of a host's process as JSON.",
    _add_dump_arguments,
    "damaskjunction dump --section runners",
)
def run_dump(arguments: argparse.Namespace) -> int:
    """Print a host's internal state, or one section of it."""
    document: dict[str, Any] = run_coroutine(
        _send(arguments, "GET", "/v1/dump")
    ).to_json()
    if arguments.section:
        print_json(document.get(arguments.section))
    else:
        print_json(document)
    return ExitCode.OK


def _add_metrics_arguments(parser: argparse.ArgumentParser) -> None:
    add_host_arguments(parser)
    add_token_argument(parser)


@register_command(
    "metrics",
    "Print the metrics of a host's process.",
    _add_metrics_arguments,
    "damaskjunction metrics",
)
def run_metrics(arguments: argparse.Namespace) -> int:
    """Print a host's metrics as text or JSON."""
    text = run_coroutine(_send(arguments, "GET", "/metrics")).body.decode()
    if arguments.json:
        pairs = (line.rpartition(" ") for line in text.splitlines())
        print_json({name: float(value) for name, _, value in pairs})
    else:
        print(text, end="")
    return ExitCode.OK


def _add_log_level_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("level", choices=("debug", "info", "warning", "error"))
    add_host_arguments(parser)
    add_token_argument(parser)


@register_command(
    "log-level",
    "Change the log level of a host's process.",
    _add_log_level_arguments,
    "damaskjunction log-level debug",
)
def run_log_level(arguments: argparse.Namespace) -> int:
    """Change a host's log level until it restarts."""
    body = json.dumps({"level": arguments.level}).encode()
    run_coroutine(_send(arguments, "PUT", "/v1/log-level", body))
    print(f"log level is {arguments.level}")
    return ExitCode.OK


async def _send(
    arguments: argparse.Namespace, method: str, target: str, body: bytes = b""
) -> HostResponse:
    client = HostClient(arguments)
    try:
        return await client.send(method, target, body=body)
    finally:
        client.close()
