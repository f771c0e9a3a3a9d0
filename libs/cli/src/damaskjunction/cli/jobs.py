"""Commands for batch jobs: ``submit``, ``jobs``, ``results`` and ``cancel``."""

from __future__ import annotations

import argparse
import asyncio
import json
from pathlib import Path
from typing import Any
from urllib.parse import quote, urlencode

from damaskjunction.cli.client import (
    HostClient,
    add_host_arguments,
    add_key_argument,
    run_coroutine,
)
from damaskjunction.cli.command import ExitCode, register_command
from damaskjunction.cli.output import (
    clear_progress,
    print_json,
    print_progress,
    print_table,
)

POLL_INTERVAL_S = 1.0
RUNNING = "running"


def _job_path(job: str) -> str:
    return f"/v1/jobs/{quote(job, safe='')}"


def _add_submit_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("service", help="the engine service that runs the items")
    parser.add_argument(
        "items", type=Path, help="JSON Lines file with one item per line"
    )
    parser.add_argument(
        "--key",
        required=True,
        help="idempotency key: a repeated submission returns the same job",
    )
    parser.add_argument(
        "--deadline-s", type=float, help="seconds until the job must be complete"
    )
    parser.add_argument(
        "--wait", action="store_true", help="wait until the job has ended"
    )
    add_host_arguments(parser)
    add_key_argument(parser)


@register_command(
    "submit",
    "Submit a batch job; a repeated submission with the same key returns that job.",
    _add_submit_arguments,
    "damaskjunction submit caddie-llm faults.jsonl --key night-1 --deadline-s 28800",
)
def run_submit(arguments: argparse.Namespace) -> int:
    """Submit a job and print its state."""
    return run_coroutine(_submit(arguments))


async def _submit(arguments: argparse.Namespace) -> int:
    query = {"service": arguments.service, "key": arguments.key}
    if arguments.deadline_s is not None:
        query["deadline_s"] = str(arguments.deadline_s)
    client = HostClient(arguments)
    try:
        body = arguments.items.read_bytes()
        response = await client.send("POST", f"/v1/jobs?{urlencode(query)}", body=body)
        job = response.to_json()
        if arguments.wait:
            job = await _wait_until_ended(client, job["job_id"])
    finally:
        client.close()
    _print_job(job, as_json=arguments.json)
    return ExitCode.OK


async def _wait_until_ended(client: HostClient, job_id: str) -> dict[str, Any]:
    while True:
        response = await client.send("GET", _job_path(job_id))
        job: dict[str, Any] = response.to_json()
        if job["state"] != RUNNING:
            clear_progress()
            return job
        print_progress(f"{job['n_done']} of {job['n_items']} items done")
        await asyncio.sleep(POLL_INTERVAL_S)


def _print_job(job: dict[str, Any], *, as_json: bool) -> None:
    if as_json:
        print_json(job)
        return
    for key, value in job.items():
        print(f"{key}: {value}")


def _add_jobs_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("job", nargs="?", help="id of the only job to show")
    add_host_arguments(parser)
    add_key_argument(parser)


@register_command(
    "jobs",
    "List the workspace's jobs, or show one job's progress and forecast.",
    _add_jobs_arguments,
    "damaskjunction jobs",
    "damaskjunction jobs 8cd9f4a435752d53ec70764d",
)
def run_jobs(arguments: argparse.Namespace) -> int:
    """Print a table of the jobs, or one job."""
    if arguments.job:
        job = _request_json(arguments, "GET", _job_path(arguments.job))
        _print_job(job, as_json=arguments.json)
        return ExitCode.OK
    document = _request_json(arguments, "GET", "/v1/jobs")
    if arguments.json:
        print_json(document)
        return ExitCode.OK
    headings = ("job_id", "key", "service", "state", "n_done", "n_items")
    rows = [[job.get(key, "") for key in headings] for job in document["jobs"]]
    print_table(headings, rows)
    return ExitCode.OK


def _add_job_id_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("job")
    add_host_arguments(parser)
    add_key_argument(parser)


@register_command(
    "results",
    "Print the results that a job has so far, as JSON Lines.",
    _add_job_id_arguments,
    "damaskjunction results 8cd9f4a435752d53ec70764d > results.jsonl",
)
def run_results(arguments: argparse.Namespace) -> int:
    """Fetch a job's results page by page and print them."""
    return run_coroutine(_print_results(arguments))


async def _print_results(arguments: argparse.Namespace) -> int:
    client = HostClient(arguments)
    after = -1
    try:
        while True:
            target = f"{_job_path(arguments.job)}/results?after={after}"
            document = (await client.send("GET", target)).to_json()
            for result in document["results"]:
                print(json.dumps(result))
            if document["is_end"] or not document["results"]:
                return ExitCode.OK
            after = document["after"]
    finally:
        client.close()


@register_command(
    "cancel",
    "Cancel a job; the results it has so far can still be fetched.",
    _add_job_id_arguments,
    "damaskjunction cancel 8cd9f4a435752d53ec70764d",
)
def run_cancel(arguments: argparse.Namespace) -> int:
    """Cancel a job and print its state."""
    job = _request_json(arguments, "DELETE", _job_path(arguments.job))
    _print_job(job, as_json=arguments.json)
    return ExitCode.OK


def _request_json(arguments: argparse.Namespace, method: str, target: str) -> Any:
    async def request() -> Any:
        client = HostClient(arguments)
        try:
            return (await client.send(method, target)).to_json()
        finally:
            client.close()

    return run_coroutine(request())
