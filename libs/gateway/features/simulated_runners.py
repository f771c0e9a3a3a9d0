"""Runners of batch items on a simulated clock."""

from __future__ import annotations

import asyncio

from damaskjunction.core import Address, Outcome, Runner, ServiceKind
from damaskjunction.gateway.runner_client import RunnerFailedError, RunnerResponse
from damaskjunction.http import BrokenResponseError
from damaskjunction.platform import RunnerReport, RunnerResponseHead
from damaskjunction.routing import LimitObservations

SERVICE = "llm"
SLOTS = 3
RUN_S = 0.5
CALL_S = 0.01


class SimulatedRunner:
    """A runner that may crash or be loaded by others; ``running`` are its items."""

    def __init__(self, runner_id):
        self.entry = Runner(
            runner_id,
            "r1",
            "z1",
            Address("10.0.1.1", 1),
            ServiceKind.ENGINE,
            SERVICE,
            slots=SLOTS,
            version="v1",
        )
        self.is_broken = False
        self.n_foreign = 0
        self.running = []


class Output:
    """The output of one run of an item."""

    ends_with_connection = False

    def __init__(self, runner, item_id):
        self._runner = runner
        self._item_id = item_id
        runner.running.append(item_id)

    async def chunks(self):
        await asyncio.sleep(RUN_S)
        if self._runner.is_broken:
            raise BrokenResponseError("cut")
        yield b"id: 1\ndata: x\n\n"

    def close(self):
        if self._item_id:
            self._runner.running.remove(self._item_id)
            self._item_id = ""


class RunnerCalls:
    """One host's calls to runners."""

    def __init__(self, runners_by_id):
        self._runners_by_id = runners_by_id
        self.observed_limits = LimitObservations()

    async def send(self, runner, request, **options):
        found = self._runners_by_id[runner.runner_id]
        await asyncio.sleep(CALL_S)
        if found.is_broken:
            raise RunnerFailedError(Outcome.NOT_RUN, "no_connection", is_fault=True)
        head = RunnerResponseHead(
            200,
            False,
            False,
            False,
            True,
            request.request_id,
            None,
            None,
            False,
            "",
            {},
        )
        return RunnerResponse(runner, head, Output(found, request.request_id))

    async def check_end(self, response):
        return

    async def fetch_report(self, runner):
        found = self._runners_by_id[runner.runner_id]
        await asyncio.sleep(CALL_S)
        if found.is_broken:
            raise RunnerFailedError(Outcome.NOT_RUN, "no_report")
        return RunnerReport(len(found.running) + found.n_foreign, 0)
