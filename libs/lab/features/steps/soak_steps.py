"""Steps of soak.feature."""

from __future__ import annotations

import asyncio
import tempfile
from pathlib import Path

from behave import given, then, when

from damaskjunction.lab.soak import (
    Call,
    Cancellation,
    FaultFreePeriod,
    FaultSpan,
    History,
    HostDisturbance,
    MemoryPeak,
    NamedLimit,
    RecordedEvents,
    ResultsRead,
    Room,
    Run,
    RunnerLife,
    SoakOptions,
    Stall,
    Submission,
    checks,
    find_violations,
    make_schedule,
    run_soak,
)

N_EVENTS = 3
TEXT = "token 1 of v1\ntoken 2 of v1\ntoken 3 of v1"
SOAK_LIMIT_S = 200.0
FIRST_KINDS = (
    "all hosts killed",
    "answers without end",
    "configuration changed",
    "deadly part",
    "host frozen",
    "host killed",
    "host restarted",
    "runner drained",
    "runner limited",
    "runner lost",
    "runner path broken",
    "runner troubled",
    "store path broken",
    "store troubled",
)
# The kinds that the schedules of seeds chose from, by name.
KINDS_BY_NAME = {
    "all": (),
    "first": FIRST_KINDS,
    "leaving": ("runner leaves", "engines released"),
    "refused": ("refusals repeated", "runner lost"),
}


def make_body(*numbers, version="v1"):
    return b"".join(
        f"id: {n}\ndata: token {n} of {version}\n\n".encode() for n in numbers
    )


def add_call(history, request_id, *, status=200, body=None, is_complete=True, at_s=1.0):
    route = request_id.partition("-")[0]
    if body is None:
        is_stream = route in ("ask", "alert")
        body = make_body(1, 2, 3) if is_stream else request_id.encode()
    call = Call(request_id, route, "h0", at_s, at_s + 1, status, is_complete, body)
    history.calls.append(call)


def add_run(history, request_id, at_s=1.0):
    history.runs.append(Run(request_id, "e1", at_s, -1))


def add_read(history, job_id, item, state="completed", text=TEXT):
    history.reads.append(ResultsRead(job_id, 0, 5.0, ((item, state, text),)))


@given("a history without violations")
def make_history(context):
    context.history = history = History(N_EVENTS)
    for number in range(30):
        add_call(history, f"look-{number}", at_s=20.0)
        add_run(history, f"look-{number}", at_s=20.0)
    for request_id in ("ask-90", "alert-91", "order-92"):
        add_call(history, request_id)
        add_run(history, request_id)
    add_call(history, "ask-93", status=503, body=b"")
    history.submissions += [
        Submission("job1", 1, 2.0, 503),
        Submission("job1", 1, 3.0, 202),
        Submission("job2", 2, 3.0, 202),
        Submission("job3", 1, 3.0, 429),
    ]
    add_run(history, "job1-0")
    add_read(history, "job1", "job1-0")
    history.jobs_to_cancel.add("job2")
    history.cancellations.append(Cancellation("job2", 6.0))
    history.fault_free_period = FaultFreePeriod(19.0, 22.0)
    assert find_violations(history) == []


@when("a stream that ended normally lacks its last event")
def add_short_stream(context):
    add_call(context.history, "ask-1", body=make_body(1, 2))


@when("a caller gets the response to another request")
def add_foreign_response(context):
    add_call(context.history, "look-98", body=b"look-99")


@when("an aborted stream repeats an event")
def add_repeated_event(context):
    add_call(context.history, "alert-1", body=make_body(1, 2, 2), is_complete=False)


@when("a request that must not be repeated ran twice")
def add_second_run(context):
    add_run(context.history, "order-92")


@when("a refused request runs afterwards")
def add_run_of_refused_request(context):
    add_run(context.history, "ask-93")


@when("an item of a refused job runs")
def add_run_of_refused_item(context):
    add_run(context.history, "job3-0")


@when("a runner gets a request that no caller sent")
def add_unrequested_run(context):
    add_run(context.history, "look-777")


@when("the result at a position of a job changes")
def add_changed_result(context):
    context.history.submissions.append(Submission("job4", 1, 3.0, 202))
    add_read(context.history, "job4", "job4-0")
    add_read(context.history, "job4", "job4-1")


@when("the text of a completed result lacks an event")
def add_incomplete_result(context):
    context.history.submissions.append(Submission("job4", 1, 3.0, 202))
    add_read(context.history, "job4", "job4-0", text="token 1 of v1\ntoken 3 of v1")


@when("an item of a job that was not cancelled fails")
def add_failed_item(context):
    context.history.submissions.append(Submission("job4", 1, 3.0, 202))
    add_read(context.history, "job4", "job4-0", state="errored", text="")


@when("an accepted job lacks a result")
def add_unfinished_job(context):
    context.history.submissions.append(Submission("job4", 2, 3.0, 202))
    add_read(context.history, "job4", "job4-0")


@when("an item begins to run long after its job was cancelled")
def add_run_after_cancellation(context):
    add_run(context.history, "job2-1", at_s=9.5)


@when("requests fail in the fault-free period")
def add_failed_calls(context):
    for number in range(10):
        add_call(context.history, f"look-5{number}", status=502, at_s=21.0)


@when("deadly requests still run in the fault-free period")
def add_deadly_runs(context):
    for number in range(10):
        add_call(context.history, f"deadly-ask-{number}", status=502, body=b"")
        add_run(context.history, f"deadly-ask-{number}", at_s=14.0 + number)


@when("a limited runner gets twice its limit")
def add_runs_over_limit(context):
    context.history.limits.append(NamedLimit("e2", 2.0))
    for number in range(18):
        add_call(context.history, f"look-6{number}", at_s=18.0)
        run = Run(f"look-6{number}", "e2", 19.0 + 0.1 * number, -1)
        context.history.runs.append(run)


@when("a host uses 200 MiB")
def add_memory_peak(context):
    context.history.peaks.append(MemoryPeak("h0", 200 * 1024 * 1024))


def add_item(history, job_id, accepted_at_s, listed_at_s):
    history.submissions.append(Submission(job_id, 1, accepted_at_s, 202))
    result = (f"{job_id}-0", "completed", TEXT)
    history.reads.append(ResultsRead(job_id, 0, listed_at_s, (result,)))


def add_rooms(history, until_s, free_fraction=1.0):
    history.rooms += [Room(0.25 * n, free_fraction) for n in range(4 * until_s)]


def add_take_up(history, number, version="v1", *, status=200):
    add_call(history, f"alert-7{number}", body=make_body(1), is_complete=False)
    call = Call(
        f"alert-8{number}", "alert", "h0", 8.0, 8.5, status, True, b"", False, 1
    )
    body = make_body(2, 3, version=version) if status == 200 else b""
    call = call._replace(body=body, resumed_id=f"alert-7{number}")
    history.calls.append(call)


@when("an item waits 6 s in calm with room")
def add_lying_item(context):
    add_rooms(context.history, 20)
    add_item(context.history, "job5", 3.0, 9.0)


@when("an item waits 6 s in a fault")
def add_item_in_fault(context):
    add_rooms(context.history, 20)
    context.history.fault_spans.append(FaultSpan("host killed", 3.0, 5.0))
    add_item(context.history, "job5", 3.0, 9.0)


@when("another waits 6 s without room")
def add_item_without_room(context):
    context.history.rooms[48:] = [Room(0.25 * n, 0.4) for n in range(48, 80)]
    add_item(context.history, "job6", 13.0, 19.0)


@when("an item is listed 30 s after the last fault")
def add_late_item(context):
    add_rooms(context.history, 40, free_fraction=0.0)
    context.history.fault_spans.append(FaultSpan("host killed", 2.0, 4.0))
    add_item(context.history, "job5", 3.0, 34.0)


@when("a stream is taken up at another software version")
def add_other_version(context):
    add_take_up(context.history, 0, "v2")


@when("the text of a result is from two software versions")
def add_joined_result(context):
    context.history.submissions.append(Submission("job4", 1, 3.0, 202))
    text = "token 1 of v1\ntoken 2 of v1\ntoken 3 of v2"
    add_read(context.history, "job4", "job4-0", text=text)


@when("a stream holds the text of an error")
def add_error_text(context):
    body = make_body(1) + b"HTTP/1.1 500 -\n\n" + make_body(2, 3)
    add_call(context.history, "alert-1", body=body)


@when("most take-ups in calm fail")
def add_failed_take_ups(context):
    add_rooms(context.history, 20)
    context.history.lives += [
        RunnerLife(f"llm{n}-0#1", "v1", 0.0, 30.0, None) for n in range(2)
    ]
    for number in range(15):
        add_take_up(context.history, number, status=200 if number < 4 else 503)


def add_lost_answer(history, at_s):
    add_rooms(history, 20)
    add_call(history, "order-1", status=0, body=b"", is_complete=False, at_s=at_s)
    add_run(history, "order-1", at_s=at_s)


@when("a request that ran in calm gets no answer")
def add_lost_answer_in_calm(context):
    add_lost_answer(context.history, 8.0)


@when("a host that restarts cuts a request that runs")
def add_lost_answer_in_restart(context):
    add_lost_answer(context.history, 8.0)
    context.history.fault_spans.append(FaultSpan("host restarted", 7.5, 9.5))


@when("a host that is killed cuts a request that runs")
def add_lost_answer_in_kill(context):
    add_lost_answer(context.history, 8.0)
    context.history.fault_spans.append(FaultSpan("host killed", 7.5, 9.5))


@when("a request that crashes its runner cuts a request that runs")
def add_lost_answer_in_crash(context):
    add_lost_answer(context.history, 8.0)
    add_call(context.history, "deadly-ask-1", status=0, body=b"", is_complete=False)
    add_run(context.history, "deadly-ask-1", at_s=8.5)


@when("a request is cut while the process of the runners stalls")
def add_lost_answer_in_stall(context):
    add_lost_answer(context.history, 8.0)
    context.history.stalls.append(Stall(8.0, 8.6))


def add_leaving_runner(history):
    history.lives.append(RunnerLife("e1#1", "v1", 0.0, 30.0, 2.0))
    call = Call("look-94", "look", "h0", 2.5, 3.0, 200, True, b"look-94")
    history.calls += [
        call._replace(life_id="e1#1", answered_at_s=3.0),
        call._replace(request_id="look-95", sent_at_s=5.5, body=b"look-95"),
    ]
    history.runs += [
        Run("look-94", "e1", 2.6, -1, "e1#1"),
        Run("look-95", "e1", 5.6, -1, "e1#1"),
    ]


@when("a host sends to a runner that it knows to leave")
def add_run_at_leaving_runner(context):
    add_leaving_runner(context.history)


def add_item_at_leaving_runner(history):
    add_rooms(history, 20)
    add_leaving_runner(history)
    history.runs[-1] = Run("job1-0", "e1", 5.6, -1, "e1#1")
    history.calls.pop()
    history.fault_spans.append(FaultSpan("runner leaves", 2.0, 6.0))


@when("an item runs at a runner that a host knows to leave")
def add_late_item_at_leaving_runner(context):
    add_item_at_leaving_runner(context.history)


@when("a host sends to a runner whose entry says that it leaves")
def add_run_at_draining_runner(context):
    add_rooms(context.history, 20)
    context.history.lives.append(RunnerLife("e1#1", "v1", 0.0, 30.0, None, 3.0))
    add_call(context.history, "look-95", at_s=5.5)
    context.history.runs.append(Run("look-95", "e1", 5.6, -1, "e1#1"))
    context.history.fault_spans.append(FaultSpan("runner drained", 3.0, 7.0))


@when("an item runs at such a runner while another fault separates the hosts")
def add_item_in_other_fault(context):
    add_item_at_leaving_runner(context.history)
    context.history.fault_spans.append(FaultSpan("links reset", 3.5, 3.6))


@when("a host sends to a runner that it knew to leave before its restart")
def add_run_after_restart(context):
    add_leaving_runner(context.history)
    context.history.disturbances.append(HostDisturbance("h0", 4.0))


@then("no check reports a violation")
def check_no_report(context):
    assert find_violations(context.history) == []


@then('only the check "{check}" reports a violation')
def check_only_violation(context, check):
    assert check in checks, list(checks)
    violations = find_violations(context.history)
    assert violations and all(line.startswith(f"{check}: ") for line in violations), (
        violations
    )


async def read_recorded(n_read, n_events):
    async def write_events():
        for number in range(n_events):
            yield b"%d" % number

    ends = []
    events = RecordedEvents(write_events(), 0.0, lambda: ends.append(1))
    for _ in range(n_read):
        await anext(events)
    await events.aclose()
    return len(ends)


@then(
    "the end of an answer is recorded once when {n_read:d} of its {n_events:d} events "
    "are read"
)
def check_recorded_end(context, n_read, n_events):
    assert asyncio.run(read_recorded(n_read, n_events)) == 1


@then("seed {one:d} always gives the same schedule, and seed {other:d} a different one")
def check_schedule(context, one, other):
    kinds = ("a", "b", "c")
    schedule = make_schedule(one, 30.0, kinds)
    assert schedule == make_schedule(one, 30.0, kinds)
    assert schedule != make_schedule(other, 30.0, kinds)


@when(
    "a soak with seed {seed:d} runs {n_hosts:d} hosts with {kinds} faults "
    "for {seconds:d} s"
)
def run_random_faults(context, seed, n_hosts, kinds, seconds):
    options = SoakOptions(seed, float(seconds), n_hosts, kinds=KINDS_BY_NAME[kinds])
    if kinds == "first":  # without the additions since then
        options = options._replace(n_engines=3, lull_s=0.0)

    async def run_in(folder):
        async with asyncio.timeout(SOAK_LIMIT_S):
            return await run_soak(options, Path(folder))

    with tempfile.TemporaryDirectory() as folder:
        context.report = asyncio.run(run_in(folder))


@then("no guarantee was violated")
def check_no_violation(context):
    assert not context.report.violations, (
        context.report.violations,
        context.report.schedule,
    )
