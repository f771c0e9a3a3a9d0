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
from damaskjunction.core import (
    LoopTimers,
    ManualTimers,
    Outcome,
    PlatformUnavailableError,
    PlatformUnknownError,
    RequestError,
)
from damaskjunction.gateway.jobs.job_repository import JobRepository
from damaskjunction.gateway.jobs.job_worker import JobWorker
from damaskjunction.gateway.jobs.owed_items import ItemState
from damaskjunction.gateway.jobs.result_reader import ResultReader
from damaskjunction.gateway.jobs.result_repository import (
    ResultRepository,
    ResultSegment,
)
from damaskjunction.gateway.jobs.result_writer import ResultWriter
from damaskjunction.http import ReceiveBudget
from damaskjunction.platform import (
    JOBS_KIND,
    RESULTS_KIND,
    encode_record,
    encode_result_list,
)
from damaskjunction.telemetry import Metrics
from damaskjunction.wire import ResultsAsk

CLOCK_STEP_S = 1.0
END_TIMEOUT_S = 4.0
POLL_S = 0.005
JOB = "j1"
OWN = "own"


def make_items(item_ids):
    return tuple(BatchItem(i, "/night/x", {}, b"{}", 10) for i in item_ids)


def make_record(job_id, item_ids, owner=OWN, sent_at_s=0.0):
    tokens = tuple(10 for _ in item_ids)
    return JobRecord(
        job_id, "night", "host", sent_at_s, tuple(item_ids), tokens, 0, owner
    )


def make_own_record(context):
    """Return the record of the job that the host owns, accepted now."""
    sent_at_s = context.rig.timers.wall()
    return make_record(JOB, context.item_ids, sent_at_s=sent_at_s)


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
        self.metrics = Metrics()
        view = FakeView(FakeHomes(()))
        view.fleet = SimpleNamespace(hosts_by_id={OWN: view.own})
        context = SimpleNamespace(
            state=SimpleNamespace(
                view=view,
                has_engines=lambda service: False,
                table=SimpleNamespace(find_by_name=lambda name: None),
            ),
            slot_client=None,
            runner_client=None,
            runner_faults=None,
            timers=self.timers,
            metrics=self.metrics,
            rng=random.Random(1),
            version_registry=None,
            budget=ReceiveBudget(),
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
    record = make_own_record(context)
    run(context, context.rig.jobs.accept(record, make_items(context.item_ids)))
    run(context, asyncio.sleep(POLL_S))


@when('the host takes over the job of "{former}"')
def take_over_job(context, former):
    rig = context.rig
    record = make_record(JOB, context.item_ids, owner=former)

    async def work():
        content = encode_record(record, make_items(context.item_ids))
        rig.jobs.apply_object(await rig.store.create(JOBS_KIND, JOB, content))
        await rig.jobs.update_status(JOB, owner=OWN)
        await rig.wait_for(lambda: rig.worker.collects_results(JOB))

    run(context, work())


@when('"{former}" writes the result of "{item_id}" after that')
def write_as_former_owner(context, former, item_id):
    former_results = ResultRepository(context.rig.store)
    segment = ResultSegment((ItemResult(item_id, True, "text"),), False)
    assert run(context, former_results.write(JOB, 0, segment)), former


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


def add_result(context, item_id):
    """Write a result of the job as the runs of its items do."""
    rig = context.rig
    writer = ResultWriter(rig.jobs.results, JOB, rig.worker.back_off, 1)
    context.writing = asyncio.ensure_future(
        writer.add(ItemResult(item_id, True, "text"))
    )


@when('the result of "{item_id}" is written, but the store is away from then on')
def write_without_answer(context, item_id):
    store = context.rig.store

    def lose_answer(stored):
        store.is_away = True
        raise PlatformUnknownError("no answer")

    async def write():
        store.on_write = lose_answer
        add_result(context, item_id)
        await context.rig.wait_for(lambda: store.is_away)

    run(context, write())


@when('the result of "{item_id}" is written, but the answer does not come')
def write_without_end(context, item_id):
    store = context.rig.store
    context.is_asked = asyncio.Event()

    async def hang():
        context.is_asked.set()
        await asyncio.Event().wait()

    async def write():
        store.before_call = hang
        add_result(context, item_id)
        await context.is_asked.wait()
        store.before_call = None

    run(context, write())


@when("the writer reaches the store again")
def restore_store(context):
    context.rig.store.on_write = lambda stored: None
    context.rig.store.is_away = False
    run(context, asyncio.wait_for(context.writing, END_TIMEOUT_S))


def make_reader(context):
    rig = context.rig
    view = rig.worker._state.view
    return ResultReader(rig.jobs, rig.worker, view, None, LoopTimers())


@then("a read of the job from position {position:d} fails")
def check_unavailable(context, position):
    job = context.rig.jobs.jobs_by_id[JOB]
    try:
        found = run(context, make_reader(context).read(job, position, 0.0))
    except PlatformUnavailableError:
        return
    raise AssertionError(found)


@then(
    "another host that asks for the results from position {position:d} is told to "
    "read the store"
)
def check_not_served(context, position):
    replies = []

    async def reply(message):
        replies.append(message)

    handlers = {}
    register = SimpleNamespace(
        register=lambda kind: lambda handler: handlers.setdefault(kind, handler)
    )
    make_reader(context).register(register)
    try:
        run(context, handlers[ResultsAsk](ResultsAsk(JOB, position, 0.0), reply))
    except RequestError as error:
        assert error.outcome is Outcome.NOT_RUN, error
        return
    raise AssertionError(replies)


@when("the host applies a list of the store from before the job")
def apply_older_list(context):
    context.rig.jobs.replace_all(())


@then('the host returns the results of "{item_ids}" of its job')
def check_read(context, item_ids):
    job = run(context, context.rig.jobs.find(JOB))
    found = run(context, make_reader(context).read(job, 0, 0.0))
    assert sorted(r.item_id for r in found) == item_ids.split(","), found


@when('the result of "{item_id}" is being written for {duration_s:g} s')
def write_slowly(context, item_id, duration_s):
    store = context.rig.store
    context.is_asked = asyncio.Event()

    async def delay():
        store.before_call = None
        context.is_asked.set()
        await asyncio.sleep(duration_s)

    async def write():
        store.before_call = delay
        add_result(context, item_id)
        await context.is_asked.wait()

    run(context, write())


@then(
    'a read of the job from position {position:d} returns "{item_id}" without a call '
    "to the store"
)
def check_read_without_call(context, position, item_id):
    async def fail():
        raise AssertionError("the store was called")

    context.rig.store.before_call = fail
    job = context.rig.jobs.jobs_by_id[JOB]
    found = run(context, make_reader(context).read(job, position, 0.0))
    context.rig.store.before_call = None
    assert [result.item_id for result in found] == [item_id], found
