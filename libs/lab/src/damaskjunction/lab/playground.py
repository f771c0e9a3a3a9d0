"""A fleet for trying out the command line, which runs until interrupted."""

from __future__ import annotations

import asyncio
import signal
from pathlib import Path

import yaml

from damaskjunction.standins import CALLER_KEY, DeployedFleet, deployments

ITEMS = (
    '{"prompt": "faults of cart 1", "max_tokens": 8}\n'
    '{"prompt": "faults of cart 2", "max_tokens": 8}\n'
)


async def run_playground(name: str) -> None:
    """Start a deployment, print example commands and wait for SIGINT or SIGTERM."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, stop.set)
    deployed = DeployedFleet(deployments.get(name))
    try:
        await deployed.start()
        _write_files(deployed)
        _print_commands(deployed)
        await stop.wait()
    finally:
        await deployed.close()


def _write_files(deployed: DeployedFleet) -> None:
    folder = deployed.fleet.folder
    text = yaml.safe_dump(dict(deployed.deployment.configuration), sort_keys=False)
    (folder / "fleet.yaml").write_text(text)
    (folder / "key").write_text(CALLER_KEY)
    (folder / "items.jsonl").write_text(ITEMS)


def _print_commands(deployed: DeployedFleet) -> None:
    folder: Path = deployed.fleet.folder
    first = next(iter(deployed.hosts_by_id.values()))
    engine_service = next(
        service
        for service, document in deployed.deployment.configuration["services"].items()
        if document["kind"] == "engine"
    )
    print(
        f"""\
{len(deployed.hosts_by_id)} hosts and {len(deployed.runners_by_id)} runners are running.
In another shell with the virtual environment active:

export DAMASKJUNCTION_HOST={first.caller}
export DAMASKJUNCTION_KEY_FILE={folder}/key
damaskjunction check {folder}/fleet.yaml
damaskjunction apply {folder}/fleet.yaml --wait
damaskjunction status
damaskjunction generate {engine_service} "May I move a loose impediment?"
damaskjunction submit {engine_service} {folder}/items.jsonl --key night-1 --wait
damaskjunction results JOB
damaskjunction dump

Press Ctrl-C to stop the fleet.""",
        flush=True,
    )
