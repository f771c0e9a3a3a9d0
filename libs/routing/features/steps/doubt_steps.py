"""Steps of the feature on runners in doubt."""

from __future__ import annotations

import heapq
import random

from behave import then, when
from slot_steps import make_ticket, submit_requests, take_effects

from damaskjunction.core import WorkClass
from damaskjunction.routing import GrantSlot, SlotPool

N_RUNNERS = 10
DURATION_S = 8.0
HOLD_S = 0.3
NOTICE_S = 0.6  # after which a request that hangs is reported
HANG_S = 2.4  # for which it keeps its slot


@when('runner "{runner}" fails a request and answers another one')
def fail_and_answer(context, runner):
    context.pool.record_failure(runner, context.now_s)
    context.pool.record_success(runner)


@when('requests "{ids}" with one attempt each ask for slots')
def submit_only_attempts(context, ids):
    submit_requests(context, ids, is_only_attempt=True)


@when("{duration_s:g} s pass in the pool")
def pass_time(context, duration_s):
    context.now_s += duration_s


@then('"{ids}" are granted at "{runners}"')
def check_runners(context, ids, runners):
    granted = {e.request_id: e.runner_id for e in take_effects(context, GrantSlot)}
    expected = dict(zip(ids.split(","), runners.split(","), strict=True))
    assert granted == expected, granted


def count_lost(context, rate_per_s, share, n_failing, *, tells):
    """Play the load; return how many requests with one attempt hang."""
    rng = random.Random(7)
    pool = context.pool = SlotPool()
    context.now_s = 100.0
    pool.set_runners({f"r{n}": 8 for n in range(N_RUNNERS)}, context.now_s)
    events, n_lost = [], 0
    for number in range(int(rate_per_s * DURATION_S)):
        is_only = rng.random() < share
        heapq.heappush(events, (100.0 + number / rate_per_s, number, "ask", is_only))
    while events:
        context.now_s, number, kind, detail = heapq.heappop(events)
        if kind == "ask":
            ticket = make_ticket(
                context,
                f"q{number}",
                WorkClass.ONLINE,
                is_only_attempt=detail and tells,
            )
            for grant in pool.submit(ticket, context.now_s):
                runner_id = grant.runner_id
                hangs = int(runner_id[1:]) < n_failing and rng.random() < 0.5
                n_lost += hangs and detail
                result, after_s = ("silent", NOTICE_S) if hangs else ("well", HOLD_S)
                entry = (context.now_s + after_s, number, result, runner_id)
                heapq.heappush(events, entry)
                end_s = context.now_s + (HANG_S if hangs else HOLD_S)
                heapq.heappush(events, (end_s, number, "end", runner_id))
        elif kind == "silent":
            pool.record_failure(detail, context.now_s)
        elif kind == "well":
            pool.record_success(detail)
        else:
            pool.release(f"q{number}", context.now_s)
    return n_lost


@when(
    "{rate:d} requests a second, of which {share:g} have one attempt, "
    "meet {count:d} of 10 such runners"
)
def play_load(context, rate, share, count):
    context.n_lost = count_lost(context, rate, share, count, tells=True)
    context.n_lost_untold = count_lost(context, rate, share, count, tells=False)


@then("at most half as many are lost as when all might be tried again")
def check_lost(context):
    lost = (context.n_lost, context.n_lost_untold)
    print(lost)
    assert 2 * context.n_lost <= context.n_lost_untold, lost
