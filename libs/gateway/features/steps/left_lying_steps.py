"""Steps on items that lie at no runner for faults that the owner can't see."""

from __future__ import annotations

import asyncio
import logging
from unittest import mock

from behave import given, then, when
from simulated_runners import SERVICE, SLOTS

from damaskjunction.core import Outcome, RequestError
from damaskjunction.gateway.jobs import placement_check


class Lines(logging.Handler):
    """Keeps the lines of a logger."""

    def __init__(self):
        super().__init__()
        self.records = []

    def emit(self, record):
        self.records.append(record)


def watch_log(context):
    context.lines = Lines()
    logger = placement_check.logger
    logger.addHandler(context.lines)
    context.add_cleanup(logger.removeHandler, context.lines)


def home(context):
    """Return the host that keeps the slots."""
    hosts_by_id = context.fleet.hosts_by_id
    return hosts_by_id[next(iter(hosts_by_id.values())).home_id()]


@given("the home believes that all slots are in use")
def fill_pool(context):
    watch_log(context)

    async def work():
        pool = home(context).home._pool(SERVICE)
        pool._held.used_by_runner["r1"] += SLOTS

    context.runner.run(work())


@given("the home refuses each item")
def refuse_items(context):
    refusing = home(context).home
    real = type(refusing).request

    def request(self, ask, revoked):
        reservation = real(self, ask, revoked)
        if self is refusing and not ask.held_runner:
            reservation.close()
            reservation.granted = asyncio.get_running_loop().create_future()
            error = RequestError(Outcome.NOT_RUN, "refused", retry_after_s=0.1)
            reservation.granted.set_exception(error)
        return reservation

    patch = mock.patch.object(type(refusing), "request", request)
    patch.start()
    context.add_cleanup(patch.stop)


@when("a job is submitted")
def submit(context):
    context.runner.run(context.fleet.submit("h0"))


@when("{duration_s:g} s are waited")
def pass_time(context, duration_s):
    watch_log(context)
    context.runner.run(asyncio.sleep(duration_s))


@when("the runner has room again")
def free_runner(context):
    context.fleet.runners_by_id["r1"].n_foreign = 0


@then('"{text}" is logged with the pool, the reports and the past states')
def check_line(context, text):
    lines = [r for r in context.lines.records if r.getMessage() == text]
    assert lines, context.lines.records
    assert lines[0].reports == {"r1": f"0/{SLOTS}"}, lines[0].reports
    assert "waiting for a slot" in lines[0].past_states[-1], lines[0].past_states
    assert isinstance(lines[0].own_pool, dict)


@then('"{text}" is not logged')
def check_no_line(context, text):
    assert text not in [r.getMessage() for r in context.lines.records]
