"""Steps on the places that a host has for the items of a service."""

from __future__ import annotations

import asyncio
import random
from types import SimpleNamespace

from behave import given, then, when
from fake_homes import make_host
from fleet_helpers import run
from job_worker_steps import make_items, make_record

from damaskjunction.batch import JobStatus
from damaskjunction.core import (
    Address,
    LoopTimers,
    Outcome,
    Runner,
    ServiceKind,
)
from damaskjunction.gateway.jobs.item_runner import AttemptOutcome, ItemRunner
from damaskjunction.gateway.jobs.job_repository import StoredJob
from damaskjunction.gateway.jobs.owed_items import OwedItem
from damaskjunction.gateway.runners.runner_responses import (
    RunnerFailedError,
)
from damaskjunction.gateway.state import ServingState
from damaskjunction.http import ReceiveBudget
from damaskjunction.node import HostView, cancel_tasks
from damaskjunction.routing import LeavingRunners, Route, RouteKind, WeightedService
from damaskjunction.telemetry import Metrics

ROUTE = Route("night", "h", "/", RouteKind.BATCH, (WeightedService("llm", 1),), 5, 1)
ONLY_RUNNER = Runner("r1", "", "", Address("127.0.0.1", 1), ServiceKind.ENGINE, "llm")
BACK_OFF_S = 0.01
LETTING_GO_S = 0.1


class CrashingRunner(ItemRunner):
    """Runs no item, but tells that a runner crashed under each "crash" item."""

    async def _attempt(self, job, route, progress):
        await asyncio.sleep(0)
        if progress.item.item_id.startswith("crash"):
            progress.n_crashes += 1
            return AttemptOutcome(False, False, "stream_cut")
        return AttemptOutcome(True, True, "whole")


class SlowlyEndingRunner(ItemRunner):
    """Works on an item without end, and takes ``LETTING_GO_S`` to stop."""

    async def _send_and_collect(self, job, route, progress, slot):
        try:
            await asyncio.Event().wait()
        finally:
            await asyncio.sleep(LETTING_GO_S)


class FirstFailingRunner(ItemRunner):
    """Fails the first attempt at an item without running it."""

    n_attempts = 0

    async def _send_and_collect(self, job, route, progress, slot):
        self.n_attempts += 1
        if self.n_attempts == 1:
            raise RunnerFailedError(Outcome.NOT_RUN, "process_unknown")
        return AttemptOutcome(True, True, "whole")


class SingleSlot:
    """A client of slots with one slot, and that slot."""

    def __init__(self):
        self.runner_id = "r1"
        self.asks = []
        self.revoked = asyncio.Event()
        self.is_closed = False

    async def acquire(self, ask, on_ask, is_wanted):
        self.asks.append(ask)
        return self

    async def close(self):
        self.is_closed = True


async def back_off(n_failures):
    await asyncio.sleep(BACK_OFF_S)


def start_item(context, item_id):
    job = StoredJob(make_record("j1", [item_id]), JobStatus(), 1)
    owed = OwedItem(item_id, "j1", context.timers)
    (item,) = make_items([item_id])
    task = asyncio.ensure_future(context.runner.run(job, item, owed))
    context.runs.append(task)
    return task


def make_runner(context, runner_type, slot_client=None):
    context.timers = LoopTimers()
    view = HostView(make_host(1, "own"))
    state = ServingState(view, context.timers, {}, LeavingRunners())
    state.table = SimpleNamespace(find_by_name=lambda name: ROUTE, services_by_name={})
    dispatch = SimpleNamespace(
        state=state,
        slot_client=slot_client,
        runner_client=None,
        runner_faults=None,
        timers=context.timers,
        metrics=Metrics(),
        rng=random.Random(1),
        budget=ReceiveBudget(),
    )
    context.state = state
    context.runner = runner_type(dispatch, back_off)
    context.runs = []


@given("{count:d} items under which each runner crashes")
def start_crashing(context, count):
    make_runner(context, CrashingRunner)

    async def work():
        for number in range(count):
            start_item(context, f"crash{number}")
        await asyncio.sleep(0)

    run(context, work())


@when("an item that runs well is added")
def add_item(context):
    async def work():
        context.added = start_item(context, "good")

    run(context, work())


@then("it has a result within {limit_s:g} s")
def check_result(context, limit_s):
    async def work():
        async with asyncio.timeout(limit_s):
            result = await asyncio.shield(context.added)
        assert result.is_whole, result
        await cancel_tasks(context.runs)

    run(context, work())


@given("an item at a runner that lets go of it slowly")
def start_slowly_ending(context):
    async def work():
        context.slot = SingleSlot()
        make_runner(context, SlowlyEndingRunner, context.slot)
        context.item_run = start_item(context, "i1")
        await asyncio.sleep(BACK_OFF_S)

    run(context, work())


@when("the slot of the item is revoked")
def revoke_slot(context):
    async def work():
        context.slot.revoked.set()
        await asyncio.sleep(BACK_OFF_S)

    run(context, work())


@when("the run of the item is cancelled while its attempt ends")
def cancel_ending_run(context):
    assert not context.slot.is_closed
    run(context, cancel_tasks([context.item_run]))


@then("the slot of the item has been given back")
def check_slot_closed(context):
    assert context.slot.is_closed


@given("an item whose only runner fails its first attempt")
def start_failing_once(context):
    async def work():
        context.slot = SingleSlot()
        make_runner(context, FirstFailingRunner, context.slot)
        context.state.view.apply_runners([ONLY_RUNNER])
        context.added = start_item(context, "i1")

    run(context, work())


@then("no ask for a slot avoids the only runner")
def check_not_avoided(context):
    assert [ask.avoid for ask in context.slot.asks] == [(), ()], context.slot.asks
