"""Runners of batch items on a simulated clock."""

from __future__ import annotations

import asyncio

from simulated_time import SimulatedTimers

from damaskjunction.core import Outcome
from damaskjunction.gateway.runners.runner_responses import (
    RunnerFailedError,
    RunnerResponse,
)
from damaskjunction.http import BrokenResponseError
from damaskjunction.platform import RunnerReport, RunnerResponseHead
from damaskjunction.routing import NO_LIMIT_PER_S, LimitObservations

SERVICE = "llm"
SLOTS = 3
RUN_S = 0.5
N_EVENTS = 5  # of each item's output
CALL_S = 0.01


def wall_ms():
    return int(SimulatedTimers().wall() * 1000)


class SimulatedRunner:
    """A runner that may crash, leave, name a rate limit or be loaded by others.

    ``running`` are its items.
    """

    def __init__(self, runner_id):
        self.runner_id = runner_id
        self.version = ""
        self.born_ms = 0
        self.is_broken = False
        self.is_leaving = False
        self.limit_per_s = NO_LIMIT_PER_S
        self.n_foreign = 0
        self.running = []

    def restart(self, version):
        """Replace the process by one of a version; its connections break."""
        self.version = version
        self.born_ms = max(self.born_ms + 1, wall_ms())
        self.is_leaving = False

    def to_document(self):
        """Return the entry in the store."""
        return {
            "Service": SERVICE,
            "Addr": "10.0.1.1:1",
            "Zone": "z1",
            "Slots": SLOTS,
            "State": "ready",
            "Version": self.version,
            "born": self.born_ms,
        }


class Output:
    """The output of one run of an item, behind the events that are known."""

    ends_with_connection = False

    def __init__(self, runner, item_id, last_event_id):
        self._runner = runner
        self._born_ms = runner.born_ms
        self._item_id = item_id
        self._n_known = last_event_id or 0
        runner.running.append(item_id)

    def keep(self, n_bytes):
        """Bound nothing."""

    def set_pacer(self, pacer):
        return

    async def chunks(self):
        for number in range(self._n_known + 1, N_EVENTS + 1):
            await asyncio.sleep(RUN_S / N_EVENTS)
            if self._runner.is_broken or self._runner.born_ms != self._born_ms:
                raise BrokenResponseError("cut")
            yield f"id: {number}\ndata: {self._runner.version}\n\n".encode()

    def close(self):
        if self._item_id:
            self._runner.running.remove(self._item_id)
            self._item_id = ""


class RunnerCalls:
    """One host's calls to runners."""

    def __init__(self, runners_by_id, leaving):
        self._runners_by_id = runners_by_id
        self._leaving = leaving
        self.observed_limits = LimitObservations()

    async def send(self, runner, request, *, last_event_id=None, **options):
        found = self._runners_by_id[runner.runner_id]
        asked_at_ms = wall_ms()
        await asyncio.sleep(CALL_S)
        if found.is_broken:
            raise RunnerFailedError(Outcome.NOT_RUN, "no_connection", is_fault=True)
        if found.is_leaving:
            self._leaving.record_answer(runner, asked_at_ms, SimulatedTimers().now())
        now_s = SimulatedTimers().now()
        self.observed_limits.record(runner.runner_id, found.limit_per_s, now_s)
        head = RunnerResponseHead(
            200,
            False,
            False,
            False,
            True,
            request.request_id,
            None,
            None,
            found.is_leaving,
            "",
            {},
        )
        output = Output(found, request.request_id, last_event_id)
        return RunnerResponse(runner, head, output)

    async def check_end(self, response):
        return

    async def fetch_report(self, runner):
        found = self._runners_by_id[runner.runner_id]
        await asyncio.sleep(CALL_S)
        if found.is_broken:
            raise RunnerFailedError(Outcome.NOT_RUN, "no_report")
        n_running = len(found.running) + found.n_foreign
        return RunnerReport(n_running, 0, found.born_ms)

    async def confirm_process(self, runner):
        report = await self.fetch_report(runner)
        if report.born_ms != runner.born_ms:
            raise RunnerFailedError(Outcome.NOT_RUN, "other_process")
