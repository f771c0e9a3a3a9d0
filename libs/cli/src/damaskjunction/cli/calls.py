"""Commands that call services: ``addresses``, ``generate`` and ``call``."""

from __future__ import annotations

import argparse
import json
import sys
from pathlib import Path
from typing import Any
from urllib.parse import quote

from damaskjunction.cli.client import (
    HostClient,
    add_host_arguments,
    add_key_argument,
    run_coroutine,
)
from damaskjunction.cli.command import CommandError, ExitCode, register_command
from damaskjunction.cli.output import print_json

EXIT_CODE_BY_OUTCOME = {"not_run": ExitCode.NOT_RUN, "unknown": ExitCode.UNKNOWN}


@register_command(
    "addresses",
    "Print the addresses for callers to use; --json adds their time to live.",
    add_host_arguments,
    "damaskjunction addresses --host 127.0.0.1:7000",
)
def run_addresses(arguments: argparse.Namespace) -> int:
    """Print the addresses for callers to use."""

    async def fetch() -> Any:
        client = HostClient(arguments)
        try:
            return (await client.send("GET", "/v1/addresses")).to_json()
        finally:
            client.close()

    document = run_coroutine(fetch())
    if arguments.json:
        print_json(document)
    else:
        print("\n".join(document["addresses"]))
    return ExitCode.OK


def _add_generate_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("service", help="name of an engine service")
    parser.add_argument("prompt", help="the prompt; - reads standard input")
    parser.add_argument("--max-tokens", type=int, default=64)
    parser.add_argument(
        "--deadline-s",
        type=float,
        help="seconds until the request times out (default: that of the service)",
    )
    add_host_arguments(parser)
    add_key_argument(parser)


@register_command(
    "generate",
    "Generate text with a model engine and print it as it is streamed.",
    _add_generate_arguments,
    'damaskjunction generate caddie-llm "May I move a loose impediment?"',
)
def run_generate(arguments: argparse.Namespace) -> int:
    """Print the tokens of an engine's response as they arrive."""
    return run_coroutine(_generate(arguments))


async def _generate(arguments: argparse.Namespace) -> int:
    prompt = sys.stdin.read() if arguments.prompt == "-" else arguments.prompt
    document = {"prompt": prompt, "max_tokens": arguments.max_tokens}
    if arguments.deadline_s is not None:
        document["deadline_s"] = arguments.deadline_s
    client = HostClient(arguments)
    target = f"/v1/services/{quote(arguments.service, safe='')}/generate"
    try:
        body = json.dumps(document).encode()
        async for event in client.stream("POST", target, body=body):
            data = json.loads(event.data)
            if event.name == "error":
                code = EXIT_CODE_BY_OUTCOME.get(data["outcome"], ExitCode.FAILED)
                raise CommandError(code, f"{data['reason']}: {data['detail']}")
            if arguments.json:
                print(json.dumps({"event": event.name, **data}), flush=True)
            elif event.name == "token":
                print(data["text"], end="", flush=True)
    finally:
        client.close()
    if not arguments.json:
        print()
    return ExitCode.OK


def _add_call_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("service", help="name of a plain service")
    parser.add_argument("path", help="path of the call, such as /battery/7")
    parser.add_argument(
        "--body", default="", help="request body; @FILE reads it from a file"
    )
    parser.add_argument(
        "--idempotency-key",
        help="key under which repeated submissions run the call only once",
    )
    add_host_arguments(parser)
    add_key_argument(parser)


@register_command(
    "call",
    "Call a plain service and print the response body.",
    _add_call_arguments,
    "damaskjunction call fleet-api /pickup --body @pickup.json "
    "--idempotency-key order-7",
)
def run_call(arguments: argparse.Namespace) -> int:
    """Call a plain service and print the response body."""
    body: str = arguments.body
    data = Path(body[1:]).read_bytes() if body.startswith("@") else body.encode()
    headers = {}
    if arguments.idempotency_key:
        headers["Idempotency-Key"] = arguments.idempotency_key
    service = quote(arguments.service, safe="")
    target = f"/v1/services/{service}/call/{quote(arguments.path.lstrip('/'))}"

    async def send() -> bytes:
        client = HostClient(arguments)
        try:
            response = await client.send("POST", target, body=data, headers=headers)
            return response.body
        finally:
            client.close()

    sys.stdout.write(run_coroutine(send()).decode(errors="replace"))
    return ExitCode.OK
