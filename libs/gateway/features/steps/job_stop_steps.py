"""Steps on runs of jobs that do not end when they are stopped."""

from __future__ import annotations

import asyncio
from unittest import mock

from behave import given, when
from item_route_steps import SETTLING_S

from damaskjunction.gateway.jobs.item_runner import ItemRunner
from damaskjunction.platform import JOBS_KIND

LATE_END_S = 60.0


@given("the run of a job at its host ends only long after it is cancelled")
def end_late(context):
    real = ItemRunner.run
    context.n_hung = 0

    async def run(self, job, item, owed):
        if context.n_hung >= 1:
            return await real(self, job, item, owed)
        context.n_hung += 1
        try:
            await asyncio.Event().wait()
        finally:
            await asyncio.sleep(LATE_END_S)

    patch = mock.patch.object(ItemRunner, "run", run)
    patch.start()
    context.add_cleanup(patch.stop)


@when("the job is taken away from its host and given back")
def move_job(context):
    async def work():
        await context.fleet.submit("h0")
        await asyncio.sleep(SETTLING_S)
        jobs = context.fleet.hosts_by_id["h0"].jobs
        (stored,) = context.fleet.store.objects_of(JOBS_KIND)
        await jobs.update_status(stored.name, owner="gone")
        await jobs.update_status(stored.name, owner="h0")

    context.runner.run(work())
