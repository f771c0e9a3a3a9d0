"""Steps of the feature on the fair order of workspaces."""

from __future__ import annotations

import random
from collections import Counter

from batch_load import MEAN_WORK_S, N_BATCH_SLOTS, Asked, batch_ticket
from batch_load import play as play_load
from behave import given, then, when
from workspace_load import RATES, play

from damaskjunction.routing import SlotPool

BATCH_ARRIVALS_S = 30.0


@given("the pool is not told the workspaces")
def tell_nothing(context):
    context.is_told = False


@given("the weight of {workspace} is {weight:g}")
def set_weight(context, workspace, weight):
    context.weights = {workspace: weight}


@when("{hot} send {times:g} times their usual")
def play_hot(context, hot, times):
    context.hot = list(RATES) if hot == "all" else hot.split(", ")
    factors = dict.fromkeys(context.hot, times)
    is_told = getattr(context, "is_told", True)
    weights = getattr(context, "weights", None)
    context.usual = play({}, is_told=is_told, weights=weights)
    context.found = play(factors, is_told=is_told, weights=weights)
    context.untold = play(factors, is_told=False)


def others(context):
    return [workspace for workspace in RATES if workspace not in context.hot]


@then(
    "each other workspace has {share:g} of the answers in time that it has without them"
)
def check_others(context, share):
    for name in others(context):
        n_usual, n_found = context.usual.n_in_goal[name], context.found.n_in_goal[name]
        assert n_found >= share * n_usual, (name, n_found, n_usual)


@then("nobody's slots stay unused: at least {share:g} of what is served in any order")
def check_use(context, share):
    n_found = context.found.n_served.total()
    assert n_found >= share * context.untold.n_served.total(), n_found


@then("some other workspace has less than {share:g} of the answers in time")
def check_loss(context, share):
    worst = min(context.found.share_in_goal(name) for name in others(context))
    assert worst < share, worst


@then("{workspace} has at least the answers in time that it has at its usual")
def check_hot(context, workspace):
    n_found = context.found.n_in_goal[workspace]
    assert n_found >= context.usual.n_in_goal[workspace], n_found


@then(
    "the dump tells of at most {count:d} workspaces, of {workspace} first, and of a "
    "request that gave way"
)
def check_dump(context, count, workspace):
    document = context.found.document
    names = [share["workspace"] for share in document["shares"]]
    assert names[0] == workspace, names
    assert len(names) <= count, names
    assert document["n_yielded"] > 0, document
    assert document["last_yield"]["workspace"] == workspace, document


@then("{first} has at least twice as many answers as {second}")
def check_weight(context, first, second):
    n_served = context.found.n_served
    assert n_served[first] >= 2 * n_served[second], n_served


@then("in no second more than {count:d} calls of a workspace are told to come back")
def check_returns(context, count):
    n_by_second = Counter((name, int(at_s)) for name, at_s in context.found.returns)
    assert n_by_second
    assert max(n_by_second.values()) <= count, n_by_second.most_common(3)


@then("each workspace is served at least half as often as all")
def check_none_starves(context):
    found = context.found
    of_all = found.n_served.total() / found.n_asked.total()
    for name in RATES:
        assert found.n_served[name] / found.n_asked[name] >= 0.5 * of_all, name


# Batch requests


@when(
    "batch requests come at {load:g} of what 40 slots can do, "
    'and {rate:d} a second of "dump"'
)
def play_batch(context, load, rate):
    rng = random.Random(1)
    n_others = int(load * N_BATCH_SLOTS / MEAN_WORK_S * BATCH_ARRIVALS_S)
    names = [f"w{n % 10}" for n in range(n_others)]
    names += ["dump"] * int(rate * BATCH_ARRIVALS_S)
    requests = [Asked(rng.uniform(0.0, BATCH_ARRIVALS_S), name) for name in names]
    context.served = play_load(requests, rng)


@then(
    'at least {share:g} of the others end in time, and of "dump" as many as slots are '
    "left"
)
def check_batch(context, share):
    others = [s.is_in_time for s in context.served if s.workspace != "dump"]
    assert sum(others) >= share * len(others), (sum(others), len(others))
    n_dump = sum(s.is_in_time for s in context.served if s.workspace == "dump")
    n_left = 0.5 * N_BATCH_SLOTS * BATCH_ARRIVALS_S / MEAN_WORK_S
    assert n_dump >= n_left, (n_dump, n_left)


@given(
    'one batch request each of "{names}" due in {due_s:g} s wait, '
    'and {count:d} of "dump" due in {dump_due_s:g} s'
)
def let_wait(context, names, due_s, count, dump_due_s):
    """Let requests wait for the only slot for batch."""
    context.pool = SlotPool()
    context.pool.set_runners({"r": 2}, 0.0)
    tickets = [batch_ticket("first", 5.0, "first")]
    tickets += [batch_ticket(name, due_s, name) for name in names.split(",")]
    tickets += [batch_ticket(f"d{n}", dump_due_s, "dump") for n in range(count)]
    for ticket in tickets:
        context.pool.submit(ticket, 0.0)


@then('the first {count:d} granted are of "dump"')
def check_first(context, count):
    ended = "first"
    for _ in range(count):
        (granted,) = context.pool.release(ended, 1.0)
        assert granted.request_id.startswith("d"), granted
        ended = granted.request_id
