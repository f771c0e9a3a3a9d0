"""Steps on the attempts at a request whose runner falls silent."""

from __future__ import annotations

from types import SimpleNamespace

from behave import given, then, when
from fleet_helpers import run

from damaskjunction.core import ManualTimers, Outcome
from damaskjunction.gateway.requests.attempt_history import AttemptHistory
from damaskjunction.gateway.requests.request_attempts import RequestAttempts
from damaskjunction.gateway.requests.runner_selector import Assignment
from damaskjunction.gateway.runners.runner_responses import RunnerFailedError
from damaskjunction.routing import Route, RouteKind


def make_route(max_attempts):
    return Route(
        "look",
        "caddies.example",
        "/look/",
        RouteKind.IDEMPOTENT,
        (),
        timeout_s=4.0,
        latency_goal_s=0.3,
        max_attempts=max_attempts,
    )


@given("a request at a silent runner, which is diagnosed")
def make_attempts(context):
    context.calls = []

    async def close():
        context.calls.append("freed")

    def record_health(routed, runner_id, *, is_well, has_slot):
        context.calls += [] if is_well else ["accused"]

    def record_fault(runner, reason, accuse, on_path_cut):
        context.diagnosed = (accuse, on_path_cut)

    slot = SimpleNamespace(close=close, watched=())
    timers = ManualTimers()
    state = SimpleNamespace(has_engines=lambda service: True)
    state.table = SimpleNamespace(version=1)
    context.attempts = RequestAttempts(
        SimpleNamespace(
            timers=timers,
            state=state,
            runner_client=None,
            runner_faults=SimpleNamespace(record=record_fault),
        ),
        SimpleNamespace(record_health=record_health, release=None),
        SimpleNamespace(
            request=SimpleNamespace(request_id="q1"),
            route=make_route(2),
            service="llm",
            origin=None,
            started_at_s=0.0,
            deadline_at_s=4.0,
        ),
    )
    runner = SimpleNamespace(runner_id="e1")
    context.attempts._assignment = Assignment(runner, slot)
    context.attempts._response = SimpleNamespace(body=SimpleNamespace(is_relayed=False))
    context.attempts.record_fault("silent")


@when("nothing is heard before the diagnosis ends")
def hear_nothing(context):
    pass


@when("the runner is heard before the diagnosis ends")
def hear(context):
    context.attempts._report_heard()


@then(
    "the runner {accused} accused, and the slot {freed} given back if its path is cut"
)
def check_diagnosis(context, accused, freed):
    accuse, on_path_cut = context.diagnosed
    accuse()
    run(context, on_path_cut())
    expected = ["accused"] * (accused == "is") + ["freed"] * (freed == "is")
    assert context.calls == expected, context.calls


@given("a request of a route with {max_attempts:d} attempts, after {what}")
def make_history(context, max_attempts, what):
    context.history = AttemptHistory(make_route(max_attempts))
    count = 0 if what == "no failure" else int(what.split()[0])
    outcome = Outcome.RAN if "run that failed" in what else Outcome.NOT_RUN
    for number in range(count):
        error = RunnerFailedError(outcome, "test")
        context.history.record_failure(f"e{number}", error)


@then("its runner {may} be left with {left_s:g} s left")
def check_may_leave(context, may, left_s):
    found = context.history.may_retry_after_run(left_s)
    assert found is (may == "may"), found
