"""Steps on runners that say in their answers that they leave."""

from __future__ import annotations

import asyncio

from behave import given, then, when
from fleet_helpers import run
from platform_fleet import ENGINE

from damaskjunction.routing import slot_homes

MAX_TRIES = 40


@given('runner "{name}" fails with {status:d}')
def fail(context, name, status):
    context.platform.runners[name].faults["fail"] = status


@given('runner "{name}" has the fault "{fault}" of {value:d}')
def add_fault(context, name, fault, value):
    context.platform.runners[name].faults[fault] = value


@given('runner "{name}" says that it leaves in its answers alone')
def say_in_answers(context, name):
    context.platform.runners[name].faults["leaving"] = 1


@when('runner "{name}" says that it leaves in its reports alone')
def say_in_reports(context, name):
    context.platform.runners[name].faults["report_leaving"] = 1


@when('runner "{name}" has room again')
def clear_full(context, name):
    context.platform.runners[name].faults["full"] = 0


@when('runner "{name}" has its address again and stays')
def restore_address(context, name):
    runner = context.platform.runners[name]
    runner.runner_id = name
    runner.faults["leaving"] = 0


@when("{duration_s:g} s pass")
def pass_time(context, duration_s):
    run(context, asyncio.sleep(duration_s))


def call(context, path, host):
    context.n_calls = getattr(context, "n_calls", 0) + 1
    name = f"n{context.n_calls}"
    work = context.platform.call(host, "POST", f"{path}{name}", request_id=name)
    return run(context, work)


@when('callers request "{path}" {count:d} times at "{host}"')
@when('callers request "{path}" {count:d} time at "{host}"')
def call_often(context, path, count, host):
    for _ in range(count):
        reply = call(context, path, host)
        assert reply.status == 200, reply


@when('callers request "{path}" {count:d} time at the home of slots')
def call_at_home(context, path, count):
    view = context.platform.hosts["h0"].view
    homes = slot_homes(ENGINE, view.serving_hosts(), view.power_by_host)
    call_often(context, path, count, homes[0].host_id)


@when('callers request "{path}" at "{host}" until runner "{name}" gets one')
@then('callers request "{path}" at "{host}" until runner "{name}" gets one')
def call_until(context, path, host, name):
    runner = context.platform.runners[name]
    n_before = len(runner.recorded_runs)
    for _ in range(MAX_TRIES):
        call(context, path, host)
        if len(runner.recorded_runs) > n_before:
            return
    raise AssertionError(f"{name} got no request")


@then(
    'runner "{name}" gets none of {count:d} further requests for "{path}" at "{host}"'
)
def check_none(context, name, count, path, host):
    runner = context.platform.runners[name]
    n_before = len(runner.recorded_runs)
    for _ in range(count):
        reply = call(context, path, host)
        assert reply.status == 200, reply
    n_got = len(runner.recorded_runs) - n_before
    assert not n_got, n_got


@then('runner "{name}" got between {least:d} and {most:d} requests')
def check_count(context, name, least, most):
    n_got = len(context.platform.runners[name].recorded_runs)
    assert least <= n_got <= most, n_got


@when('runner "{name}" starts again under its id')
def start_again(context, name):
    runner = context.platform.runners[name]
    runner.faults["leaving"] = 0
    runner.born_ms = int(context.platform.timers.wall() * 1000)
    runner.register_in_store("ready")

    def is_known():
        views = [host.view for host in context.platform.hosts.values()]
        return all(
            view.fleet.runners_by_id[name].born_ms == runner.born_ms for view in views
        )

    run(context, context.platform.wait_for(is_known))
