"""Steps on items that are owed while homes and owners change."""

from __future__ import annotations

import asyncio
import json

from batch_steps import home_of_engines, submit
from behave import given, then, when
from fleet_helpers import run, set_faults
from platform_fleet import ENGINE, ROUTES, make_configuration, make_route

from damaskjunction import standins

NOON = make_route(
    "noon", "/noon/", "batch", ENGINE, CompletionTargetMs=10_000, RetentionS=30
)

TELL_TIMEOUT_S = 4.0


def pool_document(context):
    """Return the state of the engines' slots at their home."""
    home = context.platform.hosts[home_of_engines(context).host_id]
    return home.dump.to_document()["slots"].get(ENGINE, {})


@given("the home of the engines has stopped")
def stop_home(context):
    context.stopped = home_of_engines(context).host_id
    run(context, context.platform.kill_host(context.stopped))

    def is_gone():
        return all(
            len(host.view.serving_hosts()) == len(context.platform.hosts)
            for host in context.platform.hosts.values()
        )

    run(context, context.platform.wait_for(is_gone))


@given("the next home counts {count:d} requests of hosts that are gone at each engine")
def count_foreign(context, count):
    set_faults(context, "foreign", count)
    submit(context, "j0", 1, home_of_engines(context).host_id)

    def is_counted():
        unseen_by_runner = pool_document(context).get("unseen_by_runner", {})
        return unseen_by_runner.get("e1") == count

    run(context, context.platform.wait_for(is_counted))


@when('the job "{job_id}" of {count:d} items is submitted away from the home')
def submit_elsewhere(context, job_id, count):
    home_id = home_of_engines(context).host_id
    context.submitted_at = next(h for h in context.platform.hosts if h != home_id)
    submit(context, job_id, count, context.submitted_at)


@when("its {count:d} items wait at the home")
def wait_for_queue(context, count):
    def is_waiting():
        return pool_document(context).get("n_batch_waiting", 0) >= count

    run(context, context.platform.wait_for(is_waiting))


@when("the stopped host is back and the engines are free")
def restart_home(context):
    set_faults(context, "foreign", 0)
    run(context, context.platform.start_host(context.stopped))


@given("the engines have no free slots")
def fill_engines(context):
    set_faults(context, "full", 1)


@when("the engines have free slots")
def free_engines(context):
    set_faults(context, "full", 0)


@when('the route of "{job_id}" is removed while the route "noon" stays')
def remove_route(context, job_id):
    def is_known():
        return job_id in context.platform.hosts["h0"].job_repository.jobs_by_id

    run(context, context.platform.wait_for(is_known))
    routes = [route for route in ROUTES if route["Name"] != "night"]
    configuration = make_configuration(2, [*routes, NOON])
    context.platform.store.put("config", "main", configuration)

    def is_in_force():
        return all(h.state.table.version == 2 for h in context.platform.hosts.values())

    run(context, context.platform.wait_for(is_in_force))
    run(context, asyncio.sleep(1.0))  # all items of the job find their route missing


@when('the job "{job_id}" of {count:d} items is submitted under "{prefix}" at "{host}"')
def submit_under(context, job_id, count, prefix, host):
    body = standins.make_job(job_id, count, path=f"{prefix}x", tokens=10)
    work = context.platform.call(host, "POST", prefix, body=body, request_id=job_id)
    context.reply = run(context, work)
    assert context.reply.status == 202, context.reply


@then('the job "{job_id}" has {count:d} results within {limit_s:g} s')
def check_results_in_time(context, job_id, count, limit_s):
    async def work():
        async with asyncio.timeout(limit_s):
            await context.platform.wait_for_results("h0", job_id, count)

    run(context, work())


@when(
    'the host "{host}" begins to drain and the job "{job_id}" of {count:d} items is '
    "submitted there"
)
def submit_at_draining(context, host, job_id, count):
    async def work():
        context.leaving = asyncio.ensure_future(context.platform.hosts[host].drain())
        await asyncio.sleep(0)
        return await context.platform.submit(host, job_id, count)

    context.reply = run(context, work())
    assert context.reply.status == 202, context.reply


@then('the items of "{job_id}" are at a runner before "{host}" has drained')
def check_at_runner(context, job_id, host):
    def has_run():
        return any(r.recorded_runs for r in context.platform.runners.values())

    async def work():
        running = asyncio.ensure_future(context.platform.wait_for(has_run))
        await asyncio.wait(
            (running, context.leaving), return_when=asyncio.FIRST_COMPLETED
        )
        assert not context.leaving.done(), "drained before an item ran"
        await running
        await context.leaving

    run(context, work())


@when('the host "{host}" is gone')
def lose_host(context, host):
    run(context, context.platform.kill_host(host))


def dump_of(context, host_id):
    """Return the dump of a host as it is served."""
    return json.loads(json.dumps(context.platform.hosts[host_id].dump.to_document()))


@then('the dump of its host tells that "{item_id}" waits for a slot at the home')
def check_owed_item(context, item_id):
    document = dump_of(context, context.submitted_at)
    item = document["owed_items"][item_id]
    assert item["state"] == "waiting for a slot", item
    assert item["place"] == home_of_engines(context).host_id, item
    assert 0.0 < item["at_no_runner_s"] <= item["owed_s"], item
    assert item["owed_s"] < document["open_jobs"][item["job"]]["age_s"], document


@then('the dumps of the other hosts tell that "{item_id}" has no worker')
def check_without_worker(context, item_id):
    def is_told(host_id):
        jobs = dump_of(context, host_id)["open_jobs"].values()
        return any(item_id in job["items_without_worker"] for job in jobs)

    async def work():
        async with asyncio.timeout(TELL_TIMEOUT_S):
            for host_id in context.platform.hosts:
                await context.platform.wait_for(lambda name=host_id: is_told(name))

    run(context, work())
