"""Steps of decisions.feature."""

from __future__ import annotations

import json
import random

from behave import given, then, when
from hypothesis import given as hypothesis_given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies

from damaskjunction.batch import (
    FairShareLedger,
    GiveUp,
    ItemReader,
    ItemResult,
    ItemRetryState,
    JobOrderInput,
    JobProgress,
    Resume,
    compute_slice,
    estimate_stored_bytes,
    forecast_job,
    job_orders,
)
from damaskjunction.core import FindingsError, Outcome, RequestError


@when(
    "{n_items:d} items of {n_tokens:d} tokens are uploaded in blocks of {size:d} bytes"
)
def feed_items(context, n_items, n_tokens, size):
    line = json.dumps({"prompt": "x", "max_tokens": n_tokens})
    body = "\n".join([line] * n_items).encode()
    reader = ItemReader("items")
    chunks = []
    for first in range(0, len(body), size):
        chunks += reader.feed(body[first : first + size])
    chunks += reader.finish()
    context.sizes = [len(chunk["items"]) for chunk in chunks]
    assert [chunk["first"] for chunk in chunks] == [
        sum(context.sizes[:number]) for number in range(len(chunks))
    ]


@then("the chunks have {first:d}, {second:d} and {third:d} items")
def check_sizes(context, first, second, third):
    assert context.sizes == [first, second, third], context.sizes


@when('the lines "{first}", "{second}", "{third}" are uploaded')
def feed_lines(context, first, second, third):
    reader = ItemReader("items")
    list(reader.feed("\n".join((first, second, third)).encode()))
    try:
        list(reader.finish())
    except FindingsError as error:
        context.findings = error.findings


@then('findings are reported for lines "{lines}"')
def check_lines(context, lines):
    found = [finding.location.line for finding in context.findings]
    assert found == [int(line) for line in lines.split(",")], context.findings


@given("an item with {n_failed:d} of at most {max_tries:d} failed attempts")
def make_retry_state(context, max_tries, n_failed):
    context.retry_state = ItemRetryState(max_tries)
    for _ in range(n_failed):
        context.retry_state.next_step(RequestError(Outcome.UNKNOWN, "runner_lost"))


@when('an attempt ends as "{outcome}" with "{reason}"')
def end_attempt(context, outcome, reason):
    context.decision = context.retry_state.next_step(
        RequestError(Outcome(outcome), reason)
    )


@then("the item is resumed")
def check_resumed(context):
    assert isinstance(context.decision, Resume), context.decision


@then("the item is given up after {n_failed:d} failed attempts")
def check_given_up(context, n_failed):
    assert isinstance(context.decision, GiveUp), context.decision
    assert context.decision.tries == n_failed, context.decision


@given('jobs with id, workspace and deadline "{text}"')
def make_jobs(context, text):
    rows = [row.strip().split(":") for row in text.split(",")]
    context.jobs = [
        {"job_id": job_id, "workspace": workspace, "deadline_at": float(deadline)}
        for job_id, workspace, deadline in rows
    ]
    context.ledger = FairShareLedger()


@when('{n_items:d} items of workspace "{workspace}" were served')
def serve(context, n_items, workspace):
    context.ledger.add(workspace, n_items, 1.0)


@then('the order is "{names}"')
def check_order(context, names):
    order_input = JobOrderInput(context.jobs, context.ledger.served_by_workspace)
    order = [job["job_id"] for job in job_orders.get("fair_deadline")(order_input)]
    assert order == names.split(","), order


@when(
    "{n_finished:d} of 100 items are finished after {elapsed_s:d} s "
    "with {left_s:d} s left"
)
def forecast(context, n_finished, elapsed_s, left_s):
    context.forecast = forecast_job(JobProgress(100, n_finished, elapsed_s, left_s))


@then('the forecast is "{prospect}"')
def check_forecast(context, prospect):
    assert context.forecast.prospect == prospect, context.forecast


@given("a pool of {total:d} for {n_hosts:d} hosts")
def make_pool(context, total, n_hosts):
    context.pool = {"total": float(total), "left": float(total)}
    context.n_hosts = n_hosts


@when(
    "they acquire slices {count:d} times with seed {seed:d} "
    "and on average 1 of 4 responses lost"
)
def acquire_slices(context, count, seed):
    rng = random.Random(seed)
    version = 1
    known_pools = [(version, dict(context.pool)) for _ in range(context.n_hosts)]
    context.granted = 0.0
    for number in range(count):
        host = rng.randrange(context.n_hosts)
        known_version, pool = known_pools[host]
        need = rng.uniform(1, 30)
        acquired = compute_slice(
            pool, need, n_hosts=context.n_hosts, elapsed=min(1.0, number / count)
        )
        if acquired.amount and known_version == version:
            version += 1
            context.pool["left"] = pool["left"] - acquired.amount
            if rng.randrange(4):
                context.granted += acquired.amount
        if rng.randrange(2):
            known_pools[host] = (version, dict(context.pool))


@then("the granted total is positive and at most {total:d}")
def check_granted(context, total):
    assert 0 < context.granted <= total, context.granted


@then("no results take more bytes as JSON than estimated, nor {bound:d} fewer for each")
def check_estimates(context, bound):
    @hypothesis_settings(deadline=None, database=None, derandomize=True)
    @hypothesis_given(
        strategies.lists(
            strategies.builds(
                ItemResult, strategies.text(), strategies.booleans(), strategies.text()
            ),
            min_size=1,
        )
    )
    def check(results):
        stored_bytes = len(json.dumps([list(result) for result in results]))
        excess_bytes = estimate_stored_bytes(results) - stored_bytes
        assert 0 <= excess_bytes <= bound * len(results), (excess_bytes, results)

    check()
