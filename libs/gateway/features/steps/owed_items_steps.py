"""Steps on items that are owed while homes and owners change."""

from __future__ import annotations

from batch_steps import home_of_engines, submit
from behave import given, when
from fleet_helpers import run, set_faults
from platform_fleet import ENGINE


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
