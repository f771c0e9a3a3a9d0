"""Steps of soak.feature about hosts that are cut off from runners."""

from __future__ import annotations

from behave import when
from soak_histories import add_call, add_rooms

from damaskjunction.lab.soak import CrashReport, FaultSpan, HostCut, RunnerEnd

CUT = HostCut(frozenset({"h1"}), True, 5.0, 15.0)


def add_cut_calls(history, host, n_served, n_failed, at_s=10.0):
    for number in range(n_served + n_failed):
        status = 200 if number < n_served else 503
        add_call(history, f"order-{host}-{number}", status=status, at_s=at_s)
        history.calls[-1] = history.calls[-1]._replace(host=host)


def add_cut(history):
    add_rooms(history, 25)
    history.cuts.append(CUT)
    history.fault_spans.append(FaultSpan("hosts cut off", CUT.since_s, CUT.until_s))


@when("most requests at a host that is cut off fail")
def add_failures_at_cut_host(context):
    add_cut(context.history)
    add_cut_calls(context.history, "h0", 30, 0)
    add_cut_calls(context.history, "h1", 5, 20)


@when("most requests fail before a host can know that it is cut off")
def add_failures_before_contact(context):
    add_cut(context.history)
    add_cut_calls(context.history, "h0", 30, 0)
    add_cut_calls(context.history, "h1", 5, 20, at_s=7.0)


@when("most requests at a host that is cut off fail while the store is away")
def add_failures_in_other_fault(context):
    add_failures_at_cut_host(context)
    context.history.fault_spans.append(FaultSpan("store troubled", 6.0, 8.0))


@when("most requests at other hosts fail during a cut")
def add_failures_at_others(context):
    add_cut(context.history)
    add_cut_calls(context.history, "h0", 10, 20, at_s=6.0)


@when("a sound request is refused as crashing runners")
def add_refused_sound_request(context):
    body = b'{"Error": "crashes_runners"}'
    add_call(context.history, "ask-94", status=503, body=body)
    context.history.runner_ends.append(RunnerEnd("e1", 9.0))


@when("a host records a crash of a runner that runs on")
def add_false_crash(context):
    context.history.runner_ends.append(RunnerEnd("e1", 9.0))
    context.history.crash_reports += [
        CrashReport("e1", "h0", 9.1),
        CrashReport("e2", "h0", 9.1),
    ]
