"""Steps of the feature on unexpected errors in the work of a host."""

from __future__ import annotations

import asyncio
from collections import Counter

from behave import then, when
from change_feed_steps import watcher_of
from fleet_helpers import run
from platform_fleet import PlatformFleet

from damaskjunction.node import tasks

N_HOSTS = 2


@when("two hosts start whose supervised work fails once each")
def start_failing_hosts(context):
    run_once = tasks.run_once
    context.runs_by_work = Counter()

    async def fail_first(name, work):
        context.runs_by_work[name] += 1
        if context.runs_by_work[name] <= N_HOSTS:
            raise KeyError(name)
        await run_once(name, work)

    async def start():
        context.platform = PlatformFleet(N_HOSTS)
        tasks.run_once = fail_first
        try:
            await context.platform.start(N_HOSTS)
            await asyncio.sleep(2 * tasks.RESTART_DELAY_S)
        finally:
            tasks.run_once = run_once

    run(context, start())


@then(
    "at least {count:d} kinds of work have failed, and each was started again on both "
    "hosts"
)
def check_started_again(context, count):
    assert len(context.runs_by_work) >= count, context.runs_by_work
    assert min(context.runs_by_work.values()) >= 2 * N_HOSTS, context.runs_by_work


@when("the next change that another host applies fails unexpectedly")
def fail_next_change(context):
    watcher = watcher_of(context)
    reader = next(h for n, h in context.platform.hosts.items() if n != watcher)
    feed = reader._change_feed
    apply = feed._apply

    def fail_once(update):
        feed._apply = apply
        raise AttributeError("odd change")

    feed._apply = fail_once
