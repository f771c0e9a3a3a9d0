"""Steps on the places that a host has for the items of a service."""

from __future__ import annotations

import asyncio
import random
from types import SimpleNamespace

from behave import given, then, when
from fleet_helpers import run
from job_worker_steps import make_items, make_record

from damaskjunction.batch import JobStatus
from damaskjunction.core import LoopTimers
from damaskjunction.gateway.item_runner import AttemptOutcome, ItemRunner
from damaskjunction.gateway.job_repository import StoredJob
from damaskjunction.gateway.owed_items import OwedItem
from damaskjunction.node import cancel_tasks
from damaskjunction.routing import Route, RouteKind, WeightedService
from damaskjunction.telemetry import Metrics

ROUTE = Route("night", "h", "/", RouteKind.BATCH, (WeightedService("llm", 1),), 5, 1)
BACK_OFF_S = 0.01


class CrashingRunner(ItemRunner):
    """Runs no item, but tells that a runner crashed under each "crash" item."""

    async def _attempt(self, job, route, progress):
        await asyncio.sleep(0)
        if progress.item.item_id.startswith("crash"):
            progress.n_crashes += 1
            return AttemptOutcome(False, False, "stream_cut")
        return AttemptOutcome(True, True, "whole")


async def back_off(n_failures):
    await asyncio.sleep(BACK_OFF_S)


def start_item(context, item_id):
    job = StoredJob(make_record("j1", [item_id]), JobStatus(), 1)
    owed = OwedItem(item_id, "j1", context.timers)
    (item,) = make_items([item_id])
    task = asyncio.ensure_future(context.runner.run(job, item, owed))
    context.runs.append(task)
    return task


@given("{count:d} items under which each runner crashes")
def start_crashing(context, count):
    context.timers = LoopTimers()
    table = SimpleNamespace(find_by_name=lambda name: ROUTE)
    state = SimpleNamespace(table=table, runners_of=lambda service: [])
    dispatch = SimpleNamespace(
        state=state,
        slot_client=None,
        runner_client=None,
        timers=context.timers,
        metrics=Metrics(),
        rng=random.Random(1),
    )
    context.runner = CrashingRunner(dispatch, back_off)
    context.runs = []

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
