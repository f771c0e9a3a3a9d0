"""Steps of the planner's feature, on a simulated region that follows its plan."""

from __future__ import annotations

import json
from collections import Counter

from behave import given, then, when
from hypothesis import given as hypothesis_given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies

from damaskjunction.core import (
    Address,
    Configuration,
    HostState,
    ModelSpec,
    PlacementSpec,
    Plan,
    Runner,
    ServiceKind,
    ServiceSpec,
)
from damaskjunction.placement import (
    PlanInput,
    RunnerState,
    RunnerStatus,
    assignment_order_key,
    make_plan,
    min_ready_runners,
    plan_from_document,
    plan_to_document,
)

STEPS_TO_CONVERGE = 60


class Region:
    """Simulated engines that follow the plan, one state transition per step."""

    def __init__(self):
        self.services_by_name = {}
        self.models_by_name = {}
        self.placement = PlacementSpec(weight_store_gb_per_s=1000.0)
        self.runners_by_id = {}
        self.statuses_by_runner = {}
        self.required_by_service = {}
        self.broken_versions = set()
        self.plan = Plan()
        self.previous = Plan()
        self.n_ready_history = []
        self.n_in_transition_history = []

    def add_service(self, name, low, high, **extra):
        self.models_by_name[name] = ModelSpec(name, "v1")
        self.services_by_name[name] = ServiceSpec(
            name, ServiceKind.ENGINE, name, low, high, **extra
        )

    def change_service(self, name, **changes):
        service = self.services_by_name[name]
        self.services_by_name[name] = service._replace(**changes)

    def add_engines(self, count, centres):
        for _ in range(count):
            number = len(self.runners_by_id)
            runner = Runner(
                f"engine-{number:04d}",
                "lima",
                centres[number % len(centres)],
                Address("127.0.0.1", 1 + number),
                ServiceKind.ENGINE,
            )
            self.runners_by_id[runner.runner_id] = runner
            status = RunnerStatus(runner.runner_id, RunnerState.EMPTY)
            self.statuses_by_runner[runner.runner_id] = status

    def to_input(self):
        configuration = Configuration(
            1,
            self.services_by_name,
            self.models_by_name,
            placement=self.placement,
        )
        return PlanInput(
            configuration,
            list(self.runners_by_id.values()),
            self.plan,
            self.statuses_by_runner,
            self.required_by_service,
        )

    def make_plan(self):
        self.previous = self.plan
        self.plan = make_plan(self.to_input())
        self._record_counts()

    def step(self):
        self.make_plan()
        for assignment in self.plan.assignments_by_runner.values():
            self._follow(assignment)

    def converge(self):
        for _ in range(STEPS_TO_CONVERGE):
            self.step()

    def _follow(self, assignment):
        status = self.statuses_by_runner[assignment.runner_id]
        key = assignment_order_key(assignment)
        if status.state in (RunnerState.UNREACHABLE, RunnerState.LOST):
            return
        if status.loaded != key:
            status = status._replace(loaded=key, state=RunnerState.LOADING)
        elif assignment.version in self.broken_versions:
            status = status._replace(state=RunnerState.FAILED, reason="no such file")
        elif status.state is not RunnerState.FAILED:
            status = status._replace(state=RunnerState.READY)
        self.statuses_by_runner[assignment.runner_id] = status

    def _record_counts(self):
        self.n_ready_history.append(
            Counter(
                self.plan.assignments_by_runner[runner_id].service
                for runner_id in self.plan.ready_runners
            )
        )
        in_transition = self.plan.assignments_by_runner.keys() - self.plan.ready_runners
        self.n_in_transition_history.append(
            Counter(
                self.plan.assignments_by_runner[runner_id].service
                for runner_id in in_transition
            )
        )

    def n_ready(self, name):
        ready = self.plan.ready_runners
        held = self.plan.assignments_by_runner
        return sum(held[runner_id].service == name for runner_id in ready)

    def runners_of(self, name):
        held = self.plan.assignments_by_runner.values()
        return sorted(a.runner_id for a in held if a.service == name)

    def moved_runners(self):
        previous = self.previous.assignments_by_runner
        after = self.plan.assignments_by_runner
        return [name for name in after if after[name] != previous.get(name)]


@given(
    'engine services "{first}" with {low:d} to {high:d} runners'
    ' and "{second}" with {other_low:d} to {other_high:d} runners'
)
def make_services(context, **sizes):
    context.region = Region()
    context.region.add_service(sizes["first"], sizes["low"], sizes["high"])
    context.region.add_service(sizes["second"], sizes["other_low"], sizes["other_high"])


@given('{count:d} engines in data centres "{centres}"')
def add_engines(context, count, centres):
    context.region.add_engines(count, centres.split(","))


@given('"{name}" has a minimum of {count:d} data centres')
def set_min_data_centres(context, name, count):
    context.region.change_service(name, min_data_centres=count)


@given('"{name}" depends on "{other}"')
def set_dependency(context, name, other):
    context.region.change_service(name, depends_on=(other,))


@given('"{name}" has a minimum of {count:d} runners')
def set_min_runners(context, name, count):
    context.region.change_service(name, min_runners=count)


@given("the weight store has bandwidth for {count:d} loads")
def limit_loads(context, count):
    context.region.placement = PlacementSpec(1.0, float(count))


@given("the region has converged")
@when("the region converges")
def converge(context):
    context.region.converge()
    context.converged = context.region.plan


@when("a plan is made")
def make(context):
    context.region.make_plan()


@when('load requires {count:d} runners of "{name}"')
def set_required_runners(context, count, name):
    context.region.required_by_service[name] = count


@when('a runner of "{name}" is lost')
def lose(context, name):
    runner_id = context.region.runners_of(name)[0]
    status = RunnerStatus(runner_id, RunnerState.LOST)
    context.region.statuses_by_runner[runner_id] = status


@when('a runner of "{name}" leaves')
def leave(context, name):
    runner_id = context.region.runners_of(name)[0]
    runner = context.region.runners_by_id[runner_id]
    context.region.runners_by_id[runner_id] = runner._replace(state=HostState.LEAVING)


@when('a runner of "{name}" fails')
def fail(context, name):
    runner_id = context.region.runners_of(name)[0]
    status = context.region.statuses_by_runner[runner_id]
    context.region.statuses_by_runner[runner_id] = status._replace(
        state=RunnerState.FAILED, reason="out of memory"
    )


@when('version "{version}" of "{name}" is rolled out')
def roll_out(context, version, name):
    region = context.region
    region.n_ready_history.clear()
    region.n_in_transition_history.clear()
    region.models_by_name[name] = ModelSpec(name, version)
    region.converge()


@when('version "{version}" of "{name}" fails to load everywhere and is rolled out')
def roll_out_broken(context, version, name):
    context.region.broken_versions.add(version)
    roll_out(context, version, name)


@when("the plan is lost")
def lose_plan(context):
    context.region.plan = Plan()


@then('"{name}" has {count:d} ready runners and "{other}" has {other_count:d}')
def check_ready(context, **expected):
    region = context.region
    found = region.n_ready(expected["name"]), region.n_ready(expected["other"])
    assert found == (expected["count"], expected["other_count"]), (found, region.plan)


@then("no runner was moved")
def check_unmoved(context):
    assert not context.region.moved_runners(), context.region.moved_runners()


@then("{count:d} runner was moved")
def check_moved(context, count):
    assert len(context.region.moved_runners()) == count, context.region.moved_runners()


@then('the note on "{name}" is "{note}"')
def check_note(context, name, note):
    notes = context.region.plan.notes_by_service
    assert notes.get(name) == note, notes


@then('"{name}" is in {count:d} data centres')
def check_centres(context, name, count):
    region = context.region
    centres = {region.runners_by_id[r].data_centre for r in region.runners_of(name)}
    assert len(centres) == count, centres


@then('"{name}" has nothing assigned')
def check_unassigned(context, name):
    assert not context.region.runners_of(name)


@then("{count:d} runners are in transition")
def check_transition(context, count):
    n_in_transition = context.region.n_in_transition_history[-1].total()
    assert n_in_transition == count, n_in_transition


@then('"{name}" never had fewer than {count:d} ready runners')
def check_never_below(context, name, count):
    seen = [ready[name] for ready in context.region.n_ready_history]
    assert min(seen) >= count, seen


@then('every runner of "{name}" serves "{version}"')
def check_version(context, name, version):
    region = context.region
    held = region.plan.assignments_by_runner
    runners = region.runners_of(name)
    versions = {held[runner_id].version for runner_id in runners}
    assert versions == {version}, region.plan
    assert region.plan.ready_runners.issuperset(runners)


@then('at most {count:d} runner of "{name}" was in transition at once')
def check_max_in_transition(context, count, name):
    seen = [
        in_transition[name] for in_transition in context.region.n_in_transition_history
    ]
    assert max(seen) <= count, seen


@then("{count:d} runner is reported as failed")
def check_failed(context, count):
    failures = context.region.plan.failures_by_runner
    assert list(failures.values()) == ["no such file"] * count, failures


@then("the assignments are the same as before")
def check_same_plan(context):
    plan, converged = context.region.plan, context.converged
    assert plan.assignments_by_runner == converged.assignments_by_runner, plan


@then("the plan is unchanged after conversion to JSON and back")
def check_document(context):
    plan = context.region.plan
    document = json.loads(json.dumps(plan_to_document(plan)))
    assert plan_from_document(document, plan.revision) == plan


HISTORY = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(
            ["step", "step", "lose", "return", "leave", "load", "roll", "add"]
        ),
        strategies.integers(0, 40),
    ),
    min_size=5,
    max_size=40,
)


@then("in {count:d} random histories no invariant of a plan is violated")
def check_histories(context, count):
    @hypothesis_settings(
        max_examples=count, deadline=None, database=None, derandomize=True
    )
    @hypothesis_given(strategies.integers(0, 12), HISTORY)
    def check(n_engines, history):
        region = make_region(n_engines)
        for event, number in history:
            apply_event(region, event, number)
            ready_before = Counter(
                region.plan.assignments_by_runner[runner_id].service
                for runner_id in region.plan.ready_runners
                if region.statuses_by_runner[runner_id].state is RunnerState.READY
                and region.runners_by_id[runner_id].state is HostState.LIVE
            )
            region.step()
            check_invariants(region, ready_before)
        region.converge()
        converged = region.plan
        region.make_plan()
        assert region.plan == converged

    check()


def make_region(n_engines):
    region = Region()
    region.add_service("base", 1, 3)
    region.add_service("chat", 2, 4, depends_on=("base",), min_data_centres=2)
    region.add_service("parts", 0, 5)
    region.placement = PlacementSpec(1.0, 3.0)
    region.add_engines(n_engines, ["a", "b", "c"])
    return region


def apply_event(region, event, number):
    names = sorted(region.runners_by_id)
    if event == "add":
        region.add_engines(1, ["a", "b", "c"])
    elif event == "roll":
        name = sorted(region.models_by_name)[number % 3]
        region.models_by_name[name] = ModelSpec(name, f"v{number}")
    elif event == "load":
        name = sorted(region.services_by_name)[number % 3]
        region.required_by_service[name] = number % 7
    elif names and event != "step":
        runner_id = names[number % len(names)]
        status = region.statuses_by_runner[runner_id]
        if event == "lose":
            status = RunnerStatus(runner_id, RunnerState.LOST)
        elif event == "return" and status.state is RunnerState.LOST:
            status = RunnerStatus(runner_id, RunnerState.EMPTY)
        elif event == "leave":
            leaving = region.runners_by_id[runner_id]._replace(state=HostState.LEAVING)
            region.runners_by_id[runner_id] = leaving
        region.statuses_by_runner[runner_id] = status


def check_invariants(region, ready_before):
    plan, previous = region.plan, region.previous
    plan_input = region.to_input()
    held = Counter(a.service for a in plan.assignments_by_runner.values())
    moved_runners = region.moved_runners()
    for name, service in region.services_by_name.items():
        # A roll-out may add one idle engine.
        assert held[name] <= service.max_runners + 1, (name, held)
        n_required = min(min_ready_runners(plan_input, service), ready_before[name])
        assert region.n_ready(name) >= n_required, (name, plan, previous)
        if any(plan.assignments_by_runner[r].service == name for r in moved_runners):
            for other in service.depends_on:
                assert region.n_ready(other) >= 1, (name, plan)
    for runner_id in plan.assignments_by_runner:
        assert region.runners_by_id[runner_id].state is HostState.LIVE
    n_in_transition = region.n_in_transition_history[-1].total()
    # make_region's weight store has bandwidth for 3 loads.
    assert n_in_transition <= 3 or not moved_runners, (n_in_transition, plan)
