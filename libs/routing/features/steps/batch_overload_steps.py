"""Steps of the feature on more batch work than the runners can do in time."""

from __future__ import annotations

import random

from batch_load import DUE_S, MEAN_WORK_S, N_BATCH_SLOTS, Asked
from batch_load import play as play_load
from behave import then, when

ARRIVALS_S = 20.0


def play(times, rule, arrivals_s=ARRIVALS_S):
    """Return the requests that a pool serves; all wait until they are served."""
    rng = random.Random(1)
    n_requests = int(times * N_BATCH_SLOTS / MEAN_WORK_S * arrivals_s)
    requests = [Asked(rng.uniform(0.0, arrivals_s)) for _ in range(n_requests)]
    return play_load(requests, rng, rule)


def n_best(times):
    """Return how many requests the best order ends in time.

    The slots are filled from the first arrival until the last request is due.
    """
    n_requests = int(times * N_BATCH_SLOTS / MEAN_WORK_S * ARRIVALS_S)
    return min(n_requests, N_BATCH_SLOTS * (ARRIVALS_S + DUE_S) / MEAN_WORK_S)


def n_in_time(served):
    return sum(s.is_in_time for s in served)


@when("requests come {times:g} times as fast as the runners can serve them")
def play_in_time_first(context, times):
    context.times, context.served = times, play(times, "in_time_first")


@when("requests come {times:g} times as fast for {arrivals_s:g} s")
def play_longer(context, times, arrivals_s):
    context.served = play(times, "in_time_first", arrivals_s)
    context.arrivals_s = arrivals_s


@then("at least {share:g} of what the best order ends in time ends in time")
def check_at_least(context, share):
    found = n_in_time(context.served) / n_best(context.times)
    assert found >= share, found


@then("at least half again as many end in time as by due time alone")
def check_against_due_time(context):
    by_due_time = n_in_time(play(context.times, "earliest_due"))
    assert n_in_time(context.served) >= 1.5 * by_due_time, by_due_time


@then("each request ends once")
def check_all_end(context):
    assert (
        context.served
    )  # batch_load.play() asserts that none ends twice or is missing


@then("no request waits for more than {limit_s:g} s while others come")
def check_waits(context, limit_s):
    waits_s = [
        min(s.began_at_s, context.arrivals_s) - s.came_at_s for s in context.served
    ]
    assert max(waits_s) <= limit_s, max(waits_s)
