"""Steps of soak.feature about software versions and runners that leave."""

from __future__ import annotations

from behave import when
from soak_histories import add_call, add_job, add_rooms, make_body, make_text

from damaskjunction.lab.soak import (
    Call,
    FaultSpan,
    HostDisturbance,
    Run,
    RunnerLife,
)


def add_take_up(history, number, version="v1", *, status=200):
    first_id = f"alert-7{number}"
    add_call(history, first_id, body=make_body(first_id, 1), is_complete=False)
    call = Call(
        f"alert-8{number}", "alert", "h0", 8.0, 8.5, status, True, b"", False, 1
    )
    body = make_body(first_id, 2, 3, version=version) if status == 200 else b""
    call = call._replace(body=body, resumed_id=first_id)
    history.calls.append(call)


@when("a stream is taken up at another software version")
def add_other_version(context):
    add_take_up(context.history, 0, "v2")


@when("the text of a result is from two software versions")
def add_joined_result(context):
    newer = make_text("job4-0", 3, version="v2")
    text = "\n".join((make_text("job4-0", 1, 2), newer))
    add_job(context.history, "job4", "job4-0", text=text)


@when("most take-ups in calm fail")
def add_failed_take_ups(context):
    add_rooms(context.history, 20)
    context.history.lives += [
        RunnerLife(f"llm{n}-0#1", "v1", 0.0, 30.0, None) for n in range(2)
    ]
    for number in range(15):
        add_take_up(context.history, number, status=200 if number < 4 else 503)


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
