"""Steps on the caches of jobs and results before a store without sockets."""

from __future__ import annotations

import asyncio
import base64
import json
from types import SimpleNamespace

from behave import given, then, when
from fake_homes import make_host
from fake_store import FakeStore
from fleet_helpers import run
from job_worker_steps import make_items, make_record

from damaskjunction.batch import ItemResult
from damaskjunction.core import ManualTimers
from damaskjunction.gateway.jobs.job_front import JobFront
from damaskjunction.gateway.jobs.job_repository import JobRepository
from damaskjunction.gateway.jobs.result_repository import (
    ResultRepository,
    ResultSegment,
    segment_name,
)
from damaskjunction.gateway.jobs.result_writer import ResultWriter
from damaskjunction.http import BodyReader, Request
from damaskjunction.node import HostView, cancel_tasks
from damaskjunction.platform import (
    ITEM_PATH_PREFIX,
    JOB_PATH_PREFIX,
    RESULTS_KIND,
    CallerRequest,
    decode_result_list,
    encode_result_list,
)
from damaskjunction.routing import Route, RouteKind


@given("a host whose watch of the store is faster than its writes")
def make_fast_watch(context):
    context.store = FakeStore()
    context.jobs = JobRepository(context.store)
    context.store.on_write = context.jobs.apply_object

    def begin_run(job_id):
        context.run = asyncio.ensure_future(context.jobs.pop_created(job_id))

    async def work():
        context.jobs.subscribe(begin_run)

    run(context, work())


@when('the job "{job_id}" is accepted')
def accept_job(context, job_id):
    record = make_record(job_id, ["i1"])
    run(context, context.jobs.accept(record, make_items(["i1"])))


@then('the run that the watch began knows that "{job_id}" is new')
def check_new(context, job_id):
    async def work():
        assert await context.run

    run(context, work())


@then('a later run of "{job_id}" reads its results')
def check_not_new(context, job_id):
    assert not run(context, context.jobs.pop_created(job_id))


def make_result(number):
    return ItemResult(f"i{number}", True, "text")


@given('the job "{job_id}" has {count:d} full segments of results in the store')
def store_segments(context, job_id, count):
    context.store = FakeStore()
    context.job_id = job_id
    for index in range(count):
        content = {"results": encode_result_list([make_result(index)]), "is_full": True}
        name = segment_name(RESULTS_KIND, job_id, index)
        run(context, context.store.create(RESULTS_KIND, name, content))


@given("a host has cached the first {count:d} of them")
def cache_segments(context, count):
    context.results = ResultRepository(context.store)
    missing = context.store.hide(
        RESULTS_KIND, segment_name(RESULTS_KIND, context.job_id, count)
    )
    run(context, context.results.read(context.job_id))
    context.store.show(missing)


@given("a host has cached all of them")
def cache_all_segments(context):
    context.results = ResultRepository(context.store)
    run(context, context.results.read(context.job_id))


def displace(context, count):
    """Let the next call to the store last until ``count`` other jobs were read."""
    content = {"results": encode_result_list([make_result(0)]), "is_full": False}

    async def read_others():
        context.store.before_call = None
        for number in range(count):
            await context.store.create(RESULTS_KIND, f"other{number}", content)
            await context.results.read(f"other{number}")

    context.store.before_call = read_others


@when("the host reads the results while it reads those of {count:d} other jobs")
def read_displaced(context, count):
    displace(context, count)
    segments = run(context, context.results.read(context.job_id))
    context.found = [result for segment in segments for result in segment.results]


@when(
    'the host writes a result of "{job_id}" while it reads those of {count:d} other '
    "jobs"
)
def write_displaced(context, job_id, count):
    n_segments = len(context.results.cached_segments(job_id))
    displace(context, count)
    added = ResultSegment((make_result(n_segments),), False)
    work = context.results.write(job_id, n_segments, added)
    assert run(context, work)


@then("it returns all {count:d} results in their order")
def check_results(context, count):
    expected = [make_result(number) for number in range(count)]
    assert context.found == expected, context.found


@then("the store has all {count:d} results in their order")
def check_stored(context, count):
    other = ResultRepository(context.store)
    segments = run(context, other.read(context.job_id))
    context.found = [result for segment in segments for result in segment.results]
    check_results(context, count)


def make_own_results(job_id):
    return [ItemResult(f"{job_id}-{number}", True, "text") for number in range(3)]


@when('the jobs "{ids}" each have results of 3 segments')
def write_segments_of_jobs(context, ids):
    context.ids = ids.split(",")
    for index in range(3):
        for job_id in context.ids:
            segment = ResultSegment((make_own_results(job_id)[index],), index < 2)
            run(context, context.results.write(job_id, index, segment))


def read_afresh(context, job_id):
    segments = run(context, ResultRepository(context.store).read(job_id))
    return [result for segment in segments for result in segment.results]


@then("each of them has its own results alone")
def check_own_results(context):
    for job_id in context.ids:
        found = read_afresh(context, job_id)
        assert found == make_own_results(job_id), (job_id, found)


@then("the results of the first are deleted without those of the others")
def check_deleted(context):
    first, *others = context.ids
    run(context, ResultRepository(context.store).delete(first))
    assert read_afresh(context, first) == []
    for job_id in others:
        assert read_afresh(context, job_id) == make_own_results(job_id), job_id


@given("a store whose objects hold {count:d} bytes")
def make_bounded_store(context, count):
    context.store = FakeStore()
    context.store.max_bytes = count
    context.results = ResultRepository(context.store)


async def back_off(n_failures):
    await asyncio.sleep(0.1)


@when("{count:d} results of {size:d} bytes are written at once")
def write_large(context, count, size):
    write_at_once(context, [size] * count)


def write_at_once(context, sizes):
    async def work():
        writer = ResultWriter(context.results, "j1", back_off, len(sizes))
        results = make_results(sizes)
        context.adding = [asyncio.ensure_future(writer.add(r)) for r in results]

    run(context, work())


def make_results(sizes):
    return [ItemResult(f"i{n:02d}", True, "x" * size) for n, size in enumerate(sizes)]


@when('results of "{sizes}" bytes are written at once')
def write_sizes(context, sizes):
    write_at_once(context, [int(size) for size in sizes.split(",")])


@when('results of "{sizes}" bytes are written one after another')
def write_in_turn(context, sizes):
    results = make_results([int(size) for size in sizes.split(",")])

    async def add_all():
        for result in results:
            await ResultWriter(context.results, "j1", back_off, 1).add(result)

    async def work():
        context.expected = [result.item_id for result in results]
        context.adding = [asyncio.ensure_future(add_all())]

    run(context, work())


async def stored_ids(context):
    """Return the ids of the results in the store, as a host that has cached none."""
    segments = await ResultRepository(context.store).read("j1")
    return [result.item_id for segment in segments for result in segment.results]


@then("the store has the {count:d} results within {limit_s:g} s")
def check_large(context, count, limit_s):
    async def work():
        await asyncio.wait(context.adding, timeout=limit_s)
        assert all(task.done() for task in context.adding)
        found = await stored_ids(context)
        assert sorted(found) == [f"i{n:02d}" for n in range(count)], found

    run(context, work())


@then("the store has the results in their order within {limit_s:g} s")
def check_in_order(context, limit_s):
    async def work():
        await asyncio.wait(context.adding, timeout=limit_s)
        found = await stored_ids(context)
        await cancel_tasks(context.adding)
        assert found == context.expected, found

    run(context, work())


@then("the store has the results but the first within {limit_s:g} s")
def check_all_but_first(context, limit_s):
    async def work():
        first, *others = context.adding
        await asyncio.wait(others, timeout=limit_s)
        are_done = [task.done() for task in others]
        found = await stored_ids(context)
        await cancel_tasks([first, *others])
        assert all(are_done), are_done
        assert sorted(found) == [f"i{n + 1:02d}" for n in range(len(others))], found

    run(context, work())


@when("a job of {count:d} items with {field} of {size:d} bytes is submitted")
def submit_large_job(context, count, field, size):
    filler = "x" * size
    items = [
        {
            "Id": f"i{number}" + (filler if field == "ids" else ""),
            "Path": "/night/x",
            "Headers": {"x-note": filler} if field == "headers" else {},
            "Body": base64.b64encode(filler.encode() if field == "bodies" else b"x"),
            "Tokens": 10,
        }
        for number in range(count)
    ]
    body = json.dumps({"Items": items}, default=bytes.decode).encode()
    request = CallerRequest(
        "j1", "POST", "/night/", "/night/", "h", None, (), 0, None, {}, body
    )
    route = Route("night", "h", "/", RouteKind.BATCH, (), 5, 1)
    state = SimpleNamespace(view=HostView(make_host(1, "own")))
    jobs = JobRepository(context.store)
    front = JobFront(jobs, None, None, state=state, timers=ManualTimers())
    context.n_calls = 0

    async def count_call():
        context.n_calls += 1

    context.store.before_call = count_call
    context.response = run(context, front.submit(request, route))


@then("it is answered with {status:d}")
def check_status(context, status):
    assert context.response.status == status, context.response


@then("the store has been called {count:d} times")
def check_calls(context, count):
    assert context.n_calls == count, context.n_calls


@when('the job "{job_id}" is accepted beside a host\'s callers')
def accept_named_job(context, job_id):
    jobs = JobRepository(context.store)
    run(context, jobs.accept(make_record(job_id, ["i1"]), make_items(["i1"])))

    class Reader:
        async def read(self, job, after, wait_s):
            return ()

    class Notifier:
        async def announce(self, job):
            """Tell no host."""

    context.front = JobFront(
        jobs, Reader(), Notifier(), state=None, timers=ManualTimers()
    )


@then('callers find it under "{escaped}", and can end it')
def check_found(context, escaped):
    def call(method, path, query):
        request = Request(method, path, query, {}, BodyReader(None, 0), path)
        return run(context, context.front.serve(request)).status

    assert call("GET", JOB_PATH_PREFIX + escaped, {}) == 200
    assert call("GET", ITEM_PATH_PREFIX + escaped, {"Id": "i1"}) == 200
    assert call("DELETE", JOB_PATH_PREFIX + escaped, {}) == 200


# Beside hosts of a former build


@given('a former build has written {count:d} segments of the job "{job_id}"')
def write_as_former_build(context, count, job_id):
    context.store = FakeStore()
    context.ids = [job_id]
    for index in range(count):
        result = make_own_results(job_id)[index]
        content = {"results": encode_result_list([result]), "is_full": index < 2}
        name = segment_name(RESULTS_KIND, job_id, index)
        run(context, context.store.create(RESULTS_KIND, name, content))


@when("this build reads them and writes the segments that follow")
def write_on(context):
    context.results = ResultRepository(context.store)
    (job_id,) = context.ids
    n_known = len(run(context, context.results.read(job_id)))
    for index in range(n_known, 3):
        segment = ResultSegment((make_own_results(job_id)[index],), index < 2)
        assert run(context, context.results.write(job_id, index, segment))


@then("a former build finds all {count:d} segments where it looks for them")
def check_as_former_build(context, count):
    (job_id,) = context.ids
    for index in range(count):
        stored = context.store.find(
            RESULTS_KIND, f"{job_id}.{index}" if index else job_id
        )
        found = decode_result_list(stored.content["results"])
        assert found == (make_own_results(job_id)[index],), found
