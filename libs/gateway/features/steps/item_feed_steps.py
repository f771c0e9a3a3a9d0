"""Steps on the order in which items begin."""

from __future__ import annotations

import asyncio
from collections import Counter

from behave import given, then, when
from fleet_helpers import run

from damaskjunction.batch import BatchItem
from damaskjunction.gateway.jobs.item_feed import ItemFeed, ItemLine

N_TURNS = 2000  # of the loop, in which all that may begin has begun


class FeedRig:
    """Jobs whose items run until they are told to end."""

    def __init__(self):
        self.feed = ItemFeed()
        self.n_begun_by_job = Counter()
        self.running = []
        self.tasks_by_job = {}

    def add(self, job_id, n_items, service):
        items = [
            BatchItem(f"{job_id}-{number}", "/", {}, b"", 1)
            for number in range(n_items)
        ]
        self.tasks_by_job[job_id] = asyncio.ensure_future(
            self._run(job_id, items, ItemLine("night", service))
        )

    async def _run(self, job_id, items, line):
        async with asyncio.TaskGroup() as group:

            def begin(item):
                return group.create_task(self._run_item(job_id))

            await self.feed.feed(line, job_id, items, begin)

    async def _run_item(self, job_id):
        self.n_begun_by_job[job_id] += 1
        has_ended = asyncio.Event()
        self.running.append(has_ended)
        await has_ended.wait()

    def end(self, count):
        ended, self.running = self.running[:count], self.running[count:]
        for has_ended in ended:
            has_ended.set()


async def settle():
    for _ in range(N_TURNS):
        await asyncio.sleep(0)


@given('the jobs "{job_ids}" of {count:d} items each in the line of "{service}"')
def add_jobs(context, job_ids, count, service):
    if not hasattr(context, "feed_rig"):
        context.feed_rig = FeedRig()

    async def work():
        for job_id in job_ids.split(","):
            context.feed_rig.add(job_id, count, service)
        await settle()

    run(context, work())


@when("{count:d} items end")
def end_items(context, count):
    async def work():
        left = count
        while left:
            n_ending = min(left, len(context.feed_rig.running))
            context.feed_rig.end(n_ending)
            left -= n_ending
            await settle()

    run(context, work())


@when('the job "{job_id}" is cancelled')
def cancel_job(context, job_id):
    async def work():
        context.feed_rig.tasks_by_job[job_id].cancel()
        await settle()

    run(context, work())


@then('{n_first:d} items of "{first}" and {n_second:d} of "{second}" have begun')
def check_begun(context, n_first, first, n_second, second):
    begun = context.feed_rig.n_begun_by_job
    assert (begun[first], begun[second]) == (n_first, n_second), begun


@then("{count:d} items wait")
def check_waiting(context, count):
    assert context.feed_rig.feed.n_waiting == count, context.feed_rig.feed.n_waiting
