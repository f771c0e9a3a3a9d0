"""Steps of soak.feature that violate guarantees of batch jobs."""

from __future__ import annotations

from behave import when
from soak_histories import add_job, add_read, add_rooms, add_run, make_text

from damaskjunction.lab.soak import FaultSpan, ResultsRead, Room, Submission


@when("an item of a refused job runs")
def add_run_of_refused_item(context):
    add_run(context.history, "job3-0")


@when("the result at a position of a job changes")
def add_changed_result(context):
    add_job(context.history, "job4", "job4-0")
    add_read(context.history, "job4", "job4-1")


@when("the text of a completed result lacks an event")
def add_incomplete_result(context):
    text = make_text("job4-0", 1, 3)
    add_job(context.history, "job4", "job4-0", text=text)


@when("the text of a completed result has another item's event")
def add_foreign_result(context):
    text = "\n".join((make_text("job4-0", 1, 2), make_text("job4-1", 3)))
    add_job(context.history, "job4", "job4-0", text=text)


@when("an item of a job that was not cancelled fails")
def add_failed_item(context):
    add_job(context.history, "job4", "job4-0", state="errored", text="")


@when("an accepted job lacks a result")
def add_unfinished_job(context):
    add_job(context.history, "job4", "job4-0", n_items=2)


@when("an item begins to run long after its job was cancelled")
def add_run_after_cancellation(context):
    add_run(context.history, "job2-1", at_s=9.5)


def add_item(history, job_id, accepted_at_s, listed_at_s):
    history.submissions.append(Submission(job_id, 1, accepted_at_s, 202))
    item = f"{job_id}-0"
    result = (item, "completed", make_text(item))
    history.reads.append(ResultsRead(job_id, 0, listed_at_s, (result,)))


@when("an item waits 6 s in calm with room")
def add_stuck_item(context):
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
