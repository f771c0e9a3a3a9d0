"""Steps for orders, runner states and the demand estimate."""

from __future__ import annotations

from behave import given, then, when

from damaskjunction.core import (
    Assignment,
    Configuration,
    Plan,
    ServiceKind,
    ServiceSpec,
)
from damaskjunction.placement import (
    DemandEstimator,
    OrderScheduler,
    ReadBack,
    RunnerState,
    RunnerStatus,
    RunnerStatusTracker,
    SendOrder,
    assignment_order_key,
    status_digest,
)

STEP_S = 0.5
START_S = 100.0


def make_engines(context, count, state, **extra):
    context.now_s = START_S
    context.orders = OrderScheduler()
    assignments = [
        Assignment(f"engine-{number}", "chat", "chat", "v1") for number in range(count)
    ]
    context.plan = Plan(1, 1, {a.runner_id: a for a in assignments})
    loaded = "" if state is RunnerState.EMPTY else assignment_order_key(assignments[0])
    context.statuses_by_runner = {
        a.runner_id: RunnerStatus(a.runner_id, state, **{"loaded": loaded, **extra})
        for a in assignments
    }


def run_orders(context, duration_s):
    actions = []
    for _ in range(round(duration_s / STEP_S)):
        actions += context.orders.next_actions(
            context.now_s,
            context.plan,
            context.statuses_by_runner,
            held_since_s=START_S,
        )
        context.now_s += STEP_S
    return [action for action in actions if isinstance(action, SendOrder)], [
        action for action in actions if isinstance(action, ReadBack)
    ]


@given('{count:d} engines that are "{state}" as planned')
def make_as_planned(context, count, state):
    make_engines(context, count, RunnerState(state))


@given('{count:d} engine that is "{state}" and never changes')
@given('{count:d} engines that are "{state}" and never change')
def make_unchanging(context, count, state):
    make_engines(context, count, RunnerState(state))


@given('{count:d} engine that is "{state}" and ignores fencing tokens')
def make_unfenced(context, count, state):
    make_engines(context, count, RunnerState(state), checks_fence=False)


@given("{count:d} engines without a reported state")
def make_unreported(context, count):
    make_engines(context, count, RunnerState.READY)
    context.statuses_by_runner = {}


@given("{count:d} engine that serves another model with {n:d} requests in flight")
def make_serving(context, count, n):
    make_engines(context, count, RunnerState.READY, loaded="other", in_flight=n)


@when("one restarts empty")
def restart(context):
    status = RunnerStatus("engine-0", RunnerState.EMPTY)
    context.statuses_by_runner["engine-0"] = status


@when("its requests end")
def end_requests(context):
    status = context.statuses_by_runner["engine-0"]
    context.statuses_by_runner["engine-0"] = status._replace(in_flight=0)


@then("in {duration_s:d} s no orders are sent")
def check_no_orders(context, duration_s):
    orders, _ = run_orders(context, duration_s)
    assert not orders, orders


@then("in {duration_s:d} s {count:d} order is sent")
def check_orders(context, duration_s, count):
    orders, _ = run_orders(context, duration_s)
    assert len(orders) == count, orders


@then("in {duration_s:d} s between {low:d} and {high:d} orders are sent")
def check_order_range(context, duration_s, low, high):
    orders, _ = run_orders(context, duration_s)
    assert low <= len(orders) <= high, len(orders)


@then("in {duration_s:d} s at most {count:d} orders are sent")
def check_order_bound(context, duration_s, count):
    context.sent, _ = run_orders(context, duration_s)
    assert 0 < len(context.sent) <= count, len(context.sent)


@then("in {duration_s:d} s every engine was ordered")
def check_all_ordered(context, duration_s):
    orders, _ = run_orders(context, duration_s)
    ordered = {order.assignment.runner_id for order in (*context.sent, *orders)}
    assert ordered == context.plan.assignments_by_runner.keys(), len(ordered)


@then("in {duration_s:d} s {count:d} read-backs and no orders are sent")
def check_read_backs(context, duration_s, count):
    orders, read_backs = run_orders(context, duration_s)
    assert not orders
    assert len(read_backs) == count, read_backs


@given('an engine reported "{state}" for {duration_s:d} s among {count:d}')
def report_for(context, state, duration_s, count):
    context.tracker = RunnerStatusTracker()
    for at_s in range(duration_s + 1):
        status = RunnerStatus("engine-0", RunnerState(state))
        context.tracker.record(at_s, status)
        for number in range(1, count):
            status = RunnerStatus(f"engine-{number}", RunnerState.READY)
            context.tracker.record(at_s, status)
    context.now_s = duration_s


@given('every one of {count:d} engines reported "{state}" for {duration_s:d} s')
def report_all(context, count, state, duration_s):
    context.tracker = RunnerStatusTracker()
    for at_s in range(duration_s + 1):
        for number in range(count):
            status = RunnerStatus(f"engine-{number}", RunnerState(state))
            context.tracker.record(at_s, status)
    context.now_s = duration_s


@given('an engine reported "{state}" once and then not for {duration_s:d} s')
def report_once(context, state, duration_s):
    context.tracker = RunnerStatusTracker()
    context.tracker.record(0.0, RunnerStatus("engine-0", RunnerState(state)))
    context.now_s = duration_s


@then('it is "{state}"')
def check_state(context, state):
    statuses = context.tracker.statuses(context.now_s)
    assert statuses["engine-0"].state == state, statuses


@then('none is "{state}"')
def check_no_state(context, state):
    statuses = context.tracker.statuses(context.now_s)
    assert all(status.state != state for status in statuses.values()), statuses


@given(
    "a service with {n:d} requests per runner and a scale-down delay of {delay_s:d} s"
)
def make_estimator(context, n, delay_s):
    service = ServiceSpec(
        "chat",
        ServiceKind.ENGINE,
        "chat",
        in_flight_per_runner=float(n),
        scale_down_after_s=float(delay_s),
    )
    context.configuration = Configuration(1, {"chat": service})
    context.demand = DemandEstimator()
    context.now_s = 0.0


@when("its load is {load:d} for {duration_s:d} s")
def set_load(context, load, duration_s):
    for _ in range(duration_s):
        context.now_s += 1.0
        context.demand.record(context.now_s, context.configuration, {"chat": load})


@then("it requires {count:d} runners")
def check_required_runners(context, count):
    required = context.demand.required_runners(context.configuration)
    assert required == {"chat": count}, required


@then("their digest is the same in any order")
def check_same_digest(context):
    statuses = list(context.statuses_by_runner.values())
    context.digest = status_digest(statuses)
    assert context.digest > 0
    assert status_digest(reversed(statuses)) == context.digest


@then("their digest has changed")
def check_changed_digest(context):
    assert status_digest(context.statuses_by_runner.values()) != context.digest
