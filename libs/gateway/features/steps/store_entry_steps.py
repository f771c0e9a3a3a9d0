"""Steps on configurations and runners' entries in the platform's store."""

from __future__ import annotations

import asyncio

from behave import given, then, when
from fleet_helpers import run
from platform_fleet import (
    PLAIN,
    ROUTES,
    make_configuration,
    make_route,
)

QUIET_PERIOD_S = 0.5
ENTRY_LIFETIME_S = 3.6


@when('the operator adds the route "{prefix}" as version {version:d}')
def add_route(context, prefix, version):
    route = make_route("more", prefix, "idempotent", PLAIN)
    document = make_configuration(version, [*ROUTES, route])
    context.platform.store.put("config", "main", document)


@when(
    'the operator adds the route "{prefix}" as version {version:d} and every watch '
    "misses it"
)
def add_route_unwatched(context, prefix, version):
    route = make_route("more", prefix, "idempotent", PLAIN)
    document = make_configuration(version, [*ROUTES, route])
    context.platform.store.put_without_event("config", "main", document)


@when("the operator writes version {version:d} without that route again")
def write_older(context, version):
    document = make_configuration(version, ROUTES)
    context.platform.store.put("config", "main", document)


async def statuses(context, path):
    return [
        (await context.platform.call(host, "POST", path)).status
        for host in context.platform.hosts
    ]


@then('a caller gets status {status:d} for "{path}" at each host within {limit_s:g} s')
def check_active(context, status, path, limit_s):
    async def work():
        async with asyncio.timeout(limit_s):
            while set(await statuses(context, path)) != {status}:  # noqa: ASYNC110
                await asyncio.sleep(0.01)

    run(context, work())


@then('a caller still gets status {status:d} for "{path}" at each host')
def check_unchanged(context, status, path):
    async def work():
        await asyncio.sleep(QUIET_PERIOD_S)
        assert set(await statuses(context, path)) == {status}

    run(context, work())


def known_runners(context):
    return [set(h.view.fleet.runners_by_id) for h in context.platform.hosts.values()]


@when('the entry of runner "{name}" loses its address')
def remove_address(context, name):
    context.platform.store.put("servers", name, {"Service": 7, "State": "ready"})


@then('only "{name}" is known as a runner')
def check_known(context, name):
    run(
        context,
        context.platform.wait_for(
            lambda: all(known == {name} for known in known_runners(context))
        ),
    )


@when('runner "{name}" reports that it is draining')
def drain_runner(context, name):
    context.platform.runners[name].register_in_store("draining")

    def is_known():
        return all(
            name not in {r.runner_id for r in host.view.fleet.live_runners()}
            for host in context.platform.hosts.values()
        )

    run(context, context.platform.wait_for(is_known))


@given("the store loses its history")
def lose_history(context):
    # Each host watches four kinds: configuration, runners, hosts and jobs.
    context.platform.store.faults["no_history"] = len(context.platform.hosts) * 4


@when('plain runner "{name}" joins')
def join_runner(context, name):
    # Only the new runner can respond with status 200 from now on.
    context.platform.runners["p1"].faults["fail"] = 500
    run(context, context.platform.add_runner(name, PLAIN, slots=8))


def wait_out_outage(context):
    """Let the store be away for as long as an entry takes to expire."""

    def is_lost():
        return all(h.has_lost_store for h in context.platform.hosts.values())

    run(context, context.platform.wait_for(is_lost))
    run(context, asyncio.sleep(ENTRY_LIFETIME_S))


def restore_store(context):
    context.platform.store.faults["refuse"] = 0

    def is_back():
        return not any(h.has_lost_store for h in context.platform.hosts.values())

    run(context, context.platform.wait_for(is_back))


@when('the entry of runner "{name}" expires and the store is back')
def expire_entry(context, name):
    wait_out_outage(context)
    context.platform.store.remove("servers", name)
    restore_store(context)


@when('the entry of runner "{name}" is removed {delay_s:g} s after the store is back')
def remove_after_outage(context, name, delay_s):
    wait_out_outage(context)
    restore_store(context)
    run(context, asyncio.sleep(delay_s))
    context.platform.store.remove("servers", name)


@then('runner "{name}" is removed within {limit_s:g} s')
def check_removed(context, name, limit_s):
    async def work():
        async with asyncio.timeout(limit_s):
            await context.platform.wait_for(
                lambda: all(name not in known for known in known_runners(context))
            )

    run(context, work())
