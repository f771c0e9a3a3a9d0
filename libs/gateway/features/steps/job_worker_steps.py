"""Steps on the items of a host's jobs, with runs that fail or hang."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from types import SimpleNamespace

from behave import given, then, when
from fake_homes import FakeHomes, FakeView
from fake_store import FakeStore
from fleet_helpers import run

from damaskjunction.batch import BatchItem, ItemResult, JobRecord
from damaskjunction.core import ManualTimers
from damaskjunction.gateway.job_repository import JobRepository
from damaskjunction.gateway.job_worker import JobWorker
from damaskjunction.gateway.owed_items import ItemState
from damaskjunction.gateway.result_reader import ResultReader
from damaskjunction.platform import RESULTS_KIND, encode_result_list
from damaskjunction.telemetry import Metrics

CLOCK_STEP_S = 1.0
END_TIMEOUT_S = 4.0
POLL_S = 0.005
JOB = "j1"
OWN = "own"


def make_items(item_ids):
    return tuple(BatchItem(i, "/night/x", {}, b"{}", 10) for i in item_ids)


def make_record(job_id, item_ids, owner=OWN):
    tokens = tuple(10 for _ in item_ids)
    return JobRecord(job_id, "night", "host", 0.0, tuple(item_ids), tokens, 0, owner)


class FakeItemRunner:
    """Runs items at once, but for those that are told to fail or to hang."""

    def __init__(self):
        self.n_runs_by_item = Counter()
        self.errors_by_item = {}
        self.hung_state_by_item = {}
        self.n_hung_by_item = Counter()

    async def run(self, job, item, owed):
        item_id = item.item_id
        self.n_runs_by_item[item_id] += 1
        errors = self.errors_by_item.get(item_id)
        if errors:
            raise errors.pop()
        if self.n_hung_by_item[item_id] > 0:
            self.n_hung_by_item[item_id] -= 1
            owed.enter(self.hung_state_by_item[item_id])
            await asyncio.Event().wait()
        return ItemResult(item_id, True, "text")


class WorkerRig:
    """A job worker over a fake store and a fake runner of items."""

    def __init__(self):
        self.timers = ManualTimers()
        self.store = FakeStore()
        view = FakeView(FakeHomes(()))
        view.fleet = SimpleNamespace(hosts_by_id={OWN: view.own})
        context = SimpleNamespace(
            state=SimpleNamespace(view=view),
            slot_client=None,
            runner_client=None,
            timers=self.timers,
            metrics=Metrics(),
            rng=random.Random(1),
        )
        self.jobs = JobRepository(self.store)
        self.worker = JobWorker(self.jobs, context)
        self.runner = self.worker._runner = FakeItemRunner()

    async def advance(self, duration_s):
        for _ in range(int(duration_s / CLOCK_STEP_S)):
            self.timers.advance(CLOCK_STEP_S)
            await asyncio.sleep(0)

    async def wait_for(self, condition):
        for _ in range(int(END_TIMEOUT_S / POLL_S)):
            if condition():
                return
            await asyncio.sleep(POLL_S)
        raise TimeoutError


@given('a host that owns the job "{job_id}" of the items "{item_ids}"')
def make_host(context, job_id, item_ids):
    context.item_ids = item_ids.split(",")

    async def make():
        rig = WorkerRig()
        await rig.worker.start()
        return rig

    context.rig = run(context, make())


@given('the runs of "{item_id}" fail unexpectedly {count:d} times')
def fail_runs(context, item_id, count):
    errors = [ValueError("unexpected") for _ in range(count)]
    context.rig.runner.errors_by_item[item_id] = errors


@given('the runs of "{item_id}" are cancelled {count:d} times')
def cancel_runs(context, item_id, count):
    errors = [asyncio.CancelledError() for _ in range(count)]
    context.rig.runner.errors_by_item[item_id] = errors


@given('the run of "{item_id}" does not end')
def hang_always(context, item_id):
    hang(context, item_id, 1_000_000, ItemState.QUEUED.value)


@given('the run of "{item_id}" hangs {count:d} times in the state "{state}"')
def hang(context, item_id, count, state):
    context.rig.runner.n_hung_by_item[item_id] = count
    context.rig.runner.hung_state_by_item[item_id] = ItemState(state)


@when("the job runs")
def start_job(context):
    record = make_record(JOB, context.item_ids)
    run(context, context.rig.jobs.accept(record, make_items(context.item_ids)))
    run(context, asyncio.sleep(POLL_S))


@when("the job runs for {duration_s:g} s")
def run_job(context, duration_s):
    start_job(context)
    pass_time(context, duration_s)


@when("{duration_s:g} more seconds pass")
def pass_time(context, duration_s):
    run(context, context.rig.advance(duration_s))


@when("the job is cancelled by its caller")
def cancel_job(context):
    run(context, context.rig.jobs.update_status(JOB, is_ended=True))


@then('the job ends with results of "{item_ids}"')
def check_results(context, item_ids):
    rig = context.rig
    run(context, rig.wait_for(lambda: rig.jobs.jobs_by_id[JOB].status.is_done))
    found = sorted(result.item_id for result in rig.jobs.results.cached(JOB))
    assert found == item_ids.split(","), found


@then('"{item_id}" ran {count:d} times')
def check_runs(context, item_id, count):
    n_runs = context.rig.runner.n_runs_by_item[item_id]
    assert n_runs == count, n_runs


@then('"{item_id}" runs {count:d} times')
def wait_for_runs(context, item_id, count):
    rig = context.rig
    run(context, rig.wait_for(lambda: rig.runner.n_runs_by_item[item_id] == count))


@then("no item of the job is owed")
def check_nothing_owed(context):
    rig = context.rig
    run(context, rig.wait_for(lambda: not rig.worker.owed_items.to_document()))


@when('the results of "{item_ids}" are stored')
def wait_until_stored(context, item_ids):
    rig, count = context.rig, len(item_ids.split(","))
    run(context, rig.wait_for(lambda: len(rig.jobs.results.cached(JOB)) == count))


@when("the host reads the results of {count:d} other jobs")
def read_others(context, count):
    rig = context.rig
    results = encode_result_list([ItemResult("i0", True, "text")])
    content = {"results": results, "is_full": False}
    for number in range(count):
        name = f"other{number}"
        run(context, rig.store.create(RESULTS_KIND, name, content))
        run(context, rig.jobs.results.read(name))


@then('the host returns the results of "{item_ids}" of its job')
def check_read(context, item_ids):
    rig = context.rig
    job = rig.jobs.jobs_by_id[JOB]
    view = rig.worker._state.view
    reader = ResultReader(rig.jobs, rig.worker, view, None, rig.timers)
    found = run(context, reader.read(job, 0, 0.0))
    assert sorted(r.item_id for r in found) == item_ids.split(","), found
