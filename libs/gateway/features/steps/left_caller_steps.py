"""Steps on callers that leave while they hold a slot or wait for one."""

from __future__ import annotations

import asyncio

from behave import then, when
from fleet_helpers import run


def pool_counts(context):
    """Return how many online requests hold slots and wait, at all homes."""
    pools = [
        pool
        for host in context.platform.hosts.values()
        for pool in host.dump.sections.get("slots")().values()
    ]
    n_held = sum(pool["n_online"] for pool in pools)
    return n_held, sum(pool["n_online_waiting"] for pool in pools)


@when('callers request "{path}" at both hosts until {held:d} have slots and 1 waits')
def fill_slots(context, path, held):
    async def work():
        hosts = list(context.platform.hosts)
        context.calls = []
        for number in range(held + 1):
            host = hosts[number % len(hosts)]
            call = context.platform.call(host, "POST", path, request_id=f"q{number}")
            context.calls.append(asyncio.ensure_future(call))
            expected = min(number + 1, held), int(number == held)
            await context.platform.wait_for(
                lambda expected=expected: pool_counts(context) == expected
            )

    run(context, work())


@when("all of them leave")
def leave(context):
    async def work():
        for call in context.calls:
            call.cancel()
        await asyncio.gather(*context.calls, return_exceptions=True)

    run(context, work())


@then("no home counts a slot held or a request waiting within {limit_s:g} s")
def check_counts(context, limit_s):
    async def work():
        async with asyncio.timeout(limit_s):
            await context.platform.wait_for(lambda: pool_counts(context) == (0, 0))

    run(context, work())
