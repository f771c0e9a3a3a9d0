"""Histories of a soak for the steps of soak.feature."""

from __future__ import annotations

from damaskjunction.lab.soak import (
    Call,
    Cancellation,
    Event,
    FaultFreePeriod,
    History,
    ResultsRead,
    Room,
    Run,
    Submission,
    find_violations,
)

N_EVENTS = 3


def make_body(stream, *numbers, version="v1"):
    return b"".join(Event(n, version, stream).encode() for n in numbers)


def make_text(item, *numbers, version="v1"):
    return "\n".join(Event(n, version, item).text for n in numbers or (1, 2, 3))


def add_call(history, request_id, *, status=200, body=None, is_complete=True, at_s=1.0):
    route = request_id.partition("-")[0]
    if body is None:
        is_stream = route in ("ask", "alert")
        body = make_body(request_id, 1, 2, 3) if is_stream else request_id.encode()
    call = Call(request_id, route, "h0", at_s, at_s + 1, status, is_complete, body)
    history.calls.append(call)


def add_run(history, request_id, at_s=1.0):
    history.runs.append(Run(request_id, "e1", at_s, -1))


def add_read(history, job_id, item, state="completed", text=None):
    text = make_text(item) if text is None else text
    history.reads.append(ResultsRead(job_id, 0, 5.0, ((item, state, text),)))


def add_job(history, job_id, item, *, n_items=1, **result):
    history.submissions.append(Submission(job_id, n_items, 3.0, 202))
    add_read(history, job_id, item, **result)


def add_rooms(history, until_s, free_fraction=1.0):
    history.rooms += [Room(0.25 * n, free_fraction) for n in range(4 * until_s)]


def make_sound_history():
    history = History(N_EVENTS)
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
    return history
