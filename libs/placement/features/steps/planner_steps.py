"""Steps of the planner's feature, on a simulated region."""

from __future__ import annotations

import json

from behave import given, then, when
from simulated_region import Region

from damaskjunction.core import HostState, ModelSpec, PlacementSpec, Plan
from damaskjunction.placement import (
    RunnerState,
    RunnerStatus,
    plan_from_document,
    plan_to_document,
)


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
