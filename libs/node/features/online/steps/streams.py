"""Streams of answers that steps read in the background, and what runners ran."""

from __future__ import annotations

import asyncio
import json

from damaskjunction.core import ServiceKind
from damaskjunction.http import EventParser
from damaskjunction.routing import home_of
from damaskjunction.standins import BufferedResponse
from damaskjunction.standins.scenarios import AUTHORIZATION

PROMPT = "What may I drop behind?"
GENERATE = "/v1/services/caddie-llm/generate"


class Stream:
    """Streamed answer, read in a background task."""

    def __init__(self, deployed, host_id, prompt, n_tokens, **options):
        self.deployed = deployed
        self.host_id = host_id
        self.document = {"prompt": prompt, "max_tokens": n_tokens, **options}
        self.body = b""
        self.request_id = ""
        self.response = None
        self.latency_s = 0.0
        self.task = asyncio.ensure_future(self._read())

    async def _read(self):
        fleet = self.deployed.fleet
        begin_s = fleet.timers.now()
        self.response = await fleet.client.send(
            fleet.addresses_by_name[self.host_id],
            "POST",
            GENERATE,
            headers=AUTHORIZATION,
            body=json.dumps(self.document).encode(),
        )
        self.request_id = self.response.headers.get("request-id", "")
        async for data in self.response.chunks():
            self.body += data
        self.latency_s = fleet.timers.now() - begin_s
        return BufferedResponse(self.response.status, self.response.headers, self.body)

    def n_events(self):
        return len(EventParser().feed(self.body))

    async def wait_for_events(self, count):
        async def has_events():
            if self.task.done() and self.n_events() < count:
                raise AssertionError(f"ended early: {self.body[-500:]!r}")
            return self.n_events() >= count

        await self.deployed.fleet.wait_for(has_events, f"{count} events")

    async def runner_id(self):
        for runner in engines(self.deployed):
            if not self.deployed.fleet.is_running(runner.runner_id):
                continue
            counts = await run_counts(self.deployed, runner.runner_id)
            if any(name.startswith(self.request_id) for name in counts):
                return runner.runner_id
        raise AssertionError(f"no runner runs {self.request_id}")


def engines(deployed):
    runners = deployed.runners_by_id.values()
    return [runner for runner in runners if runner.kind is ServiceKind.ENGINE]


async def run_counts(deployed, runner_id):
    response = await deployed.fleet.call(runner_id, "GET", "/test/runs")
    return response.to_json()["runs_by_id"]


def nth_host_id(context, number):
    return list(context.deployed.hosts_by_id)[number - 1]


async def start_stream_off_home(context, n_tokens, count):
    """Start a stream through a host that is not the home of its runner."""
    deployed = context.deployed
    for host_id in deployed.hosts_by_id:
        stream = Stream(deployed, host_id, PROMPT, n_tokens)
        await stream.wait_for_events(count)
        runner = deployed.runners_by_id[await stream.runner_id()]
        home = home_of(runner, deployed.hosts_by_id.values())
        if home.host_id != host_id:
            return stream, home.host_id
        stream.task.cancel()
        await asyncio.gather(stream.task, return_exceptions=True)
    raise AssertionError("every host is the home of the runner")
