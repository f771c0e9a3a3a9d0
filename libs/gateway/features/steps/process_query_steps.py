"""Steps of the feature on the client of runners: the processes that it asks for."""

from __future__ import annotations

import asyncio

from behave import given, then, when
from fleet_helpers import run
from runner_client_steps import TIMEOUT_S, make_request

from damaskjunction.core import LoopTimers, Runner, ServiceKind
from damaskjunction.gateway.runners.runner_client import RunnerClient
from damaskjunction.gateway.runners.runner_responses import (
    RunnerFailedError,
)
from damaskjunction.http import HttpServer, Response, to_json_response
from damaskjunction.platform import REPORT_PATH
from damaskjunction.standins import allocate_addresses

ANSWER_S = 0.05


class EngineRig:
    """A client and an engine that counts the reports it is asked for."""

    def __init__(self, born_ms):
        (self.address,) = allocate_addresses(1)
        self.runner = Runner(
            "e1", "r", "z", self.address, ServiceKind.ENGINE, "llm", born_ms=born_ms
        )
        self.born_ms = born_ms
        self.client = RunnerClient(LoopTimers())
        self.next_born_ms = 0
        self.reports = "true"
        self.n_reports = self.n_requests = self.n_closing = 0
        self.failures = []
        self.longest_s = 0.0
        self.server = HttpServer(self.address, self.serve)

    async def start(self):
        """Start the engine."""
        await self.server.start()

    async def close(self):
        """Close the client and the engine."""
        self.client.close()
        await self.server.close()

    async def restart(self, born_ms):
        """End the engine's process and start another one."""
        await self.server.close()
        self.born_ms = born_ms
        self.server = HttpServer(self.address, self.serve)
        await self.server.start()

    async def serve(self, request):
        """Return a report or an answer."""
        await request.body.read()
        if request.path == REPORT_PATH:
            return await self.report()
        self.n_requests += 1
        await asyncio.sleep(ANSWER_S)
        request_id = request.headers["x-request-id"]
        headers = {"X-Request-Id": request_id, "X-Response-Stamp": request_id}
        return Response(200, b"done", "text/plain", headers)

    async def report(self):
        """Return a report, as ``reports`` tells."""
        self.n_reports += 1
        if self.reports == "silent":
            await asyncio.Event().wait()
        if self.reports == "refused":
            return Response(503)
        if self.reports == "malformed":
            return to_json_response({"born": self.born_ms})
        report = {"Running": 0, "Waiting": 0, "born": self.born_ms}
        response = to_json_response(report)
        self.born_ms = self.next_born_ms or self.born_ms
        if self.n_closing:
            self.n_closing -= 1
            headers = {**response.headers, "Connection": "close"}
            return response._replace(headers=headers)
        return response

    async def send(self, number):
        """Send a request and keep its failure, if any."""
        loop = asyncio.get_running_loop()
        began_at_s = loop.time()
        try:
            response = await self.client.send(
                self.runner,
                make_request(f"q{number}"),
                remaining_s=TIMEOUT_S,
                stall_s=TIMEOUT_S,
                is_process_checked=True,
            )
            await self.client.read_body(response, TIMEOUT_S)
        except RunnerFailedError as error:
            self.failures.append((error.outcome.value, error.reason))
        self.longest_s = max(self.longest_s, loop.time() - began_at_s)


@given("a client of an engine that was born at {born_ms:d}")
def make_engine(context, born_ms):
    context.platform = EngineRig(born_ms)
    run(context, context.platform.start())


@when("{count:d} requests to its listed process are sent one after another")
def send_in_turn(context, count):
    async def work():
        for number in range(count):
            await context.platform.send(number)

    begin(context, count, work())


@when("{count:d} requests to its listed process are sent at once")
def send_at_once(context, count):
    async def work():
        await asyncio.gather(*(context.platform.send(n) for n in range(count)))

    begin(context, count, work())


def begin(context, count, work):
    context.n_sent = count
    context.n_before = context.platform.n_requests
    context.platform.failures.clear()
    run(context, work)


@when("the engine starts again at {born_ms:d}")
def restart_engine(context, born_ms):
    run(context, context.platform.restart(born_ms))


@when('its reports are "{reports}"')
def set_reports(context, reports):
    context.platform.reports = reports


@when("the engine closes the connections of its next {count:d} reports")
def close_after_reports(context, count):
    context.platform.n_closing = count


@when("the engine starts again at {born_ms:d} after its next report")
def restart_after_report(context, born_ms):
    context.platform.next_born_ms = born_ms


@then("all were answered, and the engine was asked for {count:d} report")
@then("all were answered, and the engine was asked for {count:d} reports")
def check_answered(context, count):
    rig = context.platform
    assert not rig.failures, rig.failures
    assert rig.n_reports == count, rig.n_reports


@then('all failed as not run with "{reason}"')
def check_failed(context, reason):
    rig = context.platform
    assert rig.failures == [("not_run", reason)] * context.n_sent, rig.failures
    assert rig.n_requests == context.n_before, rig.n_requests


@then("none took longer than {limit_s:g} s")
def check_duration(context, limit_s):
    assert context.platform.longest_s <= limit_s, context.platform.longest_s
