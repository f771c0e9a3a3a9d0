"""Steps of the feature on the change feed, and some steps of the batch feature."""

from __future__ import annotations

import asyncio

from behave import step, then, when

from damaskjunction.standins import Mode

STEP_TIMEOUT_S = 20.0


def run(context, work, limit_s=STEP_TIMEOUT_S):
    async def bounded():
        async with asyncio.timeout(limit_s):
            return await work

    return context.asyncio_runner.run(bounded())


def change_feed_state(host):
    return host.dump.to_document()["store_news"]


def watcher_of(context):
    """Return the host that the others read the feed from, None while they differ."""
    names = {
        change_feed_state(h)["source"] for h in context.platform.hosts.values()
    } - {""}
    return names.pop() if len(names) == 1 else None


@step("one host watches the store for all hosts")
def wait_for_single_watcher(context):
    def is_single_watcher():
        n_watching = sum(
            change_feed_state(h)["is_watching"] for h in context.platform.hosts.values()
        )
        return n_watching == 1 and watcher_of(context) is not None

    run(context, context.platform.wait_for(is_single_watcher))


@when("the host that watches the store is killed")
def kill_watcher(context):
    run(context, context.platform.kill_host(watcher_of(context)))


@when("the host that watches the store is partitioned from it")
def partition_watcher(context):
    name = watcher_of(context)
    context.platform.proxies[name].set_mode(Mode.SILENT)
    context.platform.exclude_host(name)


@then("within {limit_s:g} s no host sends it new work")
def check_drained(context, limit_s):
    def is_drained():
        return not any(
            host.view.fleet.live_runners() for host in context.platform.hosts.values()
        )

    run(context, context.platform.wait_for(is_drained), limit_s)


@then('every host knows the job "{job_id}" within {limit_s:g} s')
def check_job_known(context, job_id, limit_s):
    def is_known():
        return all(
            job_id in h.job_repository.jobs_by_id
            for h in context.platform.hosts.values()
        )

    run(context, context.platform.wait_for(is_known), limit_s)


@then('only "{name}" has read results from the store')
def check_result_readers(context, name):
    readers = {
        host_name
        for host_name, host in context.platform.hosts.items()
        if any(call.startswith("GET batch-results") for call in host.store_calls)
    }
    assert readers <= {name}, readers


@when('the wall clock jumps by {jump_s:g} s at "{name}"')
def jump_wall_clock(context, jump_s, name):
    timers = context.platform.hosts[name]._timers
    wall = timers.wall
    timers.wall = lambda: wall() + jump_s


@when('engine "{name}" has free slots again after {delay_s:g} s')
def free_slots(context, name, delay_s):
    run(context, asyncio.sleep(delay_s))
    context.platform.runners[name].faults["full"] = 0


@when("the engines have crashed on {count:d} attempts and crash no more")
def stop_engine_crashes(context, count):
    runners = context.platform.runners.values()

    def have_crashed():
        return sum(len(runner.recorded_runs) for runner in runners) >= count

    run(context, context.platform.wait_for(have_crashed))
    for runner in runners:
        runner.faults["crash"] = 0


@then('"{name}" read no job and wrote results once')
def check_store_calls(context, name):
    calls = context.platform.hosts[name].store_calls
    n_writes = sum(
        count
        for call, count in calls.items()
        if call.startswith(("POST batch-results", "PUT batch-results"))
    )
    assert n_writes == 1, calls
    assert not any(call.startswith("GET batch-results") for call in calls), calls
    # Listing all jobs counts as a read too: the host does so once when it starts.
    assert calls.get("GET batch-jobs 200", 0) <= 1, calls


@then("each host knows the cores of {count:d} hosts")
def check_cores(context, count):
    def are_known():
        return all(
            len(host.view.power_by_host) == count
            for host in context.platform.hosts.values()
        )

    run(context, context.platform.wait_for(are_known))


@when('the entry of "{name}" expires in an outage of the store of {duration_s:g} s')
def expire_runner_entry(context, name, duration_s):
    store = context.platform.store
    store.refuse_calls()
    run(context, asyncio.sleep(duration_s))
    store.remove("servers", name)
    store.faults["refuse"] = 0


@then('every host still knows "{name}" {delay_s:g} s later')
def check_still_known(context, name, delay_s):
    run(context, asyncio.sleep(delay_s))
    hosts = context.platform.hosts.values()
    assert all(name in host.view.fleet.runners_by_id for host in hosts)


@then('within {limit_s:g} s no host knows "{name}"')
def check_unknown(context, name, limit_s):
    def is_unknown():
        return not any(
            name in host.view.fleet.runners_by_id
            for host in context.platform.hosts.values()
        )

    run(context, context.platform.wait_for(is_unknown), limit_s)


def n_lists(host):
    """Return how often a host has listed the objects of the kinds that it follows."""
    return sum(
        count
        for call, count in host.store_calls.items()
        if call.startswith("GET") and call.endswith("200")
    )


@when("the store is away for {duration_s:g} s")
def lose_store(context, duration_s):
    watcher = watcher_of(context)
    platform = context.platform
    context.lists_by_host = {
        name: n_lists(host) for name, host in platform.hosts.items() if name != watcher
    }
    platform.store.refuse_calls()
    run(context, asyncio.sleep(duration_s))
    platform.store.faults["refuse"] = 0


@then("the other hosts have listed nothing since")
def check_no_lists(context):
    hosts = context.platform.hosts
    watcher = watcher_of(context)
    n_lists_since = {
        name: n_lists(hosts[name]) - before
        for name, before in context.lists_by_host.items()
        if name != watcher
    }
    assert not any(n_lists_since.values()), n_lists_since
