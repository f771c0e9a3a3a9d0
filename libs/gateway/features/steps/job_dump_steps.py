"""Steps on what the dump and the gauges of a host tell of its jobs."""

from __future__ import annotations

from behave import given, then
from fleet_helpers import run
from job_worker_steps import make_items, make_own_record, make_record

from damaskjunction.gateway.jobs.job_repository import JobRepository
from damaskjunction.platform import JOBS_KIND


@given('the job "{job_id}" of the lost host "{owner}" is known')
def know_job(context, job_id, owner):
    sent_at_s = context.rig.timers.wall()
    record = make_record(job_id, ["k1"], owner, sent_at_s)
    run(context, context.rig.jobs.accept(record, make_items(["k1"])))


def job_document(context, job_id):
    return context.rig.worker.to_document()[job_id]


@then(
    'the dump tells that "{job_id}" of "{owner}" is run here with {listed:d} of '
    "{count:d} items listed"
)
def check_run_here(context, job_id, owner, listed, count):
    expected = {
        "owner": owner,
        "is_owner_known": True,
        "runs_here": True,
        "n_items": count,
        "n_results_known": listed,
        "age_s": 0.0,
        "items_without_worker": [],
    }
    assert job_document(context, job_id) == expected, job_document(context, job_id)


@then('the dump tells that "{job_id}" of "{owner}" is run nowhere')
def check_run_nowhere(context, job_id, owner):
    document = job_document(context, job_id)
    assert document["owner"] == owner, document
    assert not document["is_owner_known"], document
    assert not document["runs_here"], document


@given("the host knows its job, and the store is away")
def know_own_job(context):
    rig = context.rig
    record = make_own_record(context)
    other = JobRepository(rig.store)
    items = make_items(context.item_ids)
    run(context, other.accept(record, items))
    (stored,) = rig.store.objects_of(JOBS_KIND)
    rig.store.is_away = True

    async def learn():
        rig.jobs.apply_object(stored)

    run(context, learn())


@then(
    'the dump tells that the items "{item_ids}" of "{job_id}" have no worker, for '
    "{age_s:g} s"
)
def check_without_worker(context, item_ids, job_id, age_s):
    document = job_document(context, job_id)
    assert document["items_without_worker"] == item_ids.split(","), document
    assert document["age_s"] == age_s, document


@then("{count:d} jobs count as without a live owner")
def check_ownerless(context, count):
    text = context.rig.metrics.to_text()
    assert f"jobs_without_owner {count}" in text, text


@then("the gauge of owed items is the {count:d} that the host runs")
def check_owed_gauge(context, count):
    text = context.rig.metrics.to_text()
    assert f"items_owed {count}" in text, text
