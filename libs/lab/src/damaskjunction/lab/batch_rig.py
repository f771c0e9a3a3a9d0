"""Fleet harness for batch experiments: submission, fault injection and checks."""

from __future__ import annotations

import asyncio
import json
import random
from collections.abc import Mapping, Sequence
from typing import Any, NamedTuple

from damaskjunction.http import BrokenResponseError, ConnectFailedError
from damaskjunction.standins import (
    CALLER_KEY,
    BufferedResponse,
    DeployedFleet,
    deployments,
    token_text,
)

AUTHORIZATION = {"Authorization": f"Bearer {CALLER_KEY}"}
SERVICE = "caddie-llm"
RESULTS_PAGE_SIZE = 2000
POLL_INTERVAL_S = 0.3
RETRY_DELAY_S = 0.3
MAX_ATTEMPTS = 200
ACCEPTED_STATUSES = (200, 201)


class SubmittedJob(NamedTuple):
    """A job as submitted; ``n_tokens`` is the number of tokens of each item."""

    job_id: str
    key: str
    prompts: tuple[str, ...]
    n_tokens: int
    body: bytes


class BatchRig:
    """Runs a deployment as processes and submits batch jobs to it.

    Parameters
    ----------
    name : str
        Registered name of the deployment.
    batch : mapping
        Overrides for the ``batch`` section of the configuration.
    engine_arguments : tuple of str, optional
        Additional command-line arguments of each engine.
    seed : int, optional
        Seed of the random choice of a host for each call.
    """

    def __init__(
        self,
        name: str,
        batch: Mapping[str, Any],
        engine_arguments: tuple[str, ...] = (),
        *,
        seed: int = 1,
    ) -> None:
        deployment = deployments.get(name)
        section = {**deployment.configuration.get("batch", {}), **batch}
        configuration = {**deployment.configuration, "batch": section}
        self.deployed = DeployedFleet(
            deployment._replace(configuration=configuration), engine_arguments
        )
        self.fleet = self.deployed.fleet
        self.rng = random.Random(seed)
        self.results_by_job: dict[str, dict[int, Any]] = {}
        self.n_changed = 0

    async def start(self) -> None:
        """Start the fleet and wait until its configuration is active."""
        try:
            await self.deployed.start()
            response = await self.deployed.apply_configuration()
            await self.deployed.wait_until_serving(response.to_json()["revision"])
        except BaseException:
            await self.close()
            raise

    async def close(self) -> None:
        """Stop all processes of the fleet."""
        await self.deployed.close()

    @property
    def hosts(self) -> list[str]:
        """Ids of all entry hosts."""
        return list(self.deployed.hosts_by_id)

    @property
    def engines(self) -> list[str]:
        """Ids of all model engines."""
        runners = self.deployed.runners_by_id.values()
        return [runner.runner_id for runner in runners if not runner.service]

    async def call(
        self, method: str, target: str, *, host: str = "", body: bytes = b""
    ) -> BufferedResponse:
        """Call ``host``, or a random one; retry at random hosts on failure or 5xx.

        Raises
        ------
        TimeoutError
            When all attempts failed.
        """
        for _ in range(MAX_ATTEMPTS):
            name = host or self.rng.choice(self.hosts)
            host = ""
            try:
                response = await self.fleet.call(
                    name, method, target, body=body, headers=AUTHORIZATION, stall_s=12.0
                )
            except (ConnectFailedError, BrokenResponseError):
                await asyncio.sleep(RETRY_DELAY_S)
                continue
            if response.status < 500:
                return response
            await asyncio.sleep(RETRY_DELAY_S)
        raise TimeoutError(
            f"{method} {target} failed at each of {MAX_ATTEMPTS} attempts"
        )

    async def submit(
        self,
        key: str,
        n_items: int,
        *,
        n_tokens: int = 4,
        deadline_s: float = 3600.0,
        host: str = "",
    ) -> SubmittedJob:
        """Submit a job, with retries, and return it with its id.

        Raises
        ------
        RuntimeError
            When a host refuses the job.
        """
        job = self.make_job(key, n_items, n_tokens)
        target = f"/v1/jobs?service={SERVICE}&key={key}&deadline_s={deadline_s}"
        response = await self.call("POST", target, host=host, body=job.body)
        if response.status not in ACCEPTED_STATUSES:
            raise RuntimeError(f"job with key {key!r} was refused: {response}")
        return job._replace(job_id=response.to_json()["job_id"])

    def make_job(self, key: str, n_items: int, n_tokens: int = 4) -> SubmittedJob:
        """Return a job that is not submitted yet; its ``job_id`` is empty."""
        prompts = tuple(f"{key} faults of cart {number}" for number in range(n_items))
        lines = (json.dumps({"prompt": p, "max_tokens": n_tokens}) for p in prompts)
        return SubmittedJob("", key, prompts, n_tokens, "\n".join(lines).encode())

    async def job_status(self, job: SubmittedJob) -> dict[str, Any]:
        """Return the status document of a job."""
        response = await self.call("GET", f"/v1/jobs/{job.job_id}")
        document: dict[str, Any] = response.to_json()
        return document

    async def read_results(self, job: SubmittedJob) -> dict[int, Any]:
        """Return all results so far.

        ``n_changed`` counts the results that are repeated, or changed since the last
        read.
        """
        results: dict[int, Any] = {}
        after = -1
        while True:
            target = (
                f"/v1/jobs/{job.job_id}/results?after={after}&limit={RESULTS_PAGE_SIZE}"
            )
            page = (await self.call("GET", target)).to_json()
            for result in page["results"]:
                self.n_changed += result["index"] in results
                results[result["index"]] = result
            if page["is_end"] or not page["results"]:
                break
            after = page["after"]
        previous = self.results_by_job.setdefault(job.job_id, {})
        self.n_changed += sum(
            results.get(i, previous[i]) != previous[i] for i in previous
        )
        previous.update(results)
        return results

    async def wait_until_complete(
        self, jobs: Sequence[SubmittedJob], timeout_s: float
    ) -> bool:
        """Return whether all jobs are complete within ``timeout_s`` seconds."""
        deadline_at_s = self.fleet.timers.now() + timeout_s
        incomplete_jobs = list(jobs)
        while incomplete_jobs and self.fleet.timers.now() < deadline_at_s:
            if (await self.job_status(incomplete_jobs[0]))["state"] == "complete":
                incomplete_jobs.pop(0)
                continue
            await asyncio.sleep(POLL_INTERVAL_S)
        return not incomplete_jobs

    async def platform_calls(self) -> dict[str, int]:
        """Return the number of platform calls by verb and kind (``"PUT job"``)."""
        response = await self.fleet.call("platform", "GET", "/test/counts")
        counts: dict[str, int] = response.to_json()
        return counts

    async def set_faults(self, name: str, **faults: float) -> None:
        """Set the injected faults of a stand-in process."""
        await self.fleet.call(name, "PUT", "/test/faults", document=faults)

    async def engine_runs(self, engine: str) -> tuple[int, int]:
        """Return the number of streams that an engine started and of tokens it made."""
        document = (await self.fleet.call(engine, "GET", "/test/runs")).to_json()
        return sum(document["runs_by_id"].values()), document["n_tokens"]


def count_missing_and_wrong(
    job: SubmittedJob, results: Mapping[int, Any]
) -> tuple[int, int]:
    """Return how many results of a complete job are missing and how many are wrong."""
    n_missing = sum(index not in results for index in range(len(job.prompts)))
    n_wrong = 0
    for index, result in results.items():
        prompt = job.prompts[index]
        text = "".join(token_text(prompt, n) for n in range(job.n_tokens))
        n_wrong += result.get("text") != text
    return n_missing, n_wrong
