"""Steps on the caches of jobs and results before a store without sockets."""

from __future__ import annotations

from behave import given, then, when
from fake_store import FakeStore
from fleet_helpers import run
from job_worker_steps import make_items, make_record

from damaskjunction.gateway.job_repository import JobRepository


@given("a host whose watch of the store is faster than its writes")
def make_fast_watch(context):
    context.store = FakeStore()
    context.jobs = JobRepository(context.store)
    context.store.on_write = context.jobs.apply_object


@when('the job "{job_id}" is accepted')
def accept_job(context, job_id):
    record = make_record(job_id, ["i1"])
    run(context, context.jobs.accept(record, make_items(["i1"])))


@then('the job "{job_id}" may have results that are not cached')
def check_not_created(context, job_id):
    assert not context.jobs.pop_created(job_id)
