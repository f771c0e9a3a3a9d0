"""Steps on the log and the dump of owed items."""

from __future__ import annotations

import logging
from collections import Counter
from contextlib import ExitStack

from behave import given, then, when
from fleet_helpers import run

from damaskjunction.core import ManualTimers
from damaskjunction.gateway.jobs import owed_items
from damaskjunction.gateway.jobs.owed_items import ItemState, OwedItems
from damaskjunction.telemetry import Metrics

STEP_S = 0.5


class ItemLog(logging.Handler):
    """Counts the lines on each item."""

    def __init__(self):
        super().__init__()
        self.n_lines_by_item = Counter()

    def emit(self, record):
        if record.getMessage() == "item waits long":
            self.n_lines_by_item[record.item] += 1


def own(context, item_id):
    """Let the host owe an item."""
    owed = context.owed_items.track("j1", item_id)
    context.items_by_id[item_id] = context.tracking.enter_context(owed)


@given('a host that owes the item "{item_id}"')
def make_host(context, item_id):
    context.timers = ManualTimers()
    context.owed_items = OwedItems(context.timers, Metrics())
    context.items_by_id = {}
    context.item_log = ItemLog()
    context.tracking = ExitStack()
    context.add_cleanup(context.tracking.close)
    owed_items.logger.addHandler(context.item_log)
    context.add_cleanup(owed_items.logger.removeHandler, context.item_log)
    run(context, context.owed_items.start())
    own(context, item_id)


@given('{count:d} items of the host are queued before "{item_id}"')
def add_queued(context, count, item_id):
    for number in range(count):
        own(context, f"q{number}")
    own(context, item_id)


def repeat(context, item_id, states, period_s, duration_s):
    """Let an item enter each state by turns, one each ``period_s``."""
    item = context.items_by_id[item_id]
    n_entered = 0
    for number in range(int(duration_s / STEP_S)):
        if number * STEP_S >= n_entered * period_s:
            item.enter(states[n_entered % len(states)], place="a-1")
            n_entered += 1
        context.timers.advance(STEP_S)


@when('"{item_id}" asks for a slot each {period_s:g} s for {duration_s:g} s')
def ask_repeatedly(context, item_id, period_s, duration_s):
    repeat(context, item_id, [ItemState.WAITING_FOR_SLOT], period_s, duration_s)


@when('"{item_id}" is refused and delayed each {period_s:g} s for {duration_s:g} s')
def refuse_repeatedly(context, item_id, period_s, duration_s):
    states = [ItemState.WAITING_FOR_SLOT, ItemState.DELAYED]
    repeat(context, item_id, states, period_s / 2, duration_s)


@when('"{item_id}" is at a runner for 2 s in each 4 s for {duration_s:g} s')
def run_repeatedly(context, item_id, duration_s):
    states = [ItemState.RUNNING, ItemState.WAITING_FOR_SLOT]
    repeat(context, item_id, states, 2.0, duration_s)


@when("no item changes for {duration_s:g} s")
def pass_time(context, duration_s):
    context.timers.advance(duration_s)


@then('"{item_id}" is logged {count:d} times')
def check_count(context, item_id, count):
    n_lines = context.item_log.n_lines_by_item[item_id]
    assert n_lines == count, n_lines


@then("all {count:d} items are logged")
def check_all_logged(context, count):
    logged = context.item_log.n_lines_by_item.keys()
    assert len(logged) == count, context.items_by_id.keys() - logged


@then(
    'the dump tells that "{item_id}" is "{state}" for {since_s:g} s, at no runner for '
    "{away_s:g} s"
)
def check_dump(context, item_id, state, since_s, away_s):
    document = context.owed_items.to_document()[item_id]
    found = (document["state"], document["since_s"], document["at_no_runner_s"])
    assert found == (state, since_s, away_s), document
